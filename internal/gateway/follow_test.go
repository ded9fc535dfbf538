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

// TestStoreLinesInLog: each change of what is believed of the store has its
// line, and nothing else has.
func TestStoreLinesInLog(t *testing.T) {
	var lines bytes.Buffer
	log, err := logging.New(&lines, "info")
	qt.Assert(t, err, qt.IsNil)
	s := newState(t)
	s.log = log
	down := errors.New("down")
	for _, err := range []error{nil, platform.ErrNotFound, platform.ErrNotFound, down, down, nil, nil, down, platform.ErrNotFound} {
		s.noteStore(tableName, err)
	}
	var events []string
	for line := range strings.Lines(lines.String()) {
		_, event, _ := strings.Cut(line, "event=\"")
		event, _, _ = strings.Cut(event, "\"")
		events = append(events, event)
	}
	qt.Check(t, events, qt.DeepEquals, []string{"nothing in store", "store lost", "store regained", "store lost", "nothing in store"})
}

// TestWakes: a request that needs a fresh answer ends the pause between two
// watches.
func TestWakes(t *testing.T) {
	f := &follower{wake: make(chan struct{}, 1)}
	qt.Check(t, f.pause(t.Context(), time.Millisecond), qt.IsFalse)
	f.awake()
	qt.Check(t, f.pause(t.Context(), time.Hour), qt.IsTrue)
}
