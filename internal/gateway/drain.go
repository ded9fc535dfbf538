package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
)

// Timeouts of the graceful shutdown.
const (
	// drainNoticePeriod is how long new connections are still served after the
	// health check starts to fail: the load balancer polls once a second and
	// acts on two results.
	drainNoticePeriod = 2500 * time.Millisecond
	// drainMargin is how long before the end of the grace period the remaining
	// requests are cut off.
	drainMargin = 300 * time.Millisecond
)

// drainOnRequest performs the graceful shutdown once Drain is closed: the
// health check fails first, then new connections are refused, then requests in
// flight are completed.
func (g *Gateway) drainOnRequest(ctx context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.Drain:
	}
	start := time.Now()
	g.draining.Store(true)
	g.Log.Info("drain started", zap.Int64("in_flight", g.inFlight.Load()))
	if !loop.Sleep(ctx, drainNoticePeriod) {
		return nil
	}
	left := g.Settings.Bounds.Grace.Duration - drainMargin - time.Since(start)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.Log.Warn("drain timed out", zap.Int64("in_flight", g.inFlight.Load()), zap.Error(err))
	}
	g.unregister()
	return nil
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
