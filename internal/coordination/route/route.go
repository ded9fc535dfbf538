// Package route chooses the chain of upstreams that runs a request.
package route

import (
	"time"

	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

// Stage is an upstream with the layers that it runs.
type Stage struct {
	Upstream *declaration.Upstream
	Range    declaration.LayerRange
}

// Chain is a set of stages whose ranges tile all layers, in order.
type Chain []Stage

// Contains says whether an upstream is part of the chain.
func (c Chain) Contains(upstream string) bool {
	for _, s := range c {
		if s.Upstream.Name == upstream {
			return true
		}
	}
	return false
}

// Occupancy is what a chooser asks about a candidate.
type Occupancy struct {
	// Free is how many more requests the upstream takes; none if not positive.
	Free float64
	// Used is how many requests it runs.
	Used float64
}

// Chooser finds the cheapest chain. Its zero value uses no randomness and
// knows no links.
type Chooser struct {
	// Zone is the entry's availability zone.
	Zone string
	// Latency returns the one-way latency between availability zones.
	Latency func(from, to string) time.Duration
	// Random returns a number in [0, 1); it spreads entries that see the same
	// reports over upstreams that cost about the same.
	Random func() float64
	// Jitter is the share by which a cost is randomly raised at most.
	Jitter float64
	// LoadWeight is how much a full upstream costs more than an idle one, as a
	// share of its service time.
	LoadWeight float64
	// ReuseDiscount is the share of its cost that a stage of Prefer saves.
	ReuseDiscount float64
}

// The chooser's defaults.
const (
	DefaultJitter        = 0.1
	DefaultLoadWeight    = 0.2
	DefaultReuseDiscount = 0.5
)

// hop is the best way found to a boundary that ends at a candidate.
type hop struct {
	cost  float64
	stage Stage
	// from is the index of the hop before, -1 for none.
	from int
}

// Choose returns the cheapest chain over the pool's candidates for which state
// says that they have room. prefer names upstreams that still hold the
// request's KV cache. It returns nil if no chain tiles the layers.
func (c *Chooser) Choose(pool *catalog.Pool, state func(*catalog.Candidate) Occupancy, prefer map[string]bool) Chain {
	hops := make([]hop, 0, len(pool.Candidates))
	// at lists, for each boundary, the hops that end there.
	at := make([][]int, len(pool.Boundaries))
	for i, boundary := range pool.Boundaries {
		if boundary > 0 && len(at[i]) == 0 {
			continue
		}
		for j := range pool.Candidates {
			candidate := &pool.Candidates[j]
			if candidate.Range.From > boundary || candidate.Range.To <= boundary {
				continue
			}
			s := state(candidate)
			if s.Free <= 0 {
				continue
			}
			before, linkCost := c.cheapest(hops, at[i], candidate.Upstream)
			if before < 0 && boundary > 0 {
				continue
			}
			for k := i + 1; k < len(pool.Boundaries) && pool.Boundaries[k] <= candidate.Range.To; k++ {
				r := declaration.LayerRange{From: boundary, To: pool.Boundaries[k]}
				cost := linkCost + c.cost(candidate, r, s, prefer)
				hops = append(hops, hop{cost, Stage{candidate.Upstream, r}, before})
				at[k] = append(at[k], len(hops)-1)
			}
		}
	}
	last := len(pool.Boundaries) - 1
	if last < 0 || pool.Boundaries[last] != pool.Layers {
		return nil
	}
	return c.trace(hops, at[last])
}

// cheapest returns the best hop to come from and the cost so far, link
// included.
func (c *Chooser) cheapest(hops []hop, from []int, to *declaration.Upstream) (int, float64) {
	if len(from) == 0 {
		return -1, c.link(c.Zone, to.Zone)
	}
	best, bestCost := -1, 0.0
	for _, i := range from {
		if uses(hops, i, to) {
			continue
		}
		cost := hops[i].cost + c.link(hops[i].stage.Upstream.Zone, to.Zone)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// uses says whether the chain that ends with hop i has the upstream already.
func uses(hops []hop, i int, upstream *declaration.Upstream) bool {
	for ; i >= 0; i = hops[i].from {
		if hops[i].stage.Upstream == upstream {
			return true
		}
	}
	return false
}

func (c *Chooser) link(from, to string) float64 {
	if c.Latency == nil {
		return 0
	}
	return c.Latency(from, to).Seconds()
}

// plainServiceSeconds stands for the service time of upstreams that state no
// speed.
const plainServiceSeconds = 0.01

func (c *Chooser) cost(candidate *catalog.Candidate, r declaration.LayerRange, s Occupancy, prefer map[string]bool) float64 {
	service := plainServiceSeconds
	if speed := candidate.Upstream.LayersPerSecond; speed > 0 {
		service = float64(r.To-r.From) / speed
	}
	load := s.Used / (s.Used + s.Free)
	cost := service * (1 + c.LoadWeight*load)
	if prefer[candidate.Upstream.Name] {
		cost *= 1 - c.ReuseDiscount
	}
	if c.Random != nil {
		cost *= 1 + c.Jitter*c.Random()
	}
	return cost
}

// trace returns the chain that ends with the cheapest of the last hops.
func (c *Chooser) trace(hops []hop, last []int) Chain {
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
	for i := best; i >= 0; i = hops[i].from {
		chain = append(Chain{hops[i].stage}, chain...)
	}
	return chain
}
