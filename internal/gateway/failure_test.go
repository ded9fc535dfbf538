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

// TestCrashedUpstreamIsEjected checks that an upstream that breaks off a stream
// and refuses connections gets no further attempts, while one whose state is
// unknown may get them.
func TestCrashedUpstreamIsEjected(t *testing.T) {
	for _, x := range []struct {
		name string
		dial error
		out  bool
	}{
		{"refuses connections", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, true},
		{"connecting times out", errors.New("timeout"), false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			g := &Gateway{Log: s.log, Now: func() time.Duration { return time.Minute }, control: loop.New[state]()}
			g.control.State = *s
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go g.control.Run(ctx)
			g.connPool = &http1.Pool{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, x.dial }}
			q := &request{Request: relay.Request{ID: "1"}, http: &http.Request{URL: &url.URL{}}}
			g.checkCrash(ctx, q, &fleet.Upstream{Instance: "e", Zone: "a"})
			out := false
			g.control.Do(func(s *state) { out = s.health.Excluded("e", time.Minute) })
			qt.Check(t, out, qt.Equals, x.out)
		})
	}
}

// TestUnansweredZoneMakesLinkSuspect checks that the link to a zone becomes
// suspect once two upstreams there do not answer, for any such fault.
func TestUnansweredZoneMakesLinkSuspect(t *testing.T) {
	for _, fault := range []health.Fault{health.Unreachable, health.Silent} {
		t.Run(fault.String(), func(t *testing.T) {
			s := newState(t)
			s.zone = "b"
			for _, instance := range []string{"e1", "e2"} {
				s.eject(&fleet.Upstream{Instance: instance, Zone: "a"}, fault, time.Minute)
			}
			qt.Check(t, s.linkFaults.Suspected("b", "a", time.Minute+time.Millisecond), qt.IsTrue)
		})
	}
}

// TestStalledUpstreamsCountTowardsLimit runs a stream whose engines stall one
// after the other because the links to them fail while the engines continue. It
// may start on two of them, and on a third only once one of the two is known to
// have ended.
func TestStalledUpstreamsCountTowardsLimit(t *testing.T) {
	const now = time.Minute
	for _, x := range []struct {
		name    string
		since   func(s *state)
		limited bool
	}{
		{"both just stalled", func(s *state) {}, true},
		{"one answered a probe since", func(s *state) { s.health.RecordProbeSuccess("e1", now) }, true},
		{"one failed a probe since", func(s *state) { s.health.RecordProbeFailure("e1") }, false},
		{"one refuses connections", func(s *state) { s.health.RecordFault("e2", health.Unreachable, now) }, false},
		{"one is no longer listed", func(s *state) { delete(s.upstreams, "e2") }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			q := &request{route: &routing.Route{MaxUpstreams: 2}}
			for _, name := range []string{"e1", "e2"} {
				u := engine(name, 10)
				s.upstreams[name] = u
				q.recordRun(name)
				s.attributeStall(q, target{upstream: u, chain: []relay.Stage{{Upstream: u}}}, 0, now)
			}
			x.since(s)
			qt.Check(t, s.atUpstreamLimit(q), qt.Equals, x.limited)
		})
	}
}
