package pathfinding

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestTermsSumUpToCost guards against an explanation that leaves out a part of the cost by
// which chains are chosen.
func TestTermsSumUpToCost(t *testing.T) {
	m := NewLayerMap(wholeEngine(1), []*fleet.Upstream{whole("a", "h1"), whole("b", "h2"), whole("a", "h3"), holder("a", "l4", 8, 16)})
	q := query(map[string]Load{
		"h1": {TokenLayers: 1e6, Requests: 4, Begun: 4, Backlog: time.Second, Slowdown: 2, Reading: 100},
		"h3": {TokenLayers: 1e9, Begun: 20},
	})
	q.PromptTokens, q.Jitter = 1000, func() float64 { return 7 }
	q.Cached = func(u *fleet.Upstream) Cached { return Cached{Tokens: 500, Layers: u.Held, Probability: 0.5} }
	terms := m.Explain(q)
	qt.Assert(t, terms, qt.HasLen, 4)
	for _, x := range terms {
		sum := x.Step + x.Memory + x.Overhead + x.Backlog + x.Capacity + x.Entry + x.Slots - x.Prefix
		qt.Check(t, math.Abs(sum-x.Total) <= 1e-9*x.Total, qt.IsTrue, qt.Commentf("%s: %v, total %v", x.Upstream.Instance, sum, x.Total))
		qt.Check(t, x.Prefix > 0, qt.IsTrue)
		qt.Check(t, x.MayBeFirst, qt.Equals, x.Upstream.Held.From == 0)
	}
	qt.Check(t, terms[1].Entry, qt.Equals, remoteEntryCost)
	qt.Check(t, terms[2].Capacity > 0 && terms[2].Slots > noCapacityCost, qt.IsTrue)
	// The chain is the one with the lowest total.
	chain, ok := m.Find(&Query{Zone: "a", Tokens: q.Tokens, PromptTokens: 1000, Load: q.Load, Cached: q.Cached})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, chain.Stages, qt.HasLen, 1)
	best := terms[0]
	for _, x := range terms[:3] {
		if x.Total < best.Total {
			best = x
		}
	}
	qt.Check(t, chain.Stages[0].Upstream, qt.Equals, best.Upstream)
}
