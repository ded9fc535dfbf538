package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/restoration"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/revision"
)

// Timeouts and delays around a restoration of the store.
const (
	// consultTimeout bounds how long the first configuration waits for the word of
	// peers, which may know a newer one that the store has lost. Peers answer
	// within milliseconds.
	consultTimeout = 150 * time.Millisecond
	// maxRegisterDelay bounds the random delay before gateways register again, so
	// that their writes do not come all at once.
	maxRegisterDelay = 2 * time.Second
)

// observeEra records an era that a response of the store has stated.
func (g *Gateway) observeEra(era int64) {
	restored := false
	g.control.Do(func(s *state) { restored = s.eras.Observe(era, g.Now()) })
	if restored {
		g.startEra(era, "store")
	}
}

// observePeerEra records the era of the store that a peer has stated.
func (g *Gateway) observePeerEra(n *peering.News) {
	restored := false
	g.control.Do(func(s *state) { restored = s.eras.ObservePeer(n.Store.Era, n.Store.EraAge, g.Now()) })
	g.store.RecordEra(n.Store.Era)
	if restored {
		g.startEra(n.Store.Era, n.Address.Address)
	}
}

// startEra reads the store anew and registers again after a restoration of the
// store, of which source has told.
func (g *Gateway) startEra(era int64, source string) {
	g.metrics.storeRestorations.Inc()
	g.Log.Warn("store restored from a copy", zap.Int64("era", era), zap.String("source", source))
	g.tableWatcher.wakeUp()
	g.upstreamWatcher.wakeUp()
	notify(g.registerAgain)
}

// awaitRestoration waits until the store has been restored and then for a random
// time. It returns false if ctx ends.
func (g *Gateway) awaitRestoration(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-g.registerAgain:
		return loop.Sleep(ctx, time.Duration(g.Random()*float64(maxRegisterDelay)))
	}
}

// confirmTable records that the store had no newer configuration than the one in
// force when a call was sent. A store that was restored does not prove that while
// operators may still have to write again what it lost.
func (g *Gateway) confirmTable(sent time.Duration) {
	held := g.routing.Table().Version
	confirmed := false
	g.control.Do(func(s *state) { confirmed = s.eras.Confirms(g.storedVersion, held, sent) })
	if confirmed {
		g.routing.Confirm(held, sent)
	}
}

// consultPeers fetches a newer configuration than the given version from a peer
// that has one. It waits until peers had the chance to say so: the store may just
// have been restored from a copy.
func (g *Gateway) consultPeers(ctx context.Context, version int64) {
	select {
	case <-ctx.Done():
	case <-g.peersTried:
	case <-time.After(consultTimeout):
	}
	source := ""
	g.control.Do(func(s *state) {
		for _, m := range s.members.Alive(g.Now()) {
			if m.News.Table > version {
				source = m.Address.Address
				version = m.News.Table
			}
		}
	})
	if source != "" {
		g.fetchLists(ctx, source)
	}
}

// beginEra prepares the list of upstreams for the first list of a new era of the
// store. Upstreams that are missing there are retained for a while, since they
// register again.
func (s *state) beginEra(before, after revision.Revision, now time.Duration) {
	s.log.Warn("list of the restored store", zap.Stringer("revision_before", before), zap.Stringer("revision", after))
	s.eras.Observe(after.Era, now)
	s.listRestoredAt = now
	clear(s.changedSince)
}

// withholdReentering replaces upstreams in a list, read in an era of the store,
// that were seen draining or removed in an earlier one. They stay draining until
// they report anew or a list that is current after restoration.ReentryTime still
// contains them. The list was current at the boot time asOf.
func (s *state) withholdReentering(all map[string]*fleet.Upstream, era int64, asOf time.Duration) {
	withheld := make(map[string]*fleet.Upstream)
	if s.eras.Reentering(asOf) {
		for instance, u := range all {
			if u.State == fleet.Serving && s.reenters(u, era) {
				withheld[instance] = u
				all[instance] = drainingCopy(u)
			}
		}
	}
	s.withheld = withheld
}

// reenters reports whether an entry, as listed in an era of the store, shows an
// upstream as serving that was last seen draining, removed or restarted in an
// earlier era.
func (s *state) reenters(u *fleet.Upstream, era int64) bool {
	if _, changed := s.changedSince[u.Instance]; changed {
		return false
	}
	if w := s.withheld[u.Instance]; w != nil && isSameEntry(w, u) {
		return true
	}
	if era == s.listRevision.Era {
		return false
	}
	r, removed := s.removals[u.Instance]
	if removed && r.registered.Era < era && u.Registered <= r.registered.Number && u.Started <= r.started {
		return true
	}
	known := s.upstreams[u.Instance]
	if known == nil {
		return false
	}
	return u.Started < known.Started || known.State == fleet.Draining && isSameEntry(known, u)
}

// forgetEarlierRemoval forgets that an entry was removed in an earlier era of the
// store, once it is listed anew.
func (s *state) forgetEarlierRemoval(instance string) {
	if s.withheld[instance] == nil && s.removals[instance].registered.Era < s.listRevision.Era {
		delete(s.removals, instance)
	}
}

// isSameEntry reports whether two entries are states of one registration of one
// incarnation.
func isSameEntry(a, b *fleet.Upstream) bool {
	return a.Incarnation() == b.Incarnation() && a.Registered == b.Registered
}

// drainingCopy returns u as draining.
func drainingCopy(u *fleet.Upstream) *fleet.Upstream {
	out := *u
	out.State = fleet.Draining
	return &out
}

// listedEntry returns an upstream of all as the store lists it.
func (s *state) listedEntry(all map[string]*fleet.Upstream, instance string) *fleet.Upstream {
	if w := s.withheld[instance]; w != nil {
		return w
	}
	return all[instance]
}

// endWithholding records that the entry of an upstream has changed in the present
// era of the store, so that what was known before no longer holds.
func (s *state) endWithholding(instance string) {
	delete(s.withheld, instance)
	if s.eras.Reentering(s.listedAt) {
		s.changedSince[instance] = struct{}{}
	}
}

// mergeWithheld withholds the upstreams that a peer withholds, unless their
// entries have changed since.
func (s *state) mergeWithheld(n *peering.News) {
	if n.Store.ListEra != s.listRevision.Era || !s.eras.Reentering(s.listedAt) {
		return
	}
	changed := false
	for _, i := range n.Store.Withheld {
		u := s.upstreams[i.Instance]
		_, heard := s.changedSince[i.Instance]
		if u == nil || heard || u.State != fleet.Serving || u.Incarnation() != i {
			continue
		}
		changed = true
		s.withheld[i.Instance] = u
		s.upstreams[i.Instance] = drainingCopy(u)
	}
	if changed {
		s.rebuildPools()
	}
}

// expireWithheld returns the withheld upstreams to service that are still listed
// after restoration.ReentryTime.
func (s *state) expireWithheld() {
	if s.eras.Reentering(s.listedAt) {
		return
	}
	clear(s.changedSince)
	if len(s.withheld) == 0 {
		return
	}
	for instance, u := range s.withheld {
		s.log.Info("upstream in service again", zap.String("upstream", instance), zap.Duration("after", restoration.ReentryTime))
		s.upstreams[instance] = u
		delete(s.removals, instance)
	}
	clear(s.withheld)
	s.rebuildPools()
}

// storeNews returns what this gateway tells peers about the store.
func (s *state) storeNews(now time.Duration) peering.StoreNews {
	out := peering.StoreNews{Era: s.eras.Era(), EraAge: s.eras.Age(now), ListEra: s.listRevision.Era}
	for _, u := range s.withheld {
		if len(out.Withheld) < peering.MaxListItems {
			out.Withheld = append(out.Withheld, u.Incarnation())
		}
	}
	return out
}

// peerRevision returns the revision of a peer's list. A peer that states no era
// does not know of any, so its word counts only as long as the store is not known
// to have been restored.
func (s *state) peerRevision(era, number int64) (revision.Revision, bool) {
	if era == 0 {
		if s.eras.Restored() {
			return revision.Revision{}, false
		}
		era = s.listRevision.Era
	}
	return revision.Revision{Era: era, Number: number}, true
}
