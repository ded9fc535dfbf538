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

// Times of the control loop.
const (
	// tickInterval is how often waiting requests are looked at.
	tickInterval = 20 * time.Millisecond
	// pruneInterval is how often old state is forgotten.
	pruneInterval = 10 * time.Second
)

// state is the control state. Only the control loop touches it.
type state struct {
	dispatcher dispatch.Dispatcher
	adopter    configuration.Adopter
	register   withdrawal.Set
	members    membership.Table
	// vmsLeaving are the upstreams that the VM list shows as leaving.
	vmsLeaving map[string]bool
	// confirmedAt is when there was last word of the platform, directly or
	// through peers.
	confirmedAt time.Time
	// platformAt is when this entry itself last reached the platform.
	platformAt time.Time
	// withdrawalsRead says that the stored withdrawals, or a peer's, are known.
	withdrawalsRead bool
	// vmsRead says that the VM list is known, or need not be waited for.
	vmsRead  bool
	ready    bool
	draining bool
	pruned   time.Time
}

// view is what requests see of the control state. It never changes.
type view struct {
	catalog *catalog.Catalog
	// withdrawn and leaving get no new work.
	withdrawn map[string]bool
	leaving   map[string]bool
	ready     bool
	draining  bool
}

// control runs functions on the control state, one at a time.
type control struct {
	*loop.Loop[state]
	view atomic.Pointer[view]
	// waiting says that requests wait for a place.
	waiting atomic.Bool
	// changed is told of each new view.
	changed func(*view)
}

func newControl() *control {
	c := &control{Loop: loop.New[state]()}
	c.AfterEach = func(s *state) { c.waiting.Store(s.dispatcher.HasWaiting()) }
	c.view.Store(&view{catalog: catalog.New(configuration.Snapshot{})})
	return c
}

// tick has the loop look at waiting requests, if there are any, and at old
// state from time to time, until ctx ends.
func (c *control) tick(ctx context.Context) error {
	pruned := time.Now()
	for loop.Sleep(ctx, tickInterval) {
		if c.waiting.Load() || time.Since(pruned) >= pruneInterval {
			pruned = time.Now()
			c.Do(tend)
		}
	}
	return nil
}

// tend does what is due. It runs in the loop.
func tend(s *state) {
	now := time.Now()
	s.dispatcher.Tick(now)
	if now.Sub(s.pruned) < pruneInterval {
		return
	}
	s.pruned = now
	s.register.Prune(now)
	s.members.Prune(now)
}

// publish makes the state's changes visible to requests. It runs in the loop.
func (c *control) publish(s *state) {
	old := c.view.Load()
	next := &view{
		catalog:   old.catalog,
		withdrawn: s.register.Active(),
		leaving:   s.vmsLeaving,
		draining:  s.draining,
	}
	if s.adopter.Generation() != old.catalog.Generation() {
		next.catalog = catalog.New(s.adopter.Current())
		s.dispatcher.SetCatalog(next.catalog)
	}
	s.dispatcher.SetWithdrawn(next.withdrawn)
	s.dispatcher.SetLeaving(next.leaving)
	// An entry that has once been ready stays so: what it does not know yet
	// comes to it within seconds, and health must not flap meanwhile.
	s.ready = s.ready || s.adopter.Ready() && s.withdrawalsRead && s.vmsRead && s.members.AllSynced()
	next.ready = s.ready
	c.view.Store(next)
	if c.changed != nil {
		c.changed(next)
	}
}

// confirm notes word of the platform that is age old.
func (s *state) confirm(age time.Duration, now time.Time) {
	if at := now.Add(-age); at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// confirmed says whether there is word of an availability zone that is younger
// than term: of the platform, and of an entry in that zone if any is listed. A
// lender may have told its own zone's entries alone.
func (s *state) confirmed(zone string, term time.Duration, now time.Time) bool {
	if now.Sub(s.confirmedAt) > term {
		return false
	}
	heard, listed := s.members.ZoneLastHeard(zone)
	return !listed || now.Sub(heard) <= term
}
