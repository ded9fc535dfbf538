package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// Times of following the platform's store.
const (
	// watchWait is how long a watch waits. Each answer, also an empty one,
	// confirms what is known as of when the watch was sent.
	watchWait = time.Second
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
	// watchPause lets changes that come together arrive in one answer.
	watchPause = 50 * time.Millisecond
)

// wakeTable has the table read soon, without waiting for the watch.
func (g *Gateway) wakeTable() {
	select {
	case g.tableWake <- struct{}{}:
	default:
	}
}

// followTable keeps the routing table up to date.
func (g *Gateway) followTable(ctx context.Context) error {
	var revision int64
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = g.readTable(ctx)
		} else {
			revision, err = g.watchTable(ctx, revision)
		}
		if err != nil {
			g.noteStore("configuration", err)
			g.waitForTable(ctx)
			continue
		}
		g.noteStore("configuration", nil)
		wait(ctx, watchPause)
	}
	return nil
}

// waitForTable waits before the next try, until a peer has newer word.
func (g *Gateway) waitForTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-g.tableWake:
	}
}

// readTable reads the table. It returns the revision to watch from.
func (g *Gateway) readTable(ctx context.Context) (int64, error) {
	sent := g.Now()
	table, revision, err := g.store.Table(ctx)
	if err != nil {
		return 0, err
	}
	if g.routing.Adopt(table) {
		g.tableAdopted("read")
	}
	g.routing.Confirm(table.Version, sent)
	return revision, nil
}

// watchTable waits for a newer table. It returns the revision to go on from; 0
// to read anew.
func (g *Gateway) watchTable(ctx context.Context, revision int64) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-g.tableWake:
			cancel()
		}
	}()
	sent := g.Now()
	changes, err := g.store.WatchTable(ctx, revision, watchWait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return 0, nil
	}
	if err != nil {
		// What was missed meanwhile is read at once when the store is back.
		return 0, err
	}
	if changes.Table != nil && g.routing.Adopt(changes.Table) {
		g.tableAdopted("watch")
	}
	g.routing.Confirm(g.routing.Table().Version, sent)
	return changes.Revision, nil
}

// tableAdopted tells the control state of a new table.
func (g *Gateway) tableAdopted(source string) {
	table := g.routing.Table()
	g.metrics.tableVersion.Set(float64(table.Version))
	g.Log.Info("configuration in force", zap.Int64("configuration", table.Version), zap.String("source", source),
		zap.Int("routes", len(table.Routes)), zap.Int("accounts", len(table.Accounts)))
	g.control.Do(func(s *state) { s.setTable(table) })
}

// noteStore logs when the store is lost or regained.
func (g *Gateway) noteStore(what string, err error) {
	g.control.Send(func(s *state) {
		lost := err != nil
		if s.storeLost[what] == lost {
			return
		}
		s.storeLost[what] = lost
		if lost {
			g.Log.Warn("store lost", zap.String("following", what), zap.Error(err))
			return
		}
		g.Log.Info("store regained", zap.String("following", what))
	})
}

// followUpstreams keeps the list of upstreams up to date.
func (g *Gateway) followUpstreams(ctx context.Context) error {
	var revision int64
	for ctx.Err() == nil {
		var err error
		if revision == 0 {
			revision, err = g.listUpstreams(ctx)
		} else {
			revision, err = g.watchUpstreams(ctx, revision)
		}
		if err != nil {
			g.noteStore("upstreams", err)
			wait(ctx, retryPause)
			continue
		}
		g.noteStore("upstreams", nil)
		wait(ctx, watchPause)
	}
	return nil
}

func (g *Gateway) listUpstreams(ctx context.Context) (int64, error) {
	sent := g.Now()
	listed, err := g.store.Upstreams(ctx)
	if err != nil {
		return 0, err
	}
	all := make(map[string]*fleet.Upstream, len(listed.Changes))
	for _, c := range listed.Changes {
		g.logMalformed(c)
		if c.Upstream != nil {
			all[c.Instance] = c.Upstream
		}
	}
	g.control.Do(func(s *state) { s.setUpstreams(all, sent, g.Now()) })
	return listed.Revision, nil
}

func (g *Gateway) watchUpstreams(ctx context.Context, revision int64) (int64, error) {
	sent := g.Now()
	changes, err := g.store.WatchUpstreams(ctx, revision, watchWait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	for _, c := range changes.Changes {
		g.logMalformed(c)
	}
	g.control.Do(func(s *state) { s.changeUpstreams(changes.Changes, sent, g.Now()) })
	return changes.Revision, nil
}

func (g *Gateway) logMalformed(c platform.UpstreamChange) {
	if c.Fault != nil {
		g.Log.Warn("upstream entry ignored", zap.String("upstream", c.Instance), zap.Error(c.Fault))
	}
}
