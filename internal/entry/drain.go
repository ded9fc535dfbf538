package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
)

// drainPoll is how often a drain looks whether all requests have ended.
const drainPoll = 20 * time.Millisecond

// drainWhenAsked waits for the wish to stop, then turns health, gives the
// balancer time to notice, and returns once the requests in flight have ended.
// Its return ends the whole entry.
func (e *Entry) drainWhenAsked(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-e.Drain:
	case <-e.drainAsked:
	}
	e.Log.Info("draining", zap.Int64("in_flight", e.inFlight.Load()))
	e.control.Do(func(s *state) {
		s.draining = true
		e.control.publish(s)
	})
	// New requests are served during the notice: the balancer still sends some.
	if !loop.Sleep(ctx, e.Settings.Drain.Notice.Duration) {
		return nil
	}
	end := time.Now().Add(e.Settings.Drain.Timeout.Duration)
	for e.unfinished() > 0 && time.Now().Before(end) {
		if !loop.Sleep(ctx, drainPoll) {
			return nil
		}
	}
	e.later.flush(ctx)
	if left := e.unfinished(); left > 0 {
		e.Log.Warn("drain timed out", zap.Int("unfinished", left))
	}
	return nil
}

// unfinished returns how many requests a stop would cut: those whose body is
// still arriving or whose answer is still being sent count too.
func (e *Entry) unfinished() int { return max(int(e.inFlight.Load()), e.callers.count()) }

// askDrain starts the drain on behalf of an operator.
func (e *Entry) askDrain() {
	if e.drainOnce.CompareAndSwap(false, true) {
		close(e.drainAsked)
	}
}
