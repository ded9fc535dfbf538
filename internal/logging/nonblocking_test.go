package logging

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBlockedOutputDoesNotBlockLogging checks that logging does not wait for an output
// that blocks, and that every line is either written or counted as dropped.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewNonBlockingWriter(out)
	log, err := New(w, "info")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	const lines = 5000
	start := time.Now()
	for i := range lines {
		log.Info("line", zap.Int("number", i))
	}
	c.Assert(time.Since(start) < 2*time.Second, qt.IsTrue)
	c.Assert(w.Dropped() > 0, qt.IsTrue)
	close(out.release)
	cancel()
	<-done
	written := strings.Count(out.text.String(), "\n")
	c.Assert(int64(written)+w.Dropped(), qt.Equals, int64(lines))
	// The lines were logged in less than two seconds, so at most three seconds of the
	// wall clock admitted lines.
	c.Assert(written <= 3*maxLinesPerSecond, qt.IsTrue, qt.Commentf("%d lines written", written))
}

// TestWarningsAreNotDisplaced guards against losing the line that explains a
// failure to the many lines of a busy second.
func TestWarningsAreNotDisplaced(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := NewNonBlockingWriter(&out)
	log, err := New(w, "info")
	c.Assert(err, qt.IsNil)
	for range 5 * maxPendingLines {
		log.Info("line")
	}
	log.Warn("cause")
	log.Debug("too detailed")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(w.Run(ctx), qt.IsNil)
	c.Check(strings.Count(out.String(), "event=cause"), qt.Equals, 1)
	c.Check(strings.Contains(out.String(), "detailed"), qt.IsFalse)
}

// TestWarningsAreLimited checks that warnings alone cannot fill the log.
func TestWarningsAreLimited(t *testing.T) {
	c := qt.New(t)
	w := NewNonBlockingWriter(&bytes.Buffer{})
	log, err := New(w, "info")
	c.Assert(err, qt.IsNil)
	const lines = 5000
	for range lines {
		log.Warn("cause")
	}
	// The lines were logged in less than two seconds.
	c.Check(w.Dropped() >= lines-3*maxWarningsPerSecond, qt.IsTrue, qt.Commentf("%d dropped", w.Dropped()))
}

// TestSyncWritesQueuedLines checks that the lines before Sync are written when it
// returns, so that the last line of a process that ends is not lost, and that Sync
// gives up if the output blocks.
func TestSyncWritesQueuedLines(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewNonBlockingWriter(out)
	log, err := New(w, "info")
	c.Assert(err, qt.IsNil)
	go func() { _ = w.Run(t.Context()) }()
	log.Info("first")
	log.Error("last")
	c.Assert(w.Sync(), qt.Equals, ErrNotSynced)
	close(out.release)
	c.Assert(log.Sync(), qt.IsNil)
	out.mu.Lock()
	defer out.mu.Unlock()
	c.Assert(strings.Count(out.text.String(), "\n"), qt.Equals, 2)
}
