package pathfinding

import (
	"slices"

	"lovageport.example/internal/state/fleet"
)

// Gap describes the layers that a chain lacks after the loss of a stage other
// than its first.
type Gap struct {
	Layers fleet.Range
	// PrevZone is the zone of the stage before the gap. NextZone is the zone of
	// the stage after the gap; if the gap is at the end, it is the zone of the
	// first stage, to which the last one returns its output.
	PrevZone, NextZone string
}

// FillGap returns the cheapest stages that run the layers of a gap. It reports
// false if the usable upstreams do not cover them, and for the first stage,
// which cannot be replaced.
func (m *LayerMap) FillGap(q *Query, g Gap) (Chain, bool) {
	start, begins := slices.BinarySearch(m.bounds, g.Layers.From)
	stop, ends := slices.BinarySearch(m.bounds, g.Layers.To)
	prev, next := slices.Index(m.zones, g.PrevZone), slices.Index(m.zones, g.NextZone)
	if !begins || !ends || start == 0 || prev < 0 || next < 0 {
		return Chain{}, false
	}
	f := finder{m: m, q: q, start: start, stop: stop}
	f.snapshot()
	nodes := m.newNodes()
	f.relax(nodes, start, prev, node{holder: -1, reached: true}, false)
	if _, found := f.solve(nodes, next); !found {
		return Chain{}, false
	}
	return f.backtrack(nodes, prev)
}
