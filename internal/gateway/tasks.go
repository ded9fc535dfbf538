package gateway

import (
	"context"
	"sync"

	"lovageport.example/internal/guard"
)

// taskGroup runs functions in goroutines that stop together.
type taskGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	guard   guard.Guard
}

// start must be called before run. The functions are cancelled when ctx is done. A panic
// in one of them is contained by g.
func (t *taskGroup) start(ctx context.Context, g guard.Guard) {
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.guard = g
}

// run runs f in a goroutine of its own. It must not be called after stop.
func (t *taskGroup) run(f func(ctx context.Context)) {
	t.running.Go(func() {
		// A panic is reported by the guard, and ends this function alone.
		_ = t.guard.Run("", func() { f(t.ctx) })
	})
}

// stop cancels the functions that run, and waits for them.
func (t *taskGroup) stop() {
	t.cancel()
	t.running.Wait()
}
