package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/exchange"
)

// TestCrashedUpstreamIsLeftAlone: an upstream that breaks a stream off and
// does not listen any more gets no further attempt, while one that still
// listens may.
func TestCrashedUpstreamIsLeftAlone(t *testing.T) {
	for _, x := range []struct {
		name string
		dial error
		out  bool
	}{
		{"does not listen", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, true},
		{"can't be reached in time", errors.New("timeout"), false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			g := &Gateway{Log: s.log, Now: func() time.Duration { return time.Minute }, control: loop.New[state]()}
			g.control.State = *s
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go g.control.Run(ctx)
			g.pool = &exchange.Pool{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, x.dial }}
			q := &query{Request: relay.Request{ID: "1"}, http: &http.Request{URL: &url.URL{}}}
			g.checkCrash(ctx, q, &fleet.Upstream{Instance: "e", Zone: "a"})
			out := false
			g.control.Do(func(s *state) { out = s.health.Out("e", time.Minute) })
			qt.Check(t, out, qt.Equals, x.out)
		})
	}
}

// TestSilenceOfAnotherZoneDoubtsTheLink: two upstreams of a zone that do not
// answer in time may be beyond a link that is cut, whatever they were asked.
func TestSilenceOfAnotherZoneDoubtsTheLink(t *testing.T) {
	for _, fault := range []health.Fault{health.Unreachable, health.Silent} {
		t.Run(fault.String(), func(t *testing.T) {
			s := newState(t)
			s.zone = "b"
			for _, instance := range []string{"e1", "e2"} {
				s.blameFor(&fleet.Upstream{Instance: instance, Zone: "a"}, fault, time.Minute)
			}
			qt.Check(t, s.links.Doubted("b", "a", time.Minute+time.Millisecond), qt.IsTrue)
		})
	}
}
