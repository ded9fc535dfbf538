package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/transport/drain"
)

// drainPollInterval is how often a drain checks whether all requests have ended.
const drainPollInterval = 20 * time.Millisecond

// drainAnswerTime is how long before the end of a drain the requests that are left end,
// so that their callers get an answer.
const drainAnswerTime = 200 * time.Millisecond

// errUnfinished is returned for a drain whose timeout passed while requests of
// callers that have disconnected were still at work.
var errUnfinished = errors.New("entry: requests are still at work")

// drainOnRequest waits for a drain request. It then reports the entry as not
// ready, waits for the notice period so that the load balancer can notice, and
// ends the listeners: first that of callers, then that of operators, which serves
// the health checks. It returns once the requests in flight and those that have
// arrived have ended, or the drain times out. When it returns, the whole entry
// stops.
func (e *Entry) drainOnRequest(ctx context.Context, callers, operators *drain.Listener) error {
	select {
	case <-ctx.Done():
		return nil
	case <-e.Drain:
	case <-e.drainRequested:
	}
	e.Log.Info("draining", zap.Int64("in_flight", e.inFlight.Load()))
	e.control.Do(func(s *state) {
		s.draining = true
		e.control.publish(s)
	})
	// New requests are served during the notice period, since the load balancer
	// still sends some.
	if !loop.Sleep(ctx, e.Settings.Drain.Notice.Duration) {
		return nil
	}
	timeout := e.Settings.Drain.Timeout.Duration
	defer time.AfterFunc(max(timeout/2, timeout-drainAnswerTime), e.endRequests).Stop()
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := errors.Join(callers.Drain(limited), e.awaitRequests(limited))
	e.retryQueue.flush(ctx)
	if err = errors.Join(err, operators.Drain(limited)); err != nil {
		e.Log.Warn("drain timed out", zap.Int64("in_flight", e.inFlight.Load()), zap.Int("caller_connections", callers.Open()),
			zap.Int("operator_connections", operators.Open()), zap.Error(err))
	}
	return nil
}

// endRequests ends the requests that are still at work.
func (e *Entry) endRequests() {
	if n := e.inFlight.Load(); n > 0 {
		e.Log.Warn("requests ended with the process", zap.Int64("in_flight", n))
	}
	e.requests.End()
}

// awaitRequests waits until no request is at work. One that may not be repeated
// goes on after its caller has disconnected.
func (e *Entry) awaitRequests(ctx context.Context) error {
	for e.inFlight.Load() > 0 {
		if !loop.Sleep(ctx, drainPollInterval) {
			return errUnfinished
		}
	}
	return nil
}

// closeWhileDraining returns a handler that asks clients to close their
// connections during a drain. The load balancer then assigns the next connection
// to another entry.
func (e *Entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.control.view.Load().draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// requestDrain starts a drain on behalf of an operator. Calls after the first
// have no effect.
func (e *Entry) requestDrain() {
	if e.drainStarted.CompareAndSwap(false, true) {
		close(e.drainRequested)
	}
}
