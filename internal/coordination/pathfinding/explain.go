package pathfinding

import "lovageport.example/internal/state/fleet"

// Terms are the parts of the cost of a holder as a stage that runs all its layers, in
// milliseconds per token. The transfers between stages are left out.
type Terms struct {
	Upstream *fleet.Upstream
	// Load is the load that the terms follow from, Fill the fraction of the memory that
	// is reserved with the request.
	Load Load
	Fill float64
	// Cached is what the holder probably caches of the prompt.
	Cached Cached
	// Step is the time of a token, Memory what the fill level adds to it, Overhead that
	// of each stage, Backlog the wait for earlier prompts, and Capacity is added if the
	// memory does not suffice.
	Step, Memory, Overhead, Backlog, Capacity float64
	// MayBeFirst reports whether the holder can be the first stage; Entry and Slots are
	// then added for the way to it and its slots.
	MayBeFirst   bool
	Entry, Slots float64
	// Prefix is subtracted for what the holder probably caches.
	Prefix float64
	// Total is the sum.
	Total float64
}

// Explain returns the terms of all holders as [LayerMap.Find] would weigh them for the
// query, apart from its jitter.
func (m *LayerMap) Explain(q *Query) []Terms {
	plain := *q
	plain.Jitter = nil
	f := finder{m: m, q: &plain, stop: len(m.bounds) - 1}
	f.snapshot()
	out := make([]Terms, 0, len(m.Holders))
	for h := range m.Holders {
		out = append(out, f.terms(h))
	}
	return out
}

// terms returns the terms of a holder.
func (f *finder) terms(h int) Terms {
	u := f.m.Holders[h].Upstream
	layers := u.Held.Len()
	fill := f.fill(h, layers)
	t := Terms{Upstream: u, Load: f.loads[h], Fill: fill, Step: f.stepTime(h, layers), Overhead: stageOverhead, Backlog: f.backlogCost(&f.loads[h])}
	t.Memory = t.Step * memoryWeight * fill * fill * fill * fill
	if fill > overcommitLimit {
		t.Capacity = noCapacityCost * fill
	}
	t.Total = f.stageCost(h, layers)
	if t.MayBeFirst = u.Held.From == 0 && f.mayBeFirst(h); t.MayBeFirst {
		t.Entry, t.Slots = f.entryCost(f.m.zoneOf[h]), f.firstStageCost(h)
		t.Total += t.Entry + t.Slots
	}
	if f.cached != nil {
		t.Cached = f.cached[h]
		t.Prefix = f.prefixDiscount(h, u.Held)
		t.Total -= t.Prefix
	}
	return t
}
