package drain

import (
	"bytes"
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
	// read counts the bytes that were read, and served the requests after which the
	// server has waited for the next one. answering is set once the server has
	// written of an answer since. cause is the error of the last read that failed.
	read      int64
	served    int
	answering bool
	cause     error
}

// Read implements [io.Reader]. It returns [io.EOF] if a drain ends the connection.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.recordRequest(n)
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordEnd(err)
			return n, err
		}
		if !c.wasInterrupted() {
			return n, err
		}
		if c.mayEnd() {
			c.recordEnd(nil)
			return 0, io.EOF
		}
	}
}

// Write implements [io.Writer].
func (c *conn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, interim) {
		c.mu.Lock()
		c.answering = true
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// interim begins the only response of the server that is no answer.
var interim = []byte("HTTP/1.1 100 ")

func (c *conn) recordRequest(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.read += int64(n)
}

// recordEnd records that a read has failed with an error, or that a drain ends the
// connection if cause is nil.
func (c *conn) recordEnd(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.cause = true, cause
}

func (c *conn) recordQuiet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.quietSince, c.deadlines = false, time.Now(), 0
	c.served++
	c.answering = false
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
	end, unanswered := c.unanswered()
	c.mu.Unlock()
	if report := c.listener.OnUnanswered; report != nil && unanswered && !again {
		report(end)
	}
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

// End describes the end of a connection on which a request was begun and not answered.
type End struct {
	Caller net.Addr
	// Cause is the error by which the caller or the network has ended the
	// connection. If the server has, it is [os.ErrDeadlineExceeded] if the request
	// had not arrived in time, and nil otherwise.
	Cause error
	// Read is the number of bytes that were read on the connection, and Served that
	// of the requests that were answered before.
	Read   int64
	Served int
}

// unanswered returns the end of the connection, and whether a request was begun and
// nothing of its answer was written. The caller holds mu.
func (c *conn) unanswered() (End, bool) {
	e := End{c.RemoteAddr(), c.cause, c.read, c.served}
	// The server aborts reads by a deadline long ago.
	if e.Cause == nil && c.deadline.Unix() > 1 && c.deadline.Before(time.Now()) {
		e.Cause = os.ErrDeadlineExceeded
	}
	return e, c.busy && c.read > 0 && !c.answering
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
