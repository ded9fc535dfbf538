package gateway

import (
	"errors"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"

	"lovageport.example/internal/guard"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/protocol/relay"
)

// logLoopPanic logs a panic of the control loop, which ends the process and all its
// requests.
func (g *Gateway) logLoopPanic(value any, stack []byte) {
	logging.LogPanic(g.Log.With(zap.Int64("in_flight", g.inFlight.Load())), "control loop panicked", value, stack)
}

// logPanic logs and counts a panic of the handler of a request, and ends the
// connection. It must be deferred. A handler that ends the connection on purpose
// panics with [http.ErrAbortHandler].
func (g *Gateway) logPanic(r *relay.Request) {
	value := recover()
	switch {
	case value == nil:
		return
	case value != http.ErrAbortHandler:
		g.metrics.panics.Inc()
		g.Log.Error("handler panicked", zap.String("request", r.ID), zap.Any("panic", value), zap.ByteString("stack", debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// errPanicked is the cause of the end of a request of which a part has panicked.
var errPanicked = errors.New("gateway: a part of the request panicked")

// guard returns what contains the panics of goroutines and timers.
func (g *Gateway) guard() guard.Guard { return guard.Guard{OnPanic: g.recordPanic} }

// recordPanic logs and counts a panic of a goroutine or timer.
func (g *Gateway) recordPanic(request string, e *guard.PanicError) {
	g.metrics.containedPanics.Inc()
	logging.LogContained(g.Log, request, e)
}

// contain runs f, which works for no single request, in a goroutine of its own. A panic
// is logged, counted, and returned as an error.
func (g *Gateway) contain(f func()) error { return g.guard().Run("", f) }

// containFor is like contain for a part of a request, which ends if f panics. What f has
// sent may have run.
func (g *Gateway) containFor(q *request, f func()) error {
	err := g.guard().Run(q.ID, f)
	if err != nil {
		q.recordPanic()
		q.end(errPanicked)
	}
	return err
}

// goContained runs f in a goroutine that works for no single request.
func (g *Gateway) goContained(f func()) {
	go func() {
		// The error is logged.
		_ = g.contain(f)
	}()
}
