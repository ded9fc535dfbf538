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

// ProxyFault is what a link does to what passes.
type ProxyFault struct {
	// Delay is added to each piece, in each direction.
	Delay time.Duration
	// StallToTarget and StallFromTarget keep back what goes to the target, and what comes
	// from it, until the harm ends, as a network does that loses packets.
	StallToTarget, StallFromTarget bool
	// Reset breaks connections, open and new ones.
	Reset bool
	// EndlessResponse replaces what comes from the target by bytes that never end.
	EndlessResponse bool
}

// Proxy passes connections on to a target, over loopback.
type Proxy struct {
	// Address is where it listens.
	Address string

	target   string
	listener net.Listener
	running  sync.WaitGroup
	mu       sync.Mutex
	harms    map[*ProxyFault]bool
	conns    map[net.Conn]bool
	// changed is closed and replaced when the harms change.
	changed chan struct{}
	closed  bool
}

// NewProxy starts a link to a target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Proxy{
		Address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		harms:    make(map[*ProxyFault]bool),
		conns:    make(map[net.Conn]bool),
		changed:  make(chan struct{}),
	}
	l.running.Go(l.accept)
	return l, nil
}

// Close breaks all connections and waits until nothing of the link runs.
func (l *Proxy) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.change(func() {})
	l.breakAll()
	l.running.Wait()
}

// Inject adds a harm until the function that it returns is called.
func (l *Proxy) Inject(h ProxyFault) (end func()) {
	l.change(func() { l.harms[&h] = true })
	if h.Reset {
		l.breakAll()
	}
	return func() { l.change(func() { delete(l.harms, &h) }) }
}

func (l *Proxy) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// harm returns the sum of the harms, and a channel that is closed when it
// changes.
func (l *Proxy) harm() (ProxyFault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum ProxyFault
	for h := range l.harms {
		sum.Delay += h.Delay
		sum.StallToTarget = sum.StallToTarget || h.StallToTarget
		sum.StallFromTarget = sum.StallFromTarget || h.StallFromTarget
		sum.Reset = sum.Reset || h.Reset
		sum.EndlessResponse = sum.EndlessResponse || h.EndlessResponse
	}
	return sum, l.changed
}

// breakAll resets all connections.
func (l *Proxy) breakAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (l *Proxy) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.running.Go(func() { l.serve(from) })
	}
}

// serve passes one connection on.
func (l *Proxy) serve(from net.Conn) {
	if h, _ := l.harm(); h.Reset || !l.add(from) {
		reset(from)
		return
	}
	defer l.remove(from)
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(from)
		return
	}
	if !l.add(to) {
		reset(from)
		reset(to)
		return
	}
	defer l.remove(to)
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(to, from, direction{silent: func(h ProxyFault) bool { return h.StallToTarget }}) })
	pumps.Go(func() {
		l.pump(from, to, direction{
			silent:  func(h ProxyFault) bool { return h.StallFromTarget },
			endless: func(h ProxyFault) bool { return h.EndlessResponse },
		})
	})
	pumps.Wait()
}

// add notes an open connection, unless the link is closed.
func (l *Proxy) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = !l.closed
	return !l.closed
}

func (l *Proxy) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

// pieceBytes is how much is passed on at a time.
const pieceBytes = 16 << 10

// direction says which harms hold for what passes in one direction; a function
// that is nil names none.
type direction struct{ silent, endless func(ProxyFault) bool }

// endlessHead, again and again, is an answer whose head never ends.
var endlessHead = "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", pieceBytes)

// pump passes on what comes from one end until it ends, and the end with it.
func (l *Proxy) pump(to, from net.Conn, d direction) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		l.hold(d.silent)
		if h, _ := l.harm(); n > 0 && d.endless != nil && d.endless(h) {
			endless.WriteUntilError(to, "", endlessHead)
			reset(from)
			return
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
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

// hold waits as long as the harms say.
func (l *Proxy) hold(silent func(ProxyFault) bool) {
	h, changed := l.harm()
	if h.Delay > 0 {
		time.Sleep(h.Delay)
	}
	for silent(h) && !l.isClosed() {
		<-changed
		h, changed = l.harm()
	}
}

func (l *Proxy) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
