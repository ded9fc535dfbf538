package pathfinding

import (
	"slices"
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

// Query describes the request that a chain is searched for.
type Query struct {
	// Zone is the zone that the request comes from.
	Zone string
	// Tokens is the number of tokens of KV cache that the request may need.
	Tokens float64
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int
	// Load returns the load of an upstream.
	Load func(u *fleet.Upstream) Load
	// Urgent is set if the caller waits for the next event of a stream that has
	// begun. The time until the prompt is read then counts more.
	Urgent bool
	// Jitter returns a random factor for the cost of a holder, so that gateways
	// which know the same loads make different choices; nil for none.
	Jitter func() float64
	// Link returns the state of the link between two zones; nil if no link
	// limits anything.
	Link func(a, b string) Link
	// Suspected reports whether the link between two zones may be cut and should
	// be avoided; nil if none is.
	Suspected func(a, b string) bool
	// MayBeFirst reports whether an upstream may run the first stage; nil allows
	// all.
	MayBeFirst func(u *fleet.Upstream) bool
	// PreferFirst is the instance that is preferred as first stage; empty for
	// none.
	PreferFirst string
	// Cached returns what an upstream probably caches of the prompt; nil if none
	// caches anything.
	Cached func(u *fleet.Upstream) Cached
}

// Chain is the result of a search.
type Chain struct {
	Stages []relay.Stage
	// Full is set if a stage, or a link between stages, has no capacity for the
	// request.
	Full bool
	// Fill is the largest fraction of a stage's KV memory that is reserved,
	// including the request; 1 means all of it.
	Fill float64
	// PrefillDelay is how long it takes until the prompt of the request has been
	// read: the longest backlog, since the stages work off theirs at the same
	// time, and then the time of each stage for the prompt.
	PrefillDelay time.Duration
	// CachedTokens are the numbers of prompt tokens that each stage probably need not
	// read. PrefixSaving is the time that they save, by which PrefillDelay is
	// shorter, and PrefixGain what it would be if the stages certainly cached what they
	// probably do. CachedTokens is nil if nothing is cached.
	CachedTokens             []float64
	PrefixSaving, PrefixGain time.Duration
	// discounted is set if a stage had a discount for what it caches.
	discounted bool
}

// node is the cheapest way found to run the layers up to a bound, with the last
// stage in a zone.
type node struct {
	cost float64
	// holder runs the last stage, which begins at the bound prevBound with
	// activations from prevZone. All three are indexes; holder is -1 if there is
	// no stage yet.
	holder, prevBound, prevZone int
	reached                     bool
}

// newNodes returns an unreached node for each bound and zone.
func (m *LayerMap) newNodes() [][]node {
	nodes := make([][]node, len(m.bounds))
	for i := range nodes {
		nodes[i] = make([]node, len(m.zones))
	}
	return nodes
}

// Find returns the cheapest chain. It reports false if the usable upstreams do
// not cover all layers.
func (m *LayerMap) Find(q *Query) (Chain, bool) {
	f := finder{m: m, q: q, stop: len(m.bounds) - 1}
	f.snapshot()
	best, found := f.search()
	if best.discounted && best.PrefixGain == 0 {
		// The stages that cache the prefix must read it all the same, since a later one
		// does not. Their discount must not decide.
		f.cached = nil
		best, found = f.search()
	}
	return best, found
}

// search returns the cheapest chain from any zone.
func (f *finder) search() (Chain, bool) {
	best, found := Chain{}, false
	bestCost := 0.0
	for zone := range f.m.zones {
		cost, nodes, ok := f.searchFrom(zone)
		if !ok || found && cost >= bestCost {
			continue
		}
		chain, ok := f.backtrack(nodes, zone)
		if !ok {
			continue
		}
		best, bestCost, found = chain, cost, true
	}
	return best, found
}

// finder is the state of one search.
type finder struct {
	m *LayerMap
	q *Query
	// loads and jitter are indexed by holder.
	loads  []Load
	jitter []float64
	// cached is indexed by holder, too; nil if nothing is cached.
	cached []Cached
	// links are indexed by the two zones.
	links [][]Link
	// start and stop are the bounds between which the layers are to be run.
	start, stop int
	// wholeRanges requires that a stage runs to the end of its holder's range.
	wholeRanges bool
	// endZone is the zone of the last stage of the cheapest chain.
	endZone int
}

// snapshot queries the loads, the links and the jitter once, so that the whole
// search uses the same values.
func (f *finder) snapshot() {
	f.loads = make([]Load, len(f.m.Holders))
	f.jitter = make([]float64, len(f.m.Holders))
	for i := range f.m.Holders {
		f.loads[i] = f.q.Load(f.m.Holders[i].Upstream)
		f.jitter[i] = 1
		if f.q.Jitter != nil {
			f.jitter[i] = f.q.Jitter()
		}
	}
	f.snapshotCached()
	f.links = make([][]Link, len(f.m.zones))
	for a, from := range f.m.zones {
		f.links[a] = make([]Link, len(f.m.zones))
		for b, to := range f.m.zones {
			if a != b && f.q.Link != nil {
				f.links[a][b] = f.q.Link(from, to)
			}
		}
	}
}

// searchFrom returns the cost of the cheapest chain whose first stage is in the
// given zone, and the nodes to build it from.
func (f *finder) searchFrom(zone int) (float64, [][]node, bool) {
	m := f.m
	nodes := m.newNodes()
	f.relax(nodes, 0, zone, node{cost: f.entryCost(zone), holder: -1, reached: true}, true)
	cost, found := f.solve(nodes, zone)
	return cost, nodes, found
}

// solve completes the nodes between start and stop, and returns the cost of the
// cheapest way to stop. next is the zone that the last stage sends its output to.
func (f *finder) solve(nodes [][]node, next int) (float64, bool) {
	for i := f.start + 1; i < f.stop; i++ {
		for zone := range f.m.zones {
			if n := nodes[i][zone]; n.reached {
				f.relax(nodes, i, zone, n, false)
			}
		}
	}
	last := nodes[f.stop]
	best, found := 0.0, false
	for zone := range f.m.zones {
		if !last[zone].reached {
			continue
		}
		cost := last[zone].cost + f.zoneCost(zone, next)
		if !found || cost < best {
			best, found, f.endZone = cost, true, zone
		}
	}
	return best, found
}

// relax updates the nodes that a stage which follows node n reaches. n lies at
// bound i, and its activations come from the given zone. A first stage must be
// in that zone itself.
func (f *finder) relax(nodes [][]node, i, zone int, n node, first bool) {
	m := f.m
	for h := range m.Holders {
		held := m.Holders[h].Upstream.Held
		at := m.bounds[i]
		if f.loads[h].Excluded || held.From > at || held.To <= at || h == n.holder {
			continue
		}
		if first && (m.zoneOf[h] != zone || !f.mayBeFirst(h)) {
			continue
		}
		for j := i + 1; j <= f.stop && m.bounds[j] <= held.To; j++ {
			if f.wholeRanges && m.bounds[j] != held.To {
				continue
			}
			cost := n.cost + f.stageCost(h, m.bounds[j]-at) + f.zoneCost(zone, m.zoneOf[h]) + f.linkCost(zone, m.zoneOf[h])
			if first {
				cost += f.firstStageCost(h)
			}
			if f.cached != nil {
				cost -= f.prefixDiscount(h, fleet.Range{From: at, To: m.bounds[j]})
			}
			to := &nodes[j][m.zoneOf[h]]
			if !to.reached || cost < to.cost {
				*to = node{cost: cost, holder: h, prevBound: i, prevZone: zone, reached: true}
			}
		}
	}
}

// backtrack returns the chain that the nodes describe. If it would use an
// upstream twice, the search from the zone of the first stage is repeated with
// whole ranges, with which that cannot happen.
func (f *finder) backtrack(nodes [][]node, firstZone int) (Chain, bool) {
	var chain Chain
	var longest time.Duration
	seen := make([]bool, len(f.m.Holders))
	prefix := f.newPrefixUse()
	i, zone := f.stop, f.endZone
	for i > f.start {
		n := nodes[i][zone]
		if seen[n.holder] {
			return f.findWholeRanges(firstZone)
		}
		seen[n.holder] = true
		layers := fleet.Range{From: f.m.bounds[n.prevBound], To: f.m.bounds[i]}
		chain.Stages = append(chain.Stages, relay.Stage{Upstream: f.m.Holders[n.holder].Upstream, Layers: layers})
		fill := f.fill(n.holder, layers.Len())
		chain.Fill = max(chain.Fill, fill)
		chain.PrefillDelay += f.prefillTime(n.holder, layers.Len())
		longest = max(longest, f.backlog(n.holder))
		prefix.add(n.holder, layers)
		chain.Full = chain.Full || fill > overcommitLimit || f.links[n.prevZone][zone].Full
		if n.prevBound == 0 && f.start == 0 {
			chain.Full = chain.Full || f.slotUse(n.holder) > 1
		}
		i, zone = n.prevBound, n.prevZone
	}
	chain.PrefillDelay += longest
	prefix.apply(&chain)
	slices.Reverse(chain.Stages)
	return chain, true
}

// findWholeRanges repeats the search with stages that run to the end of their
// holder's range. It reports false if no such chain exists, and for gaps.
func (f *finder) findWholeRanges(firstZone int) (Chain, bool) {
	if f.wholeRanges || f.start > 0 {
		return Chain{}, false
	}
	retry := *f
	retry.wholeRanges = true
	_, nodes, ok := retry.searchFrom(firstZone)
	if !ok {
		return Chain{}, false
	}
	return retry.backtrack(nodes, firstZone)
}
