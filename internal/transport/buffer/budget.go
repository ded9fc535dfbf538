package buffer

import (
	"errors"
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

// Share is what one message takes of a budget. The zero value takes of none. It may be
// used by one goroutine at a time.
type Share struct {
	Budget *Budget

	// size is that of the message, and taken what it takes of the budget.
	size, taken int64
}

// Resize sets the size of the message in bytes. If a larger one is not left, it fails
// with [ErrExhausted] and the size stays.
func (s *Share) Resize(size int64) error {
	counted := max(0, size-FreeBytes)
	switch more := counted - s.taken; {
	case more > 0 && !s.Budget.take(more):
		return ErrExhausted
	case more < 0:
		s.Budget.give(-more)
	}
	s.size, s.taken = size, counted
	return nil
}

// Release returns all that the message takes, which is no longer held.
func (s *Share) Release() {
	s.Budget.give(s.taken)
	s.size, s.taken = 0, 0
}
