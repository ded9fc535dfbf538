// Package route chooses the chain of declared upstreams that runs a request.
//
// A chain is found by dynamic programming over the layer boundaries of a pool of
// upstreams. The cost of a chain is the estimated time of its stages and the
// latency of the links between them. The capacity of an upstream is counted in
// requests.
package route

import (
	"time"

	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

// Stage is an upstream and the layers that it runs.
type Stage struct {
	Upstream *declaration.Upstream
	Range    declaration.LayerRange
}

// Chain is a sequence of stages that together run each layer once and in order.
type Chain []Stage

// Contains reports whether the named upstream runs a stage of the chain.
func (c Chain) Contains(upstream string) bool {
	for _, s := range c {
		if s.Upstream.Name == upstream {
			return true
		}
	}
	return false
}

// Occupancy is how busy an upstream is, in requests.
type Occupancy struct {
	// Free is how many more requests the upstream can run. If it is not positive
	// the upstream is not chosen.
	Free float64
	// Used is how many requests the upstream runs.
	Used float64
}

// Chooser chooses the cheapest chain. The zero value ignores zones, latencies and
// load, and is deterministic.
type Chooser struct {
	// Zone is the availability zone of the process that sends the request.
	Zone string
	// Latency returns the one-way latency between two availability zones; nil
	// means none.
	Latency func(from, to string) time.Duration
	// Random returns a number in [0, 1) for Jitter; nil means no jitter.
	Random func() float64
	// Jitter is the largest fraction by which the cost of a stage is randomly
	// raised. It makes processes that see the same reports choose different
	// upstreams of similar cost.
	Jitter float64
	// LoadWeight is the additional cost of a fully occupied upstream, as a
	// fraction of its service time.
	LoadWeight float64
	// ReuseDiscount is the fraction by which the cost of a preferred upstream is
	// reduced.
	ReuseDiscount float64
}

// Default parameters of a Chooser.
const (
	DefaultJitter        = 0.1
	DefaultLoadWeight    = 0.2
	DefaultReuseDiscount = 0.5
)

// hop is a stage with the cheapest chain found that ends with it.
type hop struct {
	// cost is the cost of that chain, in seconds.
	cost  float64
	stage Stage
	// prev is the index of the hop before it, -1 for none.
	prev int
}

// Choose returns the cheapest chain of candidates of the pool that have free
// capacity according to occupancy. prefer holds the names of upstreams that may
// still have the request's KV cache. It returns nil if no chain covers the
// layers.
func (c *Chooser) Choose(pool *catalog.Pool, occupancy func(*catalog.Candidate) Occupancy, prefer map[string]bool) Chain {
	hops := make([]hop, 0, len(pool.Candidates))
	// endingAt lists, for each boundary, the hops that end there.
	endingAt := make([][]int, len(pool.Boundaries))
	for i, boundary := range pool.Boundaries {
		if boundary > 0 && len(endingAt[i]) == 0 {
			continue
		}
		for j := range pool.Candidates {
			candidate := &pool.Candidates[j]
			if candidate.Range.From > boundary || candidate.Range.To <= boundary {
				continue
			}
			o := occupancy(candidate)
			if o.Free <= 0 {
				continue
			}
			prev, linkCost := c.cheapestPrev(hops, endingAt[i], candidate.Upstream)
			if prev < 0 && boundary > 0 {
				continue
			}
			for k := i + 1; k < len(pool.Boundaries) && pool.Boundaries[k] <= candidate.Range.To; k++ {
				r := declaration.LayerRange{From: boundary, To: pool.Boundaries[k]}
				cost := linkCost + c.cost(candidate, r, o, prefer)
				hops = append(hops, hop{cost, Stage{candidate.Upstream, r}, prev})
				endingAt[k] = append(endingAt[k], len(hops)-1)
			}
		}
	}
	last := len(pool.Boundaries) - 1
	if last < 0 || pool.Boundaries[last] != pool.Layers {
		return nil
	}
	return c.backtrack(hops, endingAt[last])
}

// cheapestPrev returns the index of the best of the given hops to precede a stage
// on upstream to, and the cost up to there, including the link between them. With
// no hops to choose from it returns -1 and the cost of the link from the
// chooser's zone.
func (c *Chooser) cheapestPrev(hops []hop, from []int, to *declaration.Upstream) (int, float64) {
	if len(from) == 0 {
		return -1, c.linkCost(c.Zone, to.Zone)
	}
	best, bestCost := -1, 0.0
	for _, i := range from {
		if uses(hops, i, to) {
			continue
		}
		cost := hops[i].cost + c.linkCost(hops[i].stage.Upstream.Zone, to.Zone)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// uses reports whether the chain that ends with hop i contains the upstream.
func uses(hops []hop, i int, upstream *declaration.Upstream) bool {
	for ; i >= 0; i = hops[i].prev {
		if hops[i].stage.Upstream == upstream {
			return true
		}
	}
	return false
}

// linkCost returns the latency between two zones in seconds.
func (c *Chooser) linkCost(from, to string) float64 {
	if c.Latency == nil {
		return 0
	}
	return c.Latency(from, to).Seconds()
}

// defaultServiceSeconds is the service time of upstreams that declare no speed.
const defaultServiceSeconds = 0.01

// cost returns the cost of running a range of layers on a candidate, in
// seconds.
func (c *Chooser) cost(candidate *catalog.Candidate, r declaration.LayerRange, o Occupancy, prefer map[string]bool) float64 {
	service := defaultServiceSeconds
	if speed := candidate.Upstream.LayersPerSecond; speed > 0 {
		service = float64(r.To-r.From) / speed
	}
	load := o.Used / (o.Used + o.Free)
	cost := service * (1 + c.LoadWeight*load)
	if prefer[candidate.Upstream.Name] {
		cost *= 1 - c.ReuseDiscount
	}
	if c.Random != nil {
		cost *= 1 + c.Jitter*c.Random()
	}
	return cost
}

// backtrack returns the chain that ends with the cheapest of the last hops, or
// nil if there are none.
func (c *Chooser) backtrack(hops []hop, last []int) Chain {
	best := -1
	for _, i := range last {
		if best < 0 || hops[i].cost < hops[best].cost {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	var chain Chain
	for i := best; i >= 0; i = hops[i].prev {
		chain = append(Chain{hops[i].stage}, chain...)
	}
	return chain
}
