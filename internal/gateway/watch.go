package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/revision"
	"lovageport.example/platform"
)

// Names of the watched objects in logs.
const (
	tableName = "configuration"
	listName  = "upstreams"
)

// watcher keeps one object of the store up to date.
type watcher struct {
	g *Gateway
	// name identifies the object in logs.
	name string
	// wake interrupts a watch, which may have stalled without an error, or a
	// sleep.
	wake chan struct{}
	// reachable ends a sleep and a read that hangs, since the store has answered
	// another call.
	reachable chan struct{}
	// resume ends the longer part of a pause, after which the watch continues.
	resume chan struct{}
	// read reads the complete object and returns the revision to watch from,
	// also if it fails with platform.ErrNotFound.
	read func(ctx context.Context) (revision.Revision, error)
	// interval returns the pause between two watches, which lets changes that
	// come together arrive in one response.
	interval func() time.Duration
	// longer returns by how much the pause is longer while the knowledge is confirmed.
	longer func() time.Duration
	// watch waits for changes, applies them, and returns the revision to
	// continue from.
	watch func(ctx context.Context, w platform.WatchOptions) (revision.Revision, error)
}

// run reads and watches the object until ctx is done.
func (w *watcher) run(ctx context.Context) error {
	var at revision.Revision
	failures, cut := 0, false
	for ctx.Err() == nil {
		// After a cut or a failure the first call shows at once whether the store answers.
		poll := failures > 0 || cut
		next, err := w.step(ctx, at, poll)
		if cut = !poll && w.g.isCut(w.name, err); cut {
			continue
		}
		w.g.recordStoreResult(w.name, err)
		if err != nil && !isMissing(next, err) {
			if !w.g.watchOptions(at).AllowStale {
				// Read the object anew, so that changes missed during the
				// outage apply as soon as the store is back.
				at = revision.Revision{}
			}
			failures++
			w.sleep(ctx, w.g.retryDelay(failures))
			continue
		}
		at = next
		failures = 0
		if w.sleep(ctx, w.interval()) || w.pauseLonger(ctx, w.longer()) {
			at = revision.Revision{}
		}
	}
	return nil
}

// isCut reports whether a watch was cut off although the store is not away, as its other
// answers show. It is then repeated at once from the same revision.
func (g *Gateway) isCut(name string, err error) bool {
	if !errors.Is(err, platform.ErrWatchCut) {
		return false
	}
	silent := false
	g.control.Do(func(s *state) { silent = s.outage.Silent(g.Now()) })
	g.Log.Info("watch cut off", zap.String("following", name), zap.Bool("store_silent", silent), zap.Error(err))
	return !silent
}

// isMissing reports whether a step has found that the object does not exist, and the
// revision from which to watch for its creation.
func isMissing(next revision.Revision, err error) bool {
	return errors.Is(err, platform.ErrNotFound) && !next.IsZero()
}

// pollWait is how long a watch waits that is to show at once whether the store answers.
const pollWait = time.Millisecond

// step reads the object, or watches it from a revision other than the zero value,
// which it returns if the object must be read next. If poll is set, the watch does not
// wait for changes.
func (w *watcher) step(ctx context.Context, at revision.Revision, poll bool) (revision.Revision, error) {
	call, signal := w.read, w.reachable
	if !at.IsZero() {
		call = func(ctx context.Context) (revision.Revision, error) {
			options := w.g.watchOptions(at)
			if poll {
				options.Wait = pollWait
			}
			return w.watch(ctx, options)
		}
		signal = w.wake
	}
	next, interrupted, err := interruptible(ctx, signal, call)
	switch {
	case err != nil && interrupted:
		return w.read(ctx)
	case errors.Is(err, platform.ErrHistoryGone), errors.Is(err, platform.ErrRestored), errors.Is(err, platform.ErrTooManyChanges):
		return revision.Revision{}, nil
	}
	return next, err
}

// interruptible runs a call that is cancelled when signal is received, and reports
// whether that happened.
func interruptible(ctx context.Context, signal <-chan struct{}, call func(context.Context) (revision.Revision, error)) (next revision.Revision, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-ctx.Done():
		case <-signal:
			interrupted = true
			cancel()
		}
	}()
	next, err = call(ctx)
	cancel()
	<-ended
	return next, interrupted, err
}

// sleep waits for d or until the watcher is woken, and reports whether it was
// woken.
func (w *watcher) sleep(ctx context.Context, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-ctx.Done():
		return false
	case <-w.wake:
		return true
	case <-w.reachable:
		return true
	}
}

// pauseLonger is like sleep, but ends without waking the watcher once resume is received,
// which may have been before.
func (w *watcher) pauseLonger(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-ctx.Done():
		case <-w.resume:
			cancel()
		}
	}()
	woken := w.sleep(ctx, d)
	cancel()
	<-ended
	return woken
}

// wakeUp makes the watcher read the object at once.
func (w *watcher) wakeUp() { notify(w.wake) }

// notify sends to a channel with a buffer of one, unless that is full.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// watchOptions returns the options of a watch after a revision. Peers confirm
// the knowledge of a gateway that does not read for its zone, so the store may
// give it a lagging response.
func (g *Gateway) watchOptions(after revision.Revision) platform.WatchOptions {
	w := platform.WatchOptions{After: after}
	g.control.Do(func(s *state) {
		now := g.Now()
		w.Wait = s.members.WatchWait(now, s.followsStore())
		w.AllowStale = !s.members.IsZoneReader(now, s.followsStore())
	})
	return w
}

// newTableWatcher returns the watcher of the configuration.
func (g *Gateway) newTableWatcher() *watcher {
	return &watcher{
		g: g, name: tableName,
		wake: make(chan struct{}, 1), reachable: make(chan struct{}, 1), resume: make(chan struct{}, 1),
		read: g.readTable, watch: g.watchTable,
		interval: g.watchInterval, longer: g.longerTablePause,
	}
}

// newUpstreamWatcher returns the watcher of the list of upstreams.
func (g *Gateway) newUpstreamWatcher() *watcher {
	return &watcher{
		g: g, name: listName,
		wake: make(chan struct{}, 1), reachable: make(chan struct{}, 1), resume: make(chan struct{}, 1),
		read: g.readUpstreams, watch: g.watchUpstreams,
		interval: g.watchInterval, longer: g.longerListPause,
	}
}

// watchInterval returns the pause between two watches.
func (g *Gateway) watchInterval() time.Duration {
	var d time.Duration
	g.control.Do(func(s *state) { d = s.members.WatchPause(g.Now(), s.followsStore()) })
	return d
}

// longerTablePause returns by how much the pause between two watches of the configuration
// is longer.
func (g *Gateway) longerTablePause() time.Duration {
	age, known := g.routing.Age(g.Now())
	return g.longerPause(func(*state) bool { return known && age < min(staleAge, g.currentAge()) })
}

// longerListPause returns by how much the pause between two watches of the list of
// upstreams is longer.
func (g *Gateway) longerListPause() time.Duration {
	return g.longerPause(func(s *state) bool { return s.listedAt > 0 && g.Now()-s.listedAt < staleAge })
}

// longerPause returns by how much the pause between two watches is longer if what is known
// was confirmed lately. wakeStaleWatchers ends the pause when it no longer is.
func (g *Gateway) longerPause(confirmed func(s *state) bool) time.Duration {
	var d time.Duration
	g.control.Do(func(s *state) {
		if confirmed(s) {
			d = s.members.ConfirmedWatchPause(g.Now(), s.followsStore())
		}
	})
	return d
}

// retryDelay returns the delay after a number of consecutive failures.
func (g *Gateway) retryDelay(failures int) time.Duration {
	var d time.Duration
	g.control.Do(func(s *state) { d = s.members.RetryPause(failures, g.Now(), s.followsStore()) })
	return d
}

func (g *Gateway) readTable(ctx context.Context) (revision.Revision, error) {
	sent := g.Now()
	defer g.tableReadAt.Store(int64(sent))
	table, at, err := g.store.Table(ctx)
	if err != nil {
		return at, err
	}
	if g.routing.Table() == nil {
		g.consultPeers(ctx, table.Version)
	}
	if g.routing.Adopt(table) {
		g.applyTable(tableOrigin{source: "read", sent: sent, revision: at})
	}
	g.storedVersion = table.Version
	g.confirmTable(sent)
	return at, nil
}

func (g *Gateway) watchTable(ctx context.Context, w platform.WatchOptions) (revision.Revision, error) {
	sent := g.Now()
	changes, err := g.store.WatchTable(ctx, w)
	if err != nil {
		return revision.Revision{}, err
	}
	if changes.Table != nil {
		g.storedVersion = changes.Table.Version
		if g.routing.Adopt(changes.Table) {
			g.applyTable(tableOrigin{source: "watch", sent: sent, revision: changes.Revision})
		}
	}
	if g.routing.Table() == nil {
		return changes.Revision, platform.ErrNotFound
	}
	if !w.AllowStale {
		// A response that may lag does not confirm the present state.
		g.confirmTable(sent)
	}
	return changes.Revision, nil
}

// tableOrigin is the call that brought a table.
type tableOrigin struct {
	// source is "read" or "watch" for calls to the store, or "peer".
	source string
	// peer is the address of the peer that answered; empty for the store.
	peer string
	// sent is the boot time at which the call was sent.
	sent time.Duration
	// revision is that of the store in its answer; zero for a peer's.
	revision revision.Revision
}

// applyTable passes a newly adopted table to the control state.
func (g *Gateway) applyTable(from tableOrigin) {
	table := g.routing.Table()
	received := g.Now()
	g.control.Do(func(s *state) { s.setTable(table) })
	g.metrics.tableVersion.Set(float64(table.Version))
	g.Log.Info("configuration in force", zap.Int64("configuration", table.Version), zap.String("source", from.source), zap.String("peer", from.peer),
		zap.Stringer("revision", from.revision), zap.Duration("call_took", received-from.sent), zap.Duration("apply_took", g.Now()-received),
		zap.Int("routes", len(table.Routes)), zap.Int("accounts", len(table.Accounts)))
}

// recordStoreResult records the result of a read or watch of the store.
func (g *Gateway) recordStoreResult(name string, err error) {
	failed := err != nil
	if name == tableName {
		g.tableWatchFailed.Store(failed)
	}
	now := g.Now()
	g.control.Send(func(s *state) {
		regained := !failed && s.storeFailed[name]
		s.recordStoreResult(name, err)
		s.recordOutage(name, err, now)
		if regained {
			g.notifyReachable(s)
		}
	})
}

// notifyReachable has the watchers that failed last try again at once: a call that
// was sent while the store did not answer may hang until its timeout.
func (g *Gateway) notifyReachable(s *state) {
	for _, w := range []*watcher{g.tableWatcher, g.upstreamWatcher} {
		if s.storeFailed[w.name] {
			notify(w.reachable)
		}
	}
}

// recordOutage records what the result of a call shows of outages of the store. Only the
// list has entries that lapse in one.
func (s *state) recordOutage(name string, err error, now time.Duration) {
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound):
		s.outage.RecordAnswer(now)
	case name == listName:
		s.outage.RecordFailure(now)
	}
}

// recordStoreResult logs when the store fails or recovers.
func (s *state) recordStoreResult(name string, err error) {
	failed, missing := err != nil, errors.Is(err, platform.ErrNotFound)
	if s.storeFailed[name] == failed && s.storeMissing[name] == missing {
		return
	}
	s.storeFailed[name], s.storeMissing[name] = failed, missing
	switch {
	case missing:
		// The store responds, but operators have not written the object yet.
		s.log.Warn("nothing in store", zap.String("following", name))
	case failed:
		s.log.Warn("store lost", zap.String("following", name), zap.Error(err))
	default:
		s.log.Info("store regained", zap.String("following", name))
	}
}

func (g *Gateway) readUpstreams(ctx context.Context) (revision.Revision, error) {
	sent := g.Now()
	listed, err := g.store.Upstreams(ctx)
	if err != nil {
		return revision.Revision{}, err
	}
	l := upstreamList{upstreams: make(map[string]*fleet.Upstream, len(listed.Changes)), revision: listed.Revision, asOf: sent}
	for _, c := range listed.Changes {
		g.logMalformed(c)
		if c.Upstream != nil {
			l.upstreams[c.Instance] = c.Upstream
		}
	}
	g.control.Do(func(s *state) { s.replaceUpstreams(l, g.Now()) })
	return listed.Revision, nil
}

func (g *Gateway) watchUpstreams(ctx context.Context, w platform.WatchOptions) (revision.Revision, error) {
	confirmed := g.Now()
	if w.AllowStale {
		// The response does not confirm the present state.
		confirmed = 0
	}
	changes, err := g.store.WatchUpstreams(ctx, w)
	if err != nil {
		return revision.Revision{}, err
	}
	for _, c := range changes.Changes {
		g.logMalformed(c)
	}
	contradicted := false
	g.control.Do(func(s *state) {
		s.applyChanges(changes, confirmed, g.Now())
		contradicted = s.confirmAbsence(changes, g.Now())
	})
	if contradicted {
		// Read the list next.
		return revision.Revision{}, nil
	}
	return changes.Revision, nil
}

func (g *Gateway) logMalformed(c platform.UpstreamChange) {
	if c.Err != nil {
		g.Log.Warn("upstream entry ignored", zap.String("upstream", c.Instance), zap.Error(c.Err))
	}
}
