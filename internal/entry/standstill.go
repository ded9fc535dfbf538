package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/selfcheck"
	"lovageport.example/internal/loop"
)

// loggedStandstill is the shortest standstill that is logged.
const loggedStandstill = 200 * time.Millisecond

// watchStandstills records when this process did not run, until ctx ends.
func (e *Entry) watchStandstills(ctx context.Context) error {
	for {
		set := time.Since(e.startedAt)
		if !loop.Sleep(ctx, selfcheck.Interval) {
			return nil
		}
		now := time.Since(e.startedAt)
		e.standstills.Tick(set+selfcheck.Interval, now)
		if still := now - set; still >= loggedStandstill {
			e.Log.Warn("process stood still", zap.Duration("for", still), zap.Int64("in_flight", e.inFlight.Load()))
		}
	}
}

// running returns how much of a span this process ran. A timeout of which it did
// not run all shows nothing about an upstream, whose answer may be unread.
func (e *Entry) running(from, to time.Time) time.Duration {
	return e.standstills.Running(from.Sub(e.startedAt), to.Sub(e.startedAt))
}
