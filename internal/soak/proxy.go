package soak

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"lovageport.example/internal/standin/endless"
)

// ProxyFault describes how a proxy disturbs connections.
type ProxyFault struct {
	// Delay is added to each chunk of data, in each direction.
	Delay time.Duration
	// StallToTarget and StallFromTarget hold back the data to or from the
	// target until the fault ends, like a network that loses all packets.
	StallToTarget, StallFromTarget bool
	// Reset resets the open connections and each new one.
	Reset bool
	// EndlessResponse replaces the data from the target by an endless
	// response.
	EndlessResponse bool
}

// Proxy forwards TCP connections on loopback to a target and injects faults.
type Proxy struct {
	// Address is the address at which the proxy listens.
	Address string

	target   string
	listener net.Listener
	running  sync.WaitGroup
	mu       sync.Mutex
	faults   map[*ProxyFault]bool
	conns    map[net.Conn]bool
	// refused holds when connections were reset because the target refused them, by
	// the address of their other end.
	refused map[string]time.Time
	// changed is closed and replaced when faults changes.
	changed chan struct{}
	closed  bool
}

// NewProxy starts a proxy in front of a target address.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		faults:   make(map[*ProxyFault]bool),
		conns:    make(map[net.Conn]bool),
		refused:  make(map[string]time.Time),
		changed:  make(chan struct{}),
	}
	p.running.Go(p.accept)
	return p, nil
}

// Close resets all connections and waits until all goroutines of the proxy
// have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.updateFaults(func() {})
	p.resetAll()
	p.running.Wait()
}

// stopListening makes the proxy refuse new connections. Those that it has live on.
func (p *Proxy) stopListening() { p.listener.Close() }

// Inject injects a fault until the function that it returns is called. It may
// be combined with others.
func (p *Proxy) Inject(h ProxyFault) (end func()) {
	p.updateFaults(func() { p.faults[&h] = true })
	if h.Reset {
		p.resetAll()
	}
	return func() { p.updateFaults(func() { delete(p.faults, &h) }) }
}

// updateFaults calls f with mu held and wakes the connections that wait for a
// change.
func (p *Proxy) updateFaults(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// currentFault returns the combination of the injected faults and a channel
// that is closed when it changes.
func (p *Proxy) currentFault() (ProxyFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum ProxyFault
	for h := range p.faults {
		sum.Delay += h.Delay
		sum.StallToTarget = sum.StallToTarget || h.StallToTarget
		sum.StallFromTarget = sum.StallFromTarget || h.StallFromTarget
		sum.Reset = sum.Reset || h.Reset
		sum.EndlessResponse = sum.EndlessResponse || h.EndlessResponse
	}
	return sum, p.changed
}

// resetAll resets all connections.
func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection in such a way that the other end sees a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.forward(from) })
	}
}

// forward forwards one connection to the target.
func (p *Proxy) forward(from net.Conn) {
	if h, _ := p.currentFault(); h.Reset || !p.track(from) {
		reset(from)
		return
	}
	defer p.untrack(from)
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		p.recordRefused(from)
		reset(from)
		return
	}
	if !p.track(to) {
		reset(from)
		reset(to)
		return
	}
	defer p.untrack(to)
	var copying sync.WaitGroup
	copying.Go(func() { p.copyStream(to, from, direction{stalled: func(h ProxyFault) bool { return h.StallToTarget }}) })
	copying.Go(func() {
		p.copyStream(from, to, direction{
			stalled: func(h ProxyFault) bool { return h.StallFromTarget },
			endless: func(h ProxyFault) bool { return h.EndlessResponse },
		})
	})
	copying.Wait()
}

// recordRefused records that the target has refused a connection.
func (p *Proxy) recordRefused(from net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused[from.RemoteAddr().String()] = time.Now()
}

// refusedAt returns when the target refused the last connection from an address, or
// the zero time.
func (p *Proxy) refusedAt(address string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[address]
}

// track records an open connection. It reports false if the proxy has been
// closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = !p.closed
	return !p.closed
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

// copyBufferBytes is the most that is read and forwarded at a time.
const copyBufferBytes = 16 << 10

// direction reports which faults apply to one direction of a connection.
// endless is nil if none can be endless.
type direction struct{ stalled, endless func(ProxyFault) bool }

// endlessHeaderBlock, sent repeatedly, makes a response whose header never
// ends.
var endlessHeaderBlock = "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", copyBufferBytes)

// copyStream forwards data from one connection to the other until the first
// one ends, and then closes the second for writing. If either fails, it
// resets the other.
func (p *Proxy) copyStream(to, from net.Conn, d direction) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		p.applyDelays(d.stalled)
		if h, _ := p.currentFault(); n > 0 && d.endless != nil && d.endless(h) {
			endless.WriteUntilError(to, "", endlessHeaderBlock)
			reset(from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// applyDelays waits for the injected delay and for as long as the direction
// is stalled.
func (p *Proxy) applyDelays(stalled func(ProxyFault) bool) {
	h, changed := p.currentFault()
	if h.Delay > 0 {
		time.Sleep(h.Delay)
	}
	for stalled(h) && !p.isClosed() {
		<-changed
		h, changed = p.currentFault()
	}
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}
