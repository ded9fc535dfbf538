package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Bounds of a [NonBlockingWriter] writer.
const (
	// pendingLines is how many lines may wait for the writer.
	pendingLines = 1024
	// linesPerSecond is how many lines may be written in a second, with a
	// burst of as many.
	linesPerSecond = 300
	// batchBytes is how much is written at once.
	batchBytes = 16 << 10
)

// NonBlockingWriter passes lines on to a writer without ever blocking: lines above a
// rate, and those that find too many others waiting, are dropped and counted.
// Make it with [NewNonBlockingWriter].
type NonBlockingWriter struct {
	out     io.Writer
	pending chan []byte
	dropped atomic.Int64
	// second and written count the lines of the present second.
	second  atomic.Int64
	written atomic.Int64
}

// NewNonBlockingWriter returns a Bounded that writes to out once Run is called.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	return &NonBlockingWriter{out: out, pending: make(chan []byte, pendingLines)}
}

// Write takes one line. It never fails.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	if !b.allowed() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.pending <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

func (b *NonBlockingWriter) allowed() bool {
	now := time.Now().Unix()
	if b.second.Swap(now) != now {
		b.written.Store(0)
	}
	return b.written.Add(1) <= linesPerSecond
}

// Sync does nothing: lines are written by Run.
func (b *NonBlockingWriter) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (b *NonBlockingWriter) Dropped() int64 { return b.dropped.Load() }

// Run writes lines until ctx ends, and then what is still pending.
func (b *NonBlockingWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-b.pending:
			b.write(line)
		case <-ctx.Done():
			for len(b.pending) > 0 {
				b.write(<-b.pending)
			}
			return nil
		}
	}
}

// write writes a line and those that wait behind it. A log that can't be
// written is no reason to stop serving, and there is nowhere to report it.
func (b *NonBlockingWriter) write(line []byte) {
	for len(line) < batchBytes {
		select {
		case next := <-b.pending:
			line = append(line, next...)
		default:
			_, _ = b.out.Write(line)
			return
		}
	}
	_, _ = b.out.Write(line)
}
