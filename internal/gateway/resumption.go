package gateway

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// resumes reports whether a part of the response was passed on and no attempt runs, so
// that the stream is cut unless it is resumed.
func (q *request) resumes() bool { return q.history().lastEvent > 0 && !q.isHandingOver() }

// hasSentNothing reports whether the request is for a stream of which nothing was passed on,
// so that its retries leave a part of the allowance to streams that are cut without one.
func (q *request) hasSentNothing() bool {
	return q.route != nil && q.route.Kind == routing.Stream && q.history().lastEvent == 0
}

// awaitResumption has a stream that was refused a target wait outside the queue if the
// reason may pass while its caller waits, and reports whether it does.
func (s *state) awaitResumption(w *waiter, err error, now time.Duration) bool {
	e := verdict.Of(err)
	if !w.q.resumes() || now >= w.q.queueLimit() || !s.mayPass(w.q, e, now) {
		return false
	}
	logged := w.refusal != nil
	w.refusal = e
	if !logged {
		s.log.Info("stream waits to be resumed", zap.String("request", w.q.ID), zap.String("reason", string(e.Reason)), zap.Error(e))
	}
	at, _ := slices.BinarySearchFunc(s.resumptions, w.q.rank+1, func(other *waiter, rank int) int { return cmp.Compare(other.q.rank, rank) })
	s.resumptions = slices.Insert(s.resumptions, at, w)
	return true
}

// mayPass reports whether the reason for which a stream was refused a target may pass
// before the request ends.
func (s *state) mayPass(q *request, e *verdict.Error, now time.Duration) bool {
	switch e.Reason {
	case verdict.RetryBudget:
		return s.retryWindow(q.service).MayAllow(s.effectiveAllowance(), s.retryView(q.service, now), q.queueLimit())
	case verdict.RetryLimit:
		// A service without engine has no search that returns to an upstream.
		p := s.poolOf(q)
		return p != nil && p.layers != nil && q.history().attempts < maxAttempts && s.limitMayPass(q)
	}
	return false
}

// limitMayPass reports whether one of the upstreams that count towards the limit of a
// request may be called again, or end, while the request waits.
func (s *state) limitMayPass(q *request) bool {
	failed := q.excludedAtLimit(q.queueLimit())
	return slices.ContainsFunc(q.possibleRuns(), func(instance string) bool {
		u := s.upstreams[instance]
		switch {
		case u == nil:
			return false
		case u.State != fleet.Serving, s.isLeaving(u):
			// It does not count once it has ended.
			return true
		}
		return !failed[instance] && s.health.MayCall(instance, q.queueLimit())
	})
}

// awaitsAllowance reports whether a stream of a service waits for the retry allowance.
func (s *state) awaitsAllowance(service string) bool {
	return slices.ContainsFunc(s.resumptions, func(w *waiter) bool {
		return w.q.service == service && w.refusal.Reason == verdict.RetryBudget
	})
}

// dispatchResumptions assigns targets to the streams that wait to be resumed, and refuses
// those whose callers have probably gone.
func (s *state) dispatchResumptions(now time.Duration) {
	if len(s.resumptions) == 0 {
		return
	}
	waiting := s.resumptions
	s.resumptions = nil
	// usedUp holds the services whose retry allowance is used up.
	usedUp := make(map[string]bool)
	for _, w := range waiting {
		switch forAllowance := w.refusal.Reason == verdict.RetryBudget; {
		case now >= w.q.queueLimit():
			w.reply <- admissionResult{err: w.refusal}
		case forAllowance && usedUp[w.q.service]:
			s.resumptions = append(s.resumptions, w)
		default:
			s.resumeStream(w, now)
			usedUp[w.q.service] = forAllowance && slices.Contains(s.resumptions, w)
		}
	}
}

// resumeStream assigns a target to a stream that waits to be resumed, or has it wait on.
func (s *state) resumeStream(w *waiter, now time.Duration) {
	to, err := s.assign(w.q, now)
	s.recordLackOfRoom(w.q, err, now)
	switch {
	case err != nil && s.mayPass(w.q, verdict.Of(err), now):
		w.refusal = verdict.Of(err)
		s.resumptions = append(s.resumptions, w)
	case err != nil && mayBeQueued(err):
		s.enqueue(w, now)
	default:
		w.reply <- admissionResult{to, err}
	}
}
