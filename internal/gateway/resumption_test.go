package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// retriedAt is the boot time of the retries of these tests.
const retriedAt = 20 * time.Second

// retriedStream returns a stream whose first attempt has failed, after the caller has
// received events if accepted is set.
func retriedStream(s *state, id string, rank int, accepted bool) *waiter {
	w := newWaiting(id, s.table.Services["llm"], retriedAt)
	w.q.rank = rank
	w.q.route = &routing.Route{Kind: routing.Stream, Resumable: true, MaxUpstreams: 2}
	w.q.countAttempt()
	w.q.recordResponse("e")
	if accepted {
		w.q.recordEvent(retriedAt)
	}
	w.q.setQueueDeadline(retriedAt)
	return w
}

// stateWithAllowance returns a state that permits a number of retries in a window.
func stateWithAllowance(t *testing.T, slack float64, window time.Duration) *state {
	s := newState(t)
	s.retryAllowance = retry.Allowance{Slack: slack, Window: window}
	return s
}

// useAllowance retries until the allowance is used up.
func useAllowance(s *state) { useAllowanceAt(s, retriedAt) }

func useAllowanceAt(s *state, now time.Duration) {
	for {
		if _, err := s.chargeRetry(retriedStream(s, "other", 0, true).q, now); err != nil {
			return
		}
	}
}

// TestOnlyAcceptedStreamsAwaitAllowance guards against a request that is held although
// it is no accepted stream that ends otherwise, or although the allowance will not permit
// its retry.
func TestOnlyAcceptedStreamsAwaitAllowance(t *testing.T) {
	for _, x := range []struct {
		name                  string
		slack                 float64
		window                time.Duration
		accepted, handingOver bool
		waits                 bool
	}{
		{name: "accepted", slack: 2, window: time.Second, accepted: true, waits: true},
		{name: "nothing sent to the caller", slack: 2, window: time.Second},
		{name: "an attempt runs", slack: 2, window: time.Second, accepted: true, handingOver: true},
		{name: "no retries at all", slack: 0, window: time.Second, accepted: true},
		{name: "none before its caller goes", slack: 2, window: 10 * time.Second, accepted: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := stateWithAllowance(t, x.slack, x.window)
			useAllowance(s)
			w := retriedStream(s, "w", 0, x.accepted)
			w.q.setHandingOver(x.handingOver)
			s.admit(w, retriedAt)
			refusal := refusalOf(t, w)
			c.Assert(refusal == nil, qt.Equals, x.waits)
			if !x.waits {
				c.Check(refusal.Reason, qt.Equals, verdict.RetryBudget)
				return
			}
			s.dispatch(retriedAt + x.window - time.Millisecond)
			c.Check(refusalOf(t, w) == nil, qt.IsTrue)
			// Others have used the allowance again by then.
			s.retryWindows = map[string]*retry.Window{}
			useAllowanceAt(s, retriedAt+streamQueueTimeout)
			s.dispatch(retriedAt + streamQueueTimeout)
			c.Check(refusalOf(t, w).Reason, qt.Equals, verdict.RetryBudget)
			c.Check(s.resumptions, qt.HasLen, 0)
		})
	}
}

// TestAllowanceGoesToAcceptedStreams guards against a retry of a request that has sent
// nothing to its caller before that of a stream which would be cut, and against streams
// that hold up new requests while they wait.
func TestAllowanceGoesToAcceptedStreams(t *testing.T) {
	c := qt.New(t)
	s := stateWithAllowance(t, 1, time.Second)
	useAllowance(s)
	less, more, gone := retriedStream(s, "less urgent", 5, true), retriedStream(s, "more urgent", 1, true), retriedStream(s, "gone", 0, true)
	for _, w := range []*waiter{less, more, gone} {
		s.admit(w, retriedAt)
		c.Assert(refusalOf(t, w) == nil, qt.IsTrue)
	}
	s.cancelWait(gone)

	first := newWaiting("new", s.table.Services["llm"], retriedAt)
	s.admit(first, retriedAt)
	r := <-first.reply
	c.Assert(r.err, qt.IsNil)

	free := retriedAt + 1100*time.Millisecond
	unaccepted := retriedStream(s, "unaccepted", 0, false)
	s.admit(unaccepted, free)
	c.Check(refusalOf(t, unaccepted).Reason, qt.Equals, verdict.RetryBudget)
	s.dispatch(free)
	r = <-more.reply
	c.Check(r.err, qt.IsNil)
	c.Check(r.target.retry, qt.IsTrue)
	// The allowance permits no other before its caller goes.
	c.Check(refusalOf(t, less).Reason, qt.Equals, verdict.RetryBudget)
	c.Check(s.resumptions, qt.HasLen, 0)
	c.Check(gone.reply, qt.HasLen, 0)
}

// TestStreamAtUpstreamLimitAwaitsItsUpstreams guards against an accepted stream that is
// cut although an upstream that it may run on is only left alone for a while, and against
// a request that is held although that does not help it.
func TestStreamAtUpstreamLimitAwaitsItsUpstreams(t *testing.T) {
	for _, x := range []struct {
		name     string
		accepted bool
		change   func(s *state, w *waiter)
		waits    bool
	}{
		{name: "accepted", accepted: true, waits: true},
		{name: "nothing sent to the caller"},
		{name: "an attempt runs", accepted: true, change: func(_ *state, w *waiter) { w.q.setHandingOver(true) }},
		{name: "all attempts made", accepted: true, change: func(_ *state, w *waiter) {
			for range maxAttempts {
				w.q.countAttempt()
			}
		}},
		{name: "upstream has failed the request", accepted: true, change: func(_ *state, w *waiter) { w.q.exclude("e") }},
		{name: "upstream wants no calls for longer", accepted: true, change: func(s *state, _ *waiter) {
			s.health.HoldOffCalls(s.upstreams["e"].Incarnation(), time.Minute, retriedAt)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := stateWithAllowance(t, 100, 10*time.Second)
			w := retriedStream(s, "w", 0, x.accepted)
			w.q.route.MaxUpstreams = 1
			w.q.excludeSilent("e")
			s.health.RecordFault("e", health.Stalled, retriedAt)
			if x.change != nil {
				x.change(s, w)
			}
			s.admit(w, retriedAt)
			refusal := refusalOf(t, w)
			c.Assert(refusal == nil, qt.Equals, x.waits)
			if !x.waits {
				c.Check(refusal.Reason, qt.Equals, verdict.RetryLimit)
				return
			}
			unaccepted := retriedStream(s, "unaccepted", 0, false)
			c.Check(s.awaitsAllowance(unaccepted.q.service), qt.IsFalse)
			s.health.RecordProbeSuccess("e", retriedAt+time.Second)
			s.dispatch(retriedAt + time.Second)
			r := <-w.reply
			c.Assert(r.err, qt.IsNil)
			c.Check(r.target.upstream.Instance, qt.Equals, "e")
		})
	}
}

// TestRetriesLeaveAllowanceToAcceptedStreams guards against an accepted stream that is cut
// because requests that have sent nothing to their callers have used the whole allowance,
// and against a reserve that keeps such requests from any retry.
func TestRetriesLeaveAllowanceToAcceptedStreams(t *testing.T) {
	for _, slack := range []float64{1, 2, 8, 40} {
		t.Run(fmt.Sprint(slack), func(t *testing.T) {
			c := qt.New(t)
			s := stateWithAllowance(t, slack, 10*time.Second)
			count := func(accepted bool) float64 {
				n := 0.0
				for q := retriedStream(s, "w", 0, accepted).q; ; n++ {
					if _, err := s.chargeRetry(q, retriedAt); err != nil {
						return n
					}
				}
			}
			unaccepted := count(false)
			accepted := count(true)
			c.Check(unaccepted >= 1, qt.IsTrue)
			c.Check(accepted >= 1 || slack < 2, qt.IsTrue)
			c.Check(unaccepted+accepted <= slack, qt.IsTrue, qt.Commentf("%v and %v", unaccepted, accepted))
		})
	}
}
