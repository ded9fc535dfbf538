package intake

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Limits of the connections of peers.
const (
	// firstMessageBytes bounds what a sender may send before its first call was
	// answered. A first heartbeat with 1,000 failures has 70 KB.
	firstMessageBytes = 256 << 10
	// messageBytes bounds what a peer may send without getting anything. It is larger
	// than the largest message and its frames.
	messageBytes = 2 << 20
	// firstMessageTimeout bounds the time until the first call was answered.
	firstMessageTimeout = 5 * time.Second
	// messageCost is what a byte of a message takes: the buffer that it is read into
	// and the one that it is collected in.
	messageCost = 2
)

// errRefused is returned by reads of a connection that was closed for a [Reason].
var errRefused = errors.New("intake: connection closed")

// Listener accepts connections of peers, and bounds what those of others may hold. Set
// the exported fields before the first call of Accept.
type Listener struct {
	net.Listener
	// Memory is what incomplete messages may hold; nil for no bound.
	Memory *Memory
	// MaxUnknown is the number of connections that were not admitted; 0 for no bound.
	MaxUnknown int
	// OnClose is called when a connection is closed for a reason, if not nil.
	OnClose func(Reason)

	mu sync.Mutex
	// unknown holds the connections that were not admitted, the oldest first. Guarded
	// by mu.
	unknown []*Conn
}

// Accept implements [net.Listener]. If too many connections are not admitted, it closes
// the oldest of them.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, listener: l, limit: firstMessageBytes, deadline: time.Now().Add(firstMessageTimeout)}
	c.holder.Evict = func() { c.closeFor(MemoryFull) }
	// It fails only if the connection has ended.
	_ = accepted.SetReadDeadline(c.deadline)
	l.mu.Lock()
	var oldest *Conn
	if l.MaxUnknown > 0 && len(l.unknown) >= l.MaxUnknown {
		oldest = l.unknown[0]
		l.unknown = l.unknown[1:]
	}
	l.unknown = append(l.unknown, c)
	l.mu.Unlock()
	if oldest != nil {
		oldest.closeFor(TooManyConnections)
	}
	return c, nil
}

// forget removes a connection from those that were not admitted.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.unknown {
		if other == c {
			l.unknown = append(l.unknown[:i], l.unknown[i+1:]...)
			return
		}
	}
}

// Conn is a connection that a [Listener] has accepted.
type Conn struct {
	net.Conn
	listener *Listener
	holder   Holder

	mu sync.Mutex
	// limit bounds the bytes of a message. deadline is when the first one must have
	// been answered; zero once the connection is admitted. read counts the bytes since
	// the last write, or of all if the connection is not admitted. closed is set once
	// the connection was closed here. Guarded by mu.
	limit    int64
	deadline time.Time
	read     int64
	closed   bool
}

// Read implements [net.Conn]. It fails at the limit of a message.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && !c.isAdmitted() {
			c.closeFor(TooSlow)
		}
		return n, err
	}
	c.mu.Lock()
	c.read += int64(n)
	read, tooLarge := c.read, c.read > c.limit
	c.mu.Unlock()
	switch {
	case tooLarge:
		c.closeFor(MessageTooLarge)
		return 0, errRefused
	case !c.listener.Memory.Hold(&c.holder, messageCost*read):
		c.closeFor(MemoryFull)
		return 0, errRefused
	}
	return n, err
}

// isAdmitted reports whether the sender is a peer.
func (c *Conn) isAdmitted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline.IsZero()
}

// Write implements [net.Conn]. What is written to a peer answers its message.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	answered := c.deadline.IsZero() && c.read > 0
	if answered {
		c.read = 0
	}
	c.mu.Unlock()
	if answered {
		c.listener.Memory.Drop(&c.holder)
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements [net.Conn]. Until the connection is admitted, its own
// deadline holds if it is earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && (t.IsZero() || t.After(c.deadline)) {
		t = c.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// end gives up what the connection holds. It reports false if it was called before.
func (c *Conn) end() bool {
	c.mu.Lock()
	again := c.closed
	c.closed = true
	c.mu.Unlock()
	if again {
		return false
	}
	c.listener.forget(c)
	c.listener.Memory.End(&c.holder)
	return true
}

// closeFor closes the connection for a reason.
func (c *Conn) closeFor(reason Reason) {
	if c.end() && c.listener.OnClose != nil {
		c.listener.OnClose(reason)
	}
	c.Conn.Close()
}

// admit has the connection be that of a peer.
func (c *Conn) admit() {
	c.mu.Lock()
	known := c.deadline.IsZero()
	c.limit, c.deadline = messageBytes, time.Time{}
	if !known {
		// It fails only if the connection has ended.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if !known {
		c.listener.forget(c)
	}
}

// wrapper is a connection that wraps another one.
type wrapper interface{ NetConn() net.Conn }

// Admit records that the sender on a connection is a peer. It has no effect on
// connections that no [Listener] has accepted.
func Admit(conn any) {
	for {
		if c, ok := conn.(*Conn); ok {
			c.admit()
			return
		}
		w, ok := conn.(wrapper)
		if !ok {
			return
		}
		conn = w.NetConn()
	}
}

// Socket returns the connection of the network below all wrappers.
func Socket(conn net.Conn) net.Conn {
	for {
		w, ok := conn.(wrapper)
		if !ok {
			return conn
		}
		conn = w.NetConn()
	}
}
