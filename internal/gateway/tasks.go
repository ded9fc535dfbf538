package gateway

import (
	"context"
	"sync"
)

// taskGroup runs functions in goroutines that stop together.
type taskGroup struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// start must be called before run. The functions are cancelled when ctx is done.
func (t *taskGroup) start(ctx context.Context) { t.ctx, t.cancel = context.WithCancel(ctx) }

// run runs f in a goroutine of its own. It must not be called after stop.
func (t *taskGroup) run(f func(ctx context.Context)) {
	t.running.Go(func() { f(t.ctx) })
}

// stop cancels the functions that run, and waits for them.
func (t *taskGroup) stop() {
	t.cancel()
	t.running.Wait()
}
