package logging

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

// Limits of a [NonBlockingWriter].
const (
	// maxPendingLines is how many lines may wait to be written.
	maxPendingLines = 1024
	// maxLinesPerSecond is how many lines are accepted in each second of the wall
	// clock, in a single burst or spread out.
	maxLinesPerSecond = 300
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 16 << 10
)

// NonBlockingWriter queues lines for another writer and never blocks. It drops and
// counts lines that exceed a rate or that arrive while the queue is full. Create it
// with [NewNonBlockingWriter].
type NonBlockingWriter struct {
	out     io.Writer
	pending chan []byte
	dropped atomic.Int64
	// second is the current second in Unix time; accepted counts its lines.
	second   atomic.Int64
	accepted atomic.Int64
}

// NewNonBlockingWriter returns a NonBlockingWriter that writes to out while Run is
// running.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	return &NonBlockingWriter{out: out, pending: make(chan []byte, maxPendingLines)}
}

// Write queues a copy of one line, or drops it. It never fails.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	if !w.allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.pending <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether the rate limit admits another line.
func (w *NonBlockingWriter) allow() bool {
	now := time.Now().Unix()
	if w.second.Swap(now) != now {
		w.accepted.Store(0)
	}
	return w.accepted.Add(1) <= maxLinesPerSecond
}

// Sync does nothing, because Run writes the lines.
func (w *NonBlockingWriter) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (w *NonBlockingWriter) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx is done, and then those that are still queued.
func (w *NonBlockingWriter) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.pending:
			w.write(line)
		case <-ctx.Done():
			for len(w.pending) > 0 {
				w.write(<-w.pending)
			}
			return nil
		}
	}
}

// write writes a line together with queued lines. It ignores errors: the process
// must go on serving, and there is no other place to report them.
func (w *NonBlockingWriter) write(line []byte) {
	for len(line) < batchBytes {
		select {
		case next := <-w.pending:
			line = append(line, next...)
		default:
			_, _ = w.out.Write(line)
			return
		}
	}
	_, _ = w.out.Write(line)
}
