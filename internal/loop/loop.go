// Package loop runs functions on a state that one goroutine owns.
package loop

import "context"

// buffer is how many functions may wait for the loop.
const buffer = 1024

// Loop owns a state of type S. Make it with [New].
type Loop[S any] struct {
	// State may be touched before Run is called, and by functions that the
	// loop runs.
	State S
	// AfterEach is called after each function; it may be nil.
	AfterEach func(*S)

	events chan func(*S)
	done   chan struct{}
}

// New returns a loop whose state is zero.
func New[S any]() *Loop[S] {
	return &Loop[S]{events: make(chan func(*S), buffer), done: make(chan struct{})}
}

// Run runs functions until ctx ends.
func (l *Loop[S]) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.events:
			event(&l.State)
			if l.AfterEach != nil {
				l.AfterEach(&l.State)
			}
		}
	}
}

// Do runs f on the state and waits for it. It says whether f ran.
func (l *Loop[S]) Do(f func(*S)) bool {
	ran := make(chan struct{})
	event := func(s *S) {
		f(s)
		close(ran)
	}
	select {
	case l.events <- event:
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

// Send runs f on the state without waiting for it.
func (l *Loop[S]) Send(f func(*S)) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}
