package placement

import (
	"cmp"
	"slices"

	"lovageport.example/internal/state/fleet"
)

// Weights of a plan's score, relative to the value of a second holder for one
// unit, which is 1.
const (
	// moveCost is what the move of an engine must gain per unit that the engine
	// holds: it first lets generations on them end, and then serves nothing while
	// it loads.
	moveCost = 1.2
	// unitLoadCost is added to the cost of a move for each unit to load.
	unitLoadCost = 0.35
	// secondHolderValue is the value of a second engine for a unit. If one of the
	// two is lost, the zone still holds the unit.
	secondHolderValue = 1.0
	// latencyWeight is the cost of each millisecond per token under load: answers
	// that end sooner occupy their memory for less time and meet fewer faults.
	latencyWeight = 0.3
	// targetRequests is the number of mean requests that a unit should have
	// memory for.
	targetRequests = 100
	// scarcityWeight is the cost of a unit with memory for just targetRequests
	// requests.
	scarcityWeight = 1.5
	// uncoveredValue is the value of a unit that no engine holds.
	uncoveredValue = -20.0
)

// maxRounds bounds the rounds that improve a plan; each round visits every
// engine.
const maxRounds = 12

// span is a sequence of consecutive units; it is empty if count is 0.
type span struct{ first, count int }

// member is an engine of a group.
type member struct {
	upstream *fleet.Upstream
	// maxUnits is how many units it may hold.
	maxUnits int
	// freeTokens[n] is the KV memory beside n units, in tokens.
	freeTokens []float64
	// unitMS is the milliseconds of one unit for one token.
	unitMS float64
	// held is what it holds now, or empty if that is not made of whole units.
	held span
}

// planner improves the plan of one group by local search.
type planner struct {
	units   int
	members []member
	spans   []span
	// freeTokens and holders are the KV memory and the number of holders of each
	// unit.
	freeTokens []float64
	holders    []int
	// anyHeld is set if a member holds layers already.
	anyHeld bool
	// targetTokens is the KV cache of targetRequests mean requests, in tokens.
	targetTokens float64
	latency      latencyModel
}

func newPlanner(e *fleet.Engine, group []*fleet.Upstream, unit int) *planner {
	p := &planner{units: e.Layers / unit}
	p.freeTokens = make([]float64, p.units)
	p.holders = make([]int, p.units)
	p.targetTokens = targetRequests * (e.MeanPrompt + e.MeanAnswer)
	memory := 0.0
	slices.SortFunc(group, placementOrder(e))
	for _, u := range group {
		m := member{upstream: u, maxUnits: min(p.units, maxLayers(e, u)/unit), held: heldSpan(u, unit)}
		if m.maxUnits == 0 {
			continue
		}
		m.unitMS = e.Accelerators[u.Accelerator].Pace * e.Step.Seconds() * 1e3 / float64(p.units)
		if m.held.count > m.maxUnits {
			m.held = span{}
		}
		m.freeTokens = make([]float64, m.maxUnits+1)
		for n := 1; n <= m.maxUnits; n++ {
			m.freeTokens[n] = e.KVCacheTokens(u.Accelerator, n*unit)
		}
		p.anyHeld = p.anyHeld || m.held.count > 0
		memory += e.Accelerators[u.Accelerator].MemoryMB
		p.members = append(p.members, m)
		p.spans = append(p.spans, span{})
		p.assign(len(p.members)-1, m.held)
	}
	p.latency = newLatencyModel(p.units, len(p.members), e.MaxKVCacheTokens(memory))
	return p
}

// placementOrder returns a comparison that sorts engines by the order in which
// they choose their layers. Engines that hold nothing come first, large before
// small, since they cost nothing to place. Those that hold layers follow, small
// before large, since small ones cost less to move.
func placementOrder(e *fleet.Engine) func(a, b *fleet.Upstream) int {
	return func(a, b *fleet.Upstream) int {
		holding := cmp.Compare(min(a.Held.Len(), 1), min(b.Held.Len(), 1))
		size := cmp.Compare(maxLayers(e, b), maxLayers(e, a))
		if a.Held.Len() > 0 {
			size = -size
		}
		return cmp.Or(holding, size, cmp.Compare(a.Instance, b.Instance))
	}
}

// heldSpan returns the units that an engine holds, or an empty span if its range
// is not made of whole units.
func heldSpan(u *fleet.Upstream, unit int) span {
	if u.Held.Len() <= 0 || u.Held.From%unit != 0 || u.Held.To%unit != 0 {
		return span{}
	}
	return span{u.Held.From / unit, u.Held.Len() / unit}
}

// assign replaces the span of member i.
func (p *planner) assign(i int, s span) {
	p.addSpan(i, p.spans[i], -1)
	p.addSpan(i, s, 1)
	p.spans[i] = s
}

// addSpan adds member i to the holders and the memory of a span's units, or removes
// it if sign is -1.
func (p *planner) addSpan(i int, s span, sign int) {
	for u := s.first; u < s.first+s.count; u++ {
		p.holders[u] += sign
		p.freeTokens[u] += float64(sign) * p.members[i].freeTokens[s.count]
	}
}

// score returns how good the plan is; higher is better.
func (p *planner) score() float64 { return p.unitsScore() - p.latencyCost() }

// unitsScore returns the part of the score that each unit has by itself.
func (p *planner) unitsScore() float64 {
	total := 0.0
	for u := range p.units {
		total += p.unitScore(p.freeTokens[u], p.holders[u])
	}
	return total
}

// latencyCost returns the cost of the mean time of a token. It is not negative.
func (p *planner) latencyCost() float64 {
	return latencyWeight * p.latency.meanTokenMS(p.members, p.spans)
}

// unitScore returns the score of a unit. It falls steeply if there is memory for
// few requests, and hardly rises if there is plenty.
func (p *planner) unitScore(freeTokens float64, holders int) float64 {
	if holders == 0 {
		return uncoveredValue
	}
	score := -scarcityWeight * p.targetTokens / max(freeTokens, 1)
	if holders > 1 {
		score += secondHolderValue
	}
	return max(score, uncoveredValue/2)
}

// rotate moves the first n members to the end, so that they choose last. No
// member may have a span yet.
func (p *planner) rotate(n int) {
	p.members = append(p.members[n:len(p.members):len(p.members)], p.members[:n]...)
}

// improve assigns each member in turn the span with the best score, until no
// change improves the plan or maxRounds is reached.
func (p *planner) improve() {
	for range maxRounds {
		changed := false
		for i := range p.members {
			changed = p.improveMember(i) || changed
		}
		if !changed {
			return
		}
	}
}

// improveMember assigns member i its best span, and reports whether that is a
// change.
func (p *planner) improveMember(i int) bool {
	old := p.spans[i]
	best, bestScore := old, p.score()+p.moveScore(i, old)
	for count := 1; count <= p.members[i].maxUnits; count++ {
		for first := 0; first+count <= p.units; first++ {
			s := span{first, count}
			p.assign(i, s)
			bound := p.unitsScore() + p.moveScore(i, s)
			if bound <= bestScore {
				// The latency is expensive to compute and only lowers the score.
				continue
			}
			if score := bound - p.latencyCost(); score > bestScore+1e-9 {
				best, bestScore = s, score
			}
		}
	}
	p.assign(i, best)
	return best != old
}

// moveScore returns the part of the score that depends on what member i holds
// now: a bonus if it keeps its span, a cost for the units that it has to load
// otherwise, and 0 if it holds nothing.
func (p *planner) moveScore(i int, s span) float64 {
	held := p.members[i].held
	switch {
	case held.count == 0:
		return 0
	case s == held:
		return moveCost * float64(held.count)
	}
	return -unitLoadCost * float64(s.count)
}
