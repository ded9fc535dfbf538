package buffer

import (
	"errors"
	"sync"
	"sync/atomic"
)

// ErrExhausted is returned if a message would take more memory than is left for all.
var ErrExhausted = errors.New("buffer: messages take all memory that they may")

// FreeBytes is the part of each message that is not counted, so that small ones are
// read even while large ones take all memory that they may.
const FreeBytes = 32 << 10

// Budget is the memory that messages may take together. It is safe for concurrent use.
// A nil Budget, and the zero value, set no bound.
type Budget struct {
	// Max is in bytes; 0 for no bound.
	Max int64

	used atomic.Int64
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// take takes n bytes, and reports whether they were left.
func (b *Budget) take(n int64) bool {
	if b == nil || b.Max <= 0 {
		return true
	}
	for {
		used := b.used.Load()
		if n > b.Max-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// give returns n bytes.
func (b *Budget) give(n int64) {
	if b != nil && b.Max > 0 {
		b.used.Add(-n)
	}
}

// Share is what one message takes of a budget. The zero value takes of none. It is safe
// for concurrent use: whoever ends an exchange may release it while it is read.
type Share struct {
	Budget *Budget

	mu sync.Mutex
	// taken is what the message takes of the budget, and released is set once it must
	// not take any more. Guarded by mu.
	taken    int64
	released bool
}

// Resize sets the size of the message in bytes. If a larger one is not left, or the
// share was released, it fails with [ErrExhausted] and the size stays. A nil share takes
// of no budget.
func (s *Share) Resize(size int64) error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := max(0, size-FreeBytes)
	switch more := counted - s.taken; {
	case more > 0 && (s.released || !s.Budget.take(more)):
		return ErrExhausted
	case more < 0:
		s.Budget.give(-more)
	}
	s.taken = counted
	return nil
}

// Release returns all that the message takes, which is no longer held. It may be called
// again, and on nil.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Budget.give(s.taken)
	s.taken, s.released = 0, true
}
