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
}

type pair struct{ from, to string }

// Host is one VM's place in the network.
type Host struct {
	network *Network
	// Name is what cuts name.
	Name string
}

// Host returns a host of a name, such as that of an availability zone.
func (n *Network) Host(name string) *Host { return &Host{n, name} }

// Cut has nothing pass from one host to another. Open connections lose what is
// sent over the cut for good.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[pair]bool)
	}
	n.cut[pair{from, to}] = true
}

// CutBoth is Cut in both directions.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal ends all cuts. Connections that have lost something stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = nil
}

// Silence has all open connections to an address lose everything from now on,
// in both directions, while new connections work.
func (n *Network) Silence(address string) {
	n.each(func(c *conn) bool { return c.address == address }, func(c *conn) { c.silent.Store(true) })
}

// Reset closes all open connections to an address.
func (n *Network) Reset(address string) {
	n.each(func(c *conn) bool { return c.address == address }, func(c *conn) { c.Close() })
}

// Kill closes the listeners and all connections of a host.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var dead []*listener
	for _, l := range n.listeners {
		if l.host == host {
			dead = append(dead, l)
		}
	}
	n.mu.Unlock()
	for _, l := range dead {
		l.Close()
	}
	n.each(func(c *conn) bool { return c.from == host || c.to == host }, func(c *conn) { c.Close() })
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

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pair{from, to}]
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
	l := &listener{
		network: n,
		host:    h.Name,
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
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("network: dial %s: %w", address, syscall.ECONNREFUSED)
	}
	if n.isCut(h.Name, l.host) || n.isCut(l.host, h.Name) || l.frozen.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := n.pipe(h.Name, l)
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

// Freeze has an address accept no connection, without refusing them.
func (n *Network) Freeze(address string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[address]; l != nil {
		l.frozen.Store(frozen)
	}
}

func (n *Network) pipe(from string, l *listener) (*conn, *conn) {
	a, b := net.Pipe()
	silent := new(atomic.Bool)
	near := &conn{Conn: a, network: n, from: from, to: l.host, address: l.address, silent: silent}
	far := &conn{Conn: b, network: n, from: l.host, to: from, address: l.address, silent: silent}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = true
	n.conns[far] = true
	return near, far
}

// listener implements net.Listener.
type listener struct {
	network *Network
	host    string
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

// conn is one end of a connection.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	address  string
	// silent is shared by both ends.
	silent *atomic.Bool
}

// Write loses what is sent over a cut, and all that follows it.
func (c *conn) Write(p []byte) (int, error) {
	if c.network.isCut(c.from, c.to) {
		c.silent.Store(true)
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a silent connection does not
// hear of it.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if c.silent.Load() {
		// Only this end's calls return.
		return c.Conn.SetDeadline(closedDeadline)
	}
	return c.Conn.Close()
}

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.address) }
