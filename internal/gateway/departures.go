package gateway

import (
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/registry"
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

// absence is an upstream that the list lacks although the store's changes have not shown
// its deletion yet.
type absence struct {
	departure
	// created is the revision at which its entry was created.
	created revision.Revision
}

// recordAbsence records the upstreams that a new list lacks and that were listed in an era
// of the store. The store's changes must show the deletion of those that a peer's list lacks.
func (s *state) recordAbsence(gone []*fleet.Upstream, era int64, d departure) {
	if d.peer == "" {
		clear(s.unconfirmed)
		return
	}
	for _, u := range gone {
		s.unconfirmed[u.Instance] = absence{d, revision.Revision{Era: era, Number: u.Registered}}
	}
}

// confirmByList drops the absences that a list of the store shows too, also if it is older
// than the present list: the changes that follow do not tell of them again.
func (s *state) confirmByList(l upstreamList) {
	for instance, a := range s.unconfirmed {
		u := l.upstreams[instance]
		if registry.Concerns(l.revision, a.created) && (u == nil || u.Registered != a.created.Number) {
			delete(s.unconfirmed, instance)
		}
	}
}

// confirmAbsence compares changes of the store, which have been applied, with what lists of
// peers have lacked. It reports whether such a list has lacked an upstream that the store has
// not deleted up to its revision, so that the store's list must be read.
func (s *state) confirmAbsence(c platform.UpstreamChanges, now time.Duration) bool {
	if c.Revision.Era != s.list.Revision().Era {
		return false
	}
	for _, change := range c.Changes {
		s.compareWithList(change)
	}
	contradicted := false
	for instance, a := range s.unconfirmed {
		switch {
		case a.revision.Era != c.Revision.Era:
			delete(s.unconfirmed, instance)
		case !a.revision.After(c.Revision):
			delete(s.unconfirmed, instance)
			s.recordContradiction(instance, a, c.Revision, now)
			contradicted = true
		}
	}
	return contradicted
}

// compareWithList records whether a change shows an upstream that the list lacks, or the
// deletion of one.
func (s *state) compareWithList(c platform.UpstreamChange) {
	a, lacking := s.unconfirmed[c.Instance]
	switch {
	case c.Upstream == nil:
		if lacking && registry.Concerns(c.Revision, a.created) {
			delete(s.unconfirmed, c.Instance)
		}
	case s.list.Entry(c.Instance) == nil && !(lacking && a.created == s.list.Created(c.Upstream)):
		s.unconfirmed[c.Instance] = absence{departure{revision: s.list.Revision()}, s.list.Created(c.Upstream)}
	}
}

// recordContradiction lets the store's list, which is read next, overrule the removal of an
// upstream, and leaves the peer alone for a while whose list lacked it.
func (s *state) recordContradiction(instance string, a absence, at revision.Revision, now time.Duration) {
	s.list.ForgetRemoval(instance)
	if a.peer != "" {
		s.listSourcesLeft[a.peer] = now + contradictedPause
	}
	if s.metrics != nil {
		s.metrics.contradictions.Inc()
	}
	s.log.Warn("list contradicts the store", zap.String("upstream", instance), zap.Int64("registered", a.created.Number), zap.String("peer", a.peer),
		zap.Stringer("revision", a.revision), zap.Stringer("store_revision", at))
}
