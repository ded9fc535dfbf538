package pathfinding

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

func TestRateFollowsArrivals(t *testing.T) {
	c := qt.New(t)
	var r Rate
	c.Assert(r.At(time.Minute), qt.Equals, 0.0)
	now := time.Second
	for range 1000 {
		now += 10 * time.Millisecond
		r.Add(5, now)
	}
	c.Assert(math.Abs(r.At(now)-500) < 10, qt.IsTrue, qt.Commentf("%v", r.At(now)))
	c.Assert(r.At(now+rateTimeConstant) < 200, qt.IsTrue)
	c.Assert(r.At(now-time.Second), qt.Equals, r.At(now), qt.Commentf("a time before the last update"))
}

// readingEngine returns an engine that reads prompts at the speed of a production
// engine.
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

// TestPromptsDoNotOverloadFastEngines simulates a burst of long prompts in a zone
// with one fast chain and several slower ones, all with enough memory. The prompt
// rates are known with a delay of up to a second, so the fast engines could be
// chosen until they get more prompts than they can read. No stage may be given
// more.
func TestPromptsDoNotOverloadFastEngines(t *testing.T) {
	const (
		perSecond   = 220
		prompt      = 760
		length      = 20 * time.Second
		reportEvery = time.Second
		step        = time.Second / perSecond
	)
	all := []*fleet.Upstream{holder("a", "a100", 0, 32), holder("a", "a100", 32, 64), holder("a", "a100", 64, 80)}
	for from := 0; from < 80; from += 16 {
		all = append(all, holder("a", "l40s", from, from+16))
		all = append(all, &fleet.Upstream{Instance: "second" + holder("a", "l40s", from, from+16).Instance, Zone: "a", Accelerator: "l40s",
			Held: fleet.Range{From: from, To: from + 16}})
	}
	m := NewLayerMap(readingEngine(), all)
	rates, reported := make(map[string]*Rate), make(map[string]float64)
	for _, u := range all {
		rates[u.Instance] = &Rate{}
	}
	// utilization is the reading time of the prompts that each stage was given, as
	// a fraction of the length of the test.
	utilization := make(map[string]float64)
	noJitter := func() float64 { return 1 }
	for now := time.Second; now < time.Second+length; now += step {
		if now%reportEvery < step {
			for instance, r := range rates {
				reported[instance] = r.At(now)
			}
		}
		q := &Query{Zone: "a", Tokens: 900, Jitter: noJitter, Load: func(u *fleet.Upstream) Load { return Load{Reading: reported[u.Instance]} }}
		chain, ok := m.Find(q)
		qt.Assert(t, ok, qt.IsTrue)
		for _, s := range chain.Stages {
			layers := float64(s.Layers.Len())
			rates[s.Upstream.Instance].Add(prompt*layers, now)
			utilization[s.Upstream.Instance] += prompt * layers / 80 * m.Engine.PrefillTimePerToken(s.Upstream.Accelerator).Seconds() / length.Seconds()
		}
	}
	for instance, use := range utilization {
		t.Logf("%s spends %.2f of its time on prompts", instance, use)
		qt.Check(t, use < 1, qt.IsTrue)
	}
}
