package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
)

// Times of the graceful stop.
const (
	// notice is how long new connections are still served after health has
	// turned: the balancer asks once a second and believes two answers.
	notice = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace period what is left
	// is cut.
	stopMargin = 300 * time.Millisecond
)

// drainWhenAsked stops gracefully when it is told to: health turns first, then
// new connections are refused, then what is in flight ends.
func (g *Gateway) drainWhenAsked(ctx context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.Drain:
	}
	asked := time.Now()
	g.draining.Store(true)
	g.Log.Info("drain started", zap.Int64("in_flight", g.inFlight.Load()))
	if !loop.Wait(ctx, notice) {
		return nil
	}
	left := g.Settings.Bounds.Grace.Duration - stopMargin - time.Since(asked)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.Log.Warn("drain timed out", zap.Int64("in_flight", g.inFlight.Load()), zap.Error(err))
	}
	g.unregister()
	return nil
}

// unregisterTimeout bounds the last call of a process that stops.
const unregisterTimeout = 200 * time.Millisecond

// unregister removes the own entry from the store. One that stays there only
// has others call in vain for a while.
func (g *Gateway) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	if err := g.store.Unregister(ctx, g.Settings.Name); err != nil {
		g.Log.Warn("gateway not unregistered", zap.Error(err))
	}
}
