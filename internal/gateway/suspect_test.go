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
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/http1"
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
			g.pool = &http1.Pool{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, x.dial }}
			q := &query{Request: relay.Request{ID: "1"}, http: &http.Request{URL: &url.URL{}}}
			g.checkCrash(ctx, q, &fleet.Upstream{Instance: "e", Zone: "a"})
			out := false
			g.control.Do(func(s *state) { out = s.health.Excluded("e", time.Minute) })
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
			qt.Check(t, s.links.Suspected("b", "a", time.Minute+time.Millisecond), qt.IsTrue)
		})
	}
}

// TestStalledUpstreamsCountAsRun replays a stream whose engines fall silent one
// after the other on paths that break while the engines go on: it may begin at
// two, and a third is allowed only once one of them is known to have ended.
func TestStalledUpstreamsCountAsRun(t *testing.T) {
	const now = time.Minute
	for _, x := range []struct {
		name    string
		seen    func(s *state)
		limited bool
	}{
		{"both stalled just now", func(s *state) {}, true},
		{"one has answered a probe since", func(s *state) { s.health.RecordProbeSuccess("e1", now) }, true},
		{"one has not answered a probe either", func(s *state) { s.health.RecordProbeFailure("e1") }, false},
		{"one refuses connections", func(s *state) { s.health.RecordFault("e2", health.Unreachable, now) }, false},
		{"one is not listed any more", func(s *state) { delete(s.upstreams, "e2") }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			q := &query{route: &routing.Route{MaxUpstreams: 2}}
			for _, name := range []string{"e1", "e2"} {
				u := engine(name, 10)
				s.upstreams[name] = u
				q.noteRun(name)
				s.blameSilent(q, place{upstream: u, chain: []relay.Stage{{Upstream: u}}}, 0, now)
			}
			x.seen(s)
			qt.Check(t, s.limited(q), qt.Equals, x.limited)
		})
	}
}
