package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// Store holds the newest known table and the last time at which it was confirmed
// to be the newest. The zero value holds no table. A Store may be used by many
// goroutines. Times are those of the boot-time clock, see clock.SinceBoot.
type Store struct {
	table atomic.Pointer[Table]
	mu    sync.Mutex
	// confirmed is the latest time at which the table is known to have been the
	// newest. Guarded by mu.
	confirmed time.Duration
}

// Table returns the newest known table, or nil if there is none.
func (s *Store) Table() *Table { return s.table.Load() }

// Adopt replaces the table by t if t has a higher version. It reports whether it
// did.
func (s *Store) Adopt(t *Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && t.Version <= old.Version {
		return false
	}
	// confirmed is kept: the new table is at least as new as the old one was then.
	s.table.Store(t)
	return true
}

// Confirm records that version was the newest at time at. It has no effect if
// the held table has another version.
func (s *Store) Confirm(version int64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table.Load()
	if t == nil || t.Version != version {
		return
	}
	s.confirmed = max(s.confirmed, at)
}

// Age returns how long before now the held table was last known to be the
// newest. It returns false if no table is held.
func (s *Store) Age(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Load() == nil {
		return 0, false
	}
	return now - s.confirmed, true
}
