package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// leavingMemory is how long it is remembered that an upstream leaves after the
// list no longer names it: its entry may only have lapsed, and come back.
const leavingMemory = 10 * time.Minute

// Kinds of notices that upstreams give; each is a metric label.
const (
	leavingNotice = "leaving"
	holdOffNotice = "hold_off"
)

// noteAnswer takes in what an upstream says of itself in the head of an answer,
// whatever was asked.
func (g *Gateway) noteAnswer(u *fleet.Upstream, a relay.Answer) {
	if a.WrongInstance || !a.Leaving && a.HoldOff == 0 {
		return
	}
	g.noticed.Store(true)
	if a.Leaving {
		g.metrics.notices.WithLabelValues(leavingNotice).Inc()
	}
	if a.HoldOff > 0 {
		g.metrics.notices.WithLabelValues(holdOffNotice).Inc()
	}
	g.control.Do(func(s *state) {
		if a.Leaving {
			s.noteLeaving(u.Incarnation(), "", g.Now())
		}
		if a.HoldOff > 0 {
			s.noteHoldOff(u, a, g.Now())
		}
	})
}

// mayCall says whether an upstream may be called by this VM.
func (g *Gateway) mayCall(u *fleet.Upstream) bool {
	if !g.noticed.Load() {
		return true
	}
	may := false
	g.control.Do(func(s *state) { may = s.health.MayCall(u.Instance, g.Now()) })
	return may
}

// maySend says whether a request may still go to its place: time may have
// passed since it was given.
func (g *Gateway) maySend(p place) bool {
	if !g.noticed.Load() {
		return true
	}
	may := false
	g.control.Do(func(s *state) {
		may = s.health.MayCall(p.upstream.Instance, g.Now()) && !s.leaves(p.upstream)
	})
	return may
}

// noteLeaving takes an upstream out of service that has said that it is about
// to end; peer is empty if it has said so here. It is about one start of the
// upstream: a later one serves.
func (s *state) noteLeaving(i fleet.Incarnation, peer string, now time.Duration) {
	_, known := s.leaving[i]
	s.leaving[i] = now
	if known {
		return
	}
	s.log.Info("upstream leaving", zap.String("upstream", i.Instance), zap.Int64("started", i.Started), zap.String("peer", peer), zap.Duration("list_age", now-s.listedAt))
	s.rebuild()
}

// leaves says whether an upstream is about to end.
func (s *state) leaves(u *fleet.Upstream) bool {
	_, leaving := s.leaving[u.Incarnation()]
	return leaving
}

// keepLeaving forgets the upstreams that left and have not been listed for long.
func (s *state) keepLeaving(now time.Duration) {
	for i, at := range s.leaving {
		if s.lists(i) {
			s.leaving[i] = now
		} else if now-at > leavingMemory {
			delete(s.leaving, i)
		}
	}
}

// lists says whether the list names a start of an upstream.
func (s *state) lists(i fleet.Incarnation) bool {
	u := s.upstreams[i.Instance]
	return u != nil && u.Incarnation() == i
}

// noteHoldOff leaves alone an upstream that has refused and wants no requests
// for a time. If it refused because of another stage, that one has no room, and
// the one that answered may still be passed through.
func (s *state) noteHoldOff(u *fleet.Upstream, a relay.Answer, now time.Duration) {
	longer := s.health.HoldOffCalls(u.Instance, a.HoldOff, now)
	full := u
	if a.AtFault != "" && a.AtFault != u.Address {
		full = s.at(a.AtFault)
	}
	if full != nil {
		s.health.HoldOffWork(full.Instance, a.HoldOff, now)
	}
	if longer {
		s.log.Info("upstream holds off requests", zap.String("upstream", u.Instance), zap.String("zone", u.Zone), zap.String("at_fault", a.AtFault),
			zap.Duration("wait", a.HoldOff), zap.Duration("list_age", now-s.listedAt))
	}
}

// at returns the upstream at an address; nil if none is listed there.
func (s *state) at(address string) *fleet.Upstream {
	for _, u := range s.upstreams {
		if u.Address == address {
			return u
		}
	}
	return nil
}

// addNotices adds which upstreams leave, and which have asked this gateway for
// no requests.
func (s *state) addNotices(n *peering.News, now time.Duration) {
	for i := range s.leaving {
		if s.lists(i) && len(n.Leaving) < peering.MaxNews {
			n.Leaving = append(n.Leaving, i)
		}
	}
	if n.OfZone {
		return
	}
	for _, instance := range s.health.HoldingOffWork(now) {
		if len(n.HeldOff) < peering.MaxNews {
			n.HeldOff = append(n.HeldOff, peering.UpstreamFault{Upstream: instance, Left: s.health.HoldOff(instance).Work - now})
		}
	}
}

// hearLeaving takes in which upstreams leave by a peer's word. One that is not
// listed here is not used, and the word of it goes no further.
func (s *state) hearLeaving(n *peering.News, now time.Duration) {
	for _, i := range n.Leaving {
		if s.lists(i) && !s.leaves(s.upstreams[i.Instance]) {
			s.noteLeaving(i, n.Address.Address, now)
		}
	}
}

// planHoldOff is the least time for which an engine must have asked for no
// requests to be left out of the plan of layers: loading its layers elsewhere
// takes longer than a shorter wait.
const planHoldOff = 5 * time.Second

// overloaded returns the upstreams that have asked at least half of the gateways
// of this zone for no requests, for long enough to plan without them.
func (s *state) overloaded(now time.Duration) map[string]bool {
	asked := make(map[string]int)
	for _, instance := range s.health.HoldingOffWork(now) {
		if s.health.HoldOff(instance).Work-now >= planHoldOff {
			asked[instance]++
		}
	}
	near := 1
	for _, m := range s.roster.Alive(now) {
		if m.Zone != s.zone {
			continue
		}
		near++
		for _, h := range m.News.HeldOff {
			if h.Left-(now-m.LastHeard) >= planHoldOff {
				asked[h.Upstream]++
			}
		}
	}
	out := make(map[string]bool)
	for instance, gateways := range asked {
		out[instance] = 2*gateways >= near
	}
	return out
}

// reliefTime returns when upstreams that want no requests now, but can serve
// a request of the pool else, will take it. It says false if waiting for them is
// of no use: others can serve it, or nothing can.
func (s *state) reliefTime(p *pool, now time.Duration) (time.Duration, bool) {
	ends := s.health.HoldOffEnds(now)
	if len(ends) == 0 || s.servable(p, now, now) {
		return 0, false
	}
	at, _ := slices.BinarySearchFunc(ends, true, func(end time.Duration, _ bool) int {
		if s.servable(p, end, now) {
			return 0
		}
		return -1
	})
	if at == len(ends) {
		return 0, false
	}
	return ends[at], true
}

// servable says whether upstreams that have no fault now and want requests by a
// later time can serve a request of the pool.
func (s *state) servable(p *pool, at, now time.Duration) bool {
	usable := func(u *fleet.Upstream) bool {
		return !s.health.ExcludedForFault(u.Instance, now) && at >= s.health.HoldOff(u.Instance).Work
	}
	if p.layers == nil {
		return slices.ContainsFunc(p.members, func(u *fleet.Upstream) bool { return usable(u) && s.health.MayCall(u.Instance, at) })
	}
	var held []fleet.Range
	first := false
	for i := range p.layers.Holders {
		u := p.layers.Holders[i].Upstream
		if !usable(u) {
			continue
		}
		held = append(held, u.Held)
		first = first || u.Held.From == 0 && s.health.MayCall(u.Instance, at)
	}
	return first && covers(held, p.service.Engine.Layers)
}

// relief returns the refusal of a request that no upstream will take in time
// because those that could have asked for no requests; nil if it may wait.
func (s *state) relief(q *query, now time.Duration) *verdict.Error {
	p := s.pools[q.service]
	if p == nil {
		return nil
	}
	at, ok := s.reliefTime(p, now)
	if !ok || at <= min(q.waitUntil, q.deadline) {
		return nil
	}
	return verdict.RefuseUntil(at-now, verdict.HeldOff, "the upstreams of %s want no requests for %v", q.service, at-now)
}

// forgetHoldOffs forgets what upstreams asked for that have been started anew.
func (s *state) forgetHoldOffs(old, all map[string]*fleet.Upstream) {
	for instance, u := range all {
		if was := old[instance]; was != nil && was.Started != u.Started {
			s.health.ClearHoldOff(instance)
		}
	}
}
