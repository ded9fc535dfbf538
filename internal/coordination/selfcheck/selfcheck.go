// Package selfcheck tells when this process itself did not run: its processor
// quota was used up, the VM was suspended, or a garbage collection held it. A
// timeout that passes in such a span shows nothing about the other side, whose
// answer may have arrived and not been read.
//
// Times are durations since boot.
package selfcheck

import (
	"slices"
	"sync"
	"time"
)

const (
	// Interval is the time between two calls of [Monitor.Tick].
	Interval = 25 * time.Millisecond
	// Threshold is the shortest time without a tick that counts as a standstill.
	// It is below the shortest timeout by which an upstream is judged, 60 ms, and
	// not below two intervals.
	Threshold = 50 * time.Millisecond
	// memory is how long standstills are remembered. It exceeds any timeout by
	// which an upstream is judged.
	memory = 10 * time.Second
)

// standstill is a span in which the process was not seen running.
type standstill struct{ from, to time.Duration }

// within returns the part of a standstill that lies in a span.
func (s standstill) within(from, to time.Duration) time.Duration {
	return max(0, min(s.to, to)-max(s.from, from))
}

// Monitor records the standstills of this process. In its zero value there are
// none. It is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// standstills holds the standstills of the last memory, oldest first. Guarded
	// by mu.
	standstills []standstill
	// tickedAt is the time of the last tick, 0 if there was none. Guarded by mu.
	tickedAt time.Duration
}

// Tick records that the process runs at now, in a timer that was due at due and
// set [Interval] earlier.
func (m *Monitor) Tick(due, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tickedAt = now
	expired := 0
	for expired < len(m.standstills) && now-m.standstills[expired].to > memory {
		expired++
	}
	m.standstills = m.standstills[expired:]
	if set := due - Interval; now-set >= Threshold {
		m.standstills = append(m.standstills, standstill{set, now})
	}
}

// Stalled reports whether a part of a standstill lies between from and to. A tick
// that is overdue at to counts, since the caller may run before the timer does.
func (m *Monitor) Stalled(from, to time.Duration) bool { return m.Longest(from, to) > 0 }

// Longest returns the length of the longest part of a standstill that lies
// between from and to.
func (m *Monitor) Longest(from, to time.Duration) time.Duration {
	var longest time.Duration
	m.each(to, func(s standstill) { longest = max(longest, s.within(from, to)) })
	return longest
}

// Running returns the time between from and to in which this process ran: all
// but its standstills.
func (m *Monitor) Running(from, to time.Duration) time.Duration {
	running := max(0, to-from)
	m.each(to, func(s standstill) { running -= s.within(from, to) })
	return running
}

// LastRunning returns when this process is last known to have run before now. That is now
// unless a standstill lasts or has just ended; then it is the begin of that and of those
// just before it, or most ago if that is longer.
func (m *Monitor) LastRunning(now, most time.Duration) time.Duration {
	var known []standstill
	m.each(now, func(s standstill) { known = append(known, s) })
	from := now
	for _, s := range slices.Backward(known) {
		if from-s.to > Threshold {
			break
		}
		from = min(from, s.from)
	}
	return max(from, now-most)
}

// each calls f for each standstill, including one that lasts at now.
func (m *Monitor) each(now time.Duration, f func(standstill)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.standstills {
		f(s)
	}
	if m.tickedAt > 0 && now-m.tickedAt >= Threshold {
		f(standstill{m.tickedAt, now})
	}
}
