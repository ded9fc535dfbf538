package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/transport/tunnel"
)

// Timeouts and limits of the paths to upstreams.
const (
	// tunnelDelay is how long a direct connection to an upstream may take to open before
	// one through a peer is tried beside it; a round trip takes a few milliseconds.
	tunnelDelay = 50 * time.Millisecond
	// lostPathTime is how long a direct connection may take to open before the path
	// counts as lost, if one through a peer has opened.
	lostPathTime = 150 * time.Millisecond
	// pathCheckInterval is how often it is looked for paths to be checked.
	pathCheckInterval = 100 * time.Millisecond
	// maxPathChecks bounds the paths of which the check begins at the same time.
	maxPathChecks = 32
)

// dialed is the result of opening a connection.
type dialed struct {
	conn net.Conn
	err  error
}

// dialUpstream opens a connection to an upstream, directly or through a peer. Its error
// is [syscall.ECONNREFUSED] only if the upstream refuses connections by all that is known.
func (g *Gateway) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	if g.isRelayed(address) {
		conn, err := g.openTunnel(ctx, address)
		if err == nil {
			return conn, nil
		}
		g.Log.Debug("no tunnel", zap.String("address", address), zap.Error(err))
		return g.dialDirect(ctx, network, address)
	}
	began := g.Now()
	direct := make(chan dialed, 1)
	go func() {
		// What comes of it shows the path, also if the caller of this function has gone.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
		defer cancel()
		conn, err := g.dialDirect(ctx, network, address)
		direct <- dialed{conn, err}
	}()
	d, opened := g.awaitPrompt(ctx, direct)
	switch {
	case ctx.Err() != nil:
		if !opened {
			go closeDialed(direct)
		} else if d.err == nil {
			d.conn.Close()
		}
		return nil, ctx.Err()
	case !opened:
		return g.dialBeside(ctx, address, direct, began)
	case d.err == nil || lacksResources(d.err):
		return d.conn, d.err
	}
	return g.dialInstead(ctx, address, d.err)
}

// awaitPrompt waits for a direct connection for as long as one may take to open, not
// counting times in which this process stood still. It reports whether there is a result.
func (g *Gateway) awaitPrompt(ctx context.Context, direct chan dialed) (dialed, bool) {
	delay := time.NewTimer(tunnelDelay)
	defer delay.Stop()
	for began := g.Now(); ; began = g.Now() {
		select {
		case d := <-direct:
			return d, true
		case <-ctx.Done():
			return dialed{}, false
		case <-delay.C:
			if !g.pauses.Stalled(began, g.Now()) {
				return dialed{}, false
			}
			delay.Reset(tunnelDelay)
		}
	}
}

// dialInstead opens a connection through a peer after a direct one has failed with
// directErr.
func (g *Gateway) dialInstead(ctx context.Context, address string, directErr error) (net.Conn, error) {
	conn, err := g.openTunnel(ctx, address)
	switch {
	case err == nil:
		g.recordLostPath(address, directErr)
		return conn, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		// It gave no answer here and refuses a peer: it has ended.
		return nil, err
	}
	return nil, directErr
}

// dialBeside opens a connection through a peer while a direct one, which began at a boot
// time, does not open. The first to open is returned.
func (g *Gateway) dialBeside(ctx context.Context, address string, direct chan dialed, began time.Duration) (net.Conn, error) {
	tunnels := make(chan dialed, 1)
	go func() {
		conn, err := g.openTunnel(ctx, address)
		tunnels <- dialed{conn, err}
	}()
	var d, t dialed
	select {
	case d = <-direct:
		if d.err == nil {
			go closeDialed(tunnels)
			return d.conn, nil
		}
		t = <-tunnels
		if t.err == nil {
			g.recordLostPath(address, d.err)
			return t.conn, nil
		}
	case t = <-tunnels:
		if t.err == nil {
			go g.awaitDirect(address, direct, began)
			return t.conn, nil
		}
		select {
		case d = <-direct:
		case <-ctx.Done():
			go closeDialed(direct)
			return nil, ctx.Err()
		}
	}
	if d.err != nil && errors.Is(t.err, syscall.ECONNREFUSED) {
		return nil, t.err
	}
	return d.conn, d.err
}

// awaitDirect waits for a direct connection that began at a boot time to open after one
// through a peer has. If it does not, and this process has run meanwhile, the path
// counts as lost.
func (g *Gateway) awaitDirect(address string, direct chan dialed, began time.Duration) {
	cause := errNotOpened
	late := time.NewTimer(max(0, began+lostPathTime-g.Now()))
	defer late.Stop()
	select {
	case d := <-direct:
		if d.err == nil {
			d.conn.Close()
			return
		}
		cause = d.err
	case <-late.C:
		go closeDialed(direct)
	}
	if !g.pauses.Stalled(began, g.Now()) {
		g.recordLostPath(address, cause)
	}
}

// errNotOpened is why a path counts as lost whose connection did not open in time.
var errNotOpened = errors.New("gateway: connection not opened in time")

// closeDialed closes the connection that is being opened once it is open.
func closeDialed(dials chan dialed) {
	if d := <-dials; d.err == nil {
		d.conn.Close()
	}
}

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
