package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// Timeouts of direct connections to upstreams.
const (
	// tunnelDelay is how long a direct connection to an upstream may take to open before
	// one through a peer is tried beside it; a round trip takes a few milliseconds.
	tunnelDelay = 50 * time.Millisecond
	// lostPathTime is how long a direct connection may take to open before the path
	// counts as lost, if one through a peer has opened.
	lostPathTime = 150 * time.Millisecond
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
		return g.dialRelayed(ctx, network, address)
	}
	began := g.Now()
	direct := make(chan dialed, 1)
	go func() {
		// What comes of it shows the path, also if the caller of this function has gone.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
		defer cancel()
		direct <- g.dialContained(func() (net.Conn, error) { return g.dialDirect(ctx, network, address) })
	}()
	d, opened := g.awaitPrompt(ctx, direct)
	switch {
	case ctx.Err() != nil:
		if !opened {
			g.goContained(func() { closeDialed(direct) })
		} else if d.err == nil {
			d.conn.Close()
		}
		return nil, ctx.Err()
	case !opened:
		return g.dialBeside(ctx, address, direct, began)
	case d.err == nil || failedHere(d.err):
		return d.conn, d.err
	}
	return g.dialInstead(ctx, address, d.err)
}

// dialRelayed opens a connection to an upstream that is called through peers: directly only
// if no peer opens one. That a lost path refuses connections says nothing of the upstream.
func (g *Gateway) dialRelayed(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := g.openTunnel(ctx, address)
	if err == nil {
		return conn, nil
	}
	g.Log.Debug("no tunnel", zap.String("address", address), zap.Error(err))
	conn, directErr := g.dialDirect(ctx, network, address)
	if errors.Is(directErr, syscall.ECONNREFUSED) {
		return nil, err
	}
	return conn, directErr
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
		tunnels <- g.dialContained(func() (net.Conn, error) { return g.openTunnel(ctx, address) })
	}()
	var d, t dialed
	select {
	case d = <-direct:
		if d.err == nil {
			g.goContained(func() { closeDialed(tunnels) })
			return d.conn, nil
		}
		t = <-tunnels
		if t.err == nil {
			g.recordLostPath(address, d.err)
			return t.conn, nil
		}
	case t = <-tunnels:
		if t.err == nil {
			g.goContained(func() { g.awaitDirect(address, direct, began) })
			return t.conn, nil
		}
		select {
		case d = <-direct:
		case <-ctx.Done():
			g.goContained(func() { closeDialed(direct) })
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
		g.goContained(func() { closeDialed(direct) })
	}
	if !g.pauses.Stalled(began, g.Now()) {
		g.recordLostPath(address, cause)
	}
}

// errNotOpened is why a path counts as lost whose connection did not open in time.
var errNotOpened = errors.New("gateway: connection not opened in time")

// dialContained opens a connection. A panic is its error.
func (g *Gateway) dialContained(open func() (net.Conn, error)) dialed {
	var d dialed
	if err := g.contain(func() { d.conn, d.err = open() }); err != nil {
		return dialed{err: err}
	}
	return d
}

// closeDialed closes the connection that is being opened once it is open.
func closeDialed(dials chan dialed) {
	if d := <-dials; d.err == nil {
		d.conn.Close()
	}
}
