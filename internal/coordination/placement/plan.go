package placement

import (
	"cmp"
	"slices"

	"lovageport.example/internal/state/fleet"
)

// Weights of a plan. One is about what it is worth that a unit has a second
// holder.
const (
	// moveCost is what moving an engine must gain for each unit that it holds,
	// since it first ends what passes through them and then serves nothing
	// while it loads, and unitMoveCost is added for each unit that it loads.
	moveCost     = 1.2
	unitMoveCost = 0.35
	// secondHolder is what a second engine for a unit is worth: a loss then
	// leaves the unit in its zone.
	secondHolder = 1.0
	// stepWeight is what a millisecond less for each token under load is worth:
	// answers that end sooner need their memory for less long and meet fewer
	// faults.
	stepWeight = 0.3
	// crowdRequests is how many usual requests a unit should have room for.
	crowdRequests = 100
	// crowdWeight is what it costs that a unit has room for just crowdRequests.
	crowdWeight = 1.5
	// uncovered is the value of a unit that nobody holds.
	uncovered = -20.0
)

// minFree is the least share of an accelerator's memory that a plan leaves for
// KV cache.
const minFree = 0.2

// maxTurns bounds the sides from which a first plan is sought.
const maxTurns = 8

// maxRounds bounds the improvement of a plan; each round looks at every engine.
const maxRounds = 12

// Plan returns the layers that each engine should hold, by instance. Engines
// that can't hold a unit are left out, and so are those of zones that share no
// model with one of the given zones.
func Plan(e *fleet.Engine, upstreams []*fleet.Upstream, zones []string) map[string]fleet.Range {
	unit := unitSize(e, upstreams)
	if unit == 0 {
		return nil
	}
	goal := make(map[string]fleet.Range)
	for _, group := range groups(e, upstreams, unit) {
		if !slices.ContainsFunc(group, func(u *fleet.Upstream) bool { return slices.Contains(zones, u.Zone) }) {
			continue
		}
		p := plan(e, group, unit)
		for i, m := range p.members {
			if p.spans[i].count > 0 {
				goal[m.upstream.Instance] = fleet.Range{From: p.spans[i].first * unit, To: (p.spans[i].first + p.spans[i].count) * unit}
			}
		}
	}
	return goal
}

// PlanCache keeps the last plan of a service, and makes another one only when what it
// is made from has changed. Its zero value works.
type PlanCache struct {
	engine    *fleet.Engine
	upstreams []*fleet.Upstream
	zones     []string
	goal      map[string]fleet.Range
}

// Get returns the plan for engines and zones as [Plan] does. The caller changes
// none of them, nor the plan.
func (p *PlanCache) Get(e *fleet.Engine, upstreams []*fleet.Upstream, zones []string) map[string]fleet.Range {
	if p.goal != nil && p.engine == e && slices.Equal(p.zones, zones) && slices.EqualFunc(p.upstreams, upstreams, plannedAlike) {
		return p.goal
	}
	p.engine, p.upstreams, p.zones = e, upstreams, zones
	p.goal = Plan(e, upstreams, zones)
	return p.goal
}

// plannedAlike says whether two engines are the same to a plan.
func plannedAlike(a, b *fleet.Upstream) bool {
	return a.Instance == b.Instance && a.Zone == b.Zone && a.Accelerator == b.Accelerator && a.Held == b.Held
}

// plan returns the improved plan of a group. One that starts from nothing is
// sought from several sides, since improving step by step may end early.
func plan(e *fleet.Engine, group []*fleet.Upstream, unit int) *planner {
	best := newPlanner(e, group, unit)
	best.improve()
	if best.holding {
		return best
	}
	for turn := 1; turn < min(maxTurns, len(best.members)); turn++ {
		p := newPlanner(e, group, unit)
		p.turn(turn)
		p.improve()
		if p.value() > best.value() {
			best = p
		}
	}
	return best
}

// unitSize returns the largest divisor of the layers that every engine can
// hold with room beside it; 0 if there is none.
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

// maxLayers returns how many layers an engine may hold.
func maxLayers(e *fleet.Engine, u *fleet.Upstream) int {
	if e.LayerMB <= 0 {
		return 0
	}
	return min(e.Layers, int(e.Accelerators[u.Accelerator].MemoryMB*(1-minFree)/e.LayerMB))
}

// groups splits the engines into sets that each hold the whole model: the
// zones that can, and all others together.
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

// span is a run of units; count 0 holds none.
type span struct{ first, count int }

// member is an engine of a group.
type member struct {
	upstream *fleet.Upstream
	// most is how many units it may hold.
	most int
	// room[n] is the room in tokens beside n units.
	room []float64
	// unitTime is the milliseconds of one unit for one token.
	unitTime float64
	// held is what it holds now, if that is a run of whole units.
	held span
}

// planner improves the plan of one group.
type planner struct {
	units   int
	members []member
	spans   []span
	// room and holders are those of each unit.
	room    []float64
	holders []int
	// holding says that some member holds layers already.
	holding bool
	// crowd is the room in tokens that crowdRequests usual requests take.
	crowd float64
	// load is the time of tokens under load.
	load load
}

func newPlanner(e *fleet.Engine, group []*fleet.Upstream, unit int) *planner {
	p := &planner{units: e.Layers / unit}
	p.room = make([]float64, p.units)
	p.holders = make([]int, p.units)
	p.crowd = crowdRequests * (e.MeanPrompt + e.MeanAnswer)
	memory := 0.0
	slices.SortFunc(group, inOrder(e))
	for _, u := range group {
		m := member{upstream: u, most: min(p.units, maxLayers(e, u)/unit), held: heldSpan(u, unit)}
		if m.most == 0 {
			continue
		}
		m.unitTime = e.Accelerators[u.Accelerator].Pace * e.Step.Seconds() * 1e3 / float64(p.units)
		if m.held.count > m.most {
			m.held = span{}
		}
		m.room = make([]float64, m.most+1)
		for n := 1; n <= m.most; n++ {
			m.room[n] = e.KVCacheTokens(u.Accelerator, n*unit)
		}
		p.holding = p.holding || m.held.count > 0
		memory += e.Accelerators[u.Accelerator].MemoryMB
		p.members = append(p.members, m)
		p.spans = append(p.spans, span{})
		p.set(len(p.members)-1, m.held)
	}
	p.load = newLoad(p.units, len(p.members), e.MaxKVCacheTokens(memory))
	return p
}

// inOrder puts first those that hold nothing, since they cost nothing to place,
// the large ones before the small ones; then those that hold layers, the small
// ones before the large ones, since they cost less to move.
func inOrder(e *fleet.Engine) func(a, b *fleet.Upstream) int {
	return func(a, b *fleet.Upstream) int {
		holding := cmp.Compare(min(a.Held.Len(), 1), min(b.Held.Len(), 1))
		size := cmp.Compare(maxLayers(e, b), maxLayers(e, a))
		if a.Held.Len() > 0 {
			size = -size
		}
		return cmp.Or(holding, size, cmp.Compare(a.Instance, b.Instance))
	}
}

func heldSpan(u *fleet.Upstream, unit int) span {
	if u.Held.Len() <= 0 || u.Held.From%unit != 0 || u.Held.To%unit != 0 {
		return span{}
	}
	return span{u.Held.From / unit, u.Held.Len() / unit}
}

// set gives a member a span.
func (p *planner) set(i int, s span) {
	p.add(i, p.spans[i], -1)
	p.add(i, s, 1)
	p.spans[i] = s
}

func (p *planner) add(i int, s span, sign int) {
	for u := s.first; u < s.first+s.count; u++ {
		p.holders[u] += sign
		p.room[u] += float64(sign) * p.members[i].room[s.count]
	}
}

// value returns how good the plan is; more is better.
func (p *planner) value() float64 { return p.unitsValue() - p.timeCost() }

// unitsValue returns how good the plan is for the units by themselves.
func (p *planner) unitsValue() float64 {
	total := 0.0
	for u := range p.units {
		total += p.unitValue(p.room[u], p.holders[u])
	}
	return total
}

// timeCost is what the time of tokens costs, 0 at least.
func (p *planner) timeCost() float64 { return stepWeight * p.load.time(p.members, p.spans) }

// unitValue falls steeply where there is room for few requests, and hardly
// grows where there is plenty.
func (p *planner) unitValue(room float64, holders int) float64 {
	if holders == 0 {
		return uncovered
	}
	value := -crowdWeight * p.crowd / max(room, 1)
	if holders > 1 {
		value += secondHolder
	}
	return max(value, uncovered/2)
}

// turn puts the first n members last, so that they choose last.
func (p *planner) turn(n int) {
	p.members = append(p.members[n:len(p.members):len(p.members)], p.members[:n]...)
}

// improve gives each member in turn the span that helps most, until none
// helps.
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

func (p *planner) improveMember(i int) bool {
	old := p.spans[i]
	best, bestValue := old, p.value()+p.keepGain(i, old)
	for count := 1; count <= p.members[i].most; count++ {
		for first := 0; first+count <= p.units; first++ {
			s := span{first, count}
			p.set(i, s)
			most := p.unitsValue() + p.keepGain(i, s)
			if most <= bestValue {
				// The time, which takes long to find, can only make it worse.
				continue
			}
			if value := most - p.timeCost(); value > bestValue+1e-9 {
				best, bestValue = s, value
			}
		}
	}
	p.set(i, best)
	return best != old
}

// keepGain is what it is worth that a member stays as it is, or has less to
// load.
func (p *planner) keepGain(i int, s span) float64 {
	held := p.members[i].held
	switch {
	case held.count == 0:
		return 0
	case s == held:
		return moveCost * float64(held.count)
	}
	return -unitMoveCost * float64(s.count)
}
