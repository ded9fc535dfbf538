package gateway

import (
	"fmt"
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
}

// setUpstreams puts a whole list in place of what was known, unless more was.
func (s *state) setUpstreams(l wholeList, now time.Duration) {
	if l.revision < s.listRevision {
		return
	}
	s.noteListBack(now)
	all := l.upstreams
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
		s.health.Renew(c.Instance)
	}
	if old == nil {
		s.grownAt = now
	}
	s.logChange(old, c.Upstream, now)
}

// logChange logs what the list says now of an upstream, if it said something
// else before; old is nil if it did not name it.
func (s *state) logChange(old, u *fleet.Upstream, now time.Duration) {
	if old != nil && old.State == u.State && old.Held == u.Held && old.Started == u.Started {
		return
	}
	s.log.Info("upstream changed", zap.String("upstream", u.Instance), zap.String("service", u.Service), zap.String("zone", u.Zone), zap.String("accelerator", u.Accelerator),
		zap.Bool("draining", u.State == fleet.Draining), zap.Int("from", u.Held.From), zap.Int("to", u.Held.To),
		zap.Int64("started", u.Started), zap.Int64("revision", s.listRevision), zap.Duration("list_age", now-s.listedAt))
}

// lose takes out an upstream that the list does not name any more, or keeps it
// for a while if its entry may just have lapsed.
func (s *state) lose(u *fleet.Upstream, now time.Duration) {
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
		if u := s.upstreams[instance]; u != nil {
			s.lose(u, now)
		}
		delete(s.lapsed, instance)
	}
	if lost {
		s.rebuild()
	}
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
