package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWakes: what a peer knows to be new waits for the end of the pause
// between two watches, while a request that needs a fresh answer does not.
func TestWakes(t *testing.T) {
	for _, x := range []struct {
		name    string
		wake    func(*follower)
		pausing bool
		woken   bool
	}{
		{"missed while pausing", (*follower).missed, true, false},
		{"missed while watching", (*follower).missed, false, true},
		{"needed while pausing", (*follower).awake, true, true},
		{"needed while watching", (*follower).awake, false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := &follower{wake: make(chan struct{}, 1)}
			f.pausing.Store(x.pausing)
			x.wake(f)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			qt.Check(t, f.pause(ctx, time.Millisecond), qt.Equals, x.woken)
		})
	}
}
