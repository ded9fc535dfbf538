package pathfinding

import (
	"slices"
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

// Costs in milliseconds for each token.
const (
	// stageOverhead is that of one stage more in a zone, whatever it runs: passing an
	// activation on, and waiting until the next pass begins.
	stageOverhead = 1.0
	// zoneChangeCost is that of passing it on to another zone.
	zoneChangeCost = 12.0
	// remoteEntryCost is that of a first stage in another zone than the caller's.
	// Only events come back over that link, but the load there is known later
	// than at home: the gateways of other zones would crowd the fastest chain.
	remoteEntryCost = 16.0
	// doubtedCost is that of a link between zones that may be cut.
	doubtedCost = 300.0
	// fullCost is added to a stage that has no room, so that it is used only
	// if nothing else covers its layers.
	fullCost = 1000.0
)

// overcommitLimit is how full an upstream may be by what its requests may come to
// need: few need all of it, and not at once.
const overcommitLimit = 1.05

// loadWeight says how much a full memory raises the cost of a stage.
const loadWeight = 6.0

// Costs, in milliseconds for each token, of a millisecond that a prompt waits for
// others to be read: an answer has some hundred tokens, but a stream that has to
// go on is soon late.
const (
	waitWeight       = 0.01
	urgentWaitWeight = 0.1
)

// maxUse bounds the share of its time that an engine is taken to read prompts:
// above it rates that are a second old say no more.
const maxUse = 0.95

// Load is what is known of the work on an upstream.
type Load struct {
	// Excluded says that the upstream must not be used.
	Excluded bool
	// TokenLayers is the KV cache taken or promised.
	TokenLayers float64
	// Requests is how many run there.
	Requests float64
	// Begun is how many of them have it as first stage.
	Begun float64
	// Reading is the rate at which prompts come in, in token-layers a second.
	Reading float64
	// Backlog is how long a prompt waits there for others to be read.
	Backlog time.Duration
	// Slowdown multiplies the upstream's time; 0 counts as 1.
	Slowdown float64
}

// Plus returns what both carry together.
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
	// Capacity is the room for KV cache in token-layers.
	Capacity float64
	// pace is the milliseconds of one layer for one token of one request, and
	// perRequest what each further request of the batch adds.
	pace, perRequest float64
	// reading is the milliseconds that one prompt token takes up for one layer.
	reading float64
}

// LayerMap is the layers that the upstreams of one service hold. It is immutable.
type LayerMap struct {
	// Engine is what the upstreams have in common.
	Engine *fleet.Engine
	// Holders are the upstreams that hold layers.
	Holders []Holder

	// bounds are the layers at which a range begins or ends, in order.
	bounds []int
	zones  []string
	// zoneOf is the index of each holder's zone.
	zoneOf []int
}

// NewLayerMap returns the map of the upstreams that serve and hold layers.
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
		Upstream:   u,
		Capacity:   e.KVCacheTokens(u.Accelerator, u.Held.Len()) * float64(u.Held.Len()),
		pace:       a.Pace * e.Step.Seconds() * 1e3 / layers,
		perRequest: a.Pace * e.StepPerRequest.Seconds() * 1e3 / layers,
		reading:    e.PrefillTimePerToken(u.Accelerator).Seconds() * 1e3 / layers,
	})
	m.bounds = append(m.bounds, u.Held.From, u.Held.To)
	zone := slices.Index(m.zones, u.Zone)
	if zone < 0 {
		zone = len(m.zones)
		m.zones = append(m.zones, u.Zone)
	}
	m.zoneOf = append(m.zoneOf, zone)
}

// ReadTime returns how long an upstream takes to read the tokens of a prompt for
// some layers.
func (m *LayerMap) ReadTime(u *fleet.Upstream, tokens, layers int) time.Duration {
	perLayer := m.Engine.PrefillTimePerToken(u.Accelerator).Seconds() / float64(m.Engine.Layers)
	return time.Duration(perLayer * float64(tokens*layers) * float64(time.Second))
}

// Capacity returns the room of an upstream in token-layers; 0 if it holds
// nothing.
func (m *LayerMap) Capacity(instance string) float64 {
	for i := range m.Holders {
		if m.Holders[i].Upstream.Instance == instance {
			return m.Holders[i].Capacity
		}
	}
	return 0
}

// Query is what a chain is wanted for.
type Query struct {
	// Zone is where the request comes from.
	Zone string
	// Tokens is the KV cache that the request may come to need.
	Tokens float64
	// PromptTokens are those to read.
	PromptTokens int
	// Load returns the load of an upstream.
	Load func(u *fleet.Upstream) Load
	// Urgent says that the caller is waiting for the next event of a stream that
	// has begun, so that the time to read it again counts most.
	Urgent bool
	// Jitter multiplies the cost of a holder, so that processes which see the
	// same loads do not all choose alike; nil for none.
	Jitter func() float64
	// Link returns the pipe between two zones; nil if none limits anything.
	Link func(a, b string) Link
	// Suspected says whether the link between two zones is to be avoided; nil
	// avoids none.
	Suspected func(a, b string) bool
	// MayBeFirst says which upstreams may be the first stage; nil allows all.
	MayBeFirst func(u *fleet.Upstream) bool
	// PreferFirst prefers an upstream as first stage if it can be; empty for none.
	PreferFirst string
}

// Chain is a composition.
type Chain struct {
	Stages []relay.Stage
	// Full says that a stage, or a pipe on the way, has no room for the request.
	Full bool
	// Fill is how full the fullest stage is with the request, 1 for full.
	Fill float64
	// PrefillDelay is how long the prompts before and then that of the request take to be
	// read. All stages read those before at the same time.
	PrefillDelay time.Duration
}

// node is the cheapest way to have run the layers up to a bound.
type node struct {
	cost float64
	// holder and from say which stage came last and from which bound; holder
	// is negative if there is none.
	holder, from, fromZone int
	reached                bool
}

// newNodes returns a node for each bound and zone, none of which is reached.
func (m *LayerMap) newNodes() [][]node {
	nodes := make([][]node, len(m.bounds))
	for i := range nodes {
		nodes[i] = make([]node, len(m.zones))
	}
	return nodes
}

// Find returns the cheapest chain. It says false if no upstreams in use cover
// all layers.
func (m *LayerMap) Find(q *Query) (Chain, bool) {
	f := finder{m: m, q: q, stop: len(m.bounds) - 1}
	f.weigh()
	best, found := Chain{}, false
	bestCost := 0.0
	for zone := range m.zones {
		cost, nodes, ok := f.from(zone)
		if !ok || found && cost >= bestCost {
			continue
		}
		chain, ok := f.trace(nodes, zone)
		if !ok {
			continue
		}
		best, bestCost, found = chain, cost, true
	}
	return best, found
}

// finder holds what one search needs.
type finder struct {
	m *LayerMap
	q *Query
	// loads, noise are those of the holders.
	loads []Load
	noise []float64
	// pipes are those between zones by their indexes.
	pipes [][]Link
	// start and stop are the bounds between which layers are to be run.
	start, stop int
	// whole forbids leaving a holder before the end of its range.
	whole bool
	// end is the zone of the last stage of the best chain.
	end int
}

func (f *finder) weigh() {
	f.loads = make([]Load, len(f.m.Holders))
	f.noise = make([]float64, len(f.m.Holders))
	for i := range f.m.Holders {
		f.loads[i] = f.q.Load(f.m.Holders[i].Upstream)
		f.noise[i] = 1
		if f.q.Jitter != nil {
			f.noise[i] = f.q.Jitter()
		}
	}
	f.pipes = make([][]Link, len(f.m.zones))
	for a, from := range f.m.zones {
		f.pipes[a] = make([]Link, len(f.m.zones))
		for b, to := range f.m.zones {
			if a != b && f.q.Link != nil {
				f.pipes[a][b] = f.q.Link(from, to)
			}
		}
	}
}

// from returns the cost of the cheapest chain whose first stage is in a zone.
func (f *finder) from(first int) (float64, [][]node, bool) {
	m := f.m
	nodes := m.newNodes()
	f.relax(nodes, 0, first, node{cost: f.entryCost(first), holder: -1, reached: true}, true)
	cost, found := f.search(nodes, first)
	return cost, nodes, found
}

// search goes on from the start to the stop, from where the next stage is in a
// zone, and returns the cost of the cheapest way.
func (f *finder) search(nodes [][]node, next int) (float64, bool) {
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
			best, found, f.end = cost, true, zone
		}
	}
	return best, found
}

// entryCost is that of reaching the first stage from the caller's zone.
func (f *finder) entryCost(zone int) float64 {
	if f.m.zones[zone] == f.q.Zone {
		return 0
	}
	if f.doubted(f.q.Zone, f.m.zones[zone]) {
		return doubtedCost
	}
	return remoteEntryCost
}

func (f *finder) zoneCost(from, to int) float64 {
	switch {
	case from == to:
		return 0
	case f.doubted(f.m.zones[from], f.m.zones[to]):
		return doubtedCost
	}
	return zoneChangeCost
}

// pipeCost is that of passing activations on to another zone beside others.
func (f *finder) pipeCost(from, to int) float64 {
	p := &f.pipes[from][to]
	if p.Full {
		return fullCost
	}
	return p.wait()
}

func (f *finder) doubted(from, to string) bool {
	return f.q.Suspected != nil && f.q.Suspected(from, to)
}

// relax tries all stages that can follow a node.
func (f *finder) relax(nodes [][]node, i, zone int, n node, first bool) {
	m := f.m
	for h := range m.Holders {
		held := m.Holders[h].Upstream.Held
		at := m.bounds[i]
		if f.loads[h].Excluded || held.From > at || held.To <= at || h == n.holder {
			continue
		}
		if first && (m.zoneOf[h] != zone || !f.mayBegin(h)) {
			continue
		}
		for j := i + 1; j <= f.stop && m.bounds[j] <= held.To; j++ {
			if f.whole && m.bounds[j] != held.To {
				continue
			}
			cost := n.cost + f.stageCost(h, m.bounds[j]-at) + f.zoneCost(zone, m.zoneOf[h]) + f.pipeCost(zone, m.zoneOf[h])
			if first {
				cost += f.beginCost(h)
			}
			to := &nodes[j][m.zoneOf[h]]
			if !to.reached || cost < to.cost {
				*to = node{cost: cost, holder: h, from: i, fromZone: zone, reached: true}
			}
		}
	}
}

func (f *finder) mayBegin(h int) bool {
	return f.q.MayBeFirst == nil || f.q.MayBeFirst(f.m.Holders[h].Upstream)
}

// slotWeight is the milliseconds for each token that a first stage costs all of
// whose slots are taken: a request more waits there until another ends.
const slotWeight = 30.0

// beginCost is that of having a holder as first stage.
func (f *finder) beginCost(h int) float64 {
	cost := 0.0
	if f.m.Holders[h].Upstream.Instance == f.q.PreferFirst {
		cost -= firstGain
	}
	taken := f.slotsTaken(h)
	if taken > 1 {
		cost += fullCost
	}
	return cost + slotWeight*taken*taken*taken*taken
}

// slotsTaken returns which part of the slots of a first stage is taken with the
// request; 0 if they are not limited.
func (f *finder) slotsTaken(h int) float64 {
	slots := f.m.Holders[h].Upstream.Slots
	if slots <= 0 {
		return 0
	}
	return (f.loads[h].Begun + 1) / float64(slots)
}

// firstGain is what keeping the first stage is worth, in milliseconds for each
// token.
const firstGain = 50.0

func (f *finder) stageCost(h, layers int) float64 {
	load := &f.loads[h]
	holder := &f.m.Holders[h]
	slowdown := max(1, load.Slowdown)
	step := float64(layers) * (holder.pace + holder.perRequest*load.Requests) * slowdown
	step /= 1 - min(holder.reading*load.Reading/1e3*slowdown, maxUse)
	fill := f.fill(h, layers)
	cost := step*(1+loadWeight*fill*fill*fill*fill)*f.noise[h] + stageOverhead + f.waitCost(load)
	if fill > overcommitLimit {
		cost += fullCost * fill
	}
	return cost
}

// waitCost is that of waiting until the prompts before have been read.
func (f *finder) waitCost(load *Load) float64 {
	weight := waitWeight
	if f.q.Urgent {
		weight = urgentWaitWeight
	}
	return weight * load.Backlog.Seconds() * 1e3
}

// readTime returns how long a holder takes to read the prompt for some layers,
// and backlog how long those before it.
func (f *finder) readTime(h, layers int) time.Duration {
	reading := f.m.ReadTime(f.m.Holders[h].Upstream, f.q.PromptTokens, layers)
	return time.Duration(float64(reading) * max(1, f.loads[h].Slowdown))
}

func (f *finder) backlog(h int) time.Duration {
	return time.Duration(float64(f.loads[h].Backlog) * max(1, f.loads[h].Slowdown))
}

// fill returns how full a holder is with the request.
func (f *finder) fill(h, layers int) float64 {
	capacity := f.m.Holders[h].Capacity
	if capacity <= 0 {
		return 2
	}
	return (f.loads[h].TokenLayers + f.q.Tokens*float64(layers)) / capacity
}

// trace returns the chain of the cheapest way. A chain that would use an
// upstream twice is searched again with whole ranges, which can't.
func (f *finder) trace(nodes [][]node, first int) (Chain, bool) {
	var chain Chain
	var longest time.Duration
	seen := make([]bool, len(f.m.Holders))
	i, zone := f.stop, f.end
	for i > f.start {
		n := nodes[i][zone]
		if seen[n.holder] {
			return f.traceWhole(first)
		}
		seen[n.holder] = true
		layers := fleet.Range{From: f.m.bounds[n.from], To: f.m.bounds[i]}
		chain.Stages = append(chain.Stages, relay.Stage{Upstream: f.m.Holders[n.holder].Upstream, Layers: layers})
		fill := f.fill(n.holder, layers.Len())
		chain.Fill = max(chain.Fill, fill)
		chain.PrefillDelay += f.readTime(n.holder, layers.Len())
		longest = max(longest, f.backlog(n.holder))
		chain.Full = chain.Full || fill > overcommitLimit || f.pipes[n.fromZone][zone].Full
		if n.from == 0 && f.start == 0 {
			chain.Full = chain.Full || f.slotsTaken(n.holder) > 1
		}
		i, zone = n.from, n.fromZone
	}
	chain.PrefillDelay += longest
	slices.Reverse(chain.Stages)
	return chain, true
}

func (f *finder) traceWhole(first int) (Chain, bool) {
	if f.whole || f.start > 0 {
		return Chain{}, false
	}
	whole := *f
	whole.whole = true
	_, nodes, ok := whole.from(first)
	if !ok {
		return Chain{}, false
	}
	return whole.trace(nodes, first)
}
