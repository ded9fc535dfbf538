package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/platform"
)

// engine returns an upstream that holds layers up to one.
func engine(instance string, to int) *fleet.Upstream {
	return &fleet.Upstream{Instance: instance, Service: "llm", Zone: "a", Accelerator: "big", Held: fleet.Range{To: to}}
}

// TestChangeKeepsWhatPeersConfirmed: a watch that has waited long brings a
// change; the list does not become older by it than peers have confirmed it.
func TestChangeKeepsWhatPeersConfirmed(t *testing.T) {
	s := newState(t)
	n := s.belief(&Gateway{}, time.Second)
	n.ListAge = 0
	s.confirmList(n, 5*time.Second)

	const sent, answered = 2 * time.Second, 6 * time.Second
	changes := platform.UpstreamChanges{Changes: []platform.UpstreamChange{{Instance: "e", Upstream: engine("e", 3)}}, Revision: 2}
	s.changeUpstreams(changes, sent, answered)
	qt.Check(t, s.listedAt, qt.Equals, 5*time.Second)
	s.changeUpstreams(platform.UpstreamChanges{Revision: 2}, 5500*time.Millisecond, 7*time.Second)
	qt.Check(t, s.listedAt, qt.Equals, 5500*time.Millisecond)
}

// TestListNeverGoesBack: what a peer or the store said earlier is not taken in
// after something newer, whichever of them brought that.
func TestListNeverGoesBack(t *testing.T) {
	change := func(revision int64, to int) func(*state) {
		return func(s *state) {
			c := platform.UpstreamChange{Instance: "e", Upstream: engine("e", to)}
			s.changeUpstreams(platform.UpstreamChanges{Changes: []platform.UpstreamChange{c}, Revision: revision}, 0, 2*time.Second)
		}
	}
	whole := func(revision int64, to int) func(*state) {
		return func(s *state) {
			s.setUpstreams(wholeList{upstreams: map[string]*fleet.Upstream{"e": engine("e", to)}, revision: revision, at: time.Second}, 2*time.Second)
		}
	}
	for _, x := range []struct {
		name string
		said []func(*state)
		want int
	}{
		{"changes in order", []func(*state){change(5, 5), change(6, 6)}, 6},
		{"an older change", []func(*state){change(6, 6), change(5, 5)}, 6},
		{"a change that the list holds", []func(*state){whole(6, 6), change(5, 5)}, 6},
		{"an older list", []func(*state){change(6, 6), whole(5, 5)}, 6},
		{"a newer list", []func(*state){change(6, 6), whole(7, 7)}, 7},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			for _, f := range x.said {
				f(s)
			}
			qt.Check(t, s.upstreams["e"].Held.To, qt.Equals, x.want)
		})
	}
}

// TestLender: lists come from a peer that knows more, in the own zone if there
// is one.
func TestLender(t *testing.T) {
	const now = time.Minute
	for _, x := range []struct {
		name string
		// listAge is that of the own list, at revision 10.
		listAge time.Duration
		peers   []peering.News
		want    string
	}{
		{name: "nobody"},
		{name: "the same list", peers: []peering.News{{ListRevision: 11}}},
		{name: "an older list", peers: []peering.News{{ListRevision: 9, ListDigest: 1}}},
		{name: "a newer list", peers: []peering.News{{ListRevision: 11, ListDigest: 1}}, want: "p0"},
		{name: "a newer list in the own zone", peers: []peering.News{
			{ListRevision: 11, ListDigest: 1, Address: peering.Address{Zone: "b"}}, {ListRevision: 11, ListDigest: 1}}, want: "p1"},
		{name: "a newer configuration", peers: []peering.News{{Table: 2}}, want: "p0"},
		{name: "own list old", listAge: 3 * time.Second, peers: []peering.News{{ListRevision: 10, ListAge: 2500 * time.Millisecond}}, want: "p0"},
		{name: "own list old, the other too", listAge: 3 * time.Second, peers: []peering.News{{ListRevision: 10, ListAge: 2900 * time.Millisecond}}},
		{name: "no list", listAge: 3 * time.Second, peers: []peering.News{{ListAge: -1}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			s.listedAt, s.listRevision = now-x.listAge, 10
			g := &Gateway{}
			g.routing.Adopt(&routing.Table{Version: 1})
			g.routing.Confirm(1, now)
			for i, n := range x.peers {
				n.Address.Address = "p" + string(rune('0'+i))
				n.Zone = max(n.Zone, s.zone)
				n.Table = max(n.Table, 1)
				if n.ListDigest == 0 {
					n.ListDigest = s.listDigest
				}
				s.hear(&n, now)
			}
			qt.Check(t, s.lender(g, now), qt.Equals, x.want)
		})
	}
}
