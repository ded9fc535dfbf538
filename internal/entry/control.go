package entry

import (
	"context"
	"sync/atomic"
	"time"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/membership"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/withdrawal"
)

// Intervals of the control loop.
const (
	// tickInterval is how often the queue of waiting requests is processed.
	tickInterval = 20 * time.Millisecond
	// pruneInterval is how often expired state is removed.
	pruneInterval = 10 * time.Second
)

// state is the control state. Only the control loop may access it.
type state struct {
	dispatcher  dispatch.Dispatcher
	adopter     configuration.Adopter
	withdrawals withdrawal.Set
	members     membership.Table
	// leavingVMs holds the upstreams that the VM list marks as leaving.
	leavingVMs map[string]bool
	// confirmedAt is when any entry was last known to have reached the platform:
	// this one, or a peer according to its heartbeats.
	confirmedAt time.Time
	// platformContactAt is when this entry itself last reached the platform.
	platformContactAt time.Time
	// withdrawalsRead reports whether the withdrawals of the platform or of a
	// peer are known.
	withdrawalsRead bool
	// vmListRead reports whether the VM list is known, or readiness need not
	// wait for it.
	vmListRead bool
	ready      bool
	draining   bool
	prunedAt   time.Time
}

// view is an immutable snapshot of the control state, read by requests.
type view struct {
	catalog *catalog.Catalog
	// withdrawn and leaving hold the names of upstreams that get no new work.
	withdrawn map[string]bool
	leaving   map[string]bool
	ready     bool
	draining  bool
}

// controlLoop owns the control state and runs functions on it, one at a time.
type controlLoop struct {
	*loop.Loop[state]
	view atomic.Pointer[view]
	// hasWaiting reports whether requests wait for a placement.
	hasWaiting atomic.Bool
	// onPublish is called with each new view. It may be nil.
	onPublish func(*view)
}

func newControlLoop() *controlLoop {
	c := &controlLoop{Loop: loop.New[state]()}
	c.AfterEach = func(s *state) { c.hasWaiting.Store(s.dispatcher.HasWaiting()) }
	c.view.Store(&view{catalog: catalog.New(configuration.Snapshot{})})
	return c
}

// tick runs maintain in the loop until ctx ends: at each tick while requests are
// waiting, otherwise once per pruneInterval.
func (c *controlLoop) tick(ctx context.Context) error {
	pruned := time.Now()
	for loop.Sleep(ctx, tickInterval) {
		if c.hasWaiting.Load() || time.Since(pruned) >= pruneInterval {
			pruned = time.Now()
			c.Do(maintain)
		}
	}
	return nil
}

// maintain processes waiting requests and removes expired state. It must be
// called in the loop.
func maintain(s *state) {
	now := time.Now()
	s.dispatcher.Tick(now)
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	s.withdrawals.Prune(now)
	s.members.Prune(now)
}

// publish makes changes of the state visible to requests in a new view. It must
// be called in the loop.
func (c *controlLoop) publish(s *state) {
	old := c.view.Load()
	next := &view{
		catalog:   old.catalog,
		withdrawn: s.withdrawals.Active(),
		leaving:   s.leavingVMs,
		draining:  s.draining,
	}
	if s.adopter.Generation() != old.catalog.Generation() {
		next.catalog = catalog.New(s.adopter.Current())
		s.dispatcher.SetCatalog(next.catalog)
	}
	s.dispatcher.SetWithdrawn(next.withdrawn)
	s.dispatcher.SetLeaving(next.leaving)
	// An entry stays ready once it has been: it learns anything new within
	// seconds, and its readiness must not flap in the meantime.
	s.ready = s.ready || s.adopter.Ready() && s.withdrawalsRead && s.vmListRead && s.members.AllSynced()
	next.ready = s.ready
	c.view.Store(next)
	if c.onPublish != nil {
		c.onPublish(next)
	}
}

// recordConfirmation records that an entry reached the platform age ago.
func (s *state) recordConfirmation(age time.Duration, now time.Time) {
	if at := now.Add(-age); at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// confirmed reports whether the platform, and an entry in the given availability
// zone if any is listed, have been heard from within maxAge. Contact with the
// zone is required because the owner of its upstreams may have been able to
// announce a withdrawal only to the entries there.
func (s *state) confirmed(zone string, maxAge time.Duration, now time.Time) bool {
	if now.Sub(s.confirmedAt) > maxAge {
		return false
	}
	lastHeard, listed := s.members.ZoneLastHeard(zone)
	return !listed || now.Sub(lastHeard) <= maxAge
}
