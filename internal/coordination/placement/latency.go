package placement

import "math"

// Times of a stage, to compare chains by.
const (
	// stageTime is the milliseconds that a stage adds to a token, whatever it runs.
	stageTime = 1.0
	// waitFactor is how much longer than its own pass a token is at a stage: it
	// is busy most of the time, so that a token waits for about half a pass.
	waitFactor = 1.5
	// crowdedTime is the milliseconds that stand for a token of a request for
	// which no chain has room.
	crowdedTime = 25.0
)

// demandShare is the part of the KV cache beside one copy of the model that
// requests are taken to need.
const demandShare = 0.4

// maxChains bounds the chains that share the demand.
const maxChains = 6

// load is the time that tokens take while requests fill the chains of a plan.
// A plan by the fastest chain alone gives the fastest engines so many layers
// that they have room for few requests, and most have to go around them.
type load struct {
	// demand is the KV cache, in tokens, that requests need.
	demand float64
	// free is the room left of each member, in tokens.
	free []float64
	// reach is the time from each unit on to the end, and next the stage that
	// runs it.
	reach []float64
	next  []stage
	// chain are the members of the fastest chain.
	chain []int
}

// stage is a member that runs units up to one.
type stage struct{ member, end int }

func newLoad(units, members int, spare float64) load {
	return load{
		demand: demandShare * spare,
		free:   make([]float64, members),
		reach:  make([]float64, units+1),
		next:   make([]stage, units),
	}
}

// time returns the milliseconds that a token takes in the mean while the demand
// is met: requests fill the fastest chain first, then the fastest one that
// still has room.
func (l *load) time(members []member, spans []span) float64 {
	for i, s := range spans {
		l.free[i] = members[i].room[s.count]
	}
	total, left := 0.0, l.demand
	for range maxChains {
		time, ok := l.fastest(members, spans)
		if !ok {
			break
		}
		flow := l.fill(left)
		total += flow * time
		left -= flow
		if left <= 0 {
			break
		}
	}
	return (total + left*crowdedTime) / max(l.demand, 1)
}

// fill has requests take the chain, of at most so many tokens, and returns how
// many there was room for.
func (l *load) fill(most float64) float64 {
	flow := most
	for _, i := range l.chain {
		flow = min(flow, l.free[i])
	}
	for _, i := range l.chain {
		l.free[i] -= flow
	}
	return flow
}

// fastest finds the fastest chain of members with room, and returns the
// milliseconds that one token takes on it. It says false if there is none.
func (l *load) fastest(members []member, spans []span) (float64, bool) {
	units := len(l.next)
	l.reach[units] = 0
	for u := units - 1; u >= 0; u-- {
		l.reach[u] = math.Inf(1)
		for i, s := range spans {
			if u < s.first || u >= s.first+s.count || l.free[i] <= 0 {
				continue
			}
			l.follow(u, i, s.first+s.count, waitFactor*members[i].unitTime)
		}
	}
	l.chain = l.chain[:0]
	if math.IsInf(l.reach[0], 1) {
		return 0, false
	}
	for u := 0; u < units; u = l.next[u].end {
		l.chain = append(l.chain, l.next[u].member)
	}
	return l.reach[0], true
}

// follow has a member run the units from one on, up to any before the end of
// its span, if that is faster than what is known.
func (l *load) follow(unit, member, end int, unitTime float64) {
	for to := unit + 1; to <= end; to++ {
		time := stageTime + unitTime*float64(to-unit) + l.reach[to]
		if time < l.reach[unit] {
			l.reach[unit] = time
			l.next[unit] = stage{member, to}
		}
	}
}
