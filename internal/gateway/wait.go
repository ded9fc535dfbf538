package gateway

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// Times of waiting for a place.
const (
	// streamWait is how long a generation waits for a place: its caller goes
	// after two seconds without an event.
	streamWait = 1200 * time.Millisecond
	// callWait is how long a call of a plain service waits.
	callWait = 250 * time.Millisecond
	// dispatchTick is how often waiting requests are looked at beside the
	// changes that may let them in.
	dispatchTick = 25 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused caller is told to
	// come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// repairTime is when a caller is told to come back if no upstreams cover
	// the layers: a repair takes about as long.
	repairTime = time.Second
)

// maxWaiting bounds the requests that wait for one service, since their bodies
// are kept in memory.
const maxWaiting = 1024

// maxAttempts bounds the attempts of a request, also those that were refused.
const maxAttempts = 8

// waiter is a request that asks for a place.
type waiter struct {
	q     *query
	reply chan taken
}

// taken is the reply to a waiter.
type taken struct {
	place place
	err   error
}

// place waits for the place of a request's next attempt. The error is a
// [verdict.Error].
func (g *Gateway) place(ctx context.Context, q *query) (place, error) {
	w := &waiter{q: q, reply: make(chan taken, 1)}
	g.control.Do(func(s *state) { s.ask(w, g.Now()) })
	select {
	case t := <-w.reply:
		return t.place, t.err
	case <-ctx.Done():
	}
	g.control.Do(func(s *state) { s.leave(w) })
	return place{}, ended(ctx, q)
}

// dispatch lets waiting requests in from time to time, until ctx ends.
func (g *Gateway) dispatch(ctx context.Context) error {
	for loop.Wait(ctx, dispatchTick) {
		g.control.Send(func(s *state) {
			s.loseLapsed(g.Now())
			s.dispatch(g.Now())
		})
	}
	return nil
}

// ask gives a request a place, has it wait for one, or refuses it. It runs in
// the control loop.
func (s *state) ask(w *waiter, now time.Duration) {
	q := w.q
	if s.waiting.Len(q.service) == 0 {
		p, err := s.take(q, now)
		if err == nil || !waitable(err) {
			w.reply <- taken{p, err}
			return
		}
	}
	item := admission.Item{
		Pool:     q.service,
		Account:  q.account,
		Priority: declaration.MaxPriority - min(q.rank, declaration.MaxPriority),
		Cost:     int(q.tokens),
		Deadline: asTime(min(q.waitUntil, q.deadline)),
	}
	if refusal := s.relief(q, now); refusal != nil {
		w.reply <- taken{err: refusal}
		return
	}
	if reason, hopeless := s.hopeless(q, item, now); hopeless {
		s.refuseWaiting(w, reason, now)
		return
	}
	if err := s.waiting.Push(item, w); err != nil {
		s.refuseWaiting(w, verdict.QueueFull, now)
	}
}

// waitable says whether a refused request may get a place soon.
func waitable(err error) bool {
	switch verdict.Of(err).Reason {
	case verdict.NoChain, verdict.NoUpstream, verdict.QueueFull:
		return true
	}
	return false
}

// hopeless says why a request would wait in vain.
func (s *state) hopeless(q *query, item admission.Item, now time.Duration) (verdict.Reason, bool) {
	if now >= min(q.waitUntil, q.deadline) {
		return verdict.DeadlineUnmeetable, true
	}
	ahead := s.waiting.Ahead(q.service, item.Priority)
	turn, known := s.rate(q.service).EstimateWait(ahead+1, asTime(now))
	if ahead > 0 && known && asTime(now).Add(turn).After(item.Deadline) {
		return verdict.DeadlineUnmeetable, true
	}
	return "", false
}

func (s *state) rate(service string) *admission.RateEstimator {
	r := s.drained[service]
	if r == nil {
		r = &admission.RateEstimator{}
		s.drained[service] = r
	}
	return r
}

// refuseWaiting tells a request that it gets no place, and when to come back.
func (s *state) refuseWaiting(w *waiter, reason verdict.Reason, now time.Duration) {
	after, known := s.rate(w.q.service).EstimateWait(s.waiting.Len(w.q.service)+1, asTime(now))
	if !known {
		after = repairTime
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	w.reply <- taken{err: verdict.RefuseUntil(after, reason, "no upstreams of %s have room in time, %d requests wait", w.q.service, s.waiting.Len(w.q.service))}
}

// dispatch lets in the waiting requests that now fit, in their order, and
// refuses those that have waited for too long.
func (s *state) dispatch(now time.Duration) {
	for _, service := range s.waiting.Pools() {
		for s.dispatchOne(service, now) {
		}
	}
	late := s.waiting.RemoveFunc(func(item admission.Item, _ *waiter) bool { return !asTime(now).Before(item.Deadline) })
	for _, w := range late {
		s.refuseWaiting(w, verdict.DeadlineUnmeetable, now)
	}
}

// dispatchOne lets in the request whose turn it is, and says whether it could.
func (s *state) dispatchOne(service string, now time.Duration) bool {
	w, ok := s.waiting.Peek(service)
	if !ok {
		return false
	}
	p, err := s.take(w.q, now)
	if err != nil && waitable(err) {
		refusal := s.relief(w.q, now)
		if refusal == nil {
			return false
		}
		err = refusal
	}
	s.waiting.Pop(service)
	if err == nil {
		s.rate(service).Record(asTime(now))
	}
	w.reply <- taken{p, err}
	return true
}

// leave takes out a request whose caller has gone. A place that came in the
// same moment is given back.
func (s *state) leave(w *waiter) {
	s.waiting.RemoveFunc(func(_ admission.Item, other *waiter) bool { return other == w })
	select {
	case t := <-w.reply:
		if t.err == nil {
			s.give(w.q, t.place)
		}
	default:
	}
}

// asTime gives boot times to what counts in times of day.
func asTime(boot time.Duration) time.Time { return time.Unix(0, int64(boot)) }

// setWait sets how long a request may wait for its next place.
func (q *query) setWait(now time.Duration) {
	q.waitUntil = now + callWait
	if q.route.Kind == routing.Stream {
		q.waitUntil = now + streamWait
	}
}

// take gives a request the place of its next attempt if there is one. It runs
// in the control loop.
func (s *state) take(q *query, now time.Duration) (place, error) {
	pool := s.pools[q.service]
	if pool == nil {
		return place{}, verdict.Refuse(verdict.NoUpstream, "no upstream of %s is in service", q.service)
	}
	if q.attempts >= maxAttempts {
		return place{}, verdict.Refuse(verdict.RetryLimit, "given up after %d attempts", q.attempts)
	}
	if err := s.quarantined(q, now); err != nil {
		return place{}, err
	}
	var p place
	var err error
	if pool.layers != nil {
		p, err = s.findChain(pool, q, now)
	} else {
		p, err = s.findUpstream(pool, q, now)
	}
	if err != nil {
		return place{}, err
	}
	if err := s.count(q, now); err != nil {
		return place{}, err
	}
	q.attempts++
	s.occupy(q, p, now)
	s.log.Info("place given", zap.String("request", q.ID), zap.Int("attempt", q.attempts), zap.String("upstream", p.upstream.Instance),
		zap.Stringer("chain", p), zap.Int("stages", len(p.chain)), zap.Int("zone_changes", zoneChanges(s.zone, p)), zap.Float64("fill", math.Round(p.fill*1000)/1000), zap.Duration("predicted_first", p.predicted),
		zap.Float64("tokens", q.tokens), zap.Duration("list_age", now-s.listedAt), zap.Int("peers", s.peers))
	return p, nil
}

// count counts an attempt against what is allowed for retries.
func (s *state) count(q *query, now time.Duration) error {
	w := s.window(q.service)
	if !q.sent {
		if q.attempts == 0 {
			w.RecordRequest(s.allowance, now)
		}
		return nil
	}
	if !w.Allow(s.presentAllowance(), s.peerCounts(q.service), s.processes(), now) {
		return verdict.RefuseUntil(repairTime, verdict.RetryBudget, "too many retries are under way")
	}
	return nil
}
