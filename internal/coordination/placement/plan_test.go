package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/state/fleet"
)

func testEngine() *fleet.Engine {
	return &fleet.Engine{
		Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, MeanPrompt: 774, MeanAnswer: 200, Step: 1020 * time.Microsecond,
		Accelerators: map[string]fleet.Accelerator{
			"a100": {MemoryMB: 72000, Pace: 2.4, ReadFactor: 3.2},
			"l40s": {MemoryMB: 43200, Pace: 5.6, ReadFactor: 2.7},
			"l4":   {MemoryMB: 21600, Pace: 16, ReadFactor: 8.2},
		},
	}
}

// engines returns the engines of a zone that hold nothing.
func engines(zone string, a100, l40s, l4 int) []*fleet.Upstream {
	var out []*fleet.Upstream
	add := func(kind string, n int) {
		for i := range n {
			out = append(out, &fleet.Upstream{Instance: fmt.Sprintf("%s-%s-%d", zone, kind, i), Zone: zone, Accelerator: kind})
		}
	}
	add("a100", a100)
	add("l40s", l40s)
	add("l4", l4)
	return out
}

// blutenring returns the engines of a site with three zones.
func bluetenring() []*fleet.Upstream {
	return append(append(engines("wien", 1, 3, 8), engines("graz", 1, 6, 5)...), engines("linz", 2, 2, 5)...)
}

// carryOut returns the engines as a plan would have them.
func carryOut(upstreams []*fleet.Upstream, goal map[string]fleet.Range) []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, u := range upstreams {
		placed := *u
		placed.Held = goal[u.Instance]
		out = append(out, &placed)
	}
	return out
}

// holders returns how many engines of a zone hold each layer.
func holders(upstreams []*fleet.Upstream, zone string, layers int) []int {
	counts := make([]int, layers)
	for _, u := range upstreams {
		if u.Zone != zone {
			continue
		}
		for l := u.Held.From; l < u.Held.To; l++ {
			counts[l]++
		}
	}
	return counts
}

func wholeZones(upstreams []*fleet.Upstream, layers int) map[string]bool {
	whole := make(map[string]bool)
	for _, zone := range []string{"wien", "graz", "linz"} {
		whole[zone] = true
		for _, n := range holders(upstreams, zone, layers) {
			whole[zone] = whole[zone] && n > 0
		}
	}
	return whole
}

func TestEachZoneHoldsAWholeModel(t *testing.T) {
	c := qt.New(t)
	e := testEngine()
	placed := carryOut(bluetenring(), Plan(e, bluetenring(), everywhere))
	c.Assert(wholeZones(placed, e.Layers), qt.DeepEquals, map[string]bool{"wien": true, "graz": true, "linz": true})
	doubled := 0
	for _, n := range holders(placed, "graz", e.Layers) {
		if n > 1 {
			doubled++
		}
	}
	c.Assert(doubled, qt.Equals, e.Layers, qt.Commentf("a zone with room for two copies has two"))
}

func TestSmallZonesShareAModel(t *testing.T) {
	c := qt.New(t)
	e := testEngine()
	upstreams := append(engines("wien", 1, 1, 0), engines("graz", 0, 2, 1)...)
	placed := carryOut(upstreams, Plan(e, upstreams, everywhere))
	covered := holders(placed, "wien", e.Layers)
	for l, n := range holders(placed, "graz", e.Layers) {
		c.Assert(covered[l]+n > 0, qt.IsTrue, qt.Commentf("layer %d", l))
	}
}

func TestPlanStaysWhenNothingChanges(t *testing.T) {
	e := testEngine()
	goal := Plan(e, bluetenring(), everywhere)
	placed := carryOut(bluetenring(), goal)
	qt.Assert(t, Plan(e, placed, everywhere), qt.DeepEquals, goal)
}

// TestLossIsMendedByWhatLacks loses each engine in turn: the zone is whole
// again, and no more layers are loaded than nobody in the zone held any more.
func TestLossIsMendedByWhatLacks(t *testing.T) {
	e := testEngine()
	placed := carryOut(bluetenring(), Plan(e, bluetenring(), everywhere))
	for i, lost := range placed {
		t.Run(lost.Instance, func(t *testing.T) {
			c := qt.New(t)
			var left []*fleet.Upstream
			left = append(append(left, placed[:i]...), placed[i+1:]...)
			lacking := 0
			for _, n := range holders(left, lost.Zone, e.Layers) {
				if n == 0 {
					lacking++
				}
			}
			goal := Plan(e, left, everywhere)
			loaded := 0
			for _, u := range left {
				if goal[u.Instance] != u.Held {
					loaded += goal[u.Instance].Len()
				}
			}
			c.Check(loaded <= lacking, qt.IsTrue, qt.Commentf("%d layers loaded for %d that lack", loaded, lacking))
			whole := wholeZones(carryOut(left, goal), e.Layers)
			c.Check(whole[lost.Zone], qt.IsTrue)
		})
	}
}

// TestNewEngineTakesThePlaceOfALostOne replaces each engine by an empty one:
// nobody else moves.
func TestNewEngineTakesThePlaceOfALostOne(t *testing.T) {
	e := testEngine()
	placed := carryOut(bluetenring(), Plan(e, bluetenring(), everywhere))
	for i, lost := range placed {
		empty := *lost
		empty.Instance = "new"
		empty.Held = fleet.Range{}
		now := append(append(append([]*fleet.Upstream(nil), placed[:i]...), placed[i+1:]...), &empty)
		goal := Plan(e, now, everywhere)
		for _, u := range now {
			if u.Instance != "new" && goal[u.Instance] != u.Held {
				t.Errorf("%s lost: %s moves from %v to %v", lost.Instance, u.Instance, u.Held, goal[u.Instance])
			}
		}
	}
}

// TestPlanFitsMemory holds that no engine is ever given more layers than its
// memory takes, beside some room for requests.
func TestPlanFitsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := testEngine()
		var upstreams []*fleet.Upstream
		for i := range rapid.IntRange(1, 20).Draw(t, "engines") {
			from := rapid.IntRange(0, 79).Draw(t, "from")
			upstreams = append(upstreams, &fleet.Upstream{
				Instance:    fmt.Sprint(i),
				Zone:        rapid.SampledFrom([]string{"wien", "graz"}).Draw(t, "zone"),
				Accelerator: rapid.SampledFrom([]string{"a100", "l40s", "l4", "unheard-of"}).Draw(t, "kind"),
				Held:        fleet.Range{From: from, To: rapid.IntRange(from, 80).Draw(t, "to")},
			})
		}
		goal := Plan(e, upstreams, everywhere)
		for _, u := range upstreams {
			r, ok := goal[u.Instance]
			if !ok {
				continue
			}
			if r.From < 0 || r.To > e.Layers || float64(r.Len())*e.LayerMB > e.Accelerators[u.Accelerator].MemoryMB {
				t.Fatalf("%s %s is to hold %v", u.Instance, u.Accelerator, r)
			}
		}
	})
}

// everywhere are all zones.
var everywhere = []string{"wien", "graz", "linz"}
