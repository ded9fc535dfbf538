package dispatch

import (
	"time"

	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

// pool returns the pool of r in the configuration in force. If that has none any
// more, or one with another number of layers, it returns the one under which r was
// accepted, without the upstreams that are not declared any more: a request that
// was accepted ends under the terms that held then.
func (d *Dispatcher) pool(r *Request) (*catalog.Pool, bool) {
	if d.catalog == nil {
		return nil, false
	}
	current, ok := d.catalog.Pool(r.Pool)
	if r.Accepted == nil || ok && current.Layers == r.Accepted.Layers {
		return current, ok
	}
	kept := *r.Accepted
	kept.Candidates = nil
	for _, c := range r.Accepted.Candidates {
		if u, ok := d.catalog.Upstream(c.Upstream.Name); ok && u.Address == c.Upstream.Address {
			kept.Candidates = append(kept.Candidates, c)
		}
	}
	return &kept, true
}

// findChain selects a chain with ChooseFunc, if set, or Chooser.
func (d *Dispatcher) findChain(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, prefer map[string]bool) route.Chain {
	if d.ChooseFunc != nil {
		return d.ChooseFunc(pool, state, prefer)
	}
	return d.Chooser.Choose(pool, state, prefer)
}

// candidateState returns the capacity and load of a candidate to a chooser.
type candidateState = func(*catalog.Candidate) route.Occupancy

// excluding returns state without capacity on the upstreams for which out
// returns true.
func excluding(state candidateState, out func(*declaration.Upstream) bool) candidateState {
	return func(c *catalog.Candidate) route.Occupancy {
		if out(c.Upstream) {
			return route.Occupancy{}
		}
		return state(c)
	}
}

// chooseChain selects a chain for r. It leaves out the upstreams to avoid if any
// chain exists without them, even one that has no room now, and the crash zone
// if a chain outside it has room.
func (d *Dispatcher) chooseChain(pool *catalog.Pool, r *Request, suspect bool, now time.Time) route.Chain {
	state := d.currentState(r, suspect, now)
	avoided := func(u *declaration.Upstream) bool { return r.AvoidIfPossible[u.Name] }
	if len(r.AvoidIfPossible) > 0 && d.findChain(pool, excluding(d.idleState(r, now), avoided), nil) != nil {
		state = excluding(state, avoided)
	}
	if r.CrashZone != "" {
		inZone := func(u *declaration.Upstream) bool { return u.Zone == r.CrashZone }
		if chain := d.findChain(pool, excluding(state, inZone), r.Prefer); chain != nil {
			return chain
		}
	}
	return d.findChain(pool, state, r.Prefer)
}
