// Package network simulates the network between VMs within one process.
// Traffic can be blocked in one direction, and connections can be blackholed
// or reset. It works in testing/synctest bubbles.
package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Network connects hosts. Its zero value is ready to use.
type Network struct {
	mu sync.Mutex
	// listeners holds the open listeners by address. Guarded by mu.
	listeners map[string]*listener
	// conns holds both ends of each open connection. Guarded by mu.
	conns map[*conn]bool
	// blocked holds the routes over which nothing passes. Guarded by mu.
	blocked map[route]bool
	// refused holds the routes over which connections are refused. Guarded by mu.
	refused map[route]bool
	// shutdown is closed by Shutdown. It is nil until the first listener is
	// opened. Guarded by mu.
	shutdown chan struct{}
}

// route is one direction between two hosts or availability zones, given by
// name.
type route struct{ from, to string }

// Host is a VM in the network.
type Host struct {
	network *Network
	Name    string
	// Zone is the availability zone of the host, or any other name if the
	// host is in none.
	Zone string
}

// Host returns a host with a name in an availability zone.
func (n *Network) Host(name, zone string) *Host { return &Host{n, name, zone} }

// Block blocks the traffic from one host or availability zone to another. A
// connection over which something is sent meanwhile is blackholed.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked == nil {
		n.blocked = make(map[route]bool)
	}
	n.blocked[route{from, to}] = true
}

// Partition blocks the traffic between two hosts or availability zones in
// both directions.
func (n *Network) Partition(a, b string) {
	n.Block(a, b)
	n.Block(b, a)
}

// Refuse resets the open connections from one host to another and refuses new ones.
func (n *Network) Refuse(from, to string) {
	n.mu.Lock()
	if n.refused == nil {
		n.refused = make(map[route]bool)
	}
	n.refused[route{from, to}] = true
	n.mu.Unlock()
	n.forEachConn(func(c *conn) bool { return c.from.Name == from && c.to.Name == to }, func(c *conn) { c.reset() })
}

// Heal unblocks all traffic and refuses nothing more. Blackholed connections stay so.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = nil
	n.refused = nil
}

// Blackhole makes all open connections to an address lose everything that is
// sent from now on, in both directions. New connections work.
func (n *Network) Blackhole(address string) {
	n.forEachConn(func(c *conn) bool { return c.address == address }, func(c *conn) { c.blackholed.Store(true) })
}

// ResetConnections resets all open connections to an address.
func (n *Network) ResetConnections(address string) {
	n.forEachConn(func(c *conn) bool { return c.address == address }, func(c *conn) { c.reset() })
}

// Kill closes the listeners of a host and resets all its connections.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var dead []*listener
	for _, l := range n.listeners {
		if l.host.Name == host {
			dead = append(dead, l)
		}
	}
	n.mu.Unlock()
	for _, l := range dead {
		l.Close()
	}
	n.forEachConn(func(c *conn) bool { return c.from.Name == host || c.to.Name == host }, func(c *conn) { c.reset() })
}

// forEachConn calls act without mu held for each open connection that match
// accepts.
func (n *Network) forEachConn(match func(*conn) bool, act func(*conn)) {
	n.mu.Lock()
	var matched []*conn
	for c := range n.conns {
		if match(c) {
			matched = append(matched, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matched {
		act(c)
	}
}

func (n *Network) isBlocked(from, to *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[route{from.Name, to.Name}] || n.blocked[route{from.Zone, to.Zone}] ||
		n.blocked[route{from.Name, to.Zone}] || n.blocked[route{from.Zone, to.Name}]
}

// Shutdown closes all listeners and connections at the end of a test and
// makes pending dials fail. An HTTP transport may leave a dial pending after
// its request has been canceled.
func (n *Network) Shutdown() {
	n.mu.Lock()
	if n.shutdown != nil {
		close(n.shutdown)
		n.shutdown = nil
	}
	var open []*listener
	for _, l := range n.listeners {
		open = append(open, l)
	}
	n.mu.Unlock()
	for _, l := range open {
		l.Close()
	}
	n.forEachConn(func(*conn) bool { return true }, func(c *conn) { c.Close() })
}

// removeConn removes a closed connection.
func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// acceptBacklog is how many connections to a listener can wait to be
// accepted.
const acceptBacklog = 128

// Listen opens a listener. Its signature is that of net.ListenConfig.Listen.
func (h *Host) Listen(_ context.Context, _, address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("network: %s: %w", address, syscall.EADDRINUSE)
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
		n.conns = make(map[*conn]bool)
	}
	if n.shutdown == nil {
		n.shutdown = make(chan struct{})
	}
	l := &listener{
		network: n,
		host:    h,
		address: address,
		backlog: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection. Its signature is that of net.Dialer.DialContext.
// If traffic is blocked in either direction or the address is frozen, it
// waits until ctx ends or the network shuts down.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l, shutdown := n.listeners[address], n.shutdown
	refused := l != nil && n.refused[route{h.Name, l.host.Name}]
	n.mu.Unlock()
	if l == nil || refused {
		return nil, fmt.Errorf("network: dial %s: %w", address, syscall.ECONNREFUSED)
	}
	if n.isBlocked(h, l.host) || n.isBlocked(l.host, h) || l.frozen.Load() {
		select {
		case <-shutdown:
			return nil, fmt.Errorf("network: dial %s: %w", address, syscall.ENETDOWN)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	near, far := n.newConnPair(h, l)
	select {
	case l.backlog <- far:
		return near, nil
	case <-l.closed:
		near.Close()
		return nil, fmt.Errorf("network: dial %s: %w", address, syscall.ECONNREFUSED)
	case <-ctx.Done():
		near.Close()
		return nil, ctx.Err()
	}
}

// SetFrozen sets whether dials to an address are left pending, neither
// accepted nor refused.
func (n *Network) SetFrozen(address string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[address]; l != nil {
		l.frozen.Store(frozen)
	}
}

// newConnPair returns the two ends of a new connection, first that of the
// dialing host.
func (n *Network) newConnPair(from *Host, l *listener) (*conn, *conn) {
	up, down := newByteStream(), newByteStream()
	blackholed := new(atomic.Bool)
	near := &conn{network: n, from: from, to: l.host, address: l.address, in: down, out: up, blackholed: blackholed, closed: make(chan struct{})}
	far := &conn{network: n, from: l.host, to: from, address: l.address, in: up, out: down, blackholed: blackholed, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = true
	n.conns[far] = true
	return near, far
}

// listener implements net.Listener.
type listener struct {
	network *Network
	host    *Host
	address string
	backlog chan net.Conn
	frozen  atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
