package placement

import "math"

// Parameters of the latency model.
const (
	// stageOverheadMS is the milliseconds that a stage adds to a token, whatever
	// it runs.
	stageOverheadMS = 1.0
	// queueingFactor is the time of a token at a stage, as a multiple of the
	// time of its batch: stages are busy most of the time, so a token waits for
	// about half a batch.
	queueingFactor = 1.5
	// unservedTokenMS is the milliseconds counted for a token of a request for
	// which no chain has memory.
	unservedTokenMS = 25.0
)

// demandShare is the fraction of the KV memory beside one copy of the model that
// requests are assumed to need.
const demandShare = 0.4

// maxChains bounds the number of chains that the demand is spread over.
const maxChains = 6

// latencyModel estimates the time of tokens while requests fill the chains of a
// plan. Judged by the fastest chain alone, a plan would give the fastest engines
// so many layers that they have memory for few requests, and most requests would
// have to avoid them.
type latencyModel struct {
	// demand is the KV cache that requests need, in tokens.
	demand float64
	// free is the KV memory that each member has left, in tokens.
	free []float64
	// remainingMS is the shortest time from each unit to the last one, and next
	// is the stage that it begins with.
	remainingMS []float64
	next        []stage
	// chain are the members of the fastest chain.
	chain []int
}

// stage is a member and the end of the units that it runs, exclusive.
type stage struct{ member, end int }

func newLatencyModel(units, members int, spare float64) latencyModel {
	return latencyModel{
		demand:      demandShare * spare,
		free:        make([]float64, members),
		remainingMS: make([]float64, units+1),
		next:        make([]stage, units),
	}
}

// meanTokenMS returns the mean milliseconds of a token while the demand is
// served. Requests fill the fastest chain first, then the fastest one that still
// has memory.
func (l *latencyModel) meanTokenMS(members []member, spans []span) float64 {
	for i, s := range spans {
		l.free[i] = members[i].freeTokens[s.count]
	}
	total, left := 0.0, l.demand
	for range maxChains {
		time, ok := l.findFastest(members, spans)
		if !ok {
			break
		}
		served := l.reserve(left)
		total += served * time
		left -= served
		if left <= 0 {
			break
		}
	}
	return (total + left*unservedTokenMS) / max(l.demand, 1)
}

// reserve reserves memory for up to limit tokens on the fastest chain, and
// returns for how many there was enough.
func (l *latencyModel) reserve(limit float64) float64 {
	served := limit
	for _, i := range l.chain {
		served = min(served, l.free[i])
	}
	for _, i := range l.chain {
		l.free[i] -= served
	}
	return served
}

// findFastest sets chain to the fastest one whose members have memory left, and
// returns the milliseconds that a token takes on it. It reports false if there is
// none.
func (l *latencyModel) findFastest(members []member, spans []span) (float64, bool) {
	units := len(l.next)
	l.remainingMS[units] = 0
	for u := units - 1; u >= 0; u-- {
		l.remainingMS[u] = math.Inf(1)
		for i, s := range spans {
			if u < s.first || u >= s.first+s.count || l.free[i] <= 0 {
				continue
			}
			l.relax(u, i, s.first+s.count, queueingFactor*members[i].unitMS)
		}
	}
	l.chain = l.chain[:0]
	if math.IsInf(l.remainingMS[0], 1) {
		return 0, false
	}
	for u := 0; u < units; u = l.next[u].end {
		l.chain = append(l.chain, l.next[u].member)
	}
	return l.remainingMS[0], true
}

// relax records a stage that begins at unit on the given member, and ends at end
// or before, if it leads to a faster chain than those found so far.
func (l *latencyModel) relax(unit, member, end int, unitMS float64) {
	for to := unit + 1; to <= end; to++ {
		time := stageOverheadMS + unitMS*float64(to-unit) + l.remainingMS[to]
		if time < l.remainingMS[unit] {
			l.remainingMS[unit] = time
			l.next[unit] = stage{member, to}
		}
	}
}
