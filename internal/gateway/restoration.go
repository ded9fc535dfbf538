package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
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
	s.outage.RecordRestoration(now)
	clear(s.changedSince)
}

// storeNews returns what this gateway tells peers about the store.
func (s *state) storeNews(now time.Duration) peering.StoreNews {
	out := peering.StoreNews{Era: s.eras.Era(), EraAge: s.eras.Age(now), ListEra: s.list.Revision().Era}
	for _, u := range s.withheld {
		if len(out.Withheld) < peering.MaxListItems {
			out.Withheld = append(out.Withheld, u.Incarnation())
		}
	}
	return out
}

// trustsPeer reports whether what a peer says of the store counts that states an
// era. A build that states none does not notice that the store was restored, so its
// word counts only as long as no restoration is known.
func (s *state) trustsPeer(era int64) bool { return era > 0 || !s.eras.Restored() }

// peerRevision returns the revision of a peer's list. It returns false if the list
// does not count.
func (s *state) peerRevision(era, number int64) (revision.Revision, bool) {
	if !s.trustsPeer(era) {
		return revision.Revision{}, false
	}
	if era == 0 {
		era = s.list.Revision().Era
	}
	return revision.Revision{Era: era, Number: number}, true
}
