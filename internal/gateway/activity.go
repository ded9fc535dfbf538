package gateway

import (
	"sync/atomic"
	"time"
)

// activity is when a stage last gave a sign of life, by the streams of this
// gateway and its own word. Goroutines that carry traffic write it. Its zero
// value has given none.
type activity struct {
	// event and answer are the boot times, in nanoseconds, at which an event of a
	// stream last passed the stage and at which it last answered that it is
	// well.
	event, answer atomic.Int64
	// answers counts the answers since the event.
	answers atomic.Int32
}

// passed notes that an event has passed the stage.
func (a *activity) passed(now time.Duration) {
	a.event.Store(int64(now))
	if a.answers.Load() != 0 {
		a.answers.Store(0)
	}
}

// answered notes that the stage has answered that it is well.
func (a *activity) answered(now time.Duration) {
	a.answer.Store(int64(now))
	a.answers.Add(1)
}

// quiet returns the time since the last sign of life, and how many answers there
// were since the last event.
func (a *activity) quiet(now time.Duration) (time.Duration, int) {
	last := max(a.event.Load(), a.answer.Load())
	return now - time.Duration(last), int(a.answers.Load())
}
