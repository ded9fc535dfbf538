package http1

import (
	"bufio"
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/dial"
	"lovageport.example/internal/transport/socket"
)

// Limits of idle connections.
const (
	// maxIdlePerHost limits the number of idle connections to one upstream.
	maxIdlePerHost = 64
	// defaultIdle is the time after which the upstream is assumed to close an
	// idle connection if it does not state one.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the upstream this side closes an idle
	// connection, so that no request is sent while the upstream closes it.
	idleMargin = 500 * time.Millisecond
	// idleSilence is how long an idle connection may leave a keep-alive probe without
	// an answer, and a new one, or one that is used again, a request unacknowledged.
	idleSilence = 1500 * time.Millisecond
	// arrivalTime is how long after it was sent a small request counts as arrived: one
	// that is unacknowledged for idleSilence has ended its connection by then. The first
	// keep-alive probe of a quiet exchange comes later.
	arrivalTime = 3 * time.Second
	bufferSize  = 4 << 10
	// idleLimitTTL is how long a reduced idle limit applies to an upstream that
	// has silently dropped an idle connection.
	idleLimitTTL = 10 * time.Second
	// minDroppedIdle is the shortest idle time after which a failure is
	// attributed to a silently dropped connection; earlier failures have other
	// causes.
	minDroppedIdle = 50 * time.Millisecond
)

// Pool sends requests to upstreams and keeps their connections for reuse. Set
// Dial before use. It is safe for concurrent use.
type Pool struct {
	// Dial opens connections.
	Dial dial.Func
	// Memory is what the bodies that [Response.ReadAll] reads may take together; nil for
	// no bound.
	Memory *buffer.Budget
	// OnDial is called for each new connection, if not nil.
	OnDial func()
	// Keep reports whether a connection may be kept for reuse; if nil, all may. It must not
	// call the pool.
	Keep func(conn net.Conn) bool

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used
	// last. Guarded by mu.
	idle map[string][]*connection
	// idleLimits holds the limits of upstreams that silently dropped connections,
	// by address. Guarded by mu.
	idleLimits map[string]idleLimit
}

// idleLimit limits how long a connection may have been idle to be reused, until
// the limit expires.
type idleLimit struct {
	max   time.Duration
	until time.Time
}

// connection is a connection to an upstream. It carries one exchange at a time.
type connection struct {
	net.Conn
	// reader reads from the connection through source, which limits the size of
	// headers.
	reader *bufio.Reader
	source *boundedReader
	// idleSince is when the connection was last returned to the pool. idleFor is
	// how long it had been idle when it was last taken; 0 for a new connection.
	idleSince time.Time
	idleFor   time.Duration
	// idleUntil is the time from which the connection must not be reused.
	idleUntil time.Time
	// reused reports whether the connection has carried an exchange before.
	reused bool

	mu sync.Mutex
	// patience raises the limit of silence once the request has arrived; nil unless an
	// exchange is under way. Guarded by mu.
	patience *time.Timer
	// patient reports whether the limit is raised. Guarded by mu.
	patient bool
}

// take returns a connection for a request: an idle one that can be reused, or a
// new one.
func (p *Pool) take(ctx context.Context, r *Request, now time.Time) (*connection, error) {
	for !r.Fresh {
		c, maxIdle := p.pop(r.Address, now)
		if c == nil {
			break
		}
		c.idleFor = now.Sub(c.idleSince)
		if now.Before(c.idleUntil) && c.idleFor <= maxIdle && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	conn, err := p.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	conn = socket.Track(conn)
	source := &boundedReader{source: conn}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(source, bufferSize), source: source}, nil
}

// pop removes and returns the most recently used idle connection, or nil,
// together with the maximum time it may have been idle.
func (p *Pool) pop(address string, now time.Time) (*connection, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil, 0
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	if limit, ok := p.idleLimits[address]; ok && now.Before(limit.until) {
		return c, limit.max
	}
	return c, time.Duration(math.MaxInt64)
}

// reduceIdleLimit halves the idle time allowed for connections to address,
// after a request on reused connection c failed before any response. The
// upstream may have dropped the connection without notice, as some do under
// load, and a request that must not be sent twice is lost on such a connection.
func (p *Pool) reduceIdleLimit(address string, c *connection, now time.Time) {
	if c.idleFor < minDroppedIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleLimits == nil {
		p.idleLimits = make(map[string]idleLimit)
	}
	p.idleLimits[address] = idleLimit{max: c.idleFor / 2, until: now.Add(idleLimitTTL)}
}

// put keeps a connection for reuse. keep is how long the upstream keeps it
// open; 0 if that is unknown.
func (p *Pool) put(address string, c *connection, keep time.Duration, now time.Time) {
	if keep <= 0 {
		keep = defaultIdle
	}
	c.reused = true
	c.idleSince = now
	c.idleUntil = now.Add(keep - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*connection)
	}
	if len(p.idle[address]) >= maxIdlePerHost || p.Keep != nil && !p.Keep(c.Conn) {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseExpired closes connections that have been idle for too long and removes
// expired idle limits.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.idleLimits, func(_ string, l idleLimit) bool { return now.After(l.until) })
	for address, conns := range p.idle {
		live := conns[:0]
		for _, c := range conns {
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

// CloseIdle closes the idle connections for which match returns true.
func (p *Pool) CloseIdle(match func(address string, conn net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		left := slices.DeleteFunc(conns, func(c *connection) bool {
			if !match(address, c.Conn) {
				return false
			}
			c.abort()
			return true
		})
		p.idle[address] = left
		if len(left) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			c.Close()
		}
	}
	p.idle = nil
}

// beginExchange has the connection wait for all keep-alive probes from a time after now,
// since an exchange with an upstream that is quiet for long must not end because one of
// them was lost. Until then a request that isn't acknowledged ends the connection soon.
func (c *connection) beginExchange(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.patience == timer {
			c.setPatient(true)
		}
	})
	c.patience = timer
}

// endExchange undoes beginExchange.
func (c *connection) endExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.patience == nil {
		return
	}
	c.patience.Stop()
	c.patience = nil
	if c.patient {
		c.setPatient(false)
	}
}

// setPatient sets for how long what is sent may stay without an acknowledgement. The
// caller holds mu.
func (c *connection) setPatient(patient bool) {
	silence := idleSilence
	if patient {
		silence = dial.KeepAliveTime
	}
	c.patient = patient
	// It fails only if the connection has ended.
	_ = dial.LimitSilence(c.Conn, silence)
}

// abort resets the connection rather than closing it, so that data still delayed
// in the network is not delivered, and a request run, long after the exchange was
// abandoned.
func (c *connection) abort() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only if the connection is already closed.
		_ = conn.SetLinger(0)
	}
	c.Close()
}

// quiet reports whether an idle connection is still open and has received no
// unsolicited data.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		// A connection whose error this takes is not used again.
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
