package gateway

import (
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/restoration"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
)

// reentering returns the entries of a list, read in an era of the store, whose upstreams
// were seen draining or removed in an earlier one. They stay draining until they report
// anew or a list that is current after restoration.ReentryTime still contains them. The
// list was current at the boot time asOf.
func (s *state) reentering(all map[string]*fleet.Upstream, era int64, asOf time.Duration) map[string]*fleet.Upstream {
	withheld := make(map[string]*fleet.Upstream)
	if !s.eras.Reentering(asOf) {
		return withheld
	}
	for instance, u := range all {
		if u.State == fleet.Serving && s.reenters(u, era) {
			withheld[instance] = u
		}
	}
	return withheld
}

// reenters reports whether an entry, as listed in an era of the store, shows an
// upstream as serving that was last seen draining, removed or restarted in an
// earlier era.
func (s *state) reenters(u *fleet.Upstream, era int64) bool {
	if s.changedSince[u.Instance] {
		return false
	}
	if w := s.withheld[u.Instance]; w != nil && isSameEntry(w, u) {
		return true
	}
	if era == s.list.Revision().Era {
		return false
	}
	r, removed := s.list.Removal(u.Instance)
	if removed && r.Created.Era < era && u.Registered <= r.Created.Number && u.Started <= r.Started {
		return true
	}
	known := s.upstreams[u.Instance]
	if known == nil {
		return false
	}
	// An upstream that has been restarted does not return to its earlier start.
	return u.Started < known.Started || known.State == fleet.Draining && isSameEntry(known, u)
}

// forgetEarlierRemoval forgets that an entry was removed in an earlier era of the
// store, once it is listed anew.
func (s *state) forgetEarlierRemoval(instance string) {
	r, removed := s.list.Removal(instance)
	if removed && s.withheld[instance] == nil && r.Created.Era < s.list.Revision().Era {
		s.list.ForgetRemoval(instance)
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

// endWithholding records that the entry of an upstream has changed in the present
// era of the store, so that what was known before no longer holds.
func (s *state) endWithholding(instance string) {
	delete(s.withheld, instance)
	if s.eras.Reentering(s.listedAt) {
		s.changedSince[instance] = true
	}
}

// mergeWithheld withholds the upstreams that a peer withholds, unless their
// entries have changed since.
func (s *state) mergeWithheld(n *peering.News) {
	if n.Store.ListEra != s.list.Revision().Era || !s.eras.Reentering(s.listedAt) {
		return
	}
	changed := false
	for _, i := range n.Store.Withheld {
		u := s.upstreams[i.Instance]
		if u == nil || s.changedSince[i.Instance] || u.State != fleet.Serving || u.Incarnation() != i {
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
		s.list.ForgetRemoval(instance)
	}
	clear(s.withheld)
	s.rebuildPools()
}
