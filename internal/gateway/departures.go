package gateway

import (
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/revision"
	"lovageport.example/platform"
)

// retentionTime is how long upstreams that are missing from the list after an
// outage of the store are kept: entries that expired during the outage are
// registered again within two seconds if the upstream is alive.
const retentionTime = 2200 * time.Millisecond

// contradictedPause is how long a peer is not asked for its list that lacked an upstream
// which the store has not deleted.
const contradictedPause = time.Minute

// departure tells why an upstream is no longer listed.
type departure struct {
	reason string
	// peer is the address of the peer whose list lacks the upstream; empty if the store
	// has told.
	peer string
	// revision is the revision of the store at which the upstream was not listed.
	revision revision.Revision
}

// Reasons of departures, as labels of metrics and in logs.
const (
	reasonDeleted         = "deleted"
	reasonNotListed       = "not_listed_by_store"
	reasonNotListedByPeer = "not_listed_by_peer"
)

// departure returns why an upstream is gone that l lacks.
func (l *upstreamList) departure() departure {
	if l.peer != "" {
		return departure{reasonNotListedByPeer, l.peer, l.revision}
	}
	return departure{reason: reasonNotListed, revision: l.revision}
}

// retention tells until when an upstream is kept that is no longer listed.
type retention struct {
	until time.Duration
	departure
}

// dropOrRetain drops an upstream that is no longer listed, or retains it for a
// while if its entry may only have expired during an outage of the store or been
// lost with it.
func (s *state) dropOrRetain(u *fleet.Upstream, d departure, now time.Duration) {
	ended, was := s.outage.Ended()
	until := ended + retentionTime
	if was && now < until && u.State == fleet.Serving {
		s.retained[u.Instance] = retention{until, d}
		s.upstreams[u.Instance] = u
		return
	}
	delete(s.upstreams, u.Instance)
	delete(s.retained, u.Instance)
	if s.metrics != nil {
		s.metrics.upstreamsGone.WithLabelValues(d.reason).Inc()
	}
	s.log.Info("upstream gone", zap.String("upstream", u.Instance), zap.String("service", u.Service), zap.String("reason", d.reason), zap.String("peer", d.peer),
		zap.Stringer("revision", d.revision), zap.Int64("registered", u.Registered), zap.Duration("list_age", now-s.listedAt))
}

// expireRetained removes retained upstreams that were not registered again in
// time.
func (s *state) expireRetained(now time.Duration) {
	changed := false
	for instance, r := range s.retained {
		if now < r.until {
			continue
		}
		changed = true
		delete(s.retained, instance)
		if u := s.upstreams[instance]; u != nil {
			// The store may have failed and recovered again meanwhile, which
			// retains the upstream once more.
			s.dropOrRetain(u, r.departure, now)
		}
	}
	if changed {
		s.rebuildPools()
	}
}

// recordAbsence records the upstreams that a list lacks. The store's changes must show the
// deletion of those that a peer's list lacks.
func (s *state) recordAbsence(gone []*fleet.Upstream, d departure) {
	if d.peer == "" {
		clear(s.unconfirmed)
		return
	}
	for _, u := range gone {
		s.unconfirmed[u.Instance] = d
	}
}

// confirmAbsence compares changes of the store with what lists of peers have lacked. It
// reports whether such a list has lacked an upstream that the store has not deleted up to
// its revision, so that the store's list must be read. The peer is left alone for a while.
func (s *state) confirmAbsence(c platform.UpstreamChanges, now time.Duration) bool {
	for _, change := range c.Changes {
		if change.Upstream == nil {
			delete(s.unconfirmed, change.Instance)
		}
	}
	contradicted := false
	for instance, d := range s.unconfirmed {
		if d.revision.Era == c.Revision.Era && d.revision.After(c.Revision) {
			continue
		}
		delete(s.unconfirmed, instance)
		if d.revision.Era != c.Revision.Era {
			continue
		}
		contradicted = true
		s.list.ForgetRemoval(instance)
		s.listSourcesLeft[d.peer] = now + contradictedPause
		s.log.Warn("peer's list contradicts the store", zap.String("upstream", instance), zap.String("peer", d.peer), zap.Stringer("revision", d.revision), zap.Stringer("store_revision", c.Revision))
		if s.metrics != nil {
			s.metrics.contradictions.Inc()
		}
	}
	return contradicted
}
