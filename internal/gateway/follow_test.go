package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// TestChangeKeepsWhatPeersConfirmed: a watch that has waited long brings a
// change; the list does not become older by it than peers have confirmed it.
func TestChangeKeepsWhatPeersConfirmed(t *testing.T) {
	s := newState(t)
	all := map[string]*fleet.Upstream{"e": {Instance: "e", Service: "llm"}}
	s.setUpstreams(all, time.Second, time.Second)
	n := s.belief(&Gateway{}, time.Second)
	n.ListAge = 0
	s.confirmList(n, 5*time.Second)

	moved := &fleet.Upstream{Instance: "e", Service: "llm", Held: fleet.Range{From: 0, To: 3}}
	const sent, answered = 2 * time.Second, 6 * time.Second
	s.changeUpstreams([]platform.UpstreamChange{{Instance: "e", Upstream: moved}}, sent, answered)
	qt.Check(t, s.listedAt, qt.Equals, 5*time.Second)
	s.changeUpstreams(nil, 5500*time.Millisecond, 7*time.Second)
	qt.Check(t, s.listedAt, qt.Equals, 5500*time.Millisecond)
}

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
