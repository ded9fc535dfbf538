package socket

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrUnknownEnd is why a read fails at the end of a failed connection whose error no call
// got.
var ErrUnknownEnd = errors.New("socket: the connection has failed")

// Conn is a TCP connection that may be read and written at once. Its Read returns
// [io.EOF] only if the remote host has ended its data.
type Conn struct {
	*net.TCPConn

	// writing is held during a write and until its error is recorded.
	writing sync.Mutex
	mu      sync.Mutex
	// failure is the error that a call has got from the socket; nil if none has. Guarded
	// by mu.
	failure error
	// ended is set once a read has found that the remote host has ended its data. Guarded
	// by mu.
	ended bool
}

// Track returns a TCP connection as a [Conn], and any other connection unchanged: one that
// is carried by another protocol has an end of its own.
func Track(conn net.Conn) net.Conn {
	if c, ok := conn.(*net.TCPConn); ok {
		return &Conn{TCPConn: c}
	}
	return conn
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF {
		return n, c.endError()
	}
	c.record(err)
	return n, err
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.TCPConn.Write(p)
	c.record(err)
	return n, err
}

// ReadFrom implements [io.ReaderFrom] by Write: that of the TCP connection would write
// past it.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo implements [io.WriterTo] by Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// Failure returns the error that a call has got from the socket, or nil.
func (c *Conn) Failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// record records an error unless it is this side's own doing. The one of a broken
// connection counts more than that of a write after its end.
func (c *Conn) record(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil || errors.Is(c.failure, syscall.EPIPE) {
		c.failure = err
	}
}

// endError returns the error of a read that has found the end of the data: [io.EOF] if
// the remote host has ended them.
func (c *Conn) endError() error {
	if state, ok := State(c); ok && state != Closed {
		c.recordEnd()
		return io.EOF
	}
	// On a failed socket a write returns at once, and one that has may be about to record
	// what it got.
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return io.EOF
	case c.failure != nil && !errors.Is(c.failure, syscall.EPIPE):
		return fmt.Errorf("socket: the connection has failed: %w", c.failure)
	case c.failure == nil && !c.hasError():
		return &net.OpError{Op: "read", Net: "tcp", Err: ErrUnknownEnd}
	}
	// EPIPE is the first error only of a connection whose remote host had ended its data,
	// and a read that leaves the error of the socket has found that end before it.
	c.ended = true
	return io.EOF
}

// recordEnd records that the remote host has ended its data.
func (c *Conn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// hasError reports whether the socket has an error that no call has got, and takes it.
func (c *Conn) hasError() bool {
	has := false
	inspect(c, func(fd int) {
		n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		has = err == nil && n != 0
	})
	return has
}
