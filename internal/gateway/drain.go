package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/drain"
	"lovageport.example/pkg/verdict"
)

// Timeouts of the graceful shutdown.
const (
	// drainNoticePeriod is how long new connections are still served after the
	// health check starts to fail: the load balancer polls once a second and
	// acts on two results.
	drainNoticePeriod = 2500 * time.Millisecond
	// drainMargin is how long before the end of the grace period the remaining
	// connections are cut off.
	drainMargin = 300 * time.Millisecond
	// drainAnswerTime is how long before that the remaining requests end, so that
	// their callers get an answer.
	drainAnswerTime = 200 * time.Millisecond
	// tunnelDrainInterval is how often a drain looks whether peers still use tunnels
	// through this process.
	tunnelDrainInterval = 50 * time.Millisecond
)

// maxSignalDelay bounds the time by which the signal that asks for a drain is taken to
// have been sent before this process, which stood still, has received it.
const maxSignalDelay = time.Second

// drainTimes are the boot times of a graceful shutdown.
type drainTimes struct {
	// acceptEnd is until when requests are accepted that may not end in time. closeAt is
	// when new connections are refused. At cutOff the requests that are left end, and at
	// end their connections.
	acceptEnd, closeAt, cutOff, end time.Duration
}

// newDrainTimes returns the times of a drain that begins at a boot time, was asked for at
// an earlier one, and may take as long as grace.
func newDrainTimes(asked, begin, grace time.Duration) *drainTimes {
	notice := min(drainNoticePeriod, (grace-drainMargin-drainAnswerTime)/2)
	end := begin + grace - drainMargin
	return &drainTimes{acceptEnd: asked + notice, closeAt: begin + notice, cutOff: end - drainAnswerTime, end: end}
}

// mayCutOff reports whether a request that has arrived at a boot time may be at work at
// the end of the drain: until acceptEnd if it is predicted to take longer, and later if
// its deadline allows it to. It goes by the clock alone: on a busy
// VM the timer of the notice period fires late.
func (t *drainTimes) mayCutOff(deadline, predicted, now time.Duration) bool {
	if deadline <= t.cutOff {
		return false
	}
	return now >= t.acceptEnd || now+predicted > t.cutOff
}

// drainOnRequest performs the graceful shutdown once Drain is closed: the
// health check fails first, then new connections are refused, then requests in
// flight and those that have arrived are completed.
func (g *Gateway) drainOnRequest(ctx context.Context, callers *drain.Listener) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.Drain:
	}
	start := g.Now()
	asked := g.pauses.LastRunning(start, maxSignalDelay)
	times := newDrainTimes(asked, start, g.Settings.Bounds.Grace.Duration)
	g.drainTimes.Store(times)
	g.draining.Store(true)
	g.Log.Info("drain started", zap.Int64("in_flight", g.inFlight.Load()), zap.Duration("stood_still", start-asked))
	defer time.AfterFunc(times.cutOff-g.Now(), g.endRequests).Stop()
	if !loop.Sleep(ctx, times.closeAt-g.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, times.end-g.Now())
	defer cancel()
	err := callers.Drain(ctx)
	for err == nil && g.tunnels.Open() > 0 && loop.Sleep(ctx, tunnelDrainInterval) {
	}
	outcome := []zap.Field{zap.Duration("took", g.Now()-start), zap.Int64("in_flight", g.inFlight.Load()), zap.Int("connections", callers.Open())}
	if err != nil {
		g.Log.Warn("drain timed out", append(outcome, zap.Error(err))...)
	} else {
		g.Log.Info("drain completed", outcome...)
	}
	g.unregister()
	return nil
}

// Limits of the log of connections and streams that end in one way.
const (
	endsPerSecond = 2
	endsBurst     = 20
)

// logLimit bounds the rate of the lines of one kind. Its zero value is ready for use.
type logLimit struct {
	once    sync.Once
	limiter *rate.Limiter
	skipped atomic.Int64
}

// allow reports whether a line may be logged, and how many were left out since the last
// one.
func (l *logLimit) allow() (skipped int64, ok bool) {
	l.once.Do(func() { l.limiter = rate.NewLimiter(endsPerSecond, endsBurst) })
	if !l.limiter.Allow() {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}

// newEndLogger returns a function that logs the end of a caller's connection on which a
// request was begun and not answered. It leaves out those above a rate, and logs how many.
func (g *Gateway) newEndLogger() func(drain.End) {
	var limit logLimit
	return func(e drain.End) {
		skipped, ok := limit.allow()
		if !ok {
			return
		}
		by := closedByCaller
		if e.Cause == nil || errors.Is(e.Cause, os.ErrDeadlineExceeded) {
			by = closedByGateway
		}
		g.Log.Info("caller connection ended", zap.String("by", by), zap.NamedError("why", e.Cause), zap.Stringer("caller", e.Caller),
			zap.Int64("bytes_read", e.Read), zap.Int("requests_served", e.Served), zap.Bool("draining", g.draining.Load()), zap.Int64("skipped", skipped))
	}
}

// endRequests ends the requests that are still at work.
func (g *Gateway) endRequests() {
	if n := g.inFlight.Load(); n > 0 {
		g.Log.Warn("requests ended with the process", zap.Int64("in_flight", n))
	}
	g.requests.End()
}

// limitBodyRead ends the reading of the body of a request when the time of a drain is
// over, until the returned function is called.
func (g *Gateway) limitBodyRead(w http.ResponseWriter) (stop func() bool) {
	return g.requests.AfterEnd(func() {
		// It fails only if the connection has ended.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
}

// checkDrain refuses a request that the end of a drain may cut off. Such a request comes
// before the load balancer sends its caller elsewhere, or over a connection that was in use
// when the notice period ended.
func (g *Gateway) checkDrain(q *request) error {
	times := g.drainTimes.Load()
	if times == nil {
		return nil
	}
	var predicted time.Duration
	if q.route.Kind == routing.Stream {
		predicted = g.streamTimes.longest(q)
	}
	if !times.mayCutOff(q.deadline, predicted, g.Now()) {
		return nil
	}
	return verdict.RefuseUntil(minRetryAfter, verdict.Draining, "the process may end before the request")
}

// unregisterTimeout bounds the call that removes the gateway's entry at
// shutdown.
const unregisterTimeout = 200 * time.Millisecond

// unregister removes the gateway's entry from the store. If it remains, peers
// call this gateway in vain until it expires.
func (g *Gateway) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := g.store.Unregister(ctx, g.Settings.Name); err != nil {
		g.Log.Warn("gateway unregistration failed", zap.Error(err))
	}
}
