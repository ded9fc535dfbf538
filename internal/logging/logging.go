// Package logging creates the logger of a process, which writes each event as a
// line of key=value pairs.
package logging

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of the given level and above to out. It
// fails if level is not the name of a level. If out is a [NonBlockingWriter],
// warnings and errors have a rate limit of their own.
func New(out io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.CallerKey = ""
	config.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	config.EncodeDuration = zapcore.StringDurationEncoder
	urgent := out
	if w, ok := out.(*NonBlockingWriter); ok {
		urgent = w.Warnings()
	}
	newCore := func(out io.Writer, enabled zap.LevelEnablerFunc) zapcore.Core {
		return zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(out)), enabled)
	}
	return zap.New(zapcore.NewTee(
		newCore(out, func(l zapcore.Level) bool { return parsed.Enabled(l) && l < zapcore.WarnLevel }),
		newCore(urgent, func(l zapcore.Level) bool { return parsed.Enabled(l) && l >= zapcore.WarnLevel }),
	)), nil
}
