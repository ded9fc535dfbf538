package entry

import (
	"context"
	"sync"
	"time"

	"lovageport.example/internal/loop"
)

// Bounds of work that is put off.
const (
	// maxLater bounds the work that waits; what is beyond it is dropped, and a
	// claim then stays as it is.
	maxLater = 10000
	// laterInterval is how long a failed try is put off.
	laterInterval = 500 * time.Millisecond
	// laterTimeout bounds one try.
	laterTimeout = 2 * time.Second
)

// work is tried until it succeeds.
type work func(ctx context.Context) error

// laterQueue keeps work that could not be done, such as a write while the
// platform is down.
type laterQueue struct {
	mu sync.Mutex
	// pending is in order of arrival. Guarded by mu.
	pending []work
	added   chan struct{}
}

func newLaterQueue() *laterQueue { return &laterQueue{added: make(chan struct{}, 1)} }

// add puts off work.
func (q *laterQueue) add(w func(ctx context.Context) error) {
	q.mu.Lock()
	if len(q.pending) < maxLater {
		q.pending = append(q.pending, w)
	}
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// run tries the work until ctx ends.
func (q *laterQueue) run(ctx context.Context) error {
	for {
		if !q.flush(ctx) {
			if !loop.Sleep(ctx, laterInterval) {
				return nil
			}
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-q.added:
		}
	}
}

// flush tries all work once, up to the first failure. It says whether nothing
// is left.
func (q *laterQueue) flush(ctx context.Context) bool {
	for {
		q.mu.Lock()
		if len(q.pending) == 0 {
			q.mu.Unlock()
			return true
		}
		next := q.pending[0]
		q.pending = q.pending[1:]
		q.mu.Unlock()
		try, cancel := context.WithTimeout(ctx, laterTimeout)
		err := next(try)
		cancel()
		if err != nil {
			q.add(next)
			return false
		}
	}
}
