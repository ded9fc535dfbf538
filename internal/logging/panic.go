package logging

import (
	"go.uber.org/zap"

	"lovageport.example/internal/guard"
)

// LogContained logs a panic that was contained, and the request that it ends, if any.
func LogContained(log *zap.Logger, request string, e *guard.PanicError) {
	log.Error("panic contained", zap.String("request", request), zap.Any("panic", e.Value), zap.ByteString("stack", e.Stack))
}

// LogPanic logs the value and the stack of a panic that ends the process, and waits
// until the line is written.
func LogPanic(log *zap.Logger, event string, value any, stack []byte) {
	log.Error(event, zap.Any("panic", value), zap.ByteString("stack", stack))
	// If the line can't be written, the trace of the process is all there is.
	_ = log.Sync()
}
