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
	c := &Conn{Conn: accepted, listener: l, limit: firstMessageBytes}
	c.holder.Evict = func() { c.closeFor(MemoryFull) }
	// A read deadline would not do, since the reader may wait for something else.
	c.late = time.AfterFunc(firstMessageTimeout, func() { c.closeFor(TooSlow) })
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
	// late closes the connection unless it is admitted in time.
	late *time.Timer

	mu sync.Mutex
	// limit bounds the bytes of a message. admitted is set once the sender is a peer.
	// read counts the bytes since the last write, or of all if the connection is not
	// admitted. closed is set once the connection was closed here, which calls
	// afterClose. Guarded by mu.
	limit            int64
	admitted, closed bool
	read             int64
	afterClose       func()
}

// Read implements [net.Conn]. It fails at the limit of a message.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
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

// Write implements [net.Conn]. What is written to a peer answers its message.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	answered := c.admitted && c.read > 0
	if answered {
		c.read = 0
	}
	c.mu.Unlock()
	if answered {
		c.listener.Memory.Drop(&c.holder)
	}
	return c.Conn.Write(p)
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.end()
	// The server closes a connection once it does not read it any more.
	c.listener.Memory.End(&c.holder)
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// end records that the connection is being closed. It reports false if it was called before.
func (c *Conn) end() bool {
	c.mu.Lock()
	again, afterClose := c.closed, c.afterClose
	c.closed = true
	c.mu.Unlock()
	if again {
		return false
	}
	c.late.Stop()
	if afterClose != nil {
		afterClose()
	}
	c.listener.forget(c)
	c.listener.Memory.Leave(&c.holder)
	return true
}

// closeFor closes the connection for a reason.
func (c *Conn) closeFor(reason Reason) {
	if c.end() && c.listener.OnClose != nil {
		c.listener.OnClose(reason)
	}
	c.Conn.Close()
}

// admit records that the connection is that of a peer, which lifts the limits for unknown
// senders.
func (c *Conn) admit() {
	c.mu.Lock()
	again := c.admitted
	c.limit, c.admitted = messageBytes, true
	c.mu.Unlock()
	if !again {
		c.late.Stop()
		c.listener.forget(c)
	}
}

// wrapper is a connection that wraps another one.
type wrapper interface{ NetConn() net.Conn }

// Admit records that the sender on a connection is a peer. It has no effect on
// connections that no [Listener] has accepted.
func Admit(conn any) {
	if c := find(conn); c != nil {
		c.admit()
	}
}

// AfterClose registers f to be called when a connection is closed, also by its [Listener]. It has
// no effect on connections that none has accepted. f must not block.
func AfterClose(conn net.Conn, f func()) {
	c := find(conn)
	if c == nil {
		return
	}
	c.mu.Lock()
	closed := c.closed
	c.afterClose = f
	c.mu.Unlock()
	if closed {
		f()
	}
}

// find returns the connection that a [Listener] has accepted below all wrappers, or nil.
func find(conn any) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		w, ok := conn.(wrapper)
		if !ok {
			return nil
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
