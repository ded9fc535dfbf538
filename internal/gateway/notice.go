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

// removedRetention is how long removed entries and announced shutdowns are
// remembered after the list last contained the upstream: the entry may only
// have expired, and return.
const removedRetention = 10 * time.Minute

// Notices that upstreams give about themselves; each is a metric label.
const (
	leavingNotice = "leaving"
	holdOffNotice = "hold_off"
)

// recordNotices records the notices in the header of a response from an
// upstream to a call that began at a boot time, whichever call it answers.
func (g *Gateway) recordNotices(u *fleet.Upstream, head relay.ResponseHead, began time.Duration) {
	if head.WrongInstance {
		return
	}
	g.recordLimit(u, head, began)
	if !head.Leaving && head.RetryAfter == 0 {
		return
	}
	g.noticeReceived.Store(true)
	if head.Leaving {
		g.metrics.notices.WithLabelValues(leavingNotice).Inc()
	}
	if head.RetryAfter > 0 {
		g.metrics.notices.WithLabelValues(holdOffNotice).Inc()
	}
	g.control.Do(func(s *state) {
		if head.Leaving {
			s.markLeaving(u.Incarnation(), "", g.Now())
		}
		if head.RetryAfter > 0 {
			s.recordHoldOff(u, head, g.Now())
		}
	})
}

// mayCall reports whether this VM may call an upstream.
func (g *Gateway) mayCall(u *fleet.Upstream) bool {
	if !g.noticeReceived.Load() {
		return true
	}
	allowed := false
	g.control.Do(func(s *state) { allowed = s.health.MayCall(u.Instance, g.Now()) })
	return allowed
}

// maySend reports whether a request may still be sent to its target, since a
// notice may have arrived after the target was assigned.
func (g *Gateway) maySend(to target) bool {
	if !g.noticeReceived.Load() {
		return true
	}
	allowed := false
	g.control.Do(func(s *state) {
		allowed = s.health.MayCall(to.upstream.Instance, g.Now()) && !s.isLeaving(to.upstream)
	})
	return allowed
}

// markLeaving takes an upstream out of service that has announced its shutdown;
// peer is the address of the gateway that reported it, empty for a notice
// received here. It concerns one incarnation: the upstream serves again after a
// restart.
func (s *state) markLeaving(i fleet.Incarnation, peer string, now time.Duration) {
	_, known := s.leaving[i]
	s.leaving[i] = now
	if known {
		return
	}
	s.log.Info("upstream leaving", zap.String("upstream", i.Instance), zap.Int64("started", i.Started), zap.String("peer", peer), zap.Duration("list_age", now-s.listedAt))
	s.rebuildPools()
}

// isLeaving reports whether an upstream has announced its shutdown.
func (s *state) isLeaving(u *fleet.Upstream) bool {
	_, leaving := s.leaving[u.Incarnation()]
	return leaving
}

// pruneLeaving forgets leaving upstreams that have not been listed for
// removedRetention.
func (s *state) pruneLeaving(now time.Duration) {
	for i, at := range s.leaving {
		if s.isListed(i) {
			s.leaving[i] = now
		} else if now-at > removedRetention {
			delete(s.leaving, i)
		}
	}
}

// listedAs returns the incarnation as which an instance is listed, and whether it is.
func (s *state) listedAs(instance string) (fleet.Incarnation, bool) {
	u := s.upstreams[instance]
	if u == nil {
		return fleet.Incarnation{}, false
	}
	return u.Incarnation(), true
}

// isListed reports whether the list contains an incarnation of an upstream.
func (s *state) isListed(i fleet.Incarnation) bool {
	listed, ok := s.listedAs(i.Instance)
	return ok && listed == i
}

// isRestarted reports whether an upstream is listed as another incarnation.
func (s *state) isRestarted(i fleet.Incarnation) bool {
	listed, ok := s.listedAs(i.Instance)
	return ok && listed != i
}

// listedIncarnation returns the incarnation as which an upstream is listed now, or that of
// u if it is not listed.
func (s *state) listedIncarnation(u *fleet.Upstream) fleet.Incarnation {
	if listed, ok := s.listedAs(u.Instance); ok {
		return listed
	}
	return u.Incarnation()
}

// recordHoldOff takes an upstream out of use that has refused a request and
// asked for none for some time. If it refused because of another stage, that
// stage is the one without capacity, and the upstream that answered may still
// be used as a later stage.
func (s *state) recordHoldOff(u *fleet.Upstream, head relay.ResponseHead, now time.Duration) {
	longer := s.health.HoldOffCalls(s.listedIncarnation(u), head.RetryAfter, now)
	full := u
	if head.FaultAddress != "" && head.FaultAddress != u.Address {
		full = s.upstreamAt(head.FaultAddress)
	}
	if full != nil {
		s.health.HoldOffWork(s.listedIncarnation(full), head.RetryAfter, now)
	}
	if longer {
		s.log.Info("upstream holds off requests", zap.String("upstream", u.Instance), zap.String("zone", u.Zone), zap.String("at_fault", head.FaultAddress),
			zap.Duration("wait", head.RetryAfter), zap.Duration("list_age", now-s.listedAt))
	}
}

// upstreamAt returns the listed upstream at an address, or nil.
func (s *state) upstreamAt(address string) *fleet.Upstream {
	for _, u := range s.upstreams {
		if u.Address == address {
			return u
		}
	}
	return nil
}

// addNotices adds the upstreams that limit the rate of requests, those that are leaving,
// and those that have asked this gateway for no requests.
func (s *state) addNotices(n *peering.News, now time.Duration) {
	s.addLimits(n, now)
	for i := range s.leaving {
		if s.isListed(i) && len(n.Leaving) < peering.MaxListItems {
			n.Leaving = append(n.Leaving, i)
		}
	}
	if n.OfZone {
		return
	}
	for _, instance := range s.health.HoldingOffWork(now) {
		if len(n.HeldOff) < peering.MaxListItems {
			n.HeldOff = append(n.HeldOff, peering.UpstreamFault{Upstream: instance, Left: s.health.HoldOff(instance).Work - now})
		}
	}
}

// mergeLeaving merges the leaving upstreams that a peer reports. Those that are
// not listed here are ignored and not passed on.
func (s *state) mergeLeaving(n *peering.News, now time.Duration) {
	for _, i := range n.Leaving {
		if s.isListed(i) && !s.isLeaving(s.upstreams[i.Instance]) {
			s.markLeaving(i, n.Address.Address, now)
		}
	}
}

// minPlanHoldOff is the shortest requested hold-off for which an engine is left
// out of the placement plan: loading its layers elsewhere takes longer than a
// shorter one.
const minPlanHoldOff = 5 * time.Second

// overloaded returns the upstreams that have asked at least half of the
// gateways of this zone for no requests for minPlanHoldOff or longer.
func (s *state) overloaded(now time.Duration) map[string]bool {
	holdOffs := make(map[string]int)
	for _, instance := range s.health.HoldingOffWork(now) {
		if s.health.HoldOff(instance).Work-now >= minPlanHoldOff {
			holdOffs[instance]++
		}
	}
	zoneGateways := 1
	for _, m := range s.members.Alive(now) {
		if m.Zone != s.zone {
			continue
		}
		zoneGateways++
		for _, h := range m.News.HeldOff {
			if h.Left-(now-m.LastHeard) >= minPlanHoldOff {
				holdOffs[h.Upstream]++
			}
		}
	}
	out := make(map[string]bool)
	for instance, gateways := range holdOffs {
		out[instance] = 2*gateways >= zoneGateways
	}
	return out
}

// holdOffEnd returns when enough hold-offs will have ended for the upstreams of
// a pool to serve a request. The bool is false if there is nothing to wait for:
// the pool can serve a request now, or cannot even then.
func (s *state) holdOffEnd(p *servicePool, now time.Duration) (time.Duration, bool) {
	ends := s.health.HoldOffEnds(now)
	if len(ends) == 0 || s.canServe(p, now, now) {
		return 0, false
	}
	i, _ := slices.BinarySearchFunc(ends, true, func(end time.Duration, _ bool) int {
		if s.canServe(p, end, now) {
			return 0
		}
		return -1
	})
	if i == len(ends) {
		return 0, false
	}
	return ends[i], true
}

// canServe reports whether the upstreams of a pool that have no fault now, and
// whose hold-offs end by the boot time at, can serve a request.
func (s *state) canServe(p *servicePool, at, now time.Duration) bool {
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

// holdOffRefusal returns the refusal of a request that cannot be served in time
// because the upstreams have asked for no requests, or nil if the request may
// wait.
func (s *state) holdOffRefusal(q *request, now time.Duration) *verdict.Error {
	p := s.poolOf(q)
	if p == nil {
		return nil
	}
	at, ok := s.holdOffEnd(p, now)
	if !ok || at <= q.queueLimit() {
		return nil
	}
	return verdict.RefuseUntil(at-now, verdict.HeldOff, "the upstreams of %s want no requests for %v", q.service, at-now)
}
