// Package intake bounds what clients and peers make a process hold before they have sent
// a request: the bytes of incomplete requests, over all connections, and the connections of
// senders that are not known to be peers.
package intake

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Reason says why a connection was closed.
type Reason string

// Reasons for closing a connection.
const (
	// HeadTooLarge is a head of a request above its limit.
	HeadTooLarge Reason = "head_too_large"
	// MemoryFull means that incomplete requests took all memory that they may, and
	// that this one held the most for the longest time.
	MemoryFull Reason = "memory_full"
	// TooManyConnections means that as many connections were open as may be.
	TooManyConnections Reason = "too_many_connections"
	// MessageTooLarge is a message of a peer above its limit.
	MessageTooLarge Reason = "message_too_large"
	// TooSlow means that the first message of a peer has not arrived in time.
	TooSlow Reason = "too_slow"
)

// What the head of a request takes while it is read. The net/http package collects a long
// line in a buffer that doubles, and then copies it; each line takes two strings, a slice
// of one element, and a place in a map.
const (
	byteCost = 3
	lineCost = 160
)

// HeadCost returns what the head of a request takes after a number of bytes and lines.
func HeadCost(size, lines int64) int64 { return size*byteCost + lines*lineCost }

// FreeBytes is the part of what a connection holds that is not counted, so that ordinary
// requests need not take part in the accounting.
const FreeBytes = 8 << 10

// Memory is what all connections of a process may hold of incomplete requests. It is safe
// for concurrent use. A nil Memory, and the zero value, set no bound.
type Memory struct {
	// Max is in bytes; 0 for no bound.
	Max int64

	mu sync.Mutex
	// used is the sum of what the holders hold, and holders contains those that hold
	// anything. leaving is what connections take that are being closed. Guarded by mu.
	used, leaving int64
	holders       map[*Holder]struct{}
}

// Holder is what one connection holds. Evict must be set before the first use.
type Holder struct {
	// Evict is called, without locks of the Memory, if the connection must be closed
	// because it holds too much. It must not block.
	Evict func()

	// held is the counted number of bytes; it moves to leaving when it is decided to
	// close the connection. since is when the connection began to hold them. settled is
	// set if it must not be evicted, and ended once it has ended. Guarded by the mu of
	// the Memory.
	held, leaving  int64
	since          time.Time
	settled, ended bool
}

// Used returns the number of bytes that are held, also by connections that are being
// closed.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used + m.leaving
}

// Hold sets what a connection holds, in bytes, of which the first [FreeBytes] are not
// counted. It reports false if there is no room; the connection must then be closed.
func (m *Memory) Hold(h *Holder, size int64) bool {
	size -= FreeBytes
	if m == nil || m.Max <= 0 || size <= 0 {
		return true
	}
	m.mu.Lock()
	if h.ended || h.leaving > 0 {
		m.mu.Unlock()
		return false
	}
	if h.held == 0 {
		if m.holders == nil {
			m.holders = make(map[*Holder]struct{})
		}
		m.holders[h] = struct{}{}
		h.since = time.Now()
		h.settled = false
	}
	more := size - h.held
	m.used += more
	h.held = size
	var evicted []*Holder
	if m.used > m.Max {
		evicted = m.choose()
	}
	kept := h.held > 0
	// Connections that are being closed hold their memory until they have ended.
	if kept && (m.used > m.Max || m.used+m.leaving > m.Max+m.Max/relief) {
		m.leave(h)
		kept = false
	}
	if !kept {
		// What has just been read is not kept.
		m.leaving -= more
		h.leaving -= more
	}
	m.mu.Unlock()
	for _, e := range evicted {
		if e != h {
			e.Evict()
		}
	}
	return kept
}

// Settle excludes a connection from eviction, because what it holds has become a request.
func (m *Memory) Settle(h *Holder) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h.settled = true
}

// Drop records that a connection holds nothing any more.
func (m *Memory) Drop(h *Holder) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(h)
}

// Leave records that a connection is being closed. What it holds counts until End, but it
// is no longer a candidate for eviction.
func (m *Memory) Leave(h *Holder) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leave(h)
}

// leave is Leave for callers that hold mu.
func (m *Memory) leave(h *Holder) {
	held := h.held
	m.used -= held
	m.leaving += held
	h.leaving += held
	h.held = 0
	delete(m.holders, h)
}

// End records that a connection has ended and holds nothing from now on.
func (m *Memory) End(h *Holder) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(h)
	h.ended = true
}

// drop is Drop for callers that hold mu.
func (m *Memory) drop(h *Holder) {
	m.used -= h.held
	m.leaving -= h.leaving
	h.held, h.leaving = 0, 0
	delete(m.holders, h)
}

// relief is the part of Max that an eviction makes free, so that the search for the
// connections to evict is seldom: one in eight.
const relief = 8

// choose records as leaving the holders with the largest products of what they hold and for
// how long, until there is room, and returns them. A connection whose request is complete
// within milliseconds is thus evicted last. The caller holds mu.
func (m *Memory) choose() []*Holder {
	now := time.Now()
	weight := func(h *Holder) float64 { return float64(h.held) * float64(now.Sub(h.since)+time.Millisecond) }
	candidates := make([]*Holder, 0, len(m.holders))
	for h := range m.holders {
		if !h.settled {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b *Holder) int { return cmp.Compare(weight(b), weight(a)) })
	n := 0
	for n < len(candidates) && m.used > m.Max-m.Max/relief {
		m.leave(candidates[n])
		n++
	}
	return candidates[:n]
}
