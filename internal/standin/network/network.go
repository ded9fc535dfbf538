// Package network is a stand-in for the network between VMs, within one
// process. Connections can be cut one way, go silent for good, or be reset.
// It works under virtual time.
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
	// listeners by address. Guarded by mu.
	listeners map[string]*listener
	// conns that are open. Guarded by mu.
	conns map[*conn]bool
	// cut lists the one-way pairs over which nothing passes. Guarded by mu.
	cut map[pair]bool
	// down is closed by Shutdown; nil until the first listener. Guarded by mu.
	down chan struct{}
}

type pair struct{ from, to string }

// Host is one VM's place in the network.
type Host struct {
	network *Network
	Name    string
	// Zone is the host's availability zone; the name may be that of none.
	Zone string
}

// Host returns a host.
func (n *Network) Host(name, zone string) *Host { return &Host{n, name, zone} }

// Block has nothing pass from one host or availability zone to another. Open
// connections lose what is sent over the cut for good.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[pair]bool)
	}
	n.cut[pair{from, to}] = true
}

// Partition is Cut in both directions.
func (n *Network) Partition(a, b string) {
	n.Block(a, b)
	n.Block(b, a)
}

// Heal ends all cuts. Connections that have lost something stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = nil
}

// Blackhole has all open connections to an address lose everything from now on,
// in both directions, while new connections work.
func (n *Network) Blackhole(address string) {
	n.each(func(c *conn) bool { return c.address == address }, func(c *conn) { c.silent.Store(true) })
}

// ResetConnections closes all open connections to an address.
func (n *Network) ResetConnections(address string) {
	n.each(func(c *conn) bool { return c.address == address }, func(c *conn) { c.reset() })
}

// Kill closes the listeners and all connections of a host.
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
	n.each(func(c *conn) bool { return c.from.Name == host || c.to.Name == host }, func(c *conn) { c.reset() })
}

func (n *Network) each(match func(*conn) bool, act func(*conn)) {
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

func (n *Network) isCut(from, to *Host) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pair{from.Name, to.Name}] || n.cut[pair{from.Zone, to.Zone}] ||
		n.cut[pair{from.Name, to.Zone}] || n.cut[pair{from.Zone, to.Name}]
}

// Shutdown closes everything, as at the end of a test, and ends the dials that
// wait: an HTTP transport leaves a dial whose request is gone to itself.
func (n *Network) Shutdown() {
	n.mu.Lock()
	if n.down != nil {
		close(n.down)
		n.down = nil
	}
	var open []*listener
	for _, l := range n.listeners {
		open = append(open, l)
	}
	n.mu.Unlock()
	for _, l := range open {
		l.Close()
	}
	n.each(func(*conn) bool { return true }, func(c *conn) { c.Close() })
}

// forget drops a closed connection.
func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// acceptBacklog is how many connections wait to be accepted.
const acceptBacklog = 128

// Listen opens a listener. Its signature is that of net.ListenConfig.
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
	if n.down == nil {
		n.down = make(chan struct{})
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

// Dial connects. Its signature is that of net.Dialer.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l, down := n.listeners[address], n.down
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("network: dial %s: %w", address, syscall.ECONNREFUSED)
	}
	if n.isCut(h, l.host) || n.isCut(l.host, h) || l.frozen.Load() {
		select {
		case <-down:
			return nil, fmt.Errorf("network: dial %s: %w", address, syscall.ENETDOWN)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	near, far := n.pipe(h, l)
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

// SetFrozen has an address accept no connection, without refusing them.
func (n *Network) SetFrozen(address string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[address]; l != nil {
		l.frozen.Store(frozen)
	}
}

func (n *Network) pipe(from *Host, l *listener) (*conn, *conn) {
	up, down := newHalf(), newHalf()
	silent := new(atomic.Bool)
	near := &conn{network: n, from: from, to: l.host, address: l.address, in: down, out: up, silent: silent, closed: make(chan struct{})}
	far := &conn{network: n, from: l.host, to: from, address: l.address, in: up, out: down, silent: silent, closed: make(chan struct{})}
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
