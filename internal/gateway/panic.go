package gateway

import (
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"

	"lovageport.example/internal/protocol/relay"
)

// logLoopPanic logs a panic of the control loop, which ends the process and all its
// streams, and waits until the line is written.
func (g *Gateway) logLoopPanic(value any, stack []byte) {
	g.Log.Error("control loop panicked", zap.Any("panic", value), zap.ByteString("stack", stack), zap.Int64("in_flight", g.inFlight.Load()))
	// If the line can't be written, the trace of the process is all there is.
	_ = g.Log.Sync()
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
