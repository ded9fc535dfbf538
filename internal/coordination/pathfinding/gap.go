package pathfinding

import (
	"slices"
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

// Gap describes the layers that a chain lacks after the loss of stages other
// than its first.
type Gap struct {
	Layers fleet.Range
	// PrevZone is the zone of the stage before the gap. NextZone is the zone of
	// the stage after the gap; if the gap is at the end, it is the zone of the
	// first stage, to which the last one returns its output.
	PrevZone, NextZone string
}

// GapsOf returns the gaps that a chain has after the loss of some stages, whose
// indexes are sorted. Adjacent lost stages are one gap, so that one engine may
// replace several. The first stage must not be one of them.
func GapsOf(chain []relay.Stage, lost []int) []Gap {
	var gaps []Gap
	for k, i := range lost {
		next := chain[0]
		if i+1 < len(chain) {
			next = chain[i+1]
		}
		if k > 0 && lost[k-1] == i-1 {
			last := &gaps[len(gaps)-1]
			last.Layers.To, last.NextZone = chain[i].Layers.To, next.Upstream.Zone
			continue
		}
		gaps = append(gaps, Gap{Layers: chain[i].Layers, PrevZone: chain[i-1].Upstream.Zone, NextZone: next.Upstream.Zone})
	}
	return gaps
}

// Filling is the result of a search for the stages that fill the gaps of a chain.
type Filling struct {
	// Gaps holds the stages that fill each gap.
	Gaps [][]relay.Stage
	// Fill is the largest fraction of a stage's KV memory that is reserved,
	// including the request.
	Fill float64
	// PrefillDelay is how long it takes until all of these stages have read the
	// prompt of the request: the longest backlog, and then the time of each stage.
	PrefillDelay time.Duration
}

// Stages returns the stages of all gaps.
func (f Filling) Stages() []relay.Stage { return slices.Concat(f.Gaps...) }

// FillGaps returns the cheapest stages that run the layers of the gaps of a
// chain, none of them on the same upstream. It reports false if the usable
// upstreams do not cover them or have no capacity, and for the first stage,
// which cannot be replaced.
//
// The gaps are filled one after the other. If that leaves nothing for one of
// them, it is filled first in another try: the upstreams that it needs may have
// been taken for a gap that has a choice.
func (m *LayerMap) FillGaps(q *Query, gaps []Gap) (Filling, bool) {
	f := finder{m: m, q: q}
	f.snapshot()
	order := make([]int, len(gaps))
	for i := range order {
		order[i] = i
	}
	for range gaps {
		filling, failed := f.fillInOrder(gaps, order)
		if failed < 0 {
			return filling, true
		}
		if failed == 0 {
			break
		}
		first := order[failed]
		order = slices.Insert(slices.Delete(order, failed, failed+1), 0, first)
	}
	return Filling{}, false
}

// fillInOrder fills gaps in an order of their indexes. failed is the position in
// the order of the first one that cannot be filled, or negative.
func (f *finder) fillInOrder(gaps []Gap, order []int) (out Filling, failed int) {
	free := *f
	free.loads = slices.Clone(f.loads)
	out.Gaps = make([][]relay.Stage, len(gaps))
	var longest time.Duration
	for k, i := range order {
		found, ok := free.fillGap(gaps[i])
		if !ok || found.Full {
			return Filling{}, k
		}
		for h := range f.m.Holders {
			used := func(s relay.Stage) bool { return s.Upstream == f.m.Holders[h].Upstream }
			free.loads[h].Excluded = free.loads[h].Excluded || slices.ContainsFunc(found.Stages, used)
		}
		out.Gaps[i] = found.Stages
		out.Fill = max(out.Fill, found.Fill)
		out.PrefillDelay += found.PrefillDelay - found.longestBacklog
		longest = max(longest, found.longestBacklog)
	}
	out.PrefillDelay += longest
	return out, -1
}

// fillGap returns the cheapest stages that run the layers of a gap. If they would
// use an upstream twice, the search is repeated with whole ranges, with which that
// cannot happen.
func (f finder) fillGap(g Gap) (Chain, bool) {
	m := f.m
	start, begins := slices.BinarySearch(m.bounds, g.Layers.From)
	stop, ends := slices.BinarySearch(m.bounds, g.Layers.To)
	prev, next := slices.Index(m.zones, g.PrevZone), slices.Index(m.zones, g.NextZone)
	if !begins || !ends || start == 0 || prev < 0 || next < 0 {
		return Chain{}, false
	}
	f.start, f.stop = start, stop
	for _, f.wholeRanges = range []bool{false, true} {
		nodes := m.newNodes()
		f.relax(nodes, start, prev, node{holder: -1, reached: true}, false)
		if _, found := f.solve(nodes, next); !found {
			continue
		}
		if chain, ok := f.backtrack(nodes, prev); ok {
			return chain, true
		}
	}
	return Chain{}, false
}
