package loop

import (
	"context"
	"time"

	"github.com/oklog/run"
)

// AddActor adds actor to g. The context of actor is derived from ctx and is
// canceled when the group stops.
func AddActor(g *run.Group, ctx context.Context, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// Sleep waits for d or until ctx is done. It reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timer.Done()
	return ctx.Err() == nil
}
