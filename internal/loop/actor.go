package loop

import (
	"context"
	"time"

	"github.com/oklog/run"
)

// AddActor adds an actor to a group that ends with its context.
func AddActor(g *run.Group, ctx context.Context, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// Sleep waits for d. It says false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timer.Done()
	return ctx.Err() == nil
}
