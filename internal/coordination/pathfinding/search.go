package pathfinding

import (
	"slices"
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

// Costs in milliseconds per token.
const (
	// stageOverhead is the cost of each stage, whatever it runs: the transfer of
	// the activations to it, and the wait until its next batch begins.
	stageOverhead = 1.0
	// zoneChangeCost is the cost of a transfer between stages in different zones.
	zoneChangeCost = 12.0
	// remoteEntryCost is the cost of a first stage outside the caller's zone.
	// Only the output crosses that link, but the load of another zone is known
	// with more delay: without this cost the gateways of all zones would crowd
	// the fastest chain.
	remoteEntryCost = 16.0
	// suspectLinkCost is the cost of a link between zones that may be cut.
	suspectLinkCost = 300.0
	// noCapacityCost is added to a stage or a link without capacity for the
	// request, so that it is used only if nothing else covers the layers.
	noCapacityCost = 1000.0
)

// overcommitLimit is the largest fraction of an upstream's KV memory that may be
// reserved. It may exceed 1, since few requests need all that they reserve, and
// not at the same time.
const overcommitLimit = 1.05

// memoryWeight is how many times the time of a stage is added to its cost if its
// memory is wholly reserved.
const memoryWeight = 6.0

// Costs, in milliseconds per token, of each millisecond that a prompt waits while
// others are read. The wait is spread over some hundred tokens of an answer, but
// a stream that is interrupted soon misses its deadline.
const (
	backlogWeight       = 0.01
	urgentBacklogWeight = 0.1
)

// maxUtilization bounds the computed utilization of engines and links. Rates that
// are a second old do not tell higher values apart.
const maxUtilization = 0.95

// Load is what is known about the work on an upstream.
type Load struct {
	// Excluded is set if the upstream must not be used.
	Excluded bool
	// TokenLayers is the KV cache that is used or reserved, in token-layers.
	TokenLayers float64
	// Requests is the number of requests that run on the upstream.
	Requests float64
	// Begun is the number of these requests whose first stage it runs.
	Begun float64
	// Reading is the rate at which prompts arrive, in token-layers per second.
	Reading float64
	// Backlog is how long a new prompt waits while others are read.
	Backlog time.Duration
	// Slowdown multiplies the upstream's processing times; values below 1 count
	// as 1.
	Slowdown float64
}

// Plus returns l with the memory, requests and prompt rate of other added. The
// remaining fields are those of l.
func (l Load) Plus(other Load) Load {
	l.TokenLayers += other.TokenLayers
	l.Requests += other.Requests
	l.Begun += other.Begun
	l.Reading += other.Reading
	return l
}

// Holder is an upstream that holds layers.
type Holder struct {
	Upstream *fleet.Upstream
	// Capacity is the memory for KV cache, in token-layers.
	Capacity float64
	// layerMS is the milliseconds that a layer takes to make one token of a
	// single request, and requestMS what each request of the batch adds.
	layerMS, requestMS float64
	// prefillMS is the milliseconds that a layer takes to read one prompt token.
	prefillMS float64
}

// LayerMap records which upstreams of a service hold which layers. It is
// immutable.
type LayerMap struct {
	// Engine is the configuration that the upstreams share.
	Engine *fleet.Engine
	// Holders are the upstreams that hold layers.
	Holders []Holder

	// bounds are the layers at which a held range begins or ends, sorted.
	bounds []int
	zones  []string
	// zoneOf is the index into zones of each holder's zone.
	zoneOf []int
}

// NewLayerMap returns the layer map of those of the upstreams that are serving
// and hold layers of the engine's model.
func NewLayerMap(e *fleet.Engine, upstreams []*fleet.Upstream) *LayerMap {
	m := &LayerMap{Engine: e, bounds: []int{0, e.Layers}}
	for _, u := range upstreams {
		if u.State != fleet.Serving || u.Held.Len() <= 0 || u.Held.From < 0 || u.Held.To > e.Layers {
			continue
		}
		m.add(u)
	}
	slices.Sort(m.bounds)
	m.bounds = slices.Compact(m.bounds)
	return m
}

func (m *LayerMap) add(u *fleet.Upstream) {
	e := m.Engine
	a := e.Accelerators[u.Accelerator]
	layers := float64(e.Layers)
	m.Holders = append(m.Holders, Holder{
		Upstream:  u,
		Capacity:  e.KVCacheTokens(u.Accelerator, u.Held.Len()) * float64(u.Held.Len()),
		layerMS:   a.Pace * e.Step.Seconds() * 1e3 / layers,
		requestMS: a.Pace * e.StepPerRequest.Seconds() * 1e3 / layers,
		prefillMS: e.PrefillTimePerToken(u.Accelerator).Seconds() * 1e3 / layers,
	})
	m.bounds = append(m.bounds, u.Held.From, u.Held.To)
	zone := slices.Index(m.zones, u.Zone)
	if zone < 0 {
		zone = len(m.zones)
		m.zones = append(m.zones, u.Zone)
	}
	m.zoneOf = append(m.zoneOf, zone)
}

// PrefillTime returns how long an upstream takes to read a prompt of the given
// number of tokens for the given number of layers.
func (m *LayerMap) PrefillTime(u *fleet.Upstream, tokens, layers int) time.Duration {
	perLayer := m.Engine.PrefillTimePerToken(u.Accelerator).Seconds() / float64(m.Engine.Layers)
	return time.Duration(perLayer * float64(tokens*layers) * float64(time.Second))
}

// Capacity returns the KV memory of an upstream in token-layers; 0 if it holds
// no layers.
func (m *LayerMap) Capacity(instance string) float64 {
	for i := range m.Holders {
		if m.Holders[i].Upstream.Instance == instance {
			return m.Holders[i].Capacity
		}
	}
	return 0
}

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
	best, found := Chain{}, false
	bestCost := 0.0
	for zone := range m.zones {
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

// entryCost returns the cost of reaching a first stage in the given zone from the
// caller's.
func (f *finder) entryCost(zone int) float64 {
	if f.m.zones[zone] == f.q.Zone {
		return 0
	}
	if f.suspected(f.q.Zone, f.m.zones[zone]) {
		return suspectLinkCost
	}
	return remoteEntryCost
}

// zoneCost returns the cost of a transfer between two zones, apart from the load
// of the link.
func (f *finder) zoneCost(from, to int) float64 {
	switch {
	case from == to:
		return 0
	case f.suspected(f.m.zones[from], f.m.zones[to]):
		return suspectLinkCost
	}
	return zoneChangeCost
}

// linkCost returns the cost of sharing the link between two zones with other
// transfers.
func (f *finder) linkCost(from, to int) float64 {
	l := &f.links[from][to]
	if l.Full {
		return noCapacityCost
	}
	return l.queueingDelay()
}

func (f *finder) suspected(from, to string) bool {
	return f.q.Suspected != nil && f.q.Suspected(from, to)
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
			to := &nodes[j][m.zoneOf[h]]
			if !to.reached || cost < to.cost {
				*to = node{cost: cost, holder: h, prevBound: i, prevZone: zone, reached: true}
			}
		}
	}
}

func (f *finder) mayBeFirst(h int) bool {
	return f.q.MayBeFirst == nil || f.q.MayBeFirst(f.m.Holders[h].Upstream)
}

// slotWeight is the cost of a first stage whose slots are all taken, in
// milliseconds per token. A further request waits there until another one ends.
const slotWeight = 30.0

// firstStageCost returns the additional cost of a holder as first stage.
func (f *finder) firstStageCost(h int) float64 {
	cost := 0.0
	if f.m.Holders[h].Upstream.Instance == f.q.PreferFirst {
		cost -= preferFirstDiscount
	}
	use := f.slotUse(h)
	if use > 1 {
		cost += noCapacityCost
	}
	return cost + slotWeight*use*use*use*use
}

// slotUse returns the fraction of the holder's slots that are taken, including
// the request; 0 if its slots are not limited.
func (f *finder) slotUse(h int) float64 {
	slots := f.m.Holders[h].Upstream.Slots
	if slots <= 0 {
		return 0
	}
	return (f.loads[h].Begun + 1) / float64(slots)
}

// preferFirstDiscount is subtracted from the cost of the preferred first stage,
// in milliseconds per token.
const preferFirstDiscount = 50.0

// stageCost returns the cost of running a number of layers on a holder: the time
// of a token there, lengthened by the prompts that the engine reads in between,
// by a fill level of the memory near 1, and by the backlog.
func (f *finder) stageCost(h, layers int) float64 {
	load := &f.loads[h]
	holder := &f.m.Holders[h]
	slowdown := max(1, load.Slowdown)
	step := float64(layers) * (holder.layerMS + holder.requestMS*load.Requests) * slowdown
	step /= 1 - min(holder.prefillMS*load.Reading/1e3*slowdown, maxUtilization)
	fill := f.fill(h, layers)
	cost := step*(1+memoryWeight*fill*fill*fill*fill)*f.jitter[h] + stageOverhead + f.backlogCost(load)
	if fill > overcommitLimit {
		cost += noCapacityCost * fill
	}
	return cost
}

// backlogCost returns the cost of waiting until earlier prompts have been read.
func (f *finder) backlogCost(load *Load) float64 {
	weight := backlogWeight
	if f.q.Urgent {
		weight = urgentBacklogWeight
	}
	return weight * load.Backlog.Seconds() * 1e3
}

// prefillTime returns how long a holder takes to read the request's prompt for a
// number of layers.
func (f *finder) prefillTime(h, layers int) time.Duration {
	prefill := f.m.PrefillTime(f.m.Holders[h].Upstream, f.q.PromptTokens, layers)
	return time.Duration(float64(prefill) * max(1, f.loads[h].Slowdown))
}

// backlog returns how long a holder takes to read the prompts that it was sent
// earlier.
func (f *finder) backlog(h int) time.Duration {
	return time.Duration(float64(f.loads[h].Backlog) * max(1, f.loads[h].Slowdown))
}

// fill returns the fraction of a holder's KV memory that is reserved, including
// the request.
func (f *finder) fill(h, layers int) float64 {
	capacity := f.m.Holders[h].Capacity
	if capacity <= 0 {
		return 2
	}
	return (f.loads[h].TokenLayers + f.q.Tokens*float64(layers)) / capacity
}

// backtrack returns the chain that the nodes describe. If it would use an
// upstream twice, the search from the zone of the first stage is repeated with
// whole ranges, with which that cannot happen.
func (f *finder) backtrack(nodes [][]node, firstZone int) (Chain, bool) {
	var chain Chain
	var longest time.Duration
	seen := make([]bool, len(f.m.Holders))
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
		chain.Full = chain.Full || fill > overcommitLimit || f.links[n.prevZone][zone].Full
		if n.prevBound == 0 && f.start == 0 {
			chain.Full = chain.Full || f.slotUse(n.holder) > 1
		}
		i, zone = n.prevBound, n.prevZone
	}
	chain.PrefillDelay += longest
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
