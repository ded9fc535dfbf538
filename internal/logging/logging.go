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
// fails if level is not the name of a level.
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
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(out)), parsed)
	return zap.New(core), nil
}
