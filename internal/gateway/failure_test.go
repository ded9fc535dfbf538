package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/selfcheck"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
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

// TestConnectionNotOpenedHere guards against blaming upstreams to which no connection
// could be opened because this process stood still or had no descriptors left.
func TestConnectionNotOpenedHere(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, x := range []struct {
		name  string
		err   error
		stood bool
		fault bool
	}{
		{"no answer in time", timeout, false, true},
		{"this process stood still", timeout, true, false},
		{"no descriptors", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, false, false},
		{"no descriptors on the VM", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ENFILE)}, false, false},
		{"no ports", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EADDRNOTAVAIL)}, false, false},
		{"no memory", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.ENOBUFS)}, false, false},
		{"refused, this process stood still", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			g, h := handoverGateway(t)
			var now atomic.Int64
			now.Store(int64(time.Minute))
			g.Now = func() time.Duration { return time.Duration(now.Load()) }
			g.Settings = testSettings()
			g.metrics = newMetrics(g)
			g.connPool = &http1.Pool{Dial: func(context.Context, string, string) (net.Conn, error) {
				due := g.Now() + selfcheck.Interval
				if x.stood {
					now.Add(int64(100 * time.Millisecond))
				}
				g.pauses.Tick(due, g.Now())
				return nil, x.err
			}}
			h.q.http = &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}}
			var to target
			g.control.Do(func(s *state) { to = s.chainTarget([]relay.Stage{{Upstream: s.upstreams["e2"]}}, 0) })
			_, err := g.send(t.Context(), h.q, to, "")
			c.Check(verdict.Of(err).Run, qt.Equals, verdict.NotRun)
			c.Check(g.checkStages(h.q, to, []suspect{{stage: 0}}).stage >= 0, qt.Equals, x.fault)
			h.q.accepted = &routing.Service{HealthPath: "/h"}
			c.Check(g.checkStages(h.q, target{upstream: to.upstream, activity: to.activity}, []suspect{{stage: 0}}).stage >= 0, qt.Equals, x.fault)
			g.probeUpstream(t.Context(), probeTarget{Upstream: to.upstream})
			g.control.Do(func(s *state) {
				c.Check(s.health.LikelyDown("e2"), qt.Equals, x.fault)
				c.Check(s.health.Excluded("e2", g.Now()), qt.Equals, x.fault)
			})
		})
	}
}

// TestAttemptThatArrivedNowhereIsNotCharged guards against a retry allowance that is
// used up by attempts for which no connection could be opened.
func TestAttemptThatArrivedNowhereIsNotCharged(t *testing.T) {
	for _, x := range []struct {
		name    string
		err     *verdict.Error
		head    relay.ResponseHead
		charged float64
	}{
		{"no connection in time", &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamSilent}, relay.ResponseHead{}, 0},
		{"connection refused", &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamRefused}, relay.ResponseHead{}, 0},
		{"caller gone before", &verdict.Error{Run: verdict.NotRun, Reason: verdict.CallerGone}, relay.ResponseHead{}, 0},
		{"request refused", &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamBusy}, relay.ResponseHead{Status: http.StatusServiceUnavailable, NotRun: true}, 1},
		{"may have run", &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamSilent}, relay.ResponseHead{}, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			g, h := handoverGateway(t)
			g.metrics = newMetrics(g)
			to, err := g.acquireTarget(t.Context(), h.q)
			c.Assert(err, qt.IsNil)
			c.Assert(to.retry, qt.IsTrue)
			_ = g.recordFailure(h.q, to, x.err, x.head)
			g.control.Do(func(s *state) {
				c.Check(s.retryWindow("llm").Counts(s.retryAllowance, g.Now()).Retries, qt.Equals, x.charged)
			})
		})
	}
}
