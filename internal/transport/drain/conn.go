package drain

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection that a drain may end while it is quiet.
type conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// busy is set from the first byte of a request until the server waits for
	// the next request, quietSince is when that wait began.
	busy       bool
	quietSince time.Time
	// deadline is the read deadline that the server has set. deadlines counts those
	// that it has set since it last had no request.
	deadline  time.Time
	deadlines int
	// ended is set when a read has found that the caller has ended the connection,
	// that it is broken, or that a drain ends it; closed when the server has closed
	// it.
	ended, closed bool
}

// Read implements [io.Reader]. It returns [io.EOF] if a drain ends the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.recordRequest()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordEnd()
			return n, err
		}
		if !c.wasInterrupted() {
			return n, err
		}
		if c.mayEnd() {
			c.recordEnd()
			return 0, io.EOF
		}
	}
}

func (c *conn) recordRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
}

func (c *conn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

func (c *conn) recordQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.quietSince, c.deadlines = false, time.Now(), 0
}

// isQuiet reports whether the connection has had no request for quietPeriod. The
// caller holds mu.
func (c *conn) isQuiet() bool { return !c.busy && time.Since(c.quietSince) >= quietPeriod }

// endIfQuiet interrupts the read of a quiet connection, which then ends unless a
// request has arrived.
func (c *conn) endIfQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isQuiet() {
		// If this fails the connection has ended.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// wasInterrupted reports whether a drain rather than the server's deadline has
// ended a read, and restores the deadline.
func (c *conn) wasInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && !c.deadline.After(time.Now()) {
		return false
	}
	return c.Conn.SetReadDeadline(c.deadline) == nil
}

// mayEnd reports whether the connection is quiet and nothing has arrived on it.
func (c *conn) mayEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isQuiet() && !readable(c.Conn)
}

// SetReadDeadline implements [net.Conn]. A server sets one deadline for the wait for
// a request and another when the request has begun. A request that was read together
// with an earlier one gives no other sign of that.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines++
	c.busy = c.busy || c.deadlines > 1
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the connection for writing, if its kind allows that. The
// server uses it so that an answer is not lost to a reset.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// lingerTime is how long a connection that the server has closed stays open for
// reading, unless the caller closes it. It is as long as net/http waits in the cases
// in which it does.
const lingerTime = 500 * time.Millisecond

// Close implements [net.Conn]. It closes the connection for writing and discards what
// the caller still sends for a while: the kernel resets a connection that is closed
// with unread data, and a reset destroys what the caller has not read of its answer.
// A connection that has ended without an answer on its way is closed at once, so that
// the caller of a request that crosses its end learns of that at once.
func (c *conn) Close() error {
	c.mu.Lock()
	again, ended := c.closed, c.ended
	c.closed = true
	c.mu.Unlock()
	switch {
	case again:
		return net.ErrClosed
	case ended || c.CloseWrite() != nil:
		defer c.listener.remove(c)
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger closes the connection once the caller has closed it, or after lingerTime.
func (c *conn) linger() {
	defer c.listener.remove(c)
	defer c.Conn.Close()
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Any error ends the wait.
	_, _ = io.Copy(io.Discard, c.Conn)
}

// readable reports whether a connection has data or has been closed by its peer,
// or whether a listener has connections to accept. It reports false for what is no
// socket of the kernel.
func readable(socket any) bool {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	if err := raw.Control(func(fd uintptr) {
		n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); err != nil {
		return false
	}
	return n > 0
}
