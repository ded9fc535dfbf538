package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// Store keeps the newest table and how old the knowledge of it is. Its zero
// value knows none. It may be used by many goroutines.
type Store struct {
	table atomic.Pointer[Table]
	mu    sync.Mutex
	// confirmed is the boot time at which the table is known to have been the
	// newest. Guarded by mu.
	confirmed time.Duration
}

// Table returns the newest table, or nil.
func (s *Store) Table() *Table { return s.table.Load() }

// Adopt puts a table in force if it is newer, and says whether it did.
func (s *Store) Adopt(t *Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && t.Version <= old.Version {
		return false
	}
	s.table.Store(t)
	return true
}

// Confirm notes that version was the newest at a boot time. Word of another
// version than that in force confirms nothing.
func (s *Store) Confirm(version int64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table.Load()
	if t == nil || t.Version != version {
		return
	}
	s.confirmed = max(s.confirmed, at)
}

// Age returns how long ago the table in force is known to have been the
// newest. It says false if none is in force.
func (s *Store) Age(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Load() == nil {
		return 0, false
	}
	return now - s.confirmed, true
}
