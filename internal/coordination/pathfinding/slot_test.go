package pathfinding

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestFirstStagesStayWithinTheirSlots simulates a steady load on a zone with one
// fast first stage and several slow ones, all with enough memory. The numbers of
// running requests are known with a delay of up to a second. If a first stage is
// given more requests than it has slots, the rest wait there for one to end.
func TestFirstStagesStayWithinTheirSlots(t *testing.T) {
	const (
		perSecond   = 100
		duration    = 3 * time.Second
		length      = 30 * time.Second
		reportEvery = time.Second
		step        = time.Second / perSecond
		slots       = 192
	)
	all := []*fleet.Upstream{holder("a", "l40s", 0, 8), holder("a", "a100", 8, 40), holder("a", "a100", 40, 72), holder("a", "l40s", 72, 80)}
	for i := range 3 {
		u := holder("a", "l4", 0, 8)
		u.Instance = fmt.Sprint(u.Instance, "-", i)
		all = append(all, u)
	}
	for _, u := range all {
		u.Slots = slots
	}
	m := NewLayerMap(testEngine(), all)
	begun, reported, most := make(map[string]float64), make(map[string]float64), make(map[string]float64)
	type running struct {
		first string
		end   time.Duration
	}
	var open []running
	for now := time.Second; now < time.Second+length; now += step {
		for len(open) > 0 && open[0].end <= now {
			begun[open[0].first]--
			open = open[1:]
		}
		if now%reportEvery < step {
			for instance, n := range begun {
				reported[instance] = n
			}
		}
		q := &Query{Zone: "a", Tokens: 1, Load: func(u *fleet.Upstream) Load { return Load{Begun: reported[u.Instance]} }}
		chain, ok := m.Find(q)
		qt.Assert(t, ok, qt.IsTrue)
		first := chain.Stages[0].Upstream.Instance
		begun[first]++
		most[first] = max(most[first], begun[first])
		open = append(open, running{first, now + duration})
	}
	t.Logf("largest number of concurrent requests: %v", most)
	for instance, n := range most {
		qt.Check(t, n <= slots, qt.IsTrue, qt.Commentf("%s had %v", instance, n))
	}
}

// TestChainIsFullWithoutSlot checks that a chain whose first stage has no free
// slot is marked as full.
func TestChainIsFullWithoutSlot(t *testing.T) {
	c := qt.New(t)
	first, rest := holder("a", "a100", 0, 32), []*fleet.Upstream{holder("a", "a100", 32, 64), holder("a", "a100", 64, 80)}
	first.Slots = 2
	m := NewLayerMap(testEngine(), append(rest, first))
	for begun, full := range []bool{false, false, true} {
		chain, ok := m.Find(query(map[string]Load{first.Instance: {Begun: float64(begun)}}))
		c.Assert(ok, qt.IsTrue)
		c.Assert(chain.Full, qt.Equals, full, qt.Commentf("%d slots taken", begun))
	}
}
