package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/tunnel"
)

// upstreamAddress is the address of the upstream of the tests of paths.
const upstreamAddress = "10.0.0.1:80"

// newPathGateway returns a gateway that knows one upstream, whose control loop runs.
func newPathGateway(t *testing.T, dialDirect func(ctx context.Context) (net.Conn, error)) *Gateway {
	s := newState(t)
	s.upstreams["e"] = &fleet.Upstream{Instance: "e", Service: "llm", Zone: "a", Address: upstreamAddress}
	g := &Gateway{Settings: testSettings(), Log: s.log, Random: func() float64 { return 0.5 }, Now: func() time.Duration { return time.Minute }}
	g.prepare()
	g.control = loop.New[state]()
	g.control.State = *s
	g.control.State.relayed = &g.relayed
	g.dialDirect = func(ctx context.Context, _, _ string) (net.Conn, error) { return dialDirect(ctx) }
	go g.control.Run(t.Context())
	return g
}

// TestTunnelIsNeverForwarded guards against requests that go from gateway to gateway:
// one that reaches an upstream through peers opens no tunnel to it.
func TestTunnelIsNeverForwarded(t *testing.T) {
	for _, x := range []struct {
		name    string
		address string
		before  func(s *state)
		dial    error
		want    peering.TunnelOutcome
		dials   int
	}{
		{name: "reached", address: upstreamAddress, want: peering.TunnelOpened, dials: 1},
		{name: "refuses", address: upstreamAddress, dial: syscall.ECONNREFUSED, want: peering.TunnelRefused, dials: 1},
		{name: "gives no answer", address: upstreamAddress, dial: os.ErrDeadlineExceeded, want: peering.TunnelNoAnswer, dials: 1},
		{name: "reached through peers", address: upstreamAddress, want: peering.TunnelNoAnswer,
			before: func(s *state) { s.reach.RecordRelayed(upstreamAddress, time.Minute) }},
		{name: "known to be down", address: upstreamAddress, want: peering.TunnelNoAnswer,
			before: func(s *state) { s.health.RecordFault("e", health.Stalled, time.Minute) }},
		{name: "no upstream", address: "10.0.0.9:22", want: peering.TunnelUnknown},
	} {
		t.Run(x.name, func(t *testing.T) {
			dials := 0
			g := newPathGateway(t, func(context.Context) (net.Conn, error) {
				dials++
				if x.dial != nil {
					return nil, x.dial
				}
				near, far := net.Pipe()
				t.Cleanup(func() { far.Close() })
				return near, nil
			})
			if x.before != nil {
				g.control.Do(func(s *state) {
					x.before(s)
					s.publishPaths()
				})
			}
			conn, got := g.connectForPeer(t.Context(), &peering.TunnelRequest{Version: peering.Version, Gateway: "g2", Address: x.address})
			qt.Check(t, got, qt.Equals, x.want)
			qt.Check(t, conn != nil, qt.Equals, x.want == peering.TunnelOpened)
			qt.Check(t, dials, qt.Equals, x.dials)
		})
	}
}

// TestPreferredTunnelPeers checks that tunnels are opened through peers that reach all
// upstreams, then through the least busy, and through those that leave not at all.
func TestPreferredTunnelPeers(t *testing.T) {
	g := newPathGateway(t, nil)
	news := func(name, zone string, draining bool, reach peering.ReachNews) *peering.News {
		return &peering.News{Version: peering.Version, Draining: draining, Reach: reach,
			Address: peering.Address{Gateway: name, Zone: zone, Address: name}}
	}
	g.control.Do(func(s *state) {
		for _, n := range []*peering.News{
			news("cut", "a", false, peering.ReachNews{Tunnels: true, Unreached: 3}),
			news("busy", "a", false, peering.ReachNews{Tunnels: true, Busy: 200}),
			news("idle", "a", false, peering.ReachNews{Tunnels: true}),
			news("far", "b", false, peering.ReachNews{Tunnels: true}),
			news("leaving", "a", true, peering.ReachNews{Tunnels: true}),
			news("old", "a", false, peering.ReachNews{}),
		} {
			s.members.Update(n, time.Minute)
		}
		s.updateTunnelPeers(g, time.Minute)
	})
	var order []string
	for _, p := range g.tunnelPeersInOrder() {
		order = append(order, p.address)
	}
	qt.Assert(t, order, qt.DeepEquals, []string{"idle", "far", "busy", "cut"})
	qt.Assert(t, g.isTunnelPeer("leaving"), qt.IsFalse)
}

// TestRefusalNeedsNoPeer checks that an upstream that refuses connections is found to do
// so if no peer says otherwise, and that a dial ends with its context.
func TestRefusalNeedsNoPeer(t *testing.T) {
	g := newPathGateway(t, func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
	_, err := g.dialUpstream(t.Context(), "tcp", upstreamAddress)
	qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
	qt.Assert(t, g.isRelayed(upstreamAddress), qt.IsFalse)

	g = newPathGateway(t, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*tunnelDelay)
	defer cancel()
	_, err = g.dialUpstream(ctx, "tcp", upstreamAddress)
	qt.Assert(t, err, qt.IsNotNil)
}

// addTunnelPeer adds a peer that opens tunnels to an upstream that says nothing.
func addTunnelPeer(t *testing.T, g *Gateway) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	tunnels, _, split := tunnel.Split(listener)
	s := &tunnel.Server{Connect: func(context.Context, *peering.TunnelRequest) (net.Conn, peering.TunnelOutcome) {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		return near, peering.TunnelOpened
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = split(ctx) })
	group.Go(func() { qt.Check(t, s.Serve(ctx, tunnels), qt.IsNil) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	g.tunnelPeers.Store(&[]tunnelPeer{{address: listener.Addr().String()}})
}

// TestPathIsLostOnlyIfItDoesNotOpen guards against taking a path for lost whose
// connections open late, or are given up by whoever waits for them.
func TestPathIsLostOnlyIfItDoesNotOpen(t *testing.T) {
	for _, x := range []struct {
		name string
		// opensAfter is when a direct connection opens; 0 if it does not.
		opensAfter time.Duration
		refused    bool
		// waits is how long its caller waits.
		waits time.Duration
		lost  bool
	}{
		{name: "prompt", opensAfter: time.Millisecond, waits: time.Second},
		{name: "late", opensAfter: 2 * tunnelDelay, waits: time.Second},
		{name: "late, and not waited for", opensAfter: 2 * tunnelDelay, waits: tunnelDelay / 2},
		{name: "never", waits: time.Second, lost: true},
		{name: "refused", refused: true, waits: time.Second, lost: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			g := newPathGateway(t, func(ctx context.Context) (net.Conn, error) {
				if x.refused {
					return nil, syscall.ECONNREFUSED
				}
				if x.opensAfter == 0 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				time.Sleep(x.opensAfter)
				near, far := net.Pipe()
				t.Cleanup(func() { far.Close() })
				return near, nil
			})
			addTunnelPeer(t, g)
			ctx, cancel := context.WithTimeout(t.Context(), x.waits)
			conn, err := g.dialUpstream(ctx, "tcp", upstreamAddress)
			cancel()
			if err == nil {
				conn.Close()
			}
			qt.Check(t, err == nil, qt.Equals, x.waits == time.Second)
			time.Sleep(2 * lostPathTime)
			qt.Check(t, g.isRelayed(upstreamAddress), qt.Equals, x.lost)
		})
	}
}

// TestRefusalOnLostPathShowsNothing guards against an upstream that is taken for crashed, and
// a request that is blamed for it, because a lost path refuses connections while no peer
// answers.
func TestRefusalOnLostPathShowsNothing(t *testing.T) {
	g := newPathGateway(t, func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
	g.control.Do(func(s *state) {
		s.reach.RecordRelayed(upstreamAddress, time.Minute)
		s.publishPaths()
	})
	_, err := g.dialUpstream(t.Context(), "tcp", upstreamAddress)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsFalse)
}
