package logging

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Limits of a [NonBlockingWriter].
const (
	// maxPendingLines is how many lines may wait to be written.
	maxPendingLines = 1024
	// reservedLines is the part of maxPendingLines that only warnings may use.
	reservedLines = 256
	// maxLinesPerSecond is how many lines are accepted in each second of the wall
	// clock, in a single burst or spread out, and maxWarningsPerSecond how many
	// warnings are accepted besides.
	maxLinesPerSecond    = 300
	maxWarningsPerSecond = 100
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
	// queued and written count the lines that were queued and those of them that
	// were written.
	queued, written atomic.Int64
	// lines and warnings count the accepted lines.
	lines, warnings rateCounter
}

// rateCounter counts what is accepted in the current second.
type rateCounter struct {
	// second is the current second in Unix time; accepted counts its lines.
	second, accepted atomic.Int64
}

// allow reports whether another line is within a limit per second.
func (c *rateCounter) allow(limit int64) bool {
	now := time.Now().Unix()
	if c.second.Swap(now) != now {
		c.accepted.Store(0)
	}
	return c.accepted.Add(1) <= limit
}

// NewNonBlockingWriter returns a NonBlockingWriter that writes to out while Run is
// running.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	return &NonBlockingWriter{out: out, pending: make(chan []byte, maxPendingLines)}
}

// Write queues a copy of one line, or drops it. It never fails.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	return w.queue(line, w.lines.allow(maxLinesPerSecond) && len(w.pending) < maxPendingLines-reservedLines)
}

// Warnings returns a writer whose lines have a limit and a part of the queue of
// their own, so that other lines don't displace them.
func (w *NonBlockingWriter) Warnings() io.Writer { return (*warningWriter)(w) }

// warningWriter is a NonBlockingWriter for warnings.
type warningWriter NonBlockingWriter

// Write queues a copy of one line, or drops it. It never fails.
func (w *warningWriter) Write(line []byte) (int, error) {
	return (*NonBlockingWriter)(w).queue(line, w.warnings.allow(maxWarningsPerSecond))
}

// Sync is [NonBlockingWriter.Sync].
func (w *warningWriter) Sync() error { return (*NonBlockingWriter)(w).Sync() }

// queue queues a copy of a line if it is allowed and there is room.
func (w *NonBlockingWriter) queue(line []byte, allowed bool) (int, error) {
	if !allowed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.pending <- append([]byte(nil), line...):
		w.queued.Add(1)
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// ErrNotSynced is returned by Sync if the queued lines were not written in time.
var ErrNotSynced = errors.New("logging: queued lines not written in time")

const (
	// syncTimeout bounds [NonBlockingWriter.Sync].
	syncTimeout = 200 * time.Millisecond
	// syncPollInterval is how often it looks whether the lines are written.
	syncPollInterval = time.Millisecond
)

// Sync waits until the lines that are queued have been written. It returns
// ErrNotSynced if that takes too long.
func (w *NonBlockingWriter) Sync() error {
	queued := w.queued.Load()
	for end := time.Now().Add(syncTimeout); w.written.Load() < queued; time.Sleep(syncPollInterval) {
		if time.Now().After(end) {
			return ErrNotSynced
		}
	}
	return nil
}

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
	lines := int64(1)
	defer func() { w.written.Add(lines) }()
	for len(line) < batchBytes {
		select {
		case next := <-w.pending:
			line = append(line, next...)
			lines++
		default:
			_, _ = w.out.Write(line)
			return
		}
	}
	_, _ = w.out.Write(line)
}
