package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/tunnel"
)

// Limits of the tunnels between gateways.
const (
	// maxTunnels bounds the tunnels that a gateway serves; each takes two descriptors.
	maxTunnels = 512
	// maxTunnelTries bounds the peers that are asked for one connection.
	maxTunnelTries = 3
	// tunnelTimeout bounds the opening of a tunnel through one peer.
	tunnelTimeout = 200 * time.Millisecond
	// otherZoneBusy is how many requests more than a peer of another zone one of the own
	// zone may serve and still be preferred.
	otherZoneBusy = 20
	// tunnelJitter is the range of the random part of a peer's cost, as a share, so that
	// gateways don't all prefer the same peer.
	tunnelJitter = 0.5
)

// errNoTunnel is returned if no peer opens a tunnel.
var errNoTunnel = errors.New("gateway: no peer opens a tunnel")

// tunnelPeer is a peer that opens tunnels.
type tunnelPeer struct {
	address string
	// unreached reports whether the peer cannot reach some upstreams itself.
	unreached bool
	// busy is the number of requests that the peer serves, and what its zone adds.
	busy float64
}

// updateTunnelPeers makes the peers that open tunnels known to the goroutines that open
// connections.
func (s *state) updateTunnelPeers(g *Gateway, now time.Duration) {
	peers := []tunnelPeer{}
	for _, m := range s.members.Alive(now) {
		if !m.News.Reach.Tunnels || m.News.Draining {
			continue
		}
		p := tunnelPeer{address: m.Address.Address, unreached: m.News.Reach.Unreached > 0, busy: float64(m.News.Reach.Busy)}
		if m.Zone != s.zone {
			p.busy += otherZoneBusy
		}
		peers = append(peers, p)
	}
	before := g.tunnelPeers.Swap(&peers)
	if before == nil || !slices.ContainsFunc(*before, func(p tunnelPeer) bool { return !g.isTunnelPeer(p.address) }) {
		return
	}
	// Idle tunnels through peers that have left, or are leaving, are of no use.
	g.connPool.CloseIdle(func(_ string, conn net.Conn) bool { return !g.keepsConn(conn) })
}

// tunnelPeersInOrder returns the peers that open tunnels, the preferred ones first: those
// that reach all upstreams, and among them the least busy.
func (g *Gateway) tunnelPeersInOrder() []tunnelPeer {
	known := g.tunnelPeers.Load()
	if known == nil {
		return nil
	}
	peers := slices.Clone(*known)
	for i := range peers {
		peers[i].busy = (peers[i].busy + 1) * (1 + tunnelJitter*g.Random())
	}
	slices.SortFunc(peers, func(a, b tunnelPeer) int {
		if a.unreached != b.unreached {
			if a.unreached {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.busy, b.busy)
	})
	return peers
}

// isTunnelPeer reports whether tunnels through the peer at an address are usable.
func (g *Gateway) isTunnelPeer(address string) bool {
	known := g.tunnelPeers.Load()
	return known != nil && slices.ContainsFunc(*known, func(p tunnelPeer) bool { return p.address == address })
}

// keepsConn reports whether a connection may be kept for reuse: one through a peer that has
// left or is leaving may not, so that the peer's drain ends.
func (g *Gateway) keepsConn(conn net.Conn) bool {
	t, ok := conn.(*tunnel.Conn)
	return !ok || g.isTunnelPeer(t.Peer)
}

// openTunnel opens a connection to an upstream through a peer. The error is
// [syscall.ECONNREFUSED] if the upstream refuses connections of peers, and none has
// opened one.
func (g *Gateway) openTunnel(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	request := &peering.TunnelRequest{Version: peering.Version, Gateway: g.Settings.Name, Address: address}
	peers := g.tunnelPeersInOrder()
	err := errNoTunnel
	for _, p := range peers[:min(len(peers), maxTunnelTries)] {
		conn, tryErr := g.openTunnelThrough(ctx, p, request)
		if tryErr == nil {
			g.metrics.tunnels.WithLabelValues(string(peering.TunnelOpened)).Inc()
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		outcome := tunnelOutcome(tryErr)
		g.metrics.tunnels.WithLabelValues(string(outcome)).Inc()
		g.Log.Debug("tunnel not opened", zap.String("peer", p.address), zap.String("address", address), zap.Error(tryErr))
		if outcome == peering.TunnelRefused {
			err = fmt.Errorf("gateway: through a peer: %w", syscall.ECONNREFUSED)
		}
	}
	return nil, err
}

func (g *Gateway) openTunnelThrough(ctx context.Context, p tunnelPeer, request *peering.TunnelRequest) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	return tunnel.Open(ctx, g.dialPeer, p.address, request)
}

// tunnelOutcome returns the outcome of a tunnel that was not opened.
func tunnelOutcome(err error) peering.TunnelOutcome {
	var refusal *tunnel.OutcomeError
	if errors.As(err, &refusal) {
		return refusal.Outcome
	}
	return peering.TunnelNoAnswer
}

// connectForPeer connects to an upstream for a peer: directly, never through another
// gateway.
func (g *Gateway) connectForPeer(ctx context.Context, request *peering.TunnelRequest) (net.Conn, peering.TunnelOutcome) {
	conn, outcome, instance := g.connectTunnel(ctx, request)
	g.Log.Info("tunnel for peer", zap.String("peer", request.Gateway), zap.String("upstream", instance),
		zap.String("address", request.Address), zap.String("outcome", string(outcome)), zap.Int("open", g.tunnels.Open()))
	return conn, outcome
}

func (g *Gateway) connectTunnel(ctx context.Context, request *peering.TunnelRequest) (conn net.Conn, outcome peering.TunnelOutcome, instance string) {
	if g.tunnels.Open() > maxTunnels {
		return nil, peering.TunnelBusy, ""
	}
	lost := false
	g.control.Do(func(s *state) {
		if u := s.upstreamAt(request.Address); u != nil {
			instance, lost = u.Instance, s.health.LikelyDown(u.Instance)
		}
	})
	switch {
	case instance == "":
		return nil, peering.TunnelUnknown, ""
	case lost || g.isRelayed(request.Address):
		return nil, peering.TunnelNoAnswer, instance
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := g.dialDirect(ctx, "tcp", request.Address)
	switch {
	case err == nil:
		return conn, peering.TunnelOpened, instance
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, peering.TunnelRefused, instance
	}
	return nil, peering.TunnelNoAnswer, instance
}

// reachNews returns what this gateway tells its peers of its paths.
func (s *state) reachNews(g *Gateway) peering.ReachNews {
	return peering.ReachNews{Tunnels: true, Unreached: s.reach.Unreached(), Busy: int(g.inFlight.Load()) + g.tunnels.Open()}
}
