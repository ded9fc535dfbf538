package gateway

import (
	"context"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/coordination/throttle"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// Outcomes of requests for which the rate of an upstream was used up; each is a metric
// label.
const (
	limitDiverted = "diverted"
	limitRefused  = "refused"
)

// knownLimit is how a limit that is in force became known.
type knownLimit struct {
	since time.Duration
	// rate is the rate that was last logged.
	rate float64
	// peer is the address of the gateway that reported it last; empty for an answer that
	// was received here.
	peer string
	// askedAt is when the upstream was last asked whether its limit still holds, and loggedAt
	// when a line about it was last logged.
	askedAt, loggedAt time.Duration
}

// limitLogInterval is the shortest time between two lines about changes of one limit.
const limitLogInterval = time.Second

// recordLimit records what a response to a call that began at a boot time states of the
// rate that its upstream takes. A rate that cannot be used sets no limit and lifts none, and
// only a response that the upstream itself has made lifts one.
func (g *Gateway) recordLimit(u *fleet.Upstream, head relay.ResponseHead, began time.Duration) {
	limit := head.Limit
	switch {
	case limit.Stated && !limit.Valid:
		g.metrics.invalidLimits.WithLabelValues(u.Service, u.Accelerator).Inc()
		return
	case !limit.Stated && !g.limitsKnown.Load():
		return
	case !limit.Stated && !head.FromUpstream && head.Instance != u.Instance:
		return
	}
	g.control.Do(func(s *state) { s.recordLimit(u, limit, began, g.Now()) })
}

// recordLimit records a limit, or that there is none, that an upstream has stated.
func (s *state) recordLimit(u *fleet.Upstream, limit relay.RateLimit, began, now time.Duration) {
	changed := false
	switch {
	case !s.isListed(u.Incarnation()):
		return
	case limit.Valid:
		s.prepareLimits(now)
		changed = s.limits.RecordLimit(u, limit.PerSecond, now)
	default:
		changed = s.limits.RecordNoLimit(u, began, now)
	}
	if changed {
		s.recordLimitChange(u.Instance, "", now)
	}
	s.limitsKnown.Store(!s.limits.Empty())
}

// receiveLimits merges the limits in a peer's news, whose ages count from the boot time
// asOf. That is not later than when the news were created, so that a limit that goes round
// between gateways ages.
func (g *Gateway) receiveLimits(n *peering.News, asOf time.Duration) {
	if err := n.Limits.Check(); err != nil {
		g.Log.Debug("limits of peer invalid", zap.String("peer", n.Address.Address), zap.Error(err))
		return
	}
	if len(n.Limits.Upstreams) == 0 {
		return
	}
	g.control.Do(func(s *state) { s.mergeLimits(n, asOf, g.Now()) })
}

// mergeLimits merges the limits that a peer knows. Those of upstreams that are not listed
// here, or as another incarnation, are ignored.
func (s *state) mergeLimits(n *peering.News, asOf, now time.Duration) {
	for _, l := range n.Limits.Upstreams {
		known := throttle.Limit{
			Upstream: fleet.Incarnation{Instance: l.Upstream, Started: l.Started}, Rate: float64(l.Rate), Lifted: l.Lifted, At: asOf - l.Age,
		}
		if !s.isListed(known.Upstream) {
			continue
		}
		s.prepareLimits(now)
		if s.limits.Merge(known, s.upstreams[l.Upstream].Zone, now) {
			s.recordLimitChange(l.Upstream, n.Address.Address, now)
		}
	}
	s.limitsKnown.Store(!s.limits.Empty())
}

// addLimits adds the limits of upstreams.
func (s *state) addLimits(n *peering.News, now time.Duration) {
	for _, l := range s.limits.News(peering.MaxListItems, s.startingPeers, now) {
		n.Limits.Upstreams = append(n.Limits.Upstreams, peering.UpstreamLimit{
			Upstream: l.Upstream.Instance, Started: l.Upstream.Started, Rate: float32(l.Rate), Lifted: l.Lifted, Age: max(0, now-l.At),
		})
	}
}

// prepareLimits tells the limits of the gateways before the first limit is recorded. After
// that updateLimits does.
func (s *state) prepareLimits(now time.Duration) {
	if s.limits.Empty() {
		s.setLimitGateways(now)
	}
}

// setLimitGateways sets the gateways between which limits are divided.
func (s *state) setLimitGateways(now time.Duration) {
	self := throttle.Gateway{Address: s.members.Self.Address, Zone: s.zone}
	alive := []throttle.Gateway{self}
	for _, m := range s.members.Alive(now) {
		alive = append(alive, throttle.Gateway{Address: m.Address.Address, Zone: m.Zone})
	}
	s.limits.SetGateways(self, alive, s.recentPeers+1)
}

// updateLimits updates the gateways between which limits are divided, and drops limits that
// have ended.
func (s *state) updateLimits(now time.Duration) {
	if s.limits.Empty() {
		clear(s.limitReturns)
		return
	}
	s.setLimitGateways(now)
	s.pruneLimits(now)
	s.limitsKnown.Store(!s.limits.Empty())
}

// pruneLimits drops limits that have ended or lapsed, and those of upstreams that have been
// restarted.
func (s *state) pruneLimits(now time.Duration) {
	if s.limits.Empty() {
		return
	}
	s.limits.Prune(s.isRestarted, now)
	for instance := range s.limited {
		if limit, _, ok := s.limits.Part(instance, now); !ok || limit.Lifted {
			s.recordLimitChange(instance, "", now)
		}
	}
}

// recordLimitChange records and logs that a limit has begun, changed or ended; peer is the
// address of the gateway that reported it, empty if none did.
func (s *state) recordLimitChange(instance, peer string, now time.Duration) {
	limit, own, ok := s.limits.Part(instance, now)
	before, was := s.limited[instance]
	inForce := ok && !limit.Lifted
	if !inForce && !was {
		return
	}
	if was && inForce && now-before.loggedAt < limitLogInterval {
		return
	}
	known := knownLimit{since: now, rate: limit.Rate, peer: peer, loggedAt: now}
	if was {
		known.since, known.askedAt = before.since, before.askedAt
	}
	age := time.Duration(0)
	if inForce {
		age = now - limit.At
		s.limited[instance] = known
	} else {
		delete(s.limited, instance)
	}
	s.log.Info("upstream limit", zap.String("upstream", instance), zap.Bool("limited", inForce), zap.Float64("rate", limit.Rate), zap.Float64("rate_before", before.rate),
		zap.Float64("own_part", own), zap.String("peer", peer), zap.Duration("age", age), zap.Duration("since", now-known.since),
		zap.Int("peers", s.alivePeers), zap.Duration("list_age", now-s.listedAt))
	s.countLimited()
}

// countLimited sets the numbers of upstreams that state a rate.
func (s *state) countLimited() {
	if s.metrics == nil {
		return
	}
	s.metrics.limitedUpstreams.Reset()
	for instance := range s.limited {
		if u := s.upstreams[instance]; u != nil {
			s.metrics.limitedUpstreams.WithLabelValues(u.Service, u.Accelerator).Inc()
		}
	}
}

// limitUse returns the number of requests in flight that began at an upstream.
func (s *state) limitUse(instance string) throttle.Use {
	own, others := 0, s.peerLoad(instance)
	use := throttle.Use{Others: others.Requests}
	u := s.upstreams[instance]
	l := s.loads[instance]
	if l != nil {
		own = l.requests
	}
	if u != nil {
		if service := s.serviceNamed(u.Service); service != nil && service.Engine != nil {
			use.Others = others.Begun
			if l != nil {
				own = l.entering
			}
		}
	}
	use.Own = float64(own)
	return use
}

// mayBegin reports whether a request may be sent to an upstream: it has not asked for no
// calls, and this gateway's part of its limit is not used up.
func (s *state) mayBegin(u *fleet.Upstream, now time.Duration) bool {
	return s.health.MayCall(u.Instance, now) && s.limits.MayCall(u.Instance, now)
}

// isLimited reports whether an upstream limits the rate of requests.
func (s *state) isLimited(u *fleet.Upstream) bool {
	_, limited := s.limited[u.Instance]
	return limited
}

// takeCall counts a request that is to be sent to an upstream of a pool, and reports whether
// it counts against a limit.
func (s *state) takeCall(p *servicePool, u *fleet.Upstream, now time.Duration) bool {
	if s.limits.Empty() {
		return false
	}
	for _, other := range p.firstStages() {
		if other != u && !s.health.Excluded(other.Instance, now) && !s.limits.MayCall(other.Instance, now) {
			s.countLimitedRequest(other, limitDiverted)
			break
		}
	}
	limit, _, limited := s.limits.Part(u.Instance, now)
	if !limited || limit.Upstream != u.Incarnation() {
		return false
	}
	s.limits.Take(u.Instance, now)
	return true
}

// returnCall takes back the count of a request that has not arrived at its upstream.
func (s *state) returnCall(to target) {
	if !to.limited {
		return
	}
	now := s.now()
	if limit, _, ok := s.limits.Part(to.upstream.Instance, now); ok && limit.Upstream == to.upstream.Incarnation() {
		s.limits.Return(to.upstream.Instance, now)
	}
}

// takeOwnCall counts a call of the gateway's own and reports whether it may be sent.
func (g *Gateway) takeOwnCall(u *fleet.Upstream) bool {
	if !g.limitsKnown.Load() {
		return true
	}
	allowed := false
	g.control.Do(func(s *state) { allowed = s.limits.TakeOwn(u.Instance, g.Now()) })
	return allowed
}

// countCall counts a call that is sent in any case: a stream that runs depends on it.
func (g *Gateway) countCall(u *fleet.Upstream) {
	if g.limitsKnown.Load() {
		g.control.Do(func(s *state) { s.limits.Take(u.Instance, g.Now()) })
	}
}

// limitConfirmTime is the time since an answer has confirmed a limit after which the upstream
// is asked for one. Requests may all go elsewhere, and only answers tell that a limit is gone.
const limitConfirmTime = time.Second

// confirmLimits asks the upstreams whose limit no answer has confirmed for a while, and that
// this gateway may call, for their health. A call that fails says nothing.
func (g *Gateway) confirmLimits() {
	if !g.limitsKnown.Load() {
		return
	}
	var due []probeTarget
	g.control.Do(func(s *state) { due = s.unconfirmedLimits(g.Now()) })
	for _, u := range due {
		g.tasks.run(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			_, _, err := g.ask(ctx, u.healthCall(), func(head relay.ResponseHead, _ []byte) bool { return head.Instance == u.Instance })
			if err != nil {
				g.Log.Debug("limit not confirmed", zap.String("upstream", u.Instance), zap.Error(err))
			}
		})
	}
}

// unconfirmedLimits returns the upstreams to ask now whether their limit still holds. Those
// with a fault are probed anyway.
func (s *state) unconfirmedLimits(now time.Duration) []probeTarget {
	var due []probeTarget
	for instance, known := range s.limited {
		limit, _, _ := s.limits.Part(instance, now)
		u := s.upstreams[instance]
		if u == nil || now-max(limit.At, known.askedAt) < limitConfirmTime || s.health.ExcludedForFault(instance, now) || !s.mayBegin(u, now) {
			continue
		}
		service := s.serviceNamed(u.Service)
		if service == nil {
			continue
		}
		known.askedAt = now
		s.limited[instance] = known
		due = append(due, probeTarget{u, service.HealthPath})
	}
	return due
}

func (s *state) countLimitedRequest(u *fleet.Upstream, outcome string) {
	if s.metrics != nil {
		s.metrics.limitedRequests.WithLabelValues(u.Service, u.Accelerator, outcome).Inc()
	}
}

// firstStages returns the upstreams of a pool that may be the first stage of a request.
func (p *servicePool) firstStages() []*fleet.Upstream {
	if p.layers == nil {
		return p.members
	}
	var out []*fleet.Upstream
	for i := range p.layers.Holders {
		if u := p.layers.Holders[i].Upstream; u.Held.From == 0 {
			out = append(out, u)
		}
	}
	return out
}

// limitReason returns why the limit of an upstream keeps requests from it; empty if it
// does not.
func (s *state) limitReason(p *servicePool, u *fleet.Upstream, now time.Duration) string {
	if p.layers != nil && u.Held.From != 0 || s.limits.MayCall(u.Instance, now) {
		return ""
	}
	limit, own, _ := s.limits.Part(u.Instance, now)
	known := s.limited[u.Instance]
	return fmt.Sprintf("this gateway's part, %.3g requests a second, of the %.3g that it takes is used up; limited for %v, reported by %s",
		own, limit.Rate, (now - known.since).Round(time.Millisecond), orItself(known.peer))
}

// orItself names the gateway that has reported a limit, or the upstream itself.
func orItself(peer string) string {
	if peer == "" {
		return "the upstream itself"
	}
	return peer
}

// neverSent is later than any boot time.
const neverSent = time.Duration(math.MaxInt64)

// limitForecast is when upstreams that limit the rate of requests take the next ones.
type limitForecast struct {
	// next is when this gateway may send the next request, and rate how many requests a
	// second it may send from then on.
	next time.Duration
	rate float64
	// later is when an upstream without limit can be used that asks for no requests now.
	later time.Duration
	// total is how many requests a second all gateways may send.
	total float64
	// class is one of the upstreams.
	class *fleet.Upstream
}

// forecastLimits returns when the upstreams of a pool that have not failed a request take the next
// ones. The bool is false if not all that can be used limit the rate.
func (s *state) forecastLimits(p *servicePool, q *request, now time.Duration) (limitForecast, bool) {
	w := limitForecast{next: neverSent, later: neverSent}
	for _, u := range p.firstStages() {
		if s.health.LikelyDown(u.Instance) || q.excluded[u.Instance] {
			continue
		}
		hold := s.health.HoldOff(u.Instance)
		free := max(hold.Work, hold.Calls)
		limit, own, limited := s.limits.Part(u.Instance, now)
		if !limited || limit.Lifted {
			if free <= now {
				return limitForecast{}, false
			}
			w.later = min(w.later, free)
			continue
		}
		w.next = min(w.next, max(s.limits.NextAt(u.Instance, now), free))
		w.rate += own
		w.total += limit.Rate
		w.class = u
	}
	return w, w.class != nil
}

// maxLimitWait is the time after which a caller is told to retry at the latest if this
// gateway may not send it anywhere: even an upstream that takes no requests is called that
// often.
const maxLimitWait = 10 * time.Second

// sendTime returns the boot time at which a request can be sent before which others go, and
// neverSent if this gateway may send none.
func (f *limitForecast) sendTime(ahead float64) time.Duration {
	if f.next == neverSent || f.rate <= 0 {
		return f.later
	}
	return min(f.later, f.next+time.Duration(min(ahead/f.rate, maxLimitWait.Seconds())*float64(time.Second)))
}

// retryAfter returns the time after which a caller whose request can be sent at a boot time
// is told to return. If this gateway may send none, it is the mean time between two requests
// that the other gateways may send.
func (f *limitForecast) retryAfter(at, now time.Duration) time.Duration {
	if at < neverSent {
		return at - now
	}
	return time.Duration(min(1/f.total, maxLimitWait.Seconds()) * float64(time.Second))
}

// aheadOf returns how many of the requests that are queued here go before a request.
func (s *state) aheadOf(q *request, item admission.Item, now time.Duration) float64 {
	if s.limits.Empty() {
		return 0
	}
	return s.queue.Predict(item, s.dispatchRate(q.service), admission.Fleet{}, bootTime(now)).Ahead
}

// limitRefusal returns the refusal of a request that cannot be served in time because all
// upstreams that can be used limit the rate of requests, or nil if the request may wait. A
// number of requests go before it. The parts of the limits change with the use, so that
// waitMargin counts, and one whose caller has a part of the stream is not refused.
func (s *state) limitRefusal(q *request, ahead float64, now time.Duration) *verdict.Error {
	if s.limits.Empty() || q.history().lastEvent > 0 {
		return nil
	}
	p := s.poolOf(q)
	if p == nil || !s.canServe(p, now, now) {
		return nil
	}
	w, limited := s.forecastLimits(p, q, now)
	if !limited {
		return nil
	}
	at, latest := w.sendTime(ahead), w.sendTime(waitMargin*ahead)
	if latest <= q.queueLimit() {
		return nil
	}
	s.countLimitedRequest(w.class, limitRefused)
	s.recordRefusedDemand(q, now)
	after := s.spreadReturn(q, &w, w.retryAfter(at, now), now)
	return verdict.RefuseUntil(after, verdict.UpstreamLimited, "the upstreams of %s take %.3g requests a second, %.3g of them from here", q.service, w.total, w.rate)
}

// spreadReturn returns the time after which the caller of a request that was refused because
// of limits is told to return, at least wait, and keeps the place of its account until then.
// The callers of an account return one after the other as the limits allow.
func (s *state) spreadReturn(q *request, l *limitForecast, wait, now time.Duration) time.Duration {
	item := itemOf(q)
	wait = s.nextReturn(returnKey{q.service, q.rank}, l, wait, now)
	at := bootTime(now)
	rate := l.rate / float64(max(1, s.waiting.returns.Accounts(item.Pool, item.Priority)))
	after := max(wait, s.waiting.returns.Refuse(admission.Refusal{
		Pool: item.Pool, Account: item.Account, Priority: item.Priority,
		Wait: wait, Rate: rate, Limit: time.Duration(returnShare * float64(q.deadline-now)),
	}, at))
	if item.Account != "" {
		s.queue.Keep(item, at, at.Add(after+admission.ReturnGrace))
	}
	return after
}

// returnKey identifies the callers of a service with requests of one rank. Those of others do
// not put off their return.
type returnKey struct {
	service string
	rank    int
}

// nextReturn returns the time, at least wait, after which the next caller is told to return,
// so that callers return one after the other as the limits allow. Since not all do return, the
// times begin again after maxRetryAfter.
func (s *state) nextReturn(of returnKey, l *limitForecast, wait, now time.Duration) time.Duration {
	at := now + wait
	if next := s.limitReturns[of]; next > at && next <= at+maxRetryAfter {
		at = next
	}
	rate := l.rate
	if rate <= 0 {
		rate = l.total
	}
	s.limitReturns[of] = at + time.Duration(min(1/rate, maxLimitWait.Seconds())*float64(time.Second))
	return at - now
}

// isHeldOff reports whether an error is that of a call that was not sent because of what its
// upstream has asked for.
func isHeldOff(err error) bool { return verdict.Of(err).Reason == verdict.UpstreamBusy }
