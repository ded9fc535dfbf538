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

	"lovageport.example/internal/transport/intake"
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
	// failure is the first failed read or write; its Op is empty before.
	failure Failure
	// active is set from the end of the head of a request until the server waits for
	// the next one. head and lines count the bytes and the line ends that were read
	// while it was not set.
	active      bool
	head, lines int64
	// holder is what the head takes of the memory of the listener, and holds is set if
	// that is more than nothing.
	holder intake.Holder
	holds  bool
	// reason is why the listener closes the connection, and refused is set once that
	// has begun.
	reason  intake.Reason
	refused bool
	// awaitsBody is set while the server waits for a part of the body of a request,
	// readAt is when it last had one, or the head, and activeAt when it had the head.
	awaitsBody       bool
	readAt, activeAt time.Time
	// openedAt is when the connection was accepted. lingering is set once the server
	// has closed it, and leaving once the listener makes room by it; leaving is guarded
	// by the mu of the listener.
	openedAt  time.Time
	lingering bool
	leaving   bool
}

// Read implements [io.Reader]. It returns [io.EOF] if a drain ends the connection.
func (c *conn) Read(p []byte) (int, error) {
	began := time.Now()
	for {
		c.beginRead(len(p))
		n, err := c.Conn.Read(p)
		if n > 0 {
			if reason := c.recordRequest(p[:n]); reason != "" {
				return 0, c.refuse(reason, began)
			}
			return n, err
		}
		if reason := c.evictedFor(); reason != "" {
			return 0, c.refuse(reason, began)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordEnd(err)
			c.recordFailure(opRead, err, began)
			return n, err
		}
		if !c.wasInterrupted() {
			c.recordFailure(opRead, err, began)
			return n, err
		}
		if c.mayEnd() {
			c.recordEnd(nil)
			c.recordFailure(opRead, nil, began)
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
	began := time.Now()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.recordFailure(opWrite, err, began)
	}
	return n, err
}

// interim begins the only response of the server that is no answer.
var interim = []byte("HTTP/1.1 100 ")

// recordRequest records what was read. It returns why the connection must be closed, or
// an empty reason.
func (c *conn) recordRequest(text []byte) intake.Reason {
	c.mu.Lock()
	c.busy = true
	c.read += int64(len(text))
	if c.awaitsBody {
		c.awaitsBody, c.readAt = false, time.Now()
		c.keep()
	}
	if c.active || !c.listener.limitsHeads() {
		c.mu.Unlock()
		return ""
	}
	c.head += int64(len(text))
	c.lines += int64(bytes.Count(text, lineEnd))
	head, size, reason := c.head, intake.HeadCost(c.head, c.lines), c.reason
	holds := size > intake.FreeBytes
	c.holds = c.holds || holds
	c.mu.Unlock()
	switch {
	case reason != "":
		return reason
	case head > c.listener.maxHead():
		return intake.HeadTooLarge
	case holds && !c.listener.Memory.Hold(&c.holder, size):
		return intake.MemoryFull
	}
	return ""
}

var lineEnd = []byte("\n")

// recordActive records that the head of a request is complete.
func (c *conn) recordActive() {
	c.mu.Lock()
	holds := c.holds
	c.active, c.head, c.lines = true, 0, 0
	c.activeAt = time.Now()
	c.readAt = c.activeAt
	c.keep()
	c.mu.Unlock()
	if holds {
		c.listener.Memory.Settle(&c.holder)
	}
}

// keep cancels an eviction that has not begun, since what was missing has arrived before.
// The caller holds mu.
func (c *conn) keep() {
	if c.reason == "" || c.refused {
		return
	}
	c.reason = ""
	// If this fails the connection has ended.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// beginRead records whether a read into size bytes waits for the body of a request. While
// a request runs whose body is complete, the server reads a single byte, to notice the end
// of the connection; it reads all else into larger buffers.
func (c *conn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsBody = c.active && size > 1
}

// evict makes the server close the connection for a reason, unless a request is complete:
// handlers read bodies whole before anything runs.
func (c *conn) evict(reason intake.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && !c.awaitsBody || c.closed || c.reason != "" {
		return
	}
	c.reason = reason
	// If this fails the connection has ended.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// evictedFor returns why the connection is being closed, or an empty reason.
func (c *conn) evictedFor() intake.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

const (
	// refusalTime bounds the write of an answer to an incomplete request.
	refusalTime = 100 * time.Millisecond
	// refusedLinger bounds the bytes that are discarded after such an answer.
	refusedLinger = 64 << 10
)

// Answers to requests that are incomplete and will not be read. They have not run.
const (
	tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nrequest header too large\n"
	fullAnswer     = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\nConnection: close\r\n\r\ntoo many incomplete requests\n"
)

// errRefused is returned by reads of a connection that is closed for a reason. The server
// sends no answer of its own after a [net.OpError].
var errRefused = errors.New("drain: connection closed")

// refuse answers the incomplete request of a connection that is closed for a reason, and
// returns the error of its reads, of which the first began at a time.
func (c *conn) refuse(reason intake.Reason, began time.Time) error {
	c.mu.Lock()
	again, begun := c.refused, c.head > 0
	c.refused, c.reason = true, reason
	// The answer is no answer of the server, but the end need not be reported as one
	// without any.
	c.answering = true
	// A connection that has sent nothing is closed at once, and one that makes room too.
	c.ended = !begun || reason == intake.TooManyConnections
	c.mu.Unlock()
	err := &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	c.recordFailure(opRead, err, began)
	if again {
		return err
	}
	c.listener.Memory.Leave(&c.holder)
	if c.listener.OnClose != nil {
		c.listener.OnClose(reason)
	}
	answer := fullAnswer
	if reason == intake.HeadTooLarge {
		answer = tooLargeAnswer
	}
	if begun && c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) == nil {
		// It fails only if the caller has gone or does not read.
		_, _ = c.Conn.Write([]byte(answer))
	}
	return err
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
	c.busy, c.quietSince, c.deadlines = false, time.Now(), 0
	c.served++
	c.answering = false
	held := c.holds
	c.active, c.head, c.lines, c.holds = false, 0, 0, false
	c.mu.Unlock()
	if held {
		c.listener.Memory.Drop(&c.holder)
	}
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

// wasInterrupted reports whether a drain rather than the server's deadline, or the time
// for which a closed connection stays open, has ended a read, and restores the deadline.
func (c *conn) wasInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.deadline.IsZero() && !c.deadline.After(time.Now()) {
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
	if c.reason != "" && !c.active {
		// The read that follows must find out why the connection is closed.
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
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
	c.lingering = true
	end, unanswered := c.unanswered()
	c.mu.Unlock()
	c.listener.Memory.End(&c.holder)
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
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	var from io.Reader = c.Conn
	if refused {
		from = io.LimitReader(from, refusedLinger)
	}
	// Any error ends the wait.
	_, _ = io.Copy(io.Discard, from)
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
