package exchange

import (
	"bufio"
	"context"
	"maps"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"lovageport.example/internal/transport/dial"
)

// Limits of kept connections.
const (
	// maxIdle bounds the kept connections to one upstream.
	maxIdle = 64
	// defaultIdle is how long a connection is kept if the upstream does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the upstream a connection is given
	// up, so that no request crosses its close.
	idleMargin = 500 * time.Millisecond
	bufferSize = 4 << 10
	// forgottenTime is how long an upstream that has forgotten a connection
	// which rested is not sent requests on others that rested about as long.
	forgottenTime = 10 * time.Second
	// leastForgotten is the shortest rest after which a connection may have
	// been forgotten; what is lost sooner is lost for other reasons.
	leastForgotten = 50 * time.Millisecond
)

// Pool keeps connections to upstreams. Set Dial before use.
type Pool struct {
	// Dial opens connections.
	Dial dial.Func
	// Opened is told of each new connection; it may be nil.
	Opened func()

	mu sync.Mutex
	// idle are the kept connections by address, the newest last. Guarded by mu.
	idle map[string][]*connection
	// restLimits are those of upstreams that forgot connections, by address.
	// Guarded by mu.
	restLimits map[string]restLimit
}

// restLimit bounds how long a connection may have rested.
type restLimit struct {
	most  time.Duration
	until time.Time
}

// connection carries one exchange at a time.
type connection struct {
	net.Conn
	// reader reads from the connection through source, which bounds heads.
	reader *bufio.Reader
	source *boundedReader
	// putAt is when it was put by, and rested for how long it had been when it
	// was taken again; 0 for a new connection.
	putAt  time.Time
	rested time.Duration
	// idleUntil is when the connection must not be used any more.
	idleUntil time.Time
}

// take returns a kept connection, or a new one.
func (p *Pool) take(ctx context.Context, address string, now time.Time) (*connection, error) {
	for {
		c, most := p.pop(address, now)
		if c == nil {
			break
		}
		c.rested = now.Sub(c.putAt)
		if now.Before(c.idleUntil) && c.rested <= most && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	conn, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	source := &boundedReader{from: conn}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(source, bufferSize), source: source}, nil
}

// pop returns the newest kept connection, or nil, and how long it may have
// rested.
func (p *Pool) pop(address string, now time.Time) (*connection, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil, 0
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	if limit, known := p.restLimits[address]; known && now.Before(limit.until) {
		return c, limit.most
	}
	return c, time.Duration(math.MaxInt64)
}

// noteForgotten notes that a request on a kept connection was lost before any
// answer. The upstream may have forgotten the connection without notice, as
// some do under pressure; a request that must not be sent twice is then lost.
func (p *Pool) noteForgotten(address string, c *connection, now time.Time) {
	if c.rested < leastForgotten {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restLimits == nil {
		p.restLimits = make(map[string]restLimit)
	}
	p.restLimits[address] = restLimit{most: c.rested / 2, until: now.Add(forgottenTime)}
}

// put keeps a connection whose exchange has ended.
func (p *Pool) put(address string, c *connection, keep time.Duration, now time.Time) {
	if keep <= 0 {
		keep = defaultIdle
	}
	c.putAt = now
	c.idleUntil = now.Add(keep - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*connection)
	}
	if len(p.idle[address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.restLimits, func(_ string, l restLimit) bool { return now.After(l.until) })
	for address, kept := range p.idle {
		live := kept[:0]
		for _, c := range kept {
			if now.Before(c.idleUntil) {
				live = append(live, c)
				continue
			}
			c.Close()
		}
		if len(live) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = live
	}
}

// Close closes all kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, kept := range p.idle {
		for _, c := range kept {
			c.Close()
		}
	}
	p.idle = nil
}

// abort closes a connection whose exchange was given up. It resets it, so that
// bytes that the network holds up are not delivered, and run, much later.
func (c *connection) abort() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		// The connection may be closed already; there is nothing left to do then.
		_ = conn.SetLinger(0)
	}
	c.Close()
}

// quiet says whether nothing has arrived on a kept connection, neither bytes
// that nobody asked for nor its end.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	holder, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peeked == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
