package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// Names of what is followed, in logs.
const (
	tableName = "configuration"
	listName  = "upstreams"
)

// follower keeps one thing of the store up to date.
type follower struct {
	g *Gateway
	// what names the thing in logs.
	what string
	// wake ends a watch that may have gone silent, and a pause.
	wake chan struct{}
	// read takes in the whole thing and returns the revision to watch from.
	read func(ctx context.Context) (int64, error)
	// rest returns the pause between two watches: changes that come together
	// then arrive in one answer.
	rest func() time.Duration
	// watch waits for changes, takes them in, and returns the revision to go on
	// from.
	watch func(ctx context.Context, w platform.WatchOptions) (int64, error)
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) error {
	var revision int64
	failures := 0
	for ctx.Err() == nil {
		next, err := f.step(ctx, revision)
		f.g.noteStore(f.what, err)
		if err != nil {
			if !f.g.watching(revision).AllowStale {
				// What was missed meanwhile is read at once when the store is back.
				revision = 0
			}
			failures++
			f.pause(ctx, f.g.retryPause(failures))
			continue
		}
		revision = next
		failures = 0
		if f.pause(ctx, f.rest()) {
			revision = 0
		}
	}
	return nil
}

// step reads, or watches from a revision.
func (f *follower) step(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		return f.read(ctx)
	}
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	woken := false
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-watching.Done():
		case <-f.wake:
			woken = true
			cancel()
		}
	}()
	next, err := f.watch(watching, f.g.watching(revision))
	cancel()
	<-ended
	switch {
	case err != nil && woken:
		return f.read(ctx)
	case errors.Is(err, platform.ErrHistoryGone):
		return 0, nil
	}
	return next, err
}

// pause waits, but no longer than until the follower is woken. It says whether
// that was so.
func (f *follower) pause(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-f.wake:
		return true
	}
}

// awake has the thing read at once.
func (f *follower) awake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// watching returns how to watch after a revision. What a gateway that does not
// read for its zone knows is confirmed by peers, so that the store need not
// answer it as of now.
func (g *Gateway) watching(after int64) platform.WatchOptions {
	w := platform.WatchOptions{After: after}
	g.control.Do(func(s *state) {
		now := g.Now()
		w.Wait = s.roster.WatchWait(now, s.follows())
		w.AllowStale = !s.roster.IsZoneReader(now, s.follows())
	})
	return w
}

// tableFollower follows the configuration.
func (g *Gateway) tableFollower() *follower {
	return &follower{g: g, what: tableName, wake: make(chan struct{}, 1), read: g.readTable, watch: g.watchTable, rest: g.watchPause}
}

// listFollower follows the list of upstreams.
func (g *Gateway) listFollower() *follower {
	return &follower{g: g, what: listName, wake: make(chan struct{}, 1), read: g.listUpstreams, watch: g.watchUpstreams, rest: g.watchPause}
}

// watchPause is the pause between two watches.
func (g *Gateway) watchPause() time.Duration {
	var d time.Duration
	g.control.Do(func(s *state) { d = s.roster.WatchPause(g.Now(), s.follows()) })
	return d
}

// retryPause is the pause after a failed call, the failures-th in a row.
func (g *Gateway) retryPause(failures int) time.Duration {
	var d time.Duration
	g.control.Do(func(s *state) { d = s.roster.RetryPause(failures, g.Now(), s.follows()) })
	return d
}

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

func (g *Gateway) watchTable(ctx context.Context, w platform.WatchOptions) (int64, error) {
	sent := g.Now()
	changes, err := g.store.WatchTable(ctx, w)
	if err != nil {
		return 0, err
	}
	if changes.Table != nil && g.routing.Adopt(changes.Table) {
		g.tableAdopted("watch")
	}
	if !w.AllowStale {
		// An answer that may lag says nothing of how things are now.
		g.routing.Confirm(g.routing.Table().Version, sent)
	}
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
	lost := err != nil
	if what == tableName {
		g.tableLost.Store(lost)
	}
	g.control.Send(func(s *state) { s.noteStore(what, err) })
}

// noteStore runs in the control loop.
func (s *state) noteStore(what string, err error) {
	lost, empty := err != nil, errors.Is(err, platform.ErrNotFound)
	if s.storeLost[what] == lost && s.storeEmpty[what] == empty {
		return
	}
	s.storeLost[what], s.storeEmpty[what] = lost, empty
	switch {
	case empty:
		// The store answers; the operators have not written it yet.
		s.log.Warn("nothing in store", zap.String("following", what))
	case lost:
		s.log.Warn("store lost", zap.String("following", what), zap.Error(err))
	default:
		s.log.Info("store regained", zap.String("following", what))
	}
}

func (g *Gateway) listUpstreams(ctx context.Context) (int64, error) {
	sent := g.Now()
	listed, err := g.store.Upstreams(ctx)
	if err != nil {
		return 0, err
	}
	l := wholeList{upstreams: make(map[string]*fleet.Upstream, len(listed.Changes)), revision: listed.Revision, at: sent}
	for _, c := range listed.Changes {
		g.logMalformed(c)
		if c.Upstream != nil {
			l.upstreams[c.Instance] = c.Upstream
		}
	}
	g.control.Do(func(s *state) { s.setUpstreams(l, g.Now()) })
	return listed.Revision, nil
}

func (g *Gateway) watchUpstreams(ctx context.Context, w platform.WatchOptions) (int64, error) {
	confirmed := g.Now()
	if w.AllowStale {
		// The answer says nothing of how things are now.
		confirmed = 0
	}
	changes, err := g.store.WatchUpstreams(ctx, w)
	if err != nil {
		return 0, err
	}
	for _, c := range changes.Changes {
		g.logMalformed(c)
	}
	g.control.Do(func(s *state) { s.changeUpstreams(changes, confirmed, g.Now()) })
	return changes.Revision, nil
}

func (g *Gateway) logMalformed(c platform.UpstreamChange) {
	if c.Err != nil {
		g.Log.Warn("upstream entry ignored", zap.String("upstream", c.Instance), zap.Error(c.Err))
	}
}
