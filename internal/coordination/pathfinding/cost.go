package pathfinding

import "time"

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
	step := f.stepTime(h, layers)
	fill := f.fill(h, layers)
	cost := step*(1+memoryWeight*fill*fill*fill*fill)*f.jitter[h] + stageOverhead + f.backlogCost(load)
	if fill > overcommitLimit {
		cost += noCapacityCost * fill
	}
	return cost
}

// stepTime returns the milliseconds that a token takes on a holder, lengthened by the
// prompts that the engine reads in between.
func (f *finder) stepTime(h, layers int) float64 {
	load := &f.loads[h]
	holder := &f.m.Holders[h]
	slowdown := max(1, load.Slowdown)
	step := float64(layers) * (holder.layerMS + holder.requestMS*load.Requests) * slowdown
	return step / (1 - min(holder.prefillMS*load.Reading/1e3*slowdown, maxUtilization))
}

// backlogCost returns the cost of waiting until earlier prompts have been read.
func (f *finder) backlogCost(load *Load) float64 {
	return f.backlogWeight() * load.Backlog.Seconds() * 1e3
}

// backlogWeight returns the cost of a millisecond until the prompt has been read.
func (f *finder) backlogWeight() float64 {
	if f.q.Urgent {
		return urgentBacklogWeight
	}
	return backlogWeight
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
