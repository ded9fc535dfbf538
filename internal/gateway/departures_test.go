package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// TestPeersWrongListIsContradicted guards against an upstream that a peer has lost being
// lost here as well, for good, although the store shows no deletion of it.
func TestPeersWrongListIsContradicted(t *testing.T) {
	e := registeredAt("e", 5)
	type change = platform.UpstreamChange
	deleted := change{Instance: "e", Revision: numbered(11)}
	other := change{Instance: "o", Revision: numbered(12), Upstream: registeredAt("o", 12)}
	for _, x := range []struct {
		name string
		// known is what the store's changes show at revision 11, before the peer's list.
		known []change
		// to is the revision up to which the store's changes show what follows.
		to      int64
		changes []change
		want    bool
	}{
		{name: "deleted", to: 13, changes: []change{deleted}},
		{name: "deleted and registered again", to: 14, changes: []change{deleted, {Instance: "e", Revision: numbered(13), Upstream: registeredAt("e", 13)}}},
		{name: "not so far", to: 11, changes: nil},
		{name: "deletion known before", known: []change{deleted}, to: 13},
		{name: "not deleted", to: 12, want: true},
		{name: "another change", to: 13, changes: []change{other}, want: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := emptyState(t)
			l := &listSource{s, time.Minute}
			watch := func(to int64, changes []change) bool {
				all := platform.UpstreamChanges{Changes: changes, Revision: numbered(to)}
				s.applyChanges(all, 0, l.now)
				return s.confirmAbsence(all, l.now)
			}
			l.list(0, 10, e)
			if x.known != nil {
				c.Assert(watch(11, x.known), qt.IsFalse)
			}
			l.peerList(0, 12)
			c.Assert(s.upstreams, qt.HasLen, 0)
			c.Check(watch(x.to, x.changes), qt.Equals, x.want)
			c.Check(l.now < s.listSourcesLeft["p"], qt.Equals, x.want, qt.Commentf("the peer is left alone"))
			if !x.want {
				return
			}
			l.list(0, 15, e)
			c.Check(s.upstreams["e"], qt.IsNotNil, qt.Commentf("the store's list counts"))
			c.Check(watch(16, nil), qt.IsFalse)
		})
	}
}

// TestStoresListConfirmsAbsence guards against reading the store's list again and again
// for an upstream that it has shown to be gone.
func TestStoresListConfirmsAbsence(t *testing.T) {
	s := emptyState(t)
	l := &listSource{s, time.Minute}
	l.list(0, 10, registeredAt("e", 5))
	l.peerList(0, 12)
	l.list(0, 13, []*fleet.Upstream{}...)
	qt.Check(t, s.confirmAbsence(platform.UpstreamChanges{Revision: numbered(14)}, l.now), qt.IsFalse)
}
