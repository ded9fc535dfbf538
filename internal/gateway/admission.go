package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/coordination/selfcheck"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// Timeouts and intervals of queued requests.
const (
	// streamQueueTimeout is how long a generation may be queued: its caller
	// gives up after two seconds without an event.
	streamQueueTimeout = 1200 * time.Millisecond
	// callQueueTimeout is how long a call of a service without engine may be
	// queued.
	callQueueTimeout = 250 * time.Millisecond
	// dispatchInterval is how often the queue is dispatched, besides on the
	// changes that may let a request in. The same timer shows whether this
	// process runs.
	dispatchInterval = selfcheck.Interval
	// minRetryAfter and maxRetryAfter bound the delay after which a refused
	// caller is told to retry.
	minRetryAfter = admission.MinReturn
	maxRetryAfter = admission.MaxReturn
	// repairRetryAfter is the retry delay if no upstreams cover the layers;
	// restoring them takes about as long.
	repairRetryAfter = time.Second
)

// maxQueued bounds the queued requests of a service, whose bodies are held in
// memory.
const maxQueued = 1024

// maxAttempts bounds the attempts of a request, including those that were
// refused.
const maxAttempts = 8

// reservedAttempts are those that are not made beside a running one, which may break
// after the others have failed.
const reservedAttempts = 2

// waiter is a request that asks for a target.
type waiter struct {
	q     *request
	reply chan admissionResult
	// refusal is why a stream waits to be resumed; nil for other waiters.
	refusal *verdict.Error
}

// admissionResult is the reply to a waiter.
type admissionResult struct {
	target target
	err    error
}

// acquireTarget waits for the target of a request's next attempt. The error is
// a [verdict.Error].
func (g *Gateway) acquireTarget(ctx context.Context, q *request) (target, error) {
	w := &waiter{q: q, reply: make(chan admissionResult, 1)}
	g.control.Do(func(s *state) { s.admit(w, g.Now()) })
	select {
	case r := <-w.reply:
		return r.target, r.err
	case <-ctx.Done():
	}
	g.control.Do(func(s *state) { s.cancelWait(w) })
	return target{}, contextError(ctx, q)
}

// dispatchQueued periodically dispatches the queue until ctx is done.
func (g *Gateway) dispatchQueued(ctx context.Context) error {
	for due := g.Now() + dispatchInterval; loop.Sleep(ctx, dispatchInterval); due = g.Now() + dispatchInterval {
		g.recordTick(due)
		sent := g.Now()
		g.control.Send(func(s *state) {
			if behind := g.Now() - sent; behind >= loggedPause {
				g.Log.Warn("control loop behind", zap.Duration("by", behind))
			}
			s.expireRetained(g.Now())
			s.expireWithheld()
			s.dispatch(g.Now())
		})
	}
	return nil
}

// loggedPause is the shortest time that is logged for which this process stood
// still, or its control loop was behind.
const loggedPause = 200 * time.Millisecond

// recordTick records that a timer due at a boot time has fired.
func (g *Gateway) recordTick(due time.Duration) {
	now := g.Now()
	g.pauses.Tick(due, now)
	pause := now - due + dispatchInterval
	if pause < selfcheck.Threshold {
		return
	}
	g.metrics.pauses.Observe(pause.Seconds())
	if pause >= loggedPause {
		g.Log.Warn("process stood still", zap.Duration("for", pause), zap.Int64("in_flight", g.inFlight.Load()))
	}
}

// admit assigns a target to a request, queues it, or refuses it. A request of which
// an attempt runs is not queued: it would hold up those of which none does.
func (s *state) admit(w *waiter, now time.Duration) {
	q := w.q
	runs := q.isHandingOver()
	if !s.isHeld(q) && !s.othersGoFirst(q.service) {
		to, err := s.assign(q, now)
		s.recordLackOfRoom(q, err, now)
		if err != nil && s.awaitResumption(w, err, now) {
			return
		}
		if err == nil || runs || !mayBeQueued(err) {
			w.reply <- admissionResult{to, err}
			return
		}
	}
	if runs {
		w.reply <- admissionResult{err: verdict.Refuse(verdict.QueueFull, "requests of %s wait of which no attempt runs", q.service)}
		return
	}
	s.enqueue(w, now)
}

// enqueue queues a request, or refuses it.
func (s *state) enqueue(w *waiter, now time.Duration) {
	q := w.q
	item := itemOf(q)
	if refusal := s.holdOffRefusal(q, now); refusal != nil {
		w.reply <- admissionResult{err: refusal}
		return
	}
	item.Returning = s.claimReturn(q, item, now)
	if refusal := s.limitRefusal(q, s.aheadOf(q, item, now), now); refusal != nil {
		w.reply <- admissionResult{err: refusal}
		return
	}
	if reason, refuse := s.queueTimeoutReason(q, item, now); refuse && !s.mayWaitForShare(q, now) {
		s.refuseQueued(w, reason, now)
		return
	}
	if err := s.queue.Push(item, w); err != nil {
		s.refuseQueued(w, verdict.QueueFull, now)
		return
	}
	s.dispatchRate(q.service).Busy(bootTime(now))
}

// mayBeQueued reports whether a request refused with err may get a target soon.
func mayBeQueued(err error) bool {
	switch verdict.Of(err).Reason {
	case verdict.NoChain, verdict.NoUpstream, verdict.QueueFull:
		return true
	}
	return false
}

// queueTimeoutReason returns the reason to refuse a request that would not get
// a target in time. The bool reports whether it should be refused.
func (s *state) queueTimeoutReason(q *request, item admission.Item, now time.Duration) (verdict.Reason, bool) {
	if now >= q.queueLimit() {
		return verdict.DeadlineUnmeetable, true
	}
	p := s.predictWait(q, item, now)
	if item.Begun {
		// Its caller has a part of the stream, which an estimate must not cut.
		return "", false
	}
	if isTooLate(p, item, now) {
		return verdict.DeadlineUnmeetable, true
	}
	return "", false
}

func (s *state) dispatchRate(service string) *admission.RateEstimator {
	r := s.dispatchRates[service]
	if r == nil {
		r = &admission.RateEstimator{TimeConstant: dispatchRateTimeConstant}
		s.dispatchRates[service] = r
	}
	return r
}

// dispatch assigns targets to queued requests in their order, for as long as
// they fit, and refuses those past their deadline.
func (s *state) dispatch(now time.Duration) {
	s.refreshShares(now)
	s.dispatchResumptions(now)
	for _, service := range s.queue.Pools() {
		for s.dispatchNext(service, now) {
		}
	}
	late := s.queue.RemoveFunc(func(item admission.Item, _ *waiter) bool { return !bootTime(now).Before(item.Deadline) })
	for _, w := range late {
		s.refuseQueued(w, verdict.DeadlineUnmeetable, now)
	}
	s.updateDispatchRates(now)
	s.queue.ExpirePlaces(bootTime(now))
}

// dispatchNext assigns a target to the next queued request of a service and
// reports whether it left the queue.
func (s *state) dispatchNext(service string, now time.Duration) bool {
	w, at, ok := s.queue.PeekFunc(service, s.mayStart(service))
	if !ok {
		return false
	}
	to, err := s.assign(w.q, now)
	s.recordLackOfRoom(w.q, err, now)
	if err != nil && mayBeQueued(err) {
		refusal := s.holdOffRefusal(w.q, now)
		if refusal == nil {
			refusal = s.limitRefusal(w.q, 0, now)
		}
		if refusal == nil {
			return false
		}
		err = refusal
	}
	s.queue.PopAt(service, at)
	if err != nil && s.awaitResumption(w, err, now) {
		return true
	}
	if err == nil {
		s.dispatchRate(service).Record(bootTime(now))
	}
	w.reply <- admissionResult{to, err}
	return true
}

// cancelWait removes a request whose caller has gone from the queue. A target
// that was assigned at the same moment is released.
func (s *state) cancelWait(w *waiter) {
	s.queue.RemoveFunc(func(_ admission.Item, other *waiter) bool { return other == w })
	s.resumptions = slices.DeleteFunc(s.resumptions, func(other *waiter) bool { return other == w })
	select {
	case r := <-w.reply:
		if r.err == nil {
			s.returnTarget(w.q, r.target)
		}
	default:
	}
}

// returnTarget takes back a target to which nothing was sent.
func (s *state) returnTarget(q *request, to target) {
	s.release(q, to)
	q.discountAttempt()
	q.endSend(to.upstream.Instance)
	s.returnRetry(q, to)
	s.returnCall(to)
}

// bootTime converts a boot time for packages that take a time of day.
func bootTime(boot time.Duration) time.Time { return time.Unix(0, int64(boot)) }

// setQueueDeadline sets how long a request may wait for its next target.
func (q *request) setQueueDeadline(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queueDeadline = now + callQueueTimeout
	if q.route.Kind == routing.Stream {
		q.queueDeadline = now + streamQueueTimeout
	}
}

// closeQueue ends the time for which a request may wait for its next target.
func (q *request) closeQueue(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queueDeadline = now
}

// queueLimit returns the boot time until which a request may wait for its next
// target.
func (q *request) queueLimit() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return min(q.queueDeadline, q.deadline)
}

// assign returns the target of a request's next attempt and counts it as load,
// if one is available.
func (s *state) assign(q *request, now time.Duration) (target, error) {
	pool := s.poolOf(q)
	if pool == nil {
		return target{}, verdict.Refuse(verdict.NoUpstream, "no upstream of %s is in service", q.service)
	}
	limit := maxAttempts
	if q.isHandingOver() {
		limit -= reservedAttempts
	}
	if n := q.history().attempts; n >= limit {
		return target{}, verdict.Refuse(verdict.RetryLimit, "given up after %d attempts", n)
	}
	if err := s.checkQuarantine(q, now); err != nil {
		return target{}, err
	}
	var to target
	var err error
	if pool.layers != nil {
		to, err = s.selectChain(pool, q, now)
	} else {
		to, err = s.selectUpstream(pool, q, now)
	}
	if err != nil {
		return target{}, err
	}
	if to.retry, err = s.chargeRetry(q, now); err != nil {
		return target{}, err
	}
	to.assignedAt = now
	to.limited = s.takeCall(pool, to.upstream, now)
	s.reserve(q, to, now)
	s.countStart(q, now)
	s.parts.Try(q.SharedParts, bootTime(now))
	q.beginSend(to.upstream.Instance)
	s.log.Info("place given", zap.String("request", q.ID), zap.Int("attempt", q.countAttempt()), zap.String("upstream", to.upstream.Instance),
		zap.Stringer("chain", to), zap.Int("stages", len(to.chain)), zap.Int("zone_changes", zoneChanges(s.zone, to)), zap.Float64("fill", math.Round(to.utilization*1000)/1000), zap.Duration("predicted_first", to.predictedFirst),
		zap.Float64("tokens", q.tokens), zap.Duration("list_age", now-s.listedAt), zap.Int("peers", s.alivePeers), to.prefix.logField())
	return to, nil
}
