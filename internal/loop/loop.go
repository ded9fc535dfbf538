// Package loop provides an event loop: a goroutine that owns a state and runs
// functions on it one at a time.
package loop

import (
	"context"
	"runtime/debug"
)

// queueSize is how many functions may be queued before callers block.
const queueSize = 1024

// Loop is an event loop that owns a state of type S. Create it with [New].
type Loop[S any] struct {
	// State may be accessed only before Run is called and by functions that the
	// loop runs.
	State S
	// AfterEach is called in the loop after each function; it may be nil.
	AfterEach func(*S)
	// OnPanic is called with the value and the stack of a panic in a function that
	// the loop runs, before the panic goes on and ends the process; it may be nil.
	OnPanic func(value any, stack []byte)

	queue chan func(*S)
	done  chan struct{}
}

// New returns a loop whose state is the zero value.
func New[S any]() *Loop[S] {
	return &Loop[S]{queue: make(chan func(*S), queueSize), done: make(chan struct{})}
}

// Run runs queued functions until ctx is done.
func (l *Loop[S]) Run(ctx context.Context) error {
	defer close(l.done)
	defer l.reportPanic()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.queue:
			f(&l.State)
			if l.AfterEach != nil {
				l.AfterEach(&l.State)
			}
		}
	}
}

// reportPanic calls OnPanic if a function has panicked, and panics again: the state
// may be inconsistent.
func (l *Loop[S]) reportPanic() {
	value := recover()
	if value == nil {
		return
	}
	if l.OnPanic != nil {
		l.OnPanic(value, debug.Stack())
	}
	panic(value)
}

// Do runs f on the state and waits for it to return. It returns false if the loop
// ends before that is known; f may then have run or not.
func (l *Loop[S]) Do(f func(*S)) bool {
	ran := make(chan struct{})
	task := func(s *S) {
		f(s)
		close(ran)
	}
	select {
	case l.queue <- task:
	case <-l.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Send queues f to run on the state and does not wait until it has run. It blocks
// while the queue is full and drops f if the loop has ended.
func (l *Loop[S]) Send(f func(*S)) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}
