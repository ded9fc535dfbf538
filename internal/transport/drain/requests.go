package drain

import (
	"context"
	"errors"
	"sync"
)

// ErrEnded is the cause of the end of a request that is at work when the time of a drain
// is over.
var ErrEnded = errors.New("drain: the process ends")

// Requests ends the requests that are at work when the time of a drain is over, so that
// their callers get an answer before their connections are cut off. Its zero value is
// ready for use.
type Requests struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

// ended returns the context that ends with the time of the drain.
func (r *Requests) ended() context.Context {
	r.once.Do(func() { r.ctx, r.cancel = context.WithCancel(context.Background()) })
	return r.ctx
}

// End ends the requests.
func (r *Requests) End() {
	r.ended()
	r.cancel()
}

// Ended reports whether End was called.
func (r *Requests) Ended() bool { return r.ended().Err() != nil }

// Context returns the context of a request. It ends with ctx, or with the cause ErrEnded
// when End is called.
func (r *Requests) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := r.AfterEnd(func() { cancel(ErrEnded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// AfterEnd has f called in its own goroutine after End was called, unless stop was
// called before.
func (r *Requests) AfterEnd(f func()) (stop func() bool) { return context.AfterFunc(r.ended(), f) }
