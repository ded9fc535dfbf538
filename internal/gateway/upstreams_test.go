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

// engine returns an upstream that holds the layers below to.
func engine(instance string, to int) *fleet.Upstream {
	return &fleet.Upstream{Instance: instance, Service: "llm", Zone: "a", Accelerator: "big", Held: fleet.Range{To: to}}
}

// TestChangeDoesNotMakeListOlder guards against the response to a long watch,
// sent before peers confirmed the list, setting the list's time back.
func TestChangeDoesNotMakeListOlder(t *testing.T) {
	s := newState(t)
	n := s.buildSummary(&Gateway{}, time.Second)
	n.ListAge = 0
	s.confirmListAge(n, 5*time.Second)

	const sent, answered = 2 * time.Second, 6 * time.Second
	changes := platform.UpstreamChanges{Changes: []platform.UpstreamChange{{Instance: "e", Upstream: engine("e", 3)}}, Revision: numbered(2)}
	s.applyChanges(changes, sent, answered)
	qt.Check(t, s.listedAt, qt.Equals, 5*time.Second)
	s.applyChanges(platform.UpstreamChanges{Revision: numbered(2)}, 5500*time.Millisecond, 7*time.Second)
	qt.Check(t, s.listedAt, qt.Equals, 5500*time.Millisecond)
}

// TestOlderListIsIgnored guards against a list or change of an older revision
// replacing a newer one, whether it comes from a peer or from the store.
func TestOlderListIsIgnored(t *testing.T) {
	change := func(revision int64, to int) func(*state) {
		return func(s *state) {
			c := platform.UpstreamChange{Instance: "e", Upstream: engine("e", to)}
			s.applyChanges(platform.UpstreamChanges{Changes: []platform.UpstreamChange{c}, Revision: numbered(revision)}, 0, 2*time.Second)
		}
	}
	list := func(revision int64, to int) func(*state) {
		return func(s *state) {
			s.replaceUpstreams(upstreamList{upstreams: map[string]*fleet.Upstream{"e": engine("e", to)}, revision: numbered(revision), asOf: time.Second}, 2*time.Second)
		}
	}
	for _, x := range []struct {
		name  string
		steps []func(*state)
		want  int
	}{
		{"changes in order", []func(*state){change(5, 5), change(6, 6)}, 6},
		{"an older change", []func(*state){change(6, 6), change(5, 5)}, 6},
		{"a change that the list contains", []func(*state){list(6, 6), change(5, 5)}, 6},
		{"an older list", []func(*state){change(6, 6), list(5, 5)}, 6},
		{"a newer list", []func(*state){change(6, 6), list(7, 7)}, 7},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			for _, f := range x.steps {
				f(s)
			}
			qt.Check(t, s.upstreams["e"].Held.To, qt.Equals, x.want)
		})
	}
}

// TestBestListSource checks that lists are fetched only from a peer with newer
// or fresher knowledge, preferably of the own zone.
func TestBestListSource(t *testing.T) {
	const now = time.Minute
	for _, x := range []struct {
		name string
		// listAge is the age of the own list, which is at revision 10.
		listAge time.Duration
		peers   []peering.News
		want    string
	}{
		{name: "no peers"},
		{name: "the same list at a newer revision", peers: []peering.News{{ListRevision: 11}}},
		{name: "an older list", peers: []peering.News{{ListRevision: 9, ListDigest: 1}}},
		{name: "a newer list", peers: []peering.News{{ListRevision: 11, ListDigest: 1}}, want: "p0"},
		{name: "newer lists in both zones", peers: []peering.News{
			{ListRevision: 11, ListDigest: 1, Address: peering.Address{Zone: "b"}}, {ListRevision: 11, ListDigest: 1}}, want: "p1"},
		{name: "a newer configuration", peers: []peering.News{{Table: 2}}, want: "p0"},
		{name: "own list stale", listAge: 3 * time.Second, peers: []peering.News{{ListRevision: 10, ListAge: 2500 * time.Millisecond}}, want: "p0"},
		{name: "both lists stale", listAge: 3 * time.Second, peers: []peering.News{{ListRevision: 10, ListAge: 2900 * time.Millisecond}}},
		{name: "peer without list", listAge: 3 * time.Second, peers: []peering.News{{ListAge: -1}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			s.listedAt = now - x.listAge
			s.list.Advance(numbered(10))
			g := &Gateway{}
			g.routing.Adopt(&routing.Table{Version: 1})
			g.routing.Confirm(1, now)
			for i, n := range x.peers {
				n.Address.Address = "p" + string(rune('0'+i))
				n.Zone = max(n.Zone, s.zone)
				n.Table = max(n.Table, 1)
				if n.ListDigest == 0 {
					n.ListDigest = s.list.Digest()
				}
				s.mergeNews(&n, now)
			}
			qt.Check(t, s.bestListSource(g, now), qt.Equals, x.want)
		})
	}
}
