package placement

import (
	"reflect"
	"slices"

	"lovageport.example/internal/state/fleet"
)

// minKVShare is the least fraction of an accelerator's memory that a plan leaves
// for KV cache.
const minKVShare = 0.2

// maxRotations bounds the number of engine orders from which a first plan is
// computed.
const maxRotations = 8

// Plan returns the layers that each engine should hold, by instance. Engines that
// cannot hold a unit are left out, and so are those of zones that share no copy
// of the model with any of the given zones.
func Plan(e *fleet.Engine, upstreams []*fleet.Upstream, zones []string) map[string]fleet.Range {
	unit := unitSize(e, upstreams)
	if unit == 0 {
		return nil
	}
	target := make(map[string]fleet.Range)
	for _, group := range groups(e, upstreams, unit) {
		if !slices.ContainsFunc(group, func(u *fleet.Upstream) bool { return slices.Contains(zones, u.Zone) }) {
			continue
		}
		p := planGroup(e, group, unit)
		for i, m := range p.members {
			if p.spans[i].count > 0 {
				target[m.upstream.Instance] = fleet.Range{From: p.spans[i].first * unit, To: (p.spans[i].first + p.spans[i].count) * unit}
			}
		}
	}
	return target
}

// PlanCache holds the last plan of a service, and computes another one only if
// its input has changed. The zero value is empty. It is not safe for concurrent
// use.
type PlanCache struct {
	engine    *fleet.Engine
	upstreams []*fleet.Upstream
	zones     []string
	target    map[string]fleet.Range
}

// Get returns the plan that [Plan] computes for the arguments. The caller must
// not modify them or the plan afterwards.
func (c *PlanCache) Get(e *fleet.Engine, upstreams []*fleet.Upstream, zones []string) map[string]fleet.Range {
	if c.target != nil && reflect.DeepEqual(c.engine, e) && slices.Equal(c.zones, zones) && slices.EqualFunc(c.upstreams, upstreams, equalForPlan) {
		return c.target
	}
	c.engine, c.upstreams, c.zones = e, upstreams, zones
	c.target = Plan(e, upstreams, zones)
	return c.target
}

// equalForPlan reports whether two engines agree in all that a plan depends on.
func equalForPlan(a, b *fleet.Upstream) bool {
	return a.Instance == b.Instance && a.Zone == b.Zone && a.Accelerator == b.Accelerator && a.Held == b.Held
}

// planGroup returns the improved plan of a group. If no engine holds layers yet
// it tries several orders of the engines, since each search may end in a local
// optimum.
func planGroup(e *fleet.Engine, group []*fleet.Upstream, unit int) *planner {
	best := newPlanner(e, group, unit)
	best.improve()
	if best.anyHeld {
		return best
	}
	for n := 1; n < min(maxRotations, len(best.members)); n++ {
		p := newPlanner(e, group, unit)
		p.rotate(n)
		p.improve()
		if p.score() > best.score() {
			best = p
		}
	}
	return best
}

// unitSize returns the number of layers in a unit: the largest divisor of the
// model's layers that every engine able to hold a layer can hold. It is 0 if
// there is none.
func unitSize(e *fleet.Engine, upstreams []*fleet.Upstream) int {
	least := 0
	for _, u := range upstreams {
		if n := maxLayers(e, u); n > 0 && (least == 0 || n < least) {
			least = n
		}
	}
	for size := least; size > 0; size-- {
		if e.Layers%size == 0 {
			return size
		}
	}
	return 0
}

// maxLayers returns how many layers an engine may hold so that minKVShare of its
// memory is left.
func maxLayers(e *fleet.Engine, u *fleet.Upstream) int {
	if e.LayerMB <= 0 {
		return 0
	}
	return min(e.Layers, int(e.Accelerators[u.Accelerator].MemoryMB*(1-minKVShare)/e.LayerMB))
}

// groups divides the engines into groups that each hold a copy of the model: one
// for each zone with enough memory, and one for all other zones together.
func groups(e *fleet.Engine, upstreams []*fleet.Upstream, unit int) [][]*fleet.Upstream {
	zones := make(map[string][]*fleet.Upstream)
	for _, u := range upstreams {
		zones[u.Zone] = append(zones[u.Zone], u)
	}
	var out [][]*fleet.Upstream
	var rest []*fleet.Upstream
	for _, group := range zones {
		units := 0
		for _, u := range group {
			units += maxLayers(e, u) / unit
		}
		if units*unit >= e.Layers {
			out = append(out, group)
			continue
		}
		rest = append(rest, group...)
	}
	if len(rest) > 0 {
		out = append(out, rest)
	}
	return out
}
