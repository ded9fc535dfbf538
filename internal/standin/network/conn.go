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

// half is one direction of a connection. It holds any number of bytes, so that
// no writer ever waits.
type half struct {
	mu sync.Mutex
	// buffer and err are guarded by mu. err is what a reader gets once the
	// buffer is empty.
	buffer []byte
	err    error
	// ready holds a token if a reader should look again.
	ready chan struct{}
}

func newHalf() *half { return &half{ready: make(chan struct{}, 1)} }

// write adds bytes, unless the direction has ended.
func (h *half) write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return 0, syscall.EPIPE
	}
	h.buffer = append(h.buffer, p...)
	h.signal()
	return len(p), nil
}

// end ends the direction. A reset loses what was not read yet.
func (h *half) end(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
	if err == syscall.ECONNRESET {
		h.buffer = nil
	}
	h.signal()
}

// signal wakes a reader. The caller holds mu.
func (h *half) signal() {
	select {
	case h.ready <- struct{}{}:
	default:
	}
}

// read takes what is there. It returns 0 and no error if there is nothing yet.
func (h *half) read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.buffer) == 0 {
		return 0, h.err
	}
	n := copy(p, h.buffer)
	h.buffer = h.buffer[n:]
	if len(h.buffer) > 0 || h.err != nil {
		h.signal()
	}
	return n, nil
}

// deadline ends the waiting of reads.
type deadline struct {
	mu sync.Mutex
	// timer and passed are guarded by mu; passed is closed at the deadline.
	timer  *time.Timer
	passed chan struct{}
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	passed := make(chan struct{})
	d.passed = passed
	d.timer = nil
	if t.IsZero() {
		return
	}
	left := time.Until(t)
	if left <= 0 {
		close(passed)
		return
	}
	d.timer = time.AfterFunc(left, func() { close(passed) })
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

// conn is one end of a connection.
type conn struct {
	network  *Network
	from, to *Host
	address  string
	in, out  *half
	// silent is shared by both ends.
	silent *atomic.Bool
	read   deadline
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		passed := c.read.done()
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-passed:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		if n, err := c.in.read(p); n > 0 || err != nil {
			return n, err
		}
		select {
		case <-c.in.ready:
		case <-c.closed:
		case <-passed:
		}
	}
}

// Write loses what is sent over a cut, and all that follows it.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	if c.network.isCut(c.from, c.to) {
		c.silent.Store(true)
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.out.write(p)
}

// Close implements net.Conn. The other end of a silent connection does not
// hear of it.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.forget(c)
		close(c.closed)
		if !c.silent.Load() {
			c.out.end(io.EOF)
			c.in.end(io.EOF)
		}
	})
	return nil
}

// reset breaks both directions.
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

// SetReadDeadline implements net.Conn. A read that waits notices a deadline
// that is moved when it is woken next.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.signal()
	return nil
}

// SetWriteDeadline implements net.Conn; no write ever waits.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
