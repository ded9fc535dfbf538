package gateway

import (
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"

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
