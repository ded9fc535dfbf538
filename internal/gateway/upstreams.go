package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/registry"
	"lovageport.example/internal/state/revision"
	"lovageport.example/platform"
)

// upstreamList is the complete list of upstreams at a revision of the store.
type upstreamList struct {
	upstreams map[string]*fleet.Upstream
	// revision is the store revision.
	revision revision.Revision
	// asOf is the boot time at which the list is known to have been current.
	asOf time.Duration
	// peer is the address of the peer that provided the list; empty if the store has.
	peer string
}

// replaceUpstreams replaces the list of upstreams by l, unless l is of an older
// revision.
func (s *state) replaceUpstreams(l upstreamList, now time.Duration) {
	if l.peer == "" {
		s.confirmByList(l)
	}
	before := s.list.Revision()
	if l.revision.Before(before) {
		return
	}
	if l.peer != "" {
		s.outage.RecordPeerAnswer(l.asOf, now)
	} else {
		s.outage.RecordAnswer(now)
	}
	if before.Era > 0 && l.revision.Era > before.Era {
		s.beginEra(before, l.revision, now)
	}
	all := s.list.Merge(l.upstreams, l.revision)
	s.withheld = s.reentering(all, l.revision.Era, l.asOf)
	if l.peer != "" {
		s.preserveDraining(all)
	} else {
		s.keptDraining = nil
	}
	gone := s.list.Replace(all, l.revision, now)
	s.listedAt = max(s.listedAt, l.asOf)
	left := s.useEntries(all, gone, now)
	s.recordAbsence(left, before.Era, l.departure())
	for _, u := range left {
		s.dropOrRetain(u, l.departure(), now)
	}
	s.rebuildPools()
}

// useEntries uses the entries of a new list. It returns the upstreams of the entries
// that are gone as they were used before.
func (s *state) useEntries(all map[string]*fleet.Upstream, gone []*fleet.Upstream, now time.Duration) []*fleet.Upstream {
	old := s.upstreams
	if len(all) > len(old) {
		s.listGrewAt = now
	}
	s.upstreams = maps.Clone(all)
	for instance, u := range s.withheld {
		s.upstreams[instance] = drainingCopy(u)
	}
	for instance, u := range s.upstreams {
		delete(s.retained, instance)
		s.forgetEarlierRemoval(instance)
		s.logUpstreamChange(old[instance], u, now)
	}
	for instance := range s.retained {
		s.upstreams[instance] = old[instance]
	}
	var left []*fleet.Upstream
	for _, u := range gone {
		left = append(left, old[u.Instance])
	}
	return left
}

// applyChanges applies changes of the list. The list is known to have been
// current at the boot time at, unless that is 0. Changes that are already known
// from a peer are skipped, except for those that end draining.
func (s *state) applyChanges(c platform.UpstreamChanges, at, now time.Duration) {
	s.outage.RecordAnswer(now)
	known := s.list.Revision()
	if c.Revision.Era < known.Era {
		return
	}
	s.listedAt = max(s.listedAt, at)
	changes := c.Changes
	if !c.Revision.After(known) {
		changes = slices.DeleteFunc(slices.Clone(changes), func(c platform.UpstreamChange) bool { return !s.endsDraining(c) })
	}
	s.list.Advance(c.Revision)
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		s.applyChange(change, now)
	}
	s.rebuildPools()
}

// endsDraining reports whether a change is newer than the one that made an
// upstream drain. A peer's list that contains the change has not ended that.
func (s *state) endsDraining(c platform.UpstreamChange) bool {
	since, kept := s.keptDraining[c.Instance]
	return kept && c.Revision.After(since)
}

func (s *state) applyChange(c platform.UpstreamChange, now time.Duration) {
	if !s.list.Apply(registry.Change{Instance: c.Instance, Revision: c.Revision, Upstream: c.Upstream}, now) {
		return
	}
	s.endWithholding(c.Instance)
	old := s.upstreams[c.Instance]
	if c.Upstream == nil {
		if old != nil {
			s.dropOrRetain(old, departure{reason: reasonDeleted, revision: c.Revision}, now)
		}
		return
	}
	delete(s.retained, c.Instance)
	delete(s.keptDraining, c.Instance)
	s.forgetEarlierRemoval(c.Instance)
	s.upstreams[c.Instance] = c.Upstream
	if old == nil {
		s.listGrewAt = now
	}
	s.logUpstreamChange(old, c.Upstream, now)
}

// preserveDraining keeps upstreams of a peer's list draining if they are known
// to drain: only the store may return the same incarnation to service.
func (s *state) preserveDraining(entries map[string]*fleet.Upstream) {
	kept := make(map[string]revision.Revision)
	for instance, u := range entries {
		known := s.upstreams[instance]
		if s.withheld[instance] != nil || u.State == fleet.Draining || known == nil || known.State != fleet.Draining || !isSameEntry(known, u) {
			continue
		}
		entries[instance] = drainingCopy(u)
		kept[instance] = s.list.Revision()
		if since, already := s.keptDraining[instance]; already {
			kept[instance] = since
		}
	}
	s.keptDraining = kept
}

// logUpstreamChange logs the listed state of an upstream if it differs from
// old, which is nil if the upstream was not listed.
func (s *state) logUpstreamChange(old, u *fleet.Upstream, now time.Duration) {
	if old != nil && old.State == u.State && old.Held == u.Held && old.Started == u.Started {
		return
	}
	at := s.list.Revision()
	s.log.Info("upstream changed", zap.String("upstream", u.Instance), zap.String("service", u.Service), zap.String("zone", u.Zone), zap.String("accelerator", u.Accelerator),
		zap.Bool("draining", u.State == fleet.Draining), zap.Int("from", u.Held.From), zap.Int("to", u.Held.To),
		zap.Int64("started", u.Started), zap.Int64("registered", u.Registered), zap.Int64("era", at.Era), zap.Int64("revision", at.Number), zap.Duration("list_age", now-s.listedAt))
}

// confirmListAge takes over a peer's more recent confirmation of the list of
// upstreams, if the peer has the same list.
func (s *state) confirmListAge(n *peering.News, sent time.Duration) {
	at, known := s.peerRevision(n.Store.ListEra, n.ListRevision)
	if !known || at.Era != s.list.Revision().Era {
		return
	}
	if n.ListAge >= 0 && n.ListDigest == s.list.Digest() && s.listedAt > 0 {
		s.listedAt = max(s.listedAt, sent-n.ListAge)
		s.outage.RecordPeerAnswer(sent-n.ListAge, s.now())
		s.list.Advance(at)
	}
}

// followsStore reports whether the last attempt to read or watch the list in
// the store succeeded.
func (s *state) followsStore() bool { return !s.storeFailed[listName] }
