package pathfinding

import (
	"slices"

	"lovageport.example/internal/state/fleet"
)

// Gap is what a chain lacks that has lost a stage other than the first.
type Gap struct {
	Layers fleet.Range
	// PrevZone is the zone of the stage before the gap, and NextZone that of the one
	// behind it, or of the first stage if there is none.
	PrevZone, NextZone string
}

// FillGap returns the cheapest stages for a gap. It says false if no upstreams in
// use cover its layers.
func (m *LayerMap) FillGap(q *Query, g Gap) (Chain, bool) {
	start, begins := slices.BinarySearch(m.bounds, g.Layers.From)
	stop, ends := slices.BinarySearch(m.bounds, g.Layers.To)
	before, after := slices.Index(m.zones, g.PrevZone), slices.Index(m.zones, g.NextZone)
	if !begins || !ends || start == 0 || before < 0 || after < 0 {
		return Chain{}, false
	}
	f := finder{m: m, q: q, start: start, stop: stop}
	f.weigh()
	nodes := m.newNodes()
	f.relax(nodes, start, before, node{holder: -1, reached: true}, false)
	if _, found := f.search(nodes, after); !found {
		return Chain{}, false
	}
	return f.trace(nodes, before)
}
