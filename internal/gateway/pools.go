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
	// upstreams are those of the service when its description changed, by instance.
	upstreams map[string]*fleet.Upstream
	// pool is nil if the service has no members.
	pool *servicePool
	// until is the latest deadline of these requests, a boot time.
	until time.Duration
}

// newFormerPool returns the pool of a service whose description changes now.
func (s *state) newFormerPool(service *routing.Service, until time.Duration) *formerPool {
	f := &formerPool{service: service, upstreams: make(map[string]*fleet.Upstream), until: until}
	for instance, u := range s.upstreams {
		if u.Service == service.Name {
			f.upstreams[instance] = u
		}
	}
	return f
}

// update recomputes the pool from the upstreams that serve. An engine that has
// been restarted or holds other layers since the change may hold those of the model
// that the service has now.
func (f *formerPool) update(serving []*fleet.Upstream) {
	var members []*fleet.Upstream
	for _, u := range serving {
		before := f.upstreams[u.Instance]
		if f.service.Engine == nil || before != nil && before.Started == u.Started && before.Held == u.Held {
			members = append(members, u)
		}
	}
	f.pool = newServicePool(f.service, members)
}

// poolOf returns the pool on which a request may run: that of its service as the
// request was accepted for it, whatever the table says of it now. It is nil if
// the service has no members.
func (s *state) poolOf(q *request) *servicePool {
	if q.accepted == nil || s.table != nil && q.accepted.RunsLike(s.table.Services[q.service]) {
		return s.pools[q.service]
	}
	// The latest one knows the engines as they were last for this description.
	for _, f := range slices.Backward(s.formerPools) {
		if f.service.Name == q.service && f.service.RunsLike(q.accepted) {
			f.until = max(f.until, q.deadline)
			return f.pool
		}
	}
	f := s.newFormerPool(q.accepted, q.deadline)
	f.update(s.servingUpstreams()[q.service])
	s.formerPools = append(s.formerPools, f)
	return f.pool
}

// retainFormerPools keeps the pools of the services that t describes otherwise than
// the present table, for as long as requests that were accepted by that may run.
func (s *state) retainFormerPools(t *routing.Table) {
	longest := time.Duration(0)
	for _, r := range s.table.Routes {
		longest = max(longest, r.Timeout)
		if r.Timeout <= 0 {
			longest = max(longest, defaultTimeout)
		}
	}
	for name, service := range s.table.Services {
		if !service.RunsLike(t.Services[name]) {
			s.formerPools = append(s.formerPools, s.newFormerPool(service, s.now()+longest))
		}
	}
}

// serviceNamed returns a service as the table describes it, or else as requests
// that run were accepted for it; nil if neither is known.
func (s *state) serviceNamed(name string) *routing.Service {
	if s.table != nil && s.table.Services[name] != nil {
		return s.table.Services[name]
	}
	for _, f := range slices.Backward(s.formerPools) {
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
	if s.table != nil && t != nil {
		s.retainFormerPools(t)
	}
	s.table = t
	s.dropRemovedDemand()
	s.rebuildPools()
}

// rebuildPools recomputes the pools from the list of upstreams.
func (s *state) rebuildPools() {
	now := s.now()
	s.pools = make(map[string]*servicePool)
	s.pruneLeaving(now)
	s.list.ForgetRemovalsBefore(now - removedRetention)
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
		f.update(serving[f.service.Name])
	}
	s.countUpstreams(serving)
	s.logCoverage(now)
	live := func(instance string) bool { return s.upstreams[instance] != nil }
	s.health.Retain(s.listedAs, now)
	s.pruneLimits(now)
	s.retainPrefixes()
	s.retainPaths()
	maps.DeleteFunc(s.loads, func(instance string, l *upstreamLoad) bool { return l.requests == 0 && !live(instance) })
}

// countUpstreams sets the numbers of upstreams in service.
func (s *state) countUpstreams(serving map[string][]*fleet.Upstream) {
	if s.metrics == nil {
		return
	}
	s.metrics.upstreams.Reset()
	for name := range s.table.Services {
		s.metrics.upstreams.WithLabelValues(name).Set(float64(len(serving[name])))
	}
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
