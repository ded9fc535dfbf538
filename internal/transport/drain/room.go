package drain

import (
	"cmp"
	"slices"
	"time"

	"lovageport.example/internal/transport/intake"
)

// Limits of the search for connections that make room for new ones.
const (
	// roomShare is the part of the connections that are closed together, so that the
	// search is seldom, and the part by which their number may exceed the limit until
	// they are closed: one in sixteen.
	roomShare = 16
	// roomWait and roomTries bound the wait for that.
	roomWait  = 2 * time.Millisecond
	roomTries = 50
	// stayTries is the number of tries after which connections that were chosen and are
	// still open are taken to stay, because a request has arrived on them.
	stayTries = 10
	// slowBody is the time after which a body that still arrives is slow.
	slowBody = 5 * time.Second
)

// makeRoom reports whether another connection may be accepted. If there are as many as may
// be, it closes some that have no request.
func (l *Listener) makeRoom() bool {
	if l.MaxConns <= 0 {
		return true
	}
	for i := range roomTries {
		l.mu.Lock()
		if i%stayTries == stayTries-1 {
			l.forgetLeaving()
		}
		if len(l.conns)-l.leaving >= l.MaxConns {
			l.evictSome()
		}
		fits := len(l.conns)-l.leaving < l.MaxConns && len(l.conns) < l.MaxConns+1+l.MaxConns/roomShare
		l.mu.Unlock()
		if fits {
			return true
		}
		time.Sleep(roomWait)
	}
	if l.OnClose != nil {
		l.OnClose(intake.TooManyConnections)
	}
	return false
}

// forgetLeaving makes the connections that were chosen and are still open count again. The
// caller holds mu.
func (l *Listener) forgetLeaving() {
	for c := range l.conns {
		c.leaving = false
	}
	l.leaving = 0
}

// rank is the order in which connections make room.
type rank int

// Ranks of connections, the first to be closed first.
const (
	// lingers is the rank of connections that the server has closed.
	lingers rank = iota
	// waitsForFirst is that of connections that have sent no whole request.
	waitsForFirst
	// waitsForBody is that of connections whose request lacks a part of its body, and has
	// got nothing for a while or is slow.
	waitsForBody
	// waitsForNext is that of connections whose last request was answered a while ago.
	waitsForNext
	// inUse is that of all others, which are not closed.
	inUse
)

// candidate is a connection that may make room.
type candidate struct {
	conn  *conn
	rank  rank
	since time.Time
}

// evictSome chooses connections to be closed, the longest without a request first. The
// caller holds mu.
func (l *Listener) evictSome() {
	var candidates []candidate
	for c := range l.conns {
		if c.leaving {
			continue
		}
		if rank, since := c.rank(); rank != inUse {
			candidates = append(candidates, candidate{c, rank, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	for _, x := range candidates[:min(len(candidates), 1+l.MaxConns/roomShare)] {
		x.conn.leaving = true
		l.leaving++
		x.conn.leave(x.rank)
	}
}

// rank returns the rank of the connection and since when it has it.
func (c *conn) rank() (rank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lingering:
		return lingers, c.openedAt
	case c.reason != "":
		return inUse, time.Time{}
	case c.active && c.awaitsBody && (time.Since(c.readAt) >= quietPeriod || time.Since(c.activeAt) >= slowBody):
		return waitsForBody, c.activeAt
	case c.active:
		return inUse, time.Time{}
	case c.served == 0:
		return waitsForFirst, c.openedAt
	case c.isQuiet():
		return waitsForNext, c.quietSince
	case c.busy && c.head > 0:
		return waitsForFirst, c.quietSince
	}
	return inUse, time.Time{}
}

// leave closes the connection to make room.
func (c *conn) leave(r rank) {
	switch r {
	case lingers:
		c.Conn.Close()
	case waitsForNext:
		if c.listener.OnClose != nil {
			c.listener.OnClose(intake.TooManyConnections)
		}
		// A request that has arrived meanwhile is answered.
		c.endIfQuiet()
	default:
		c.evict(intake.TooManyConnections)
	}
}
