package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// lapseTime is how long after the store is back an upstream that it no longer
// lists is kept: entries that lapsed while the store was away come back within
// two seconds if the upstream lives.
const lapseTime = 2200 * time.Millisecond

// wholeList is all upstreams of the store as of a time.
type wholeList struct {
	upstreams map[string]*fleet.Upstream
	// revision is the store's.
	revision int64
	// at is the boot time as of which the list is known to be right.
	at time.Duration
	// lent says that it comes from a peer.
	lent bool
}

// setUpstreams puts a whole list in place of what was known, unless more was.
func (s *state) setUpstreams(l wholeList, now time.Duration) {
	if l.revision < s.listRevision {
		return
	}
	s.noteListBack(now)
	all := l.upstreams
	maps.DeleteFunc(all, func(_ string, u *fleet.Upstream) bool { return s.outdated(u) })
	if l.lent {
		s.keepDraining(all)
	}
	if len(all) > len(s.upstreams) {
		s.grownAt = now
	}
	s.listDigest = 0
	s.entryHashes = make(map[string]uint64, len(all))
	for instance, u := range all {
		s.noteEntry(instance, u)
	}
	old := s.upstreams
	s.upstreams = all
	s.forgetHoldOffs(old, all)
	s.listedAt = max(s.listedAt, l.at)
	s.listRevision = l.revision
	for instance, u := range all {
		s.logChange(old[instance], u, now)
	}
	for instance, u := range old {
		if all[instance] == nil {
			s.lose(u, now)
		}
	}
	s.rebuild()
}

// noteListBack notes that the list can be followed, in case it could not be.
func (s *state) noteListBack(now time.Duration) {
	if s.storeLost[listName] {
		s.listBackAt = now
	}
}

// changeUpstreams takes in changes of the list, which is known to be right as
// of at if at is not 0. Changes that a peer has brought before are left out.
func (s *state) changeUpstreams(c platform.UpstreamChanges, at, now time.Duration) {
	s.noteListBack(now)
	s.listedAt = max(s.listedAt, at)
	if c.Revision <= s.listRevision {
		return
	}
	s.listRevision = c.Revision
	if len(c.Changes) == 0 {
		return
	}
	for _, change := range c.Changes {
		s.changeUpstream(change, now)
	}
	s.rebuild()
}

func (s *state) changeUpstream(c platform.UpstreamChange, now time.Duration) {
	if c.Upstream != nil && s.outdated(c.Upstream) {
		return
	}
	s.noteEntry(c.Instance, c.Upstream)
	old := s.upstreams[c.Instance]
	if c.Upstream == nil {
		if old != nil {
			s.lose(old, now)
		}
		return
	}
	delete(s.lapsed, c.Instance)
	s.upstreams[c.Instance] = c.Upstream
	if old != nil && old.Started != c.Upstream.Started {
		s.health.ClearHoldOff(c.Instance)
	}
	if old == nil {
		s.grownAt = now
	}
	s.logChange(old, c.Upstream, now)
}

// absence is an entry that the list has ceased to name.
type absence struct {
	// registered is when the entry was made, by the store's revision.
	registered int64
	at         time.Duration
}

// outdated says whether an entry is one that has been seen gone: whoever still
// names it knows less. An entry that was made again is another.
func (s *state) outdated(u *fleet.Upstream) bool {
	a, gone := s.gone[u.Instance]
	return gone && u.Registered > 0 && u.Registered <= a.registered
}

// keepDraining leaves upstreams of a peer's list draining that are known to be:
// only the store says that a start of an upstream serves again.
func (s *state) keepDraining(lent map[string]*fleet.Upstream) {
	for instance, u := range lent {
		known := s.upstreams[instance]
		if known == nil || known.State != fleet.Draining || known.Incarnation() != u.Incarnation() || known.Registered != u.Registered {
			continue
		}
		draining := *u
		draining.State = fleet.Draining
		lent[instance] = &draining
	}
}

// forgetGone forgets the entries that have been gone for long.
func (s *state) forgetGone(now time.Duration) {
	maps.DeleteFunc(s.gone, func(_ string, a absence) bool { return now-a.at > leavingMemory })
}

// logChange logs what the list says now of an upstream, if it said something
// else before; old is nil if it did not name it.
func (s *state) logChange(old, u *fleet.Upstream, now time.Duration) {
	if old != nil && old.State == u.State && old.Held == u.Held && old.Started == u.Started {
		return
	}
	s.log.Info("upstream changed", zap.String("upstream", u.Instance), zap.String("service", u.Service), zap.String("zone", u.Zone), zap.String("accelerator", u.Accelerator),
		zap.Bool("draining", u.State == fleet.Draining), zap.Int("from", u.Held.From), zap.Int("to", u.Held.To),
		zap.Int64("started", u.Started), zap.Int64("registered", u.Registered), zap.Int64("revision", s.listRevision), zap.Duration("list_age", now-s.listedAt))
}

// lose takes out an upstream that the list does not name any more, or keeps it
// for a while if its entry may just have lapsed.
func (s *state) lose(u *fleet.Upstream, now time.Duration) {
	s.gone[u.Instance] = absence{registered: max(u.Registered, s.gone[u.Instance].registered), at: now}
	until := s.listBackAt + lapseTime
	if s.listBackAt > 0 && now < until && u.State == fleet.Serving {
		s.lapsed[u.Instance] = until
		s.upstreams[u.Instance] = u
		return
	}
	delete(s.upstreams, u.Instance)
	delete(s.lapsed, u.Instance)
	s.log.Info("upstream gone", zap.String("upstream", u.Instance), zap.String("service", u.Service), zap.Duration("list_age", now-s.listedAt))
}

// loseLapsed takes out upstreams whose entries have not come back in time.
func (s *state) loseLapsed(now time.Duration) {
	lost := false
	for instance, until := range s.lapsed {
		if now < until {
			continue
		}
		lost = true
		delete(s.lapsed, instance)
		if u := s.upstreams[instance]; u != nil {
			// The list may have been lost and come back meanwhile.
			s.lose(u, now)
		}
	}
	if lost {
		s.rebuild()
	}
}

// lent returns the upstreams of the list for a peer, in the order of their
// instances. Those that are kept though the list does not name them are left
// out.
func (s *state) lent() []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, instance := range slices.Sorted(maps.Keys(s.upstreams)) {
		if _, lapsed := s.lapsed[instance]; !lapsed {
			out = append(out, s.upstreams[instance])
		}
	}
	return out
}

// noteEntry keeps the digest of the list; u is nil for an upstream that is
// gone.
func (s *state) noteEntry(instance string, u *fleet.Upstream) {
	s.listDigest -= s.entryHashes[instance]
	if u == nil {
		delete(s.entryHashes, instance)
		return
	}
	hash := xxhash.Sum64String(fmt.Sprintf("%+v", *u))
	s.entryHashes[instance] = hash
	s.listDigest += hash
}

// confirmList takes a peer's word on how fresh the list of upstreams is, if it
// has the same.
func (s *state) confirmList(n *peering.News, sent time.Duration) {
	if n.ListAge >= 0 && n.ListDigest == s.listDigest && s.listedAt > 0 {
		s.listedAt = max(s.listedAt, sent-n.ListAge)
		s.listRevision = max(s.listRevision, n.ListRevision)
	}
}

// follows says whether this gateway could follow the list in the store when it
// last tried.
func (s *state) follows() bool { return !s.storeLost[listName] }
