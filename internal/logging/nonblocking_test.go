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

// stuck is a reader that does not read until it is let go.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func TestReaderThatDoesNotReadHoldsNobodyUp(t *testing.T) {
	c := qt.New(t)
	out := &stuck{release: make(chan struct{})}
	b := NewNonBlockingWriter(out)
	log, err := New(b, "info")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = b.Run(ctx)
	}()
	const lines = 5000
	began := time.Now()
	for i := range lines {
		log.Info("line", zap.Int("number", i))
	}
	c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
	c.Assert(b.Dropped() > 0, qt.IsTrue)
	close(out.release)
	cancel()
	<-ended
	written := strings.Count(out.text.String(), "\n")
	c.Assert(int64(written)+b.Dropped(), qt.Equals, int64(lines))
	// At most two seconds can have begun meanwhile.
	c.Assert(written <= 3*linesPerSecond, qt.IsTrue, qt.Commentf("%d lines written", written))
}
