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

// engines returns engines of a zone that hold no layers; a100, l40s and l4 are
// the numbers of each accelerator.
func engines(zone string, a100, l40s, l4 int) []*fleet.Upstream {
	var out []*fleet.Upstream
	add := func(accelerator string, n int) {
		for i := range n {
			out = append(out, &fleet.Upstream{Instance: fmt.Sprintf("%s-%s-%d", zone, accelerator, i), Zone: zone, Accelerator: accelerator})
		}
	}
	add("a100", a100)
	add("l40s", l40s)
	add("l4", l4)
	return out
}

// threeZones returns the engines of a site with three zones, each with enough
// memory for the whole model.
func threeZones() []*fleet.Upstream {
	return append(append(engines("wien", 1, 3, 8), engines("graz", 1, 6, 5)...), engines("linz", 2, 2, 5)...)
}

// applyPlan returns copies of the engines that hold the layers of a plan.
func applyPlan(upstreams []*fleet.Upstream, plan map[string]fleet.Range) []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, u := range upstreams {
		placed := *u
		placed.Held = plan[u.Instance]
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

// coveredZones reports for each zone whether its engines hold all layers.
func coveredZones(upstreams []*fleet.Upstream, layers int) map[string]bool {
	covered := make(map[string]bool)
	for _, zone := range []string{"wien", "graz", "linz"} {
		covered[zone] = true
		for _, n := range holders(upstreams, zone, layers) {
			covered[zone] = covered[zone] && n > 0
		}
	}
	return covered
}

func TestEachZoneHoldsWholeModel(t *testing.T) {
	c := qt.New(t)
	e := testEngine()
	placed := applyPlan(threeZones(), Plan(e, threeZones(), allZones))
	c.Assert(coveredZones(placed, e.Layers), qt.DeepEquals, map[string]bool{"wien": true, "graz": true, "linz": true})
	doubled := 0
	for _, n := range holders(placed, "graz", e.Layers) {
		if n > 1 {
			doubled++
		}
	}
	c.Assert(doubled, qt.Equals, e.Layers, qt.Commentf("a zone with memory for two copies must hold two"))
}

func TestSmallZonesShareModel(t *testing.T) {
	c := qt.New(t)
	e := testEngine()
	upstreams := append(engines("wien", 1, 1, 0), engines("graz", 0, 2, 1)...)
	placed := applyPlan(upstreams, Plan(e, upstreams, allZones))
	covered := holders(placed, "wien", e.Layers)
	for l, n := range holders(placed, "graz", e.Layers) {
		c.Assert(covered[l]+n > 0, qt.IsTrue, qt.Commentf("layer %d", l))
	}
}

func TestPlanIsStable(t *testing.T) {
	e := testEngine()
	plan := Plan(e, threeZones(), allZones)
	placed := applyPlan(threeZones(), plan)
	qt.Assert(t, Plan(e, placed, allZones), qt.DeepEquals, plan)
}

// TestLostEngineIsReplacedWithFewLoads removes each engine in turn. The plan must
// cover its zone again, and must not load more layers than the loss left without
// a holder in the zone.
func TestLostEngineIsReplacedWithFewLoads(t *testing.T) {
	e := testEngine()
	placed := applyPlan(threeZones(), Plan(e, threeZones(), allZones))
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
			plan := Plan(e, left, allZones)
			loaded := 0
			for _, u := range left {
				if plan[u.Instance] != u.Held {
					loaded += plan[u.Instance].Len()
				}
			}
			c.Check(loaded <= lacking, qt.IsTrue, qt.Commentf("%d layers loaded, %d without holder", loaded, lacking))
			covered := coveredZones(applyPlan(left, plan), e.Layers)
			c.Check(covered[lost.Zone], qt.IsTrue)
		})
	}
}

// TestReplacementEngineMovesNoOther replaces each engine in turn by a new one that
// holds no layers. All other engines must keep theirs.
func TestReplacementEngineMovesNoOther(t *testing.T) {
	e := testEngine()
	placed := applyPlan(threeZones(), Plan(e, threeZones(), allZones))
	for i, lost := range placed {
		empty := *lost
		empty.Instance = "new"
		empty.Held = fleet.Range{}
		now := append(append(append([]*fleet.Upstream(nil), placed[:i]...), placed[i+1:]...), &empty)
		plan := Plan(e, now, allZones)
		for _, u := range now {
			if u.Instance != "new" && plan[u.Instance] != u.Held {
				t.Errorf("after the replacement of %s, %s moves from %v to %v", lost.Instance, u.Instance, u.Held, plan[u.Instance])
			}
		}
	}
}

// TestPlanFitsMemory checks, for random engines, that no engine is given more
// layers than fit into its memory.
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
		plan := Plan(e, upstreams, allZones)
		for _, u := range upstreams {
			r, ok := plan[u.Instance]
			if !ok {
				continue
			}
			if r.From < 0 || r.To > e.Layers || float64(r.Len())*e.LayerMB > e.Accelerators[u.Accelerator].MemoryMB {
				t.Fatalf("engine %s with accelerator %s is to hold %v", u.Instance, u.Accelerator, r)
			}
		}
	})
}

var allZones = []string{"wien", "graz", "linz"}
