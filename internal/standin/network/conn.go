package network

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// byteStream is one direction of a connection. Its buffer is unlimited, so
// writers never wait.
type byteStream struct {
	mu sync.Mutex
	// buffer and err are guarded by mu. Readers get err once buffer is empty.
	buffer []byte
	err    error
	// ready holds a token if a reader should check the stream again.
	ready chan struct{}
}

func newByteStream() *byteStream { return &byteStream{ready: make(chan struct{}, 1)} }

// write appends to the buffer. It returns EPIPE if the stream has ended.
func (s *byteStream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, syscall.EPIPE
	}
	s.buffer = append(s.buffer, p...)
	s.signal()
	return len(p), nil
}

// end ends the stream, after which readers get err. A reset discards what has
// not been read.
func (s *byteStream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
	}
	if err == syscall.ECONNRESET {
		s.buffer = nil
	}
	s.signal()
}

// signal wakes a reader. The caller holds mu.
func (s *byteStream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// read takes bytes from the buffer. It returns 0 and a nil error if there are
// none yet.
func (s *byteStream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer) == 0 {
		return 0, s.err
	}
	n := copy(p, s.buffer)
	s.buffer = s.buffer[n:]
	if len(s.buffer) > 0 || s.err != nil {
		s.signal()
	}
	return n, nil
}

// readDeadline is the deadline of the reads of a connection.
type readDeadline struct {
	mu sync.Mutex
	// timer and expired are guarded by mu. expired is closed at the deadline.
	timer   *time.Timer
	expired chan struct{}
}

func (d *readDeadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	expired := make(chan struct{})
	d.expired = expired
	d.timer = nil
	if t.IsZero() {
		return
	}
	left := time.Until(t)
	if left <= 0 {
		close(expired)
		return
	}
	d.timer = time.AfterFunc(left, func() { close(expired) })
}

func (d *readDeadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

// conn is one end of a connection.
type conn struct {
	network  *Network
	from, to *Host
	address  string
	in, out  *byteStream
	// blackholed is shared by both ends. Once it is set, whatever they write
	// is lost.
	blackholed *atomic.Bool
	read       readDeadline
	once       sync.Once
	closed     chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		expired := c.read.done()
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		if n, err := c.in.read(p); n > 0 || err != nil {
			return n, err
		}
		select {
		case <-c.in.ready:
		case <-c.closed:
		case <-expired:
		}
	}
}

// Write implements net.Conn. Once something is written while the route is
// blocked, it is lost, and so is all that either end writes later.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if c.network.isBlocked(c.from, c.to) {
		c.blackholed.Store(true)
	}
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.out.write(p)
}

// Close implements net.Conn. The other end of a blackholed connection does
// not notice.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.removeConn(c)
		close(c.closed)
		if !c.blackholed.Load() {
			c.out.end(io.EOF)
			c.in.end(io.EOF)
		}
	})
	return nil
}

// reset resets the connection at both ends.
func (c *conn) reset() {
	c.out.end(syscall.ECONNRESET)
	c.in.end(syscall.ECONNRESET)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.from.Name) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.address) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn. It wakes a waiting read, so that the
// new deadline applies to it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.signal()
	return nil
}

// SetWriteDeadline implements net.Conn. It does nothing, because writes never
// wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
