package pathfinding

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

func TestRateFollowsWhatComesIn(t *testing.T) {
	c := qt.New(t)
	var r Rate
	c.Assert(r.At(time.Minute), qt.Equals, 0.0)
	now := time.Second
	for range 1000 {
		now += 10 * time.Millisecond
		r.Add(5, now)
	}
	c.Assert(math.Abs(r.At(now)-500) < 10, qt.IsTrue, qt.Commentf("%v", r.At(now)))
	c.Assert(r.At(now+rateTime) < 200, qt.IsTrue)
	c.Assert(r.At(now-time.Second), qt.Equals, r.At(now), qt.Commentf("a clock that stands still"))
}

// readingEngine returns an engine whose accelerators read prompts as fast as
// those of the users.
func readingEngine() *fleet.Engine {
	e := testEngine()
	e.ReadPerSecond, e.ReadChunk = 128000, 512
	for name, factor := range map[string]float64{"a100": 3.2, "l40s": 2.7, "l4": 8.2} {
		a := e.Accelerators[name]
		a.ReadFactor = factor
		e.Accelerators[name] = a
	}
	return e
}

// TestPromptsDoNotCrowdTheFastest replays a rush of long prompts at a zone with a
// fast chain and slower ones, whose memory is not short. What is known of the
// rates is a second old. No stage may be given more to read than it can.
func TestPromptsDoNotCrowdTheFastest(t *testing.T) {
	const (
		perSecond = 220
		prompt    = 760
		length    = 20 * time.Second
		known     = time.Second
		step      = time.Second / perSecond
	)
	all := []*fleet.Upstream{holder("a", "a100", 0, 32), holder("a", "a100", 32, 64), holder("a", "a100", 64, 80)}
	for from := 0; from < 80; from += 16 {
		all = append(all, holder("a", "l40s", from, from+16))
		all = append(all, &fleet.Upstream{Instance: "second" + holder("a", "l40s", from, from+16).Instance, Zone: "a", Accelerator: "l40s",
			Held: fleet.Range{From: from, To: from + 16}})
	}
	m := NewLayerMap(readingEngine(), all)
	rates, told := make(map[string]*Rate), make(map[string]float64)
	for _, u := range all {
		rates[u.Instance] = &Rate{}
	}
	// read is what each stage was given to read, as a part of what it can.
	read := make(map[string]float64)
	random := func() float64 { return 1 }
	for now := time.Second; now < time.Second+length; now += step {
		if now%known < step {
			for instance, r := range rates {
				told[instance] = r.At(now)
			}
		}
		q := &Query{Zone: "a", Tokens: 900, Jitter: random, Load: func(u *fleet.Upstream) Load { return Load{Reading: told[u.Instance]} }}
		chain, ok := m.Find(q)
		qt.Assert(t, ok, qt.IsTrue)
		for _, s := range chain.Stages {
			layers := float64(s.Layers.Len())
			rates[s.Upstream.Instance].Add(prompt*layers, now)
			read[s.Upstream.Instance] += prompt * layers / 80 * m.Engine.PrefillTimePerToken(s.Upstream.Accelerator).Seconds() / length.Seconds()
		}
	}
	for instance, use := range read {
		t.Logf("%s reads for %.2f of its time", instance, use)
		qt.Check(t, use < 1, qt.IsTrue)
	}
}
