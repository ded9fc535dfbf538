package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// prefixTimeout bounds the time until the first bytes of a connection have arrived.
const prefixTimeout = 5 * time.Second

// Split divides a listener into one for tunnels and one for other connections. Both
// accept while run runs. A connection whose first bytes do not arrive in time is closed.
func Split(l net.Listener) (tunnels, others net.Listener, run func(ctx context.Context) error) {
	s := &splitter{
		base:    patientListener{l},
		tunnels: &part{address: l.Addr(), conns: make(chan net.Conn), done: make(chan struct{})},
		others:  &part{address: l.Addr(), conns: make(chan net.Conn), done: make(chan struct{})},
	}
	return s.tunnels, s.others, s.run
}

// splitter divides the connections of a listener by their first bytes.
type splitter struct {
	base            net.Listener
	tunnels, others *part
}

// run accepts connections until ctx is done or the listener fails.
func (s *splitter) run(ctx context.Context) error {
	defer s.tunnels.Close()
	defer s.others.Close()
	stop := context.AfterFunc(ctx, func() { s.base.Close() })
	defer stop()
	for {
		conn, err := s.base.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("tunnel: %w", err)
		}
		go s.route(ctx, conn)
	}
}

// route hands a connection to one of the parts.
func (s *splitter) route(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	prefix := make([]byte, len(Prefix))
	if conn.SetReadDeadline(time.Now().Add(prefixTimeout)) != nil || !readWhole(conn, prefix) || conn.SetReadDeadline(time.Time{}) != nil || !stop() {
		conn.Close()
		return
	}
	if string(prefix) == Prefix {
		s.tunnels.hand(conn)
		return
	}
	s.others.hand(&prefixConn{Conn: conn, prefix: prefix})
}

// readWhole fills p from a connection, and reports whether it has.
func readWhole(conn net.Conn, p []byte) bool {
	_, err := io.ReadFull(conn, p)
	return err == nil
}

// part is the listener for a part of the connections.
type part struct {
	address net.Addr
	conns   chan net.Conn
	// done is closed when the part has been closed.
	done chan struct{}
	once sync.Once
}

// hand passes a connection to Accept.
func (p *part) hand(conn net.Conn) {
	select {
	case p.conns <- conn:
	case <-p.done:
		conn.Close()
	}
}

// Accept implements [net.Listener].
func (p *part) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (p *part) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// Addr implements [net.Listener].
func (p *part) Addr() net.Addr { return p.address }

// prefixConn is a connection whose first bytes have been read.
type prefixConn struct {
	net.Conn
	// prefix holds those that Read has not returned yet.
	prefix []byte
}

// Read implements [net.Conn].
func (c *prefixConn) Read(p []byte) (int, error) {
	if len(c.prefix) > 0 {
		n := copy(p, c.prefix)
		c.prefix = c.prefix[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// NetConn returns the connection below.
func (c *prefixConn) NetConn() net.Conn { return c.Conn }
