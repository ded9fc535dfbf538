package gateway

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// registered returns the entry of a start of an upstream that was made at a
// revision.
func registered(instance string, at int64) *fleet.Upstream {
	u := engine(instance, 10)
	u.Started, u.Registered = 1, at
	return u
}

// TestLapsedEntryGoesAfterSecondOutage: an entry that is missing after the store
// is back is kept for a while, also if the store is lost again meanwhile, but
// not for good: peers would take it for listed.
func TestLapsedEntryGoesAfterSecondOutage(t *testing.T) {
	s := newState(t)
	list := func(revision int64, at time.Duration, us ...*fleet.Upstream) {
		l := wholeList{upstreams: make(map[string]*fleet.Upstream), revision: revision, at: at}
		for _, u := range us {
			l.upstreams[u.Instance] = u
		}
		s.setUpstreams(l, at)
	}
	list(10, 10*time.Second, registered("e", 5))
	s.storeLost[listName] = true
	list(11, 20*time.Second)
	// The second time a watch finds the store back, and nothing changed.
	s.changeUpstreams(platform.UpstreamChanges{Revision: 11}, 0, 21*time.Second)
	s.storeLost[listName] = false
	for now := 21 * time.Second; now < 30*time.Second; now += dispatchTick {
		s.loseLapsed(now)
	}
	qt.Check(t, s.upstreams, qt.HasLen, 0)
	qt.Check(t, s.lent(), qt.HasLen, 0)
}

// TestGoneStaysGone: an entry that was seen gone, or draining, does not come
// back by a list that names it as it was, whatever revision that has.
func TestGoneStaysGone(t *testing.T) {
	whole := func(revision int64, us ...*fleet.Upstream) func(*state) {
		return func(s *state) {
			l := wholeList{upstreams: make(map[string]*fleet.Upstream), revision: revision, at: time.Minute}
			for _, u := range us {
				l.upstreams[u.Instance] = u
			}
			s.setUpstreams(l, time.Minute)
		}
	}
	lent := func(revision int64, u *fleet.Upstream) func(*state) {
		return func(s *state) {
			l := wholeList{upstreams: map[string]*fleet.Upstream{"e": u}, revision: revision, at: time.Minute, lent: true}
			s.setUpstreams(l, time.Minute)
		}
	}
	change := func(revision int64, u *fleet.Upstream) func(*state) {
		return func(s *state) {
			c := platform.UpstreamChange{Instance: "e", Upstream: u}
			s.changeUpstreams(platform.UpstreamChanges{Changes: []platform.UpstreamChange{c}, Revision: revision}, 0, time.Minute)
		}
	}
	draining := registered("e", 5)
	draining.State = fleet.Draining
	unusable := &fleet.Upstream{Instance: "e", Registered: 5, State: fleet.Unusable}
	restarted := registered("e", 5)
	restarted.Started = 2
	for _, x := range []struct {
		name   string
		said   []func(*state)
		serves bool
	}{
		{"listed", []func(*state){whole(10, registered("e", 5))}, true},
		{"gone, then in a list", []func(*state){whole(10, registered("e", 5)), whole(11), whole(12, registered("e", 5))}, false},
		{"gone, then in a change", []func(*state){whole(10, registered("e", 5)), change(11, nil), change(12, registered("e", 5))}, false},
		{"gone, then made again", []func(*state){whole(10, registered("e", 5)), whole(11), whole(12, registered("e", 12))}, true},
		{"made again within one change", []func(*state){whole(10, registered("e", 5)), change(11, nil), change(12, registered("e", 12))}, true},
		{"draining, then as before by a peer", []func(*state){whole(10, draining), lent(11, registered("e", 5))}, false},
		{"draining by a change, then as before by a peer", []func(*state){change(11, draining), lent(12, registered("e", 5))}, false},
		{"draining, then as before by the store", []func(*state){whole(10, draining), change(11, registered("e", 5))}, true},
		{"draining, then another start by a peer", []func(*state){whole(10, draining), lent(11, restarted)}, true},
		{"unusable, then as before", []func(*state){whole(10, registered("e", 5)), change(11, unusable), change(12, registered("e", 5))}, true},
		{"unusable", []func(*state){whole(10, registered("e", 5)), change(11, unusable)}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			for _, f := range x.said {
				f(s)
			}
			qt.Check(t, s.pools["llm"] != nil, qt.Equals, x.serves)
		})
	}
}

// modelStore is the list of upstreams as the store has it.
type modelStore struct {
	revision int64
	entries  map[string]*fleet.Upstream
	// log holds each change, by revision.
	log []modelChange
}

type modelChange struct {
	revision int64
	platform.UpstreamChange
}

func (m *modelStore) change(instance string, u *fleet.Upstream) {
	m.revision++
	m.log = append(m.log, modelChange{m.revision, platform.UpstreamChange{Instance: instance, Upstream: u}})
	if u == nil {
		delete(m.entries, instance)
		return
	}
	m.entries[instance] = u
}

// modelGateway is a gateway's state with where its watch goes on.
type modelGateway struct {
	s       *state
	watched int64
	// held and left are the entries, by when they were made, that it has had
	// and has had no more.
	held, left map[int64]bool
}

// TestNoOrderBringsAnEntryBack plays watches, lists, lists of peers, outages of
// the store and lapses in any order: an entry that a gateway no longer has does
// not come back, and none that the store has removed is kept for long.
func TestNoOrderBringsAnEntryBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &modelStore{revision: 10, entries: make(map[string]*fleet.Upstream)}
		now := time.Second
		var gateways []*modelGateway
		for range 3 {
			s := newState(t)
			s.upstreams = make(map[string]*fleet.Upstream)
			gateways = append(gateways, &modelGateway{s: s, held: make(map[int64]bool), left: make(map[int64]bool)})
		}
		pick := func() *modelGateway { return gateways[rapid.IntRange(0, 2).Draw(r, "gateway")] }
		instance := func() string { return rapid.SampledFrom([]string{"e1", "e2"}).Draw(r, "instance") }
		read := func(g *modelGateway) {
			g.s.setUpstreams(wholeList{upstreams: maps.Clone(m.entries), revision: m.revision, at: now}, now)
			g.s.storeLost[listName] = false
			g.watched = m.revision
		}
		r.Repeat(map[string]func(*rapid.T){
			"register": func(r *rapid.T) {
				name := instance()
				if m.entries[name] == nil {
					m.change(name, registered(name, m.revision+1))
				}
			},
			"remove": func(r *rapid.T) {
				if name := instance(); m.entries[name] != nil {
					m.change(name, nil)
				}
			},
			"list": func(r *rapid.T) { read(pick()) },
			"watch": func(r *rapid.T) {
				g := pick()
				if g.watched == 0 {
					return
				}
				// A watch may answer as of some time ago.
				until := rapid.Int64Range(g.watched, m.revision).Draw(r, "until")
				changes := platform.UpstreamChanges{Revision: until}
				for _, c := range m.log {
					if c.revision > g.watched && c.revision <= until {
						changes.Changes = append(changes.Changes, c.UpstreamChange)
					}
				}
				g.s.changeUpstreams(changes, 0, now)
				g.s.storeLost[listName] = false
				g.watched = until
			},
			"borrow": func(r *rapid.T) {
				g, from := pick(), pick()
				l := wholeList{upstreams: make(map[string]*fleet.Upstream), revision: from.s.listRevision, at: from.s.listedAt, lent: true}
				for _, u := range from.s.lent() {
					l.upstreams[u.Instance] = u
				}
				g.s.setUpstreams(l, now)
			},
			"store lost": func(r *rapid.T) { pick().s.storeLost[listName] = true },
			"time": func(r *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
				for _, g := range gateways {
					g.s.loseLapsed(now)
				}
			},
			"": func(r *rapid.T) {
				for _, g := range gateways {
					checkEntries(r, g, m, now)
				}
			},
		})
	})
}

// checkEntries checks what a gateway has now against what it had before.
func checkEntries(r *rapid.T, g *modelGateway, m *modelStore, now time.Duration) {
	has := make(map[int64]bool)
	for _, u := range g.s.upstreams {
		has[u.Registered] = true
		if g.left[u.Registered] {
			r.Fatalf("the entry %s of revision %d came back", u.Instance, u.Registered)
		}
		_, lapsed := g.s.lapsed[u.Instance]
		if current := m.entries[u.Instance]; g.s.listRevision == m.revision && !lapsed && (current == nil || current.Registered != u.Registered) {
			r.Fatalf("the entry %s of revision %d is kept at revision %d of the list", u.Instance, u.Registered, m.revision)
		}
		if until, lapsed := g.s.lapsed[u.Instance]; lapsed && until > now+lapseTime {
			r.Fatalf("the entry %s is kept until %v at %v", u.Instance, until, now)
		}
	}
	for at := range g.held {
		if !has[at] {
			g.left[at] = true
		}
	}
	g.held = has
}

// TestOneUpstreamAtAnAddress: an upstream that crashed and came back under
// another name at the same address is not used under both: a chain with both
// would be refused.
func TestOneUpstreamAtAnAddress(t *testing.T) {
	s := newState(t)
	old, replacement := registered("e1", 5), registered("e2", 9)
	old.Address, replacement.Address = "10.0.0.1:80", "10.0.0.1:80"
	s.setUpstreams(wholeList{upstreams: map[string]*fleet.Upstream{"e1": old, "e2": replacement}, revision: 10, at: time.Minute}, time.Minute)
	qt.Assert(t, s.pools["llm"].members, qt.HasLen, 1)
	qt.Check(t, s.pools["llm"].members[0].Instance, qt.Equals, "e2")
}
