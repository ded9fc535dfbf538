package gateway

import (
	"maps"
	"slices"
	"time"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// servicePool holds the upstreams of one service.
type servicePool struct {
	service *routing.Service
	// members are the upstreams that serve, ordered by instance.
	members []*fleet.Upstream
	// layers is nil unless the service has an engine.
	layers *pathfinding.LayerMap
}

// newServicePool returns the pool of a service, or nil if it has no members.
func newServicePool(service *routing.Service, members []*fleet.Upstream) *servicePool {
	if len(members) == 0 {
		return nil
	}
	p := &servicePool{service: service, members: members}
	if service.Engine != nil {
		p.layers = pathfinding.NewLayerMap(service.Engine, members)
	}
	return p
}

// formerPool is the pool of a service as an earlier table described it. The
// requests that were accepted by that table run on it to their end.
type formerPool struct {
	service *routing.Service
	// pool is nil if the service has no members.
	pool *servicePool
	// until is the latest deadline of these requests, a boot time.
	until time.Duration
}

// poolOf returns the pool on which a request may run: that of its service as the
// request was accepted for it, whatever the table says of it now. It is nil if
// the service has no members.
func (s *state) poolOf(q *request) *servicePool {
	if q.accepted == nil || s.table != nil && q.accepted.RunsLike(s.table.Services[q.service]) {
		return s.pools[q.service]
	}
	for _, f := range s.formerPools {
		if f.service.Name == q.service && f.service.RunsLike(q.accepted) {
			f.until = max(f.until, q.deadline)
			return f.pool
		}
	}
	p := newServicePool(q.accepted, s.servingUpstreams()[q.service])
	s.formerPools = append(s.formerPools, &formerPool{q.accepted, p, q.deadline})
	return p
}

// serviceNamed returns a service as the table describes it, or else as requests
// that run were accepted for it; nil if neither is known.
func (s *state) serviceNamed(name string) *routing.Service {
	if s.table != nil && s.table.Services[name] != nil {
		return s.table.Services[name]
	}
	for _, f := range s.formerPools {
		if f.service.Name == name {
			return f.service
		}
	}
	return nil
}

// setTable replaces the configuration, unless t is older: its sources reach the
// control loop in any order.
func (s *state) setTable(t *routing.Table) {
	if s.table != nil && t.Version < s.table.Version {
		return
	}
	s.table = t
	s.rebuildPools()
}

// rebuildPools recomputes the pools from the list of upstreams.
func (s *state) rebuildPools() {
	now := s.now()
	s.pools = make(map[string]*servicePool)
	s.pruneLeaving(now)
	s.pruneRemovals(now)
	s.formerPools = slices.DeleteFunc(s.formerPools, func(f *formerPool) bool { return now > f.until })
	if s.table == nil {
		return
	}
	serving := s.servingUpstreams()
	for name, members := range serving {
		if service := s.table.Services[name]; service != nil {
			s.pools[name] = newServicePool(service, members)
		}
	}
	for _, f := range s.formerPools {
		f.pool = newServicePool(f.service, serving[f.service.Name])
	}
	s.logCoverage(now)
	live := func(instance string) bool { return s.upstreams[instance] != nil }
	s.health.Retain(live)
	maps.DeleteFunc(s.loads, func(instance string, l *upstreamLoad) bool { return l.requests == 0 && !live(instance) })
}

// servingUpstreams returns the upstreams that may get new requests, by service
// and ordered by instance.
func (s *state) servingUpstreams() map[string][]*fleet.Upstream {
	newest := s.newestRegistrations()
	serving := make(map[string][]*fleet.Upstream)
	for _, instance := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[instance]
		if u.State != fleet.Serving || s.isLeaving(u) || u.Registered < newest[u.Address] {
			continue
		}
		serving[u.Service] = append(serving[u.Service], u)
	}
	return serving
}

// newestRegistrations returns the newest registration at each address. An
// address has one upstream, and the entry of one that crashed there expires
// late. Retained upstreams, which may be of an earlier era of the store, don't
// count.
func (s *state) newestRegistrations() map[string]int64 {
	newest := make(map[string]int64, len(s.upstreams))
	for instance, u := range s.upstreams {
		if _, retained := s.retained[instance]; !retained {
			newest[u.Address] = max(newest[u.Address], u.Registered)
		}
	}
	return newest
}
