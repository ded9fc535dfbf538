// Package drain ends the connections of an HTTP server without losing requests
// that have arrived.
//
// [http.Server.Shutdown] closes a connection on which it has not read a request
// yet, even if one is in the kernel's buffer, and drops a request that it reads
// afterwards. Here the goroutine that reads a connection decides about its end, so
// that a request which has arrived by then is read and answered.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lovageport.example/internal/transport/intake"
)

const (
	// pollInterval is how often a drain looks for connections that may end.
	pollInterval = 10 * time.Millisecond
	// quietPeriod is how long a connection without a request stays open before
	// a drain ends it. It covers the way of a request that follows an answer or
	// the opening of the connection.
	quietPeriod = 250 * time.Millisecond
)

// Listener accepts the connections of an [http.Server] and ends them in a drain.
// Create it with [NewListener], and have the server report the states of its
// connections to [Track].
type Listener struct {
	net.Listener
	// OnUnanswered is called when the server closes a connection on which a request
	// was begun and not answered, if not nil. It is set before the server starts.
	OnUnanswered func(End)
	// MaxHeadBytes returns the limit of the head of a request, or 0 for that of
	// [http.Server], which also bounds it; nil for the latter. A head may exceed it by
	// headReserve. Like the fields below it is set before the server starts.
	MaxHeadBytes func() int64
	// Memory is what the heads of incomplete requests may hold; nil for no bound.
	Memory *intake.Memory
	// MaxConns is the number of connections that may be open; 0 for no bound.
	MaxConns int
	// OnClose is called when a connection is closed for a reason, if not nil.
	OnClose func(intake.Reason)
	// stopped is closed when Accept has returned an error.
	stopped      chan struct{}
	closeStopped func()

	mu sync.Mutex
	// draining is set when a drain has begun.
	draining bool
	conns    map[*conn]struct{}
	// leaving counts the connections that have been chosen to make room and are still
	// open.
	leaving int
}

// headReserve is how much a head may exceed its limit. The server reads up to 4 KB of
// what follows a head together with its end; as much is for what proxies add.
const headReserve = 8 << 10

// limitsHeads reports whether heads are counted.
func (l *Listener) limitsHeads() bool { return l.MaxHeadBytes != nil || l.Memory != nil }

// maxHead returns the number of bytes at which a head is refused.
func (l *Listener) maxHead() int64 {
	if l.MaxHeadBytes == nil {
		return http.DefaultMaxHeaderBytes
	}
	limit := l.MaxHeadBytes()
	if limit <= 0 {
		return http.DefaultMaxHeaderBytes
	}
	return min(limit+headReserve, http.DefaultMaxHeaderBytes)
}

// NewListener returns a Listener that accepts connections from l.
func NewListener(l net.Listener) *Listener {
	d := &Listener{Listener: l, stopped: make(chan struct{}), conns: make(map[*conn]struct{})}
	d.closeStopped = sync.OnceFunc(func() { close(d.stopped) })
	return d
}

// Accept implements [net.Listener]. Once a drain has closed the listener it
// returns [http.ErrServerClosed].
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.closeStopped()
			if l.draining && errors.Is(err, net.ErrClosed) {
				return nil, http.ErrServerClosed
			}
			return nil, err
		}
		if !l.makeRoom() {
			accepted.Close()
			continue
		}
		now := time.Now()
		c := &conn{Conn: accepted, listener: l, quietSince: now, openedAt: now}
		c.holder.Evict = func() { c.evict(intake.MemoryFull) }
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// Track records that a connection waits for its next request, or that the head of a
// request is complete. It is meant for [http.Server.ConnState].
func Track(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.recordActive()
	case http.StateIdle:
		tracked.recordQuiet()
	}
}

// Drain closes the listener once the connections that have arrived are accepted,
// and then each connection once it has no request. It returns when all connections
// have ended, or the error of ctx before that. Meanwhile the server's handler must
// ask callers to close their connections.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	for readable(l.Listener) && pause(ctx) {
	}
	// Accept reports the error of a listener that is closed already.
	_ = l.Close()
	select {
	case <-l.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		open := l.open()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.endIfQuiet()
		}
		if !pause(ctx) {
			return ctx.Err()
		}
	}
}

// pause waits for pollInterval and reports whether ctx is still active.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollInterval):
		return true
	}
}

// Open returns the number of connections that have not ended.
func (l *Listener) Open() int { return len(l.open()) }

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// remove forgets a connection that has ended.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; open && c.leaving {
		l.leaving--
	}
	delete(l.conns, c)
}
