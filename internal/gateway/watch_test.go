package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/logging"
	"lovageport.example/platform"
)

// TestStoreStateIsLoggedOncePerChange guards against missing or repeated log
// lines when the store fails repeatedly, recovers, or lacks the object.
func TestStoreStateIsLoggedOncePerChange(t *testing.T) {
	var lines bytes.Buffer
	log, err := logging.New(&lines, "info")
	qt.Assert(t, err, qt.IsNil)
	s := newState(t)
	s.log = log
	down := errors.New("down")
	for _, err := range []error{nil, platform.ErrNotFound, platform.ErrNotFound, down, down, nil, nil, down, platform.ErrNotFound} {
		s.recordStoreResult(tableName, err)
	}
	var events []string
	for line := range strings.Lines(lines.String()) {
		_, event, _ := strings.Cut(line, "event=\"")
		event, _, _ = strings.Cut(event, "\"")
		events = append(events, event)
	}
	qt.Check(t, events, qt.DeepEquals, []string{"nothing in store", "store lost", "store regained", "store lost", "nothing in store"})
}

// TestWakeUpEndsSleep guards against a request that needs a fresh configuration
// waiting for the pause between two watches.
func TestWakeUpEndsSleep(t *testing.T) {
	w := &watcher{wake: make(chan struct{}, 1)}
	qt.Check(t, w.sleep(t.Context(), time.Millisecond), qt.IsFalse)
	w.wakeUp()
	qt.Check(t, w.sleep(t.Context(), time.Hour), qt.IsTrue)
}
