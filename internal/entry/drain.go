package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
)

// drainPollInterval is how often a drain checks whether all requests have ended.
const drainPollInterval = 20 * time.Millisecond

// drainOnRequest waits for a drain request. It then reports the entry as not
// ready, waits for the notice period so that the load balancer can notice, and
// returns once the requests in flight have ended or the drain times out. When it
// returns, the whole entry stops.
func (e *Entry) drainOnRequest(ctx context.Context) error {
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
	deadline := time.Now().Add(e.Settings.Drain.Timeout.Duration)
	for e.unfinishedRequests() > 0 && time.Now().Before(deadline) {
		if !loop.Sleep(ctx, drainPollInterval) {
			return nil
		}
	}
	e.retryQueue.flush(ctx)
	if unfinished := e.unfinishedRequests(); unfinished > 0 {
		e.Log.Warn("drain timed out", zap.Int("unfinished", unfinished))
	}
	return nil
}

// unfinishedRequests returns the number of requests that a stop would interrupt,
// including those whose body is still being received or whose answer is still
// being sent.
func (e *Entry) unfinishedRequests() int { return max(int(e.inFlight.Load()), e.callerConns.count()) }

// requestDrain starts a drain on behalf of an operator. Calls after the first
// have no effect.
func (e *Entry) requestDrain() {
	if e.drainStarted.CompareAndSwap(false, true) {
		close(e.drainRequested)
	}
}
