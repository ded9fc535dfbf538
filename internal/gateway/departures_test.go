package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/revision"
	"lovageport.example/platform"
)

// TestPeersWrongListIsContradicted guards against an upstream that a peer has lost being
// lost here as well, for good, although the store's changes show no deletion of it, and
// against reading the store's list although no list is wrong.
func TestPeersWrongListIsContradicted(t *testing.T) {
	type change = platform.UpstreamChange
	set := func(at int64) change {
		return change{Instance: "e", Revision: numbered(at), Upstream: registeredAt("e", at)}
	}
	deleted := func(at int64) change { return change{Instance: "e", Revision: numbered(at)} }
	other := change{Instance: "o", Revision: numbered(12), Upstream: registeredAt("o", 12)}
	contradicted := false
	watch := func(to int64, changes ...change) func(*listSource) {
		return func(l *listSource) {
			all := platform.UpstreamChanges{Changes: changes, Revision: numbered(to)}
			l.s.applyChanges(all, 0, l.now)
			contradicted = l.s.confirmAbsence(all, l.now)
		}
	}
	peer := func(at int64, us ...*fleet.Upstream) func(*listSource) {
		return func(l *listSource) { l.peerList(0, at, us...) }
	}
	for _, x := range []struct {
		name string
		// steps follow a list of the store at revision 10 with the entry created at 5.
		steps []func(*listSource)
		// kept is the revision at which the entry was created that the list lacks although
		// the store has it; 0 for none.
		kept int64
	}{
		{"deleted", []func(*listSource){peer(12), watch(13, deleted(11))}, 0},
		{"deleted and created again", []func(*listSource){peer(12), watch(14, deleted(11), set(13))}, 0},
		{"deletion not yet due", []func(*listSource){peer(12), watch(11)}, 0},
		{"deletion known before", []func(*listSource){watch(11, deleted(11)), peer(12), watch(13)}, 0},
		{"deletion of the new entry", []func(*listSource){watch(12, deleted(11), set(12)), peer(14), watch(15, deleted(13))}, 0},
		{"new entry, known only from the changes, deleted", []func(*listSource){peer(15), watch(13, deleted(12), set(13)), watch(16, deleted(14))}, 0},
		{"not deleted", []func(*listSource){peer(12), watch(12)}, 5},
		{"another change", []func(*listSource){peer(12), watch(13, other)}, 5},
		{"new entry not deleted", []func(*listSource){watch(12, deleted(11), set(12)), peer(14), watch(15)}, 12},
		{"only the earlier entry deleted", []func(*listSource){peer(14, registeredAt("e", 13)), peer(15), watch(16, deleted(12), set(13))}, 13},
		{"new entry, known only from the changes", []func(*listSource){peer(15), watch(13, deleted(12), set(13)), watch(15)}, 13},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := emptyState(t)
			l := &listSource{s, time.Minute}
			l.list(0, 10, registeredAt("e", 5))
			for _, step := range x.steps {
				step(l)
			}
			c.Check(contradicted, qt.Equals, x.kept > 0)
			if x.kept == 0 {
				c.Check(s.listSourcesLeft, qt.HasLen, 0)
				return
			}
			l.list(0, 20, registeredAt("e", x.kept))
			c.Check(s.upstreams["e"], qt.IsNotNil, qt.Commentf("the store's list counts"))
			watch(21)(l)
			c.Check(contradicted, qt.IsFalse)
		})
	}
}

// TestWrongSourceIsLeftAlone guards against taking the list of a peer that has lost an
// upstream again and again.
func TestWrongSourceIsLeftAlone(t *testing.T) {
	s := emptyState(t)
	l := &listSource{s, time.Minute}
	l.list(0, 10, registeredAt("e", 5))
	l.peerList(0, 12)
	qt.Check(t, s.confirmAbsence(platform.UpstreamChanges{Revision: numbered(12)}, l.now), qt.IsTrue)
	qt.Check(t, s.listSourcesLeft["p"], qt.Equals, l.now+contradictedPause)
}

// TestRestorationIsNoContradiction guards against taking a peer's list for wrong that lacks
// an upstream whose entry was lost when the store was restored: no change tells of that.
func TestRestorationIsNoContradiction(t *testing.T) {
	s := emptyState(t)
	l := &listSource{s, time.Minute}
	l.list(1, 190, registeredAt("e", 185))
	l.peerList(2, 110)
	l.list(2, 100)
	all := platform.UpstreamChanges{Revision: revision.Revision{Era: 2, Number: 120}}
	s.applyChanges(all, 0, l.now)
	qt.Check(t, s.confirmAbsence(all, l.now), qt.IsFalse)
}

// TestStoresListConfirmsAbsence guards against reading the store's list again and again
// for an upstream that it has shown to be gone.
func TestStoresListConfirmsAbsence(t *testing.T) {
	s := emptyState(t)
	l := &listSource{s, time.Minute}
	l.list(0, 10, registeredAt("e", 5))
	l.peerList(0, 12)
	l.list(0, 13)
	qt.Check(t, s.confirmAbsence(platform.UpstreamChanges{Revision: numbered(14)}, l.now), qt.IsFalse)
}
