package pathfinding

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestZonesDoNotCrowdFastEngines simulates a burst of requests on a large site.
// Each of three zones holds the whole model with room for its own requests, and
// zone c has the fastest engines. The gateways know the load with a delay of up
// to a second, so without the cost of entering another zone those of zones a and
// b would overload the engines of zone c.
func TestZonesDoNotCrowdFastEngines(t *testing.T) {
	var all []*fleet.Upstream
	for _, zone := range []string{"a", "b"} {
		for from := 0; from < 80; from += 16 {
			all = append(all, holder(zone, "l40s", from, from+16))
		}
	}
	fast := []*fleet.Upstream{holder("c", "a100", 0, 32), holder("c", "a100", 32, 64), holder("c", "a100", 64, 80)}
	m := NewLayerMap(testEngine(), append(all, fast...))
	const (
		step        = 30 * time.Millisecond
		duration    = 2 * time.Second
		reportEvery = time.Second
		requests    = 3000
		tokens      = 200
	)
	type running struct {
		chain Chain
		end   time.Duration
	}
	random := rand.New(rand.NewPCG(1, 2))
	// actual is the current load, and reported the load that the gateways know.
	actual, reported := make(map[string]Load), make(map[string]Load)
	var open []running
	left, total := 0, 0
	for at := time.Duration(0); total < requests; at += step {
		for len(open) > 0 && open[0].end <= at {
			for _, s := range open[0].chain.Stages {
				l := actual[s.Upstream.Instance]
				l.Requests--
				l.TokenLayers -= tokens * float64(s.Layers.Len())
				actual[s.Upstream.Instance] = l
			}
			open = open[1:]
		}
		if at%reportEvery == 0 {
			for instance, l := range actual {
				reported[instance] = l
			}
		}
		for _, zone := range []string{"a", "b", "c"} {
			total++
			q := &Query{Zone: zone, Tokens: tokens, Load: func(u *fleet.Upstream) Load { return reported[u.Instance] },
				Jitter: func() float64 { return 1 + 0.15*(random.Float64()-0.5) }}
			chain, ok := m.Find(q)
			qt.Assert(t, ok, qt.IsTrue)
			if zone != "c" && chain.Stages[0].Upstream.Zone == "c" {
				left++
			}
			for _, s := range chain.Stages {
				l := actual[s.Upstream.Instance]
				l.Requests++
				l.TokenLayers += tokens * float64(s.Layers.Len())
				actual[s.Upstream.Instance] = l
			}
			open = append(open, running{chain, at + duration})
		}
	}
	t.Logf("%d of %d requests left their zone", left, total*2/3)
	qt.Check(t, left < total/10, qt.IsTrue)
}
