package gateway

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/transport/tunnel"
)

const (
	// pathCheckInterval is how often it is looked for paths to be checked.
	pathCheckInterval = 100 * time.Millisecond
	// maxPathChecks bounds the paths of which the check begins at the same time.
	maxPathChecks = 32
)

// isRelayed reports whether an upstream is called through peers.
func (g *Gateway) isRelayed(address string) bool {
	_, relayed := g.pathLostAt(address)
	return relayed
}

// pathLostAt returns the boot time since which an upstream is called through peers, and
// whether it is.
func (g *Gateway) pathLostAt(address string) (time.Duration, bool) {
	relayed := g.relayed.Load()
	if relayed == nil {
		return 0, false
	}
	since, ok := (*relayed)[address]
	return since, ok
}

// recordLostPath records that an upstream could be reached through a peer only, and why
// not directly. Idle direct connections may be dead like the path. A probe through a peer
// ends the exclusion of the upstream, if it was found not to answer.
func (g *Gateway) recordLostPath(address string, cause error) {
	g.control.Send(func(s *state) {
		now := g.Now()
		if !s.reach.RecordRelayed(address, now) {
			return
		}
		s.publishPaths()
		g.connPool.CloseIdle(func(a string, conn net.Conn) bool { return a == address && !isTunnel(conn) })
		suspected := s.reach.OwnLinkSuspected(now)
		instance := s.instanceAt(address)
		if instance != "" {
			s.health.ProbeNow(instance, now)
		}
		g.Log.Info("path to upstream lost", zap.String("upstream", instance), zap.String("address", address),
			zap.Bool("own_link_suspected", suspected), zap.Error(cause))
	})
}

// recordDirectPath records that a direct connection to an upstream opened.
func (g *Gateway) recordDirectPath(address string) {
	g.control.Send(func(s *state) {
		if !s.reach.RecordDirect(address) {
			return
		}
		s.publishPaths()
		g.connPool.CloseIdle(func(a string, conn net.Conn) bool { return a == address && isTunnel(conn) })
		g.Log.Info("path to upstream restored", zap.String("upstream", s.instanceAt(address)), zap.String("address", address))
	})
}

// instanceAt returns the listed upstream's name at an address, or "".
func (s *state) instanceAt(address string) string {
	if u := s.upstreamAt(address); u != nil {
		return u.Instance
	}
	return ""
}

// publishPaths makes the paths known to the goroutines that open connections.
func (s *state) publishPaths() {
	relayed := s.reach.Relayed()
	s.relayed.Store(&relayed)
}

// retainPaths forgets the paths to upstreams that are no longer listed.
func (s *state) retainPaths() {
	if s.reach.Empty() {
		return
	}
	listed := make(map[string]bool, len(s.upstreams))
	for _, u := range s.upstreams {
		listed[u.Address] = true
	}
	s.reach.Retain(func(address string) bool { return listed[address] })
	s.publishPaths()
}

// isTunnel reports whether a connection leads through a peer.
func isTunnel(conn net.Conn) bool {
	_, ok := conn.(*tunnel.Conn)
	return ok
}

// checkPath checks the path to an upstream that does not answer, unless that was done
// just now.
func (s *state) checkPath(address string, now time.Duration) {
	if s.startPathCheck != nil && s.reach.BeginCheck(address, now) {
		s.startPathCheck(address)
	}
}

// startPathCheck opens a connection to an upstream, which shows the path to it.
func (g *Gateway) startPathCheck(address string) {
	g.tasks.run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		conn, err := g.connPool.Dial(ctx, "tcp", address)
		if err != nil {
			g.Log.Debug("upstream not reached on any path", zap.String("address", address), zap.Error(err))
			return
		}
		conn.Close()
	})
}

// checkPaths tries lost paths again, and checks all paths while the gateway's own link
// is suspected, until ctx is done.
func (g *Gateway) checkPaths(ctx context.Context) error {
	for loop.Sleep(ctx, pathCheckInterval) {
		var due []string
		g.control.Do(func(s *state) {
			now := g.Now()
			due = s.reach.DueChecks(now)
			s.updateTunnelPeers(g, now)
			if s.reach.OwnLinkSuspected(now) {
				s.checkAllPaths(now)
			}
		})
		for _, address := range due {
			g.tasks.run(func(ctx context.Context) { g.tryDirectPath(ctx, address) })
		}
	}
	return nil
}

// checkAllPaths begins to check the paths to upstreams, as many as may be checked at once.
func (s *state) checkAllPaths(now time.Duration) {
	left := maxPathChecks
	for _, u := range s.upstreams {
		if left == 0 {
			return
		}
		if s.reach.BeginCheck(u.Address, now) {
			left--
			s.startPathCheck(u.Address)
		}
	}
}

// tryDirectPath tries whether an upstream that is called through peers can be reached
// directly again.
func (g *Gateway) tryDirectPath(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, lostPathTime)
	defer cancel()
	conn, err := g.dialDirect(ctx, "tcp", address)
	if err != nil {
		return
	}
	conn.Close()
	g.recordDirectPath(address)
}

// setConn sets the connection to the first stage.
func (d *stallDetector) setConn(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
}

// pathLost reports whether the path to the first stage was lost while the attempt waited
// on it, so that it waits in vain even if all stages are well. The caller holds mu.
func (d *stallDetector) pathLost() bool {
	if t, ok := d.conn.(*tunnel.Conn); ok {
		return !d.g.isTunnelPeer(t.Peer)
	}
	since, lost := d.g.pathLostAt(d.target.upstream.Address)
	return d.conn != nil && lost && since > max(d.beganAt, d.lastEventAt)
}
