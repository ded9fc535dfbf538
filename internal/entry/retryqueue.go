package entry

import (
	"context"
	"sync"
	"time"

	"lovageport.example/internal/loop"
)

// Limits of the retry queue.
const (
	// maxQueuedTasks bounds the queue. Tasks beyond it are dropped; a claim whose
	// update is dropped keeps its stored state.
	maxQueuedTasks = 10000
	// taskRetryInterval is the pause after a failed task.
	taskRetryInterval = 500 * time.Millisecond
	// taskTimeout bounds one run of a task.
	taskTimeout = 2 * time.Second
)

// task is a function that is run again until it returns nil.
type task func(ctx context.Context) error

// retryQueue holds tasks that failed and must be repeated, such as writes while
// the platform is down.
type retryQueue struct {
	mu sync.Mutex
	// pending is ordered by arrival and guarded by mu.
	pending []task
	added   chan struct{}
}

func newRetryQueue() *retryQueue { return &retryQueue{added: make(chan struct{}, 1)} }

// add appends a task, or drops it if the queue is full.
func (q *retryQueue) add(t func(ctx context.Context) error) {
	q.mu.Lock()
	if len(q.pending) < maxQueuedTasks {
		q.pending = append(q.pending, t)
	}
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// run runs the queued tasks until ctx ends.
func (q *retryQueue) run(ctx context.Context) error {
	for {
		if !q.flush(ctx) {
			if !loop.Sleep(ctx, taskRetryInterval) {
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

// flush runs the queued tasks in order until one fails; that task moves to the
// end of the queue. It reports whether the queue is empty.
func (q *retryQueue) flush(ctx context.Context) bool {
	for {
		q.mu.Lock()
		if len(q.pending) == 0 {
			q.mu.Unlock()
			return true
		}
		next := q.pending[0]
		q.pending = q.pending[1:]
		q.mu.Unlock()
		taskCtx, cancel := context.WithTimeout(ctx, taskTimeout)
		err := next(taskCtx)
		cancel()
		if err != nil {
			q.add(next)
			return false
		}
	}
}
