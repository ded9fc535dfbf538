package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWakes: a request that needs a fresh answer ends the pause between two
// watches.
func TestWakes(t *testing.T) {
	f := &follower{wake: make(chan struct{}, 1)}
	qt.Check(t, f.pause(t.Context(), time.Millisecond), qt.IsFalse)
	f.awake()
	qt.Check(t, f.pause(t.Context(), time.Hour), qt.IsTrue)
}
