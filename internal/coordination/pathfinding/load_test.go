package pathfinding

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestZonesKeepToTheirOwn replays a rush on a large site: each zone holds the
// model with room for its own requests, one of them on the fastest engines.
// Gateways know what others have under way as of a second ago. Those of the other
// zones must not crowd the fast engines.
func TestZonesKeepToTheirOwn(t *testing.T) {
	var all []*fleet.Upstream
	for _, zone := range []string{"a", "b"} {
		for from := 0; from < 80; from += 16 {
			all = append(all, holder(zone, "l40s", from, from+16))
		}
	}
	fast := []*fleet.Upstream{holder("c", "a100", 0, 32), holder("c", "a100", 32, 64), holder("c", "a100", 64, 80)}
	m := NewLayerMap(testEngine(), append(all, fast...))
	const (
		step     = 30 * time.Millisecond
		lasts    = 2 * time.Second
		known    = time.Second
		requests = 3000
		tokens   = 200
	)
	type running struct {
		chain Chain
		end   time.Duration
	}
	random := rand.New(rand.NewPCG(1, 2))
	// carried is what is under way, told what of it the gateways know.
	carried, told := make(map[string]Load), make(map[string]Load)
	var open []running
	away, total := 0, 0
	for at := time.Duration(0); total < requests; at += step {
		for len(open) > 0 && open[0].end <= at {
			for _, s := range open[0].chain.Stages {
				l := carried[s.Upstream.Instance]
				l.Requests--
				l.TokenLayers -= tokens * float64(s.Layers.Len())
				carried[s.Upstream.Instance] = l
			}
			open = open[1:]
		}
		if at%known == 0 {
			for instance, l := range carried {
				told[instance] = l
			}
		}
		for _, zone := range []string{"a", "b", "c"} {
			total++
			q := &Query{Zone: zone, Tokens: tokens, Load: func(u *fleet.Upstream) Load { return told[u.Instance] },
				Jitter: func() float64 { return 1 + 0.15*(random.Float64()-0.5) }}
			chain, ok := m.Find(q)
			qt.Assert(t, ok, qt.IsTrue)
			if zone != "c" && chain.Stages[0].Upstream.Zone == "c" {
				away++
			}
			for _, s := range chain.Stages {
				l := carried[s.Upstream.Instance]
				l.Requests++
				l.TokenLayers += tokens * float64(s.Layers.Len())
				carried[s.Upstream.Instance] = l
			}
			open = append(open, running{chain, at + lasts})
		}
	}
	t.Logf("%d of %d left their zone", away, total*2/3)
	qt.Check(t, away < total/10, qt.IsTrue)
}
