package gateway

import (
	"errors"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/revision"
	"lovageport.example/platform"
)

// numbered returns the revision with a number of a store that reports no era.
func numbered(number int64) revision.Revision { return revision.Revision{Number: number} }

// registeredAt returns an entry that was registered at a store revision.
func registeredAt(instance string, at int64) *fleet.Upstream {
	u := engine(instance, 10)
	u.Started, u.Registered = 1, at
	return u
}

// applyList applies a list that is current at a boot time, by a store that reports no
// era.
func applyList(s *state, number int64, at time.Duration, us ...*fleet.Upstream) {
	l := listSource{s, at}
	l.list(0, number, us...)
}

// errDown is the error of a call to a store that is down.
var errDown = errors.New("down")

// recordListResult records the result of a call for the list of upstreams.
func (s *state) recordListResult(err error, now time.Duration) {
	s.recordStoreResult(listName, err)
	s.recordOutage(listName, err, now)
}

// TestRetainedEntryExpiresAfterSecondOutage guards against an entry that is
// retained after an outage, and again after a second one, staying forever:
// peers would take it for listed.
func TestRetainedEntryExpiresAfterSecondOutage(t *testing.T) {
	s := newState(t)
	applyList(s, 10, 10*time.Second, registeredAt("e", 5))
	s.recordListResult(errDown, 15*time.Second)
	applyList(s, 11, 20*time.Second)
	s.recordListResult(errDown, 20*time.Second)
	// The second time a watch finds the store available, without changes.
	s.applyChanges(platform.UpstreamChanges{Revision: numbered(11)}, 0, 21*time.Second)
	for now := 21 * time.Second; now < 30*time.Second; now += dispatchInterval {
		s.expireRetained(now)
	}
	qt.Check(t, s.upstreams, qt.HasLen, 0)
	qt.Check(t, s.list.Entries(), qt.HasLen, 0)
}

// TestEntryListedAgainIsKept guards against an upstream that was retained after an
// outage, and is listed again, being dropped when the retention ends.
func TestEntryListedAgainIsKept(t *testing.T) {
	s := newState(t)
	applyList(s, 10, 10*time.Second, registeredAt("e", 5))
	s.recordListResult(errDown, 15*time.Second)
	applyList(s, 11, 20*time.Second)
	applyList(s, 12, 21*time.Second, registeredAt("e", 12))
	s.expireRetained(30 * time.Second)
	qt.Check(t, s.upstreams, qt.HasLen, 1)
}

// TestRemovedEntryIsNotRestoredByStaleList guards against an entry that was
// removed, or is draining, returning with a list or change that still contains
// it as before, whatever the revision.
func TestRemovedEntryIsNotRestoredByStaleList(t *testing.T) {
	storeList := func(revision int64, us ...*fleet.Upstream) func(*state) {
		return func(s *state) {
			l := upstreamList{upstreams: make(map[string]*fleet.Upstream), revision: numbered(revision), asOf: time.Minute}
			for _, u := range us {
				l.upstreams[u.Instance] = u
			}
			s.replaceUpstreams(l, time.Minute)
		}
	}
	peerList := func(revision int64, u *fleet.Upstream) func(*state) {
		return func(s *state) {
			l := upstreamList{upstreams: map[string]*fleet.Upstream{"e": u}, revision: numbered(revision), asOf: time.Minute, peer: "p"}
			s.replaceUpstreams(l, time.Minute)
		}
	}
	change := func(revision int64, u *fleet.Upstream) func(*state) {
		return func(s *state) {
			c := platform.UpstreamChange{Instance: "e", Revision: numbered(revision), Upstream: u}
			s.applyChanges(platform.UpstreamChanges{Changes: []platform.UpstreamChange{c}, Revision: numbered(revision)}, 0, time.Minute)
		}
	}
	draining := registeredAt("e", 5)
	draining.State = fleet.Draining
	unusable := &fleet.Upstream{Instance: "e", Registered: 5, State: fleet.Unusable}
	restarted := registeredAt("e", 5)
	restarted.Started = 2
	for _, x := range []struct {
		name   string
		steps  []func(*state)
		serves bool
	}{
		{"listed", []func(*state){storeList(10, registeredAt("e", 5))}, true},
		{"removed, then in a list", []func(*state){storeList(10, registeredAt("e", 5)), storeList(11), storeList(12, registeredAt("e", 5))}, false},
		{"removed, then in a change", []func(*state){storeList(10, registeredAt("e", 5)), change(11, nil), change(12, registeredAt("e", 5))}, false},
		{"removed, then registered again", []func(*state){storeList(10, registeredAt("e", 5)), storeList(11), storeList(12, registeredAt("e", 12))}, true},
		{"removed and registered again by changes", []func(*state){storeList(10, registeredAt("e", 5)), change(11, nil), change(12, registeredAt("e", 12))}, true},
		{"draining, then serving by a peer's list", []func(*state){storeList(10, draining), peerList(11, registeredAt("e", 5))}, false},
		{"draining by a change, then serving by a peer's list", []func(*state){change(11, draining), peerList(12, registeredAt("e", 5))}, false},
		{"draining, then serving by the store", []func(*state){storeList(10, draining), change(11, registeredAt("e", 5))}, true},
		{"draining, then serving by a peer's list and by the store", []func(*state){change(11, draining), peerList(12, registeredAt("e", 5)), change(12, registeredAt("e", 5))}, true},
		{"draining, then serving by two lists of peers and by the store", []func(*state){change(11, draining), peerList(12, registeredAt("e", 5)), peerList(13, registeredAt("e", 5)), change(12, registeredAt("e", 5))}, true},
		{"draining by a peer's list, then serving by another and by an earlier change", []func(*state){peerList(11, draining), peerList(12, registeredAt("e", 5)), change(10, registeredAt("e", 5))}, false},
		{"draining, then restarted by a peer's list", []func(*state){storeList(10, draining), peerList(11, restarted)}, true},
		{"unusable, then serving", []func(*state){storeList(10, registeredAt("e", 5)), change(11, unusable), change(12, registeredAt("e", 5))}, true},
		{"unusable", []func(*state){storeList(10, registeredAt("e", 5)), change(11, unusable)}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			for _, f := range x.steps {
				f(s)
			}
			qt.Check(t, s.pools["llm"] != nil, qt.Equals, x.serves)
		})
	}
}

// TestNewEntryOutlivesEarlierFacts guards against an upstream that has registered again
// being lost for good, at one gateway and then at all, because what was true of its
// earlier entry arrives after the new entry: its deletion, its absence or its state.
func TestNewEntryOutlivesEarlierFacts(t *testing.T) {
	earlier, again := registeredAt("e", 5), registeredAt("e", 13)
	set := func(at int64, u *fleet.Upstream) platform.UpstreamChange {
		return platform.UpstreamChange{Instance: "e", Revision: numbered(at), Upstream: u}
	}
	deleted := func(at int64) platform.UpstreamChange { return set(at, nil) }
	watch := func(to int64, changes ...platform.UpstreamChange) func(*listSource) {
		return func(l *listSource) {
			l.s.applyChanges(platform.UpstreamChanges{Changes: changes, Revision: numbered(to)}, 0, l.now)
		}
	}
	store := func(at int64, us ...*fleet.Upstream) func(*listSource) {
		return func(l *listSource) { l.list(0, at, us...) }
	}
	peer := func(at int64, us ...*fleet.Upstream) func(*listSource) {
		return func(l *listSource) { l.peerList(0, at, us...) }
	}
	for _, x := range []struct {
		name   string
		steps  []func(*listSource)
		serves bool
	}{
		{"peer's list, then all changes", []func(*listSource){store(10, earlier), peer(14, again), watch(15, deleted(12), set(13, again))}, true},
		{"peer's list, then changes up to the deletion", []func(*listSource){store(10, earlier), peer(14, again), watch(15, deleted(12))}, true},
		{"peer's list, then changes, then the store's list", []func(*listSource){store(10, earlier), peer(14, again), watch(15, deleted(12), set(13, again)), store(16, again)}, true},
		{"peer's list, then the earlier entry draining", []func(*listSource){store(10, earlier), peer(14, again), watch(15, set(11, drainingCopy(earlier)))}, true},
		{"peer's list, then deleted indeed", []func(*listSource){store(10, earlier), peer(14, again), watch(16, deleted(12), set(13, again), deleted(16))}, false},
		{"list with a later page, then the changes of its time", []func(*listSource){store(10, again), watch(14, deleted(12), set(13, again))}, true},
		{"list with a later page, then an equal one of a peer without it", []func(*listSource){store(10, again), peer(10), watch(14, deleted(12), set(13, again))}, true},
		{"list with a later page, then one of a peer with the earlier entry", []func(*listSource){store(10, again), peer(11, earlier), watch(14, deleted(12), set(13, again))}, true},
		{"list with a later page, then one of a peer from after its removal", []func(*listSource){store(10, again), peer(14)}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := emptyState(t)
			for _, step := range x.steps {
				step(&listSource{s, time.Minute})
			}
			qt.Check(t, s.pools["llm"] != nil, qt.Equals, x.serves)
		})
	}
}

// modelStore models the list of upstreams in the store.
type modelStore struct {
	revision int64
	entries  map[string]*fleet.Upstream
	// log holds all changes in the order of their revisions.
	log []modelChange
}

type modelChange struct {
	revision int64
	platform.UpstreamChange
}

func (m *modelStore) change(instance string, u *fleet.Upstream) {
	m.revision++
	m.log = append(m.log, modelChange{m.revision, platform.UpstreamChange{Instance: instance, Revision: numbered(m.revision), Upstream: u}})
	if u == nil {
		delete(m.entries, instance)
		return
	}
	m.entries[instance] = u
}

// modelGateway is a gateway's state with the revision from which its watch
// continues.
type modelGateway struct {
	s       *state
	watched int64
	// listed is a list of the store at the revision listedAt that has not arrived yet.
	listed   map[string]*fleet.Upstream
	listedAt int64
	// present and absent are the entries, by registration, that the gateway has
	// and those that it has removed.
	present, absent map[int64]bool
}

// TestRemovedEntryStaysRemovedInAnyOrder applies watches, lists, peers' lists,
// outages and expiries in random order. An entry that a gateway has removed
// must not return, one that the store has removed must not be kept for longer than
// retentionTime, and a gateway whose list is current must have all that the store lists.
// No list may be said to contradict the store.
func TestRemovedEntryStaysRemovedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &modelStore{revision: 10, entries: make(map[string]*fleet.Upstream)}
		now := time.Second
		var gateways []*modelGateway
		for range 3 {
			s := emptyState(t)
			gateways = append(gateways, &modelGateway{s: s, present: make(map[int64]bool), absent: make(map[int64]bool)})
		}
		pick := func() *modelGateway { return gateways[rapid.IntRange(0, 2).Draw(r, "gateway")] }
		instance := func() string { return rapid.SampledFrom([]string{"e1", "e2"}).Draw(r, "instance") }
		r.Repeat(map[string]func(*rapid.T){
			"register": func(r *rapid.T) {
				name := instance()
				if m.entries[name] == nil {
					m.change(name, registeredAt(name, m.revision+1))
				}
			},
			"remove": func(r *rapid.T) {
				if name := instance(); m.entries[name] != nil {
					m.change(name, nil)
				}
			},
			"list": func(r *rapid.T) {
				g := pick()
				if g.listed == nil {
					g.listed, g.listedAt = maps.Clone(m.entries), m.revision
				}
				if rapid.Bool().Draw(r, "late") {
					return
				}
				g.s.replaceUpstreams(upstreamList{upstreams: g.listed, revision: numbered(g.listedAt), asOf: now}, now)
				g.s.recordListResult(nil, now)
				g.watched, g.listed = g.listedAt, nil
			},
			"watch": func(r *rapid.T) {
				g := pick()
				if g.watched == 0 || g.listed != nil {
					return
				}
				// A watch may respond with an earlier state of the store.
				until := rapid.Int64Range(g.watched, m.revision).Draw(r, "until")
				changes := platform.UpstreamChanges{Revision: numbered(until)}
				for _, c := range m.log {
					if c.revision > g.watched && c.revision <= until {
						changes.Changes = append(changes.Changes, c.UpstreamChange)
					}
				}
				g.s.applyChanges(changes, 0, now)
				if g.s.confirmAbsence(changes, now) {
					r.Fatalf("a list is said to contradict the store")
				}
				g.s.recordListResult(nil, now)
				g.watched = until
			},
			"borrow": func(r *rapid.T) {
				g, from := pick(), pick()
				l := upstreamList{upstreams: make(map[string]*fleet.Upstream), revision: from.s.list.Revision(), asOf: from.s.listedAt, peer: "p"}
				for _, u := range from.s.list.Entries() {
					l.upstreams[u.Instance] = u
				}
				g.s.replaceUpstreams(l, now)
			},
			"store lost": func(r *rapid.T) { pick().s.recordListResult(errDown, now) },
			"time": func(r *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
				for _, g := range gateways {
					g.s.expireRetained(now)
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

// checkEntries checks the present entries of a gateway against its earlier
// ones.
func checkEntries(r *rapid.T, g *modelGateway, m *modelStore, now time.Duration) {
	has := make(map[int64]bool)
	for _, u := range g.s.upstreams {
		has[u.Registered] = true
		if g.absent[u.Registered] {
			r.Fatalf("removed entry %s of revision %d is present again", u.Instance, u.Registered)
		}
		_, retained := g.s.retained[u.Instance]
		if current := m.entries[u.Instance]; g.s.list.Revision().Number == m.revision && !retained && (current == nil || current.Registered != u.Registered) {
			r.Fatalf("removed entry %s of revision %d is still present at revision %d of the list", u.Instance, u.Registered, m.revision)
		}
		if kept, retained := g.s.retained[u.Instance]; retained && kept.until > now+retentionTime {
			r.Fatalf("entry %s is retained until %v at %v, beyond the retention time", u.Instance, kept.until, now)
		}
	}
	for name, u := range m.entries {
		if g.s.list.Revision().Number == m.revision && !has[u.Registered] {
			r.Fatalf("entry %s of revision %d is missing at revision %d of the list", name, u.Registered, m.revision)
		}
	}
	for at := range g.present {
		if !has[at] {
			g.absent[at] = true
		}
	}
	g.present = has
}

// TestOnlyNewestUpstreamAtAddressIsUsed guards against using both entries of an
// upstream that crashed and was registered under another name at the same
// address: a chain with both would be refused.
func TestOnlyNewestUpstreamAtAddressIsUsed(t *testing.T) {
	s := newState(t)
	old, replacement := registeredAt("e1", 5), registeredAt("e2", 9)
	old.Address, replacement.Address = "10.0.0.1:80", "10.0.0.1:80"
	s.replaceUpstreams(upstreamList{upstreams: map[string]*fleet.Upstream{"e1": old, "e2": replacement}, revision: numbered(10), asOf: time.Minute}, time.Minute)
	qt.Assert(t, s.pools["llm"].members, qt.HasLen, 1)
	qt.Check(t, s.pools["llm"].members[0].Instance, qt.Equals, "e2")
}

// TestGoneUpstreamTellsWhy guards against a loss of upstreams whose log does not say
// whether the store or a peer has told of it, and as of which revision.
func TestGoneUpstreamTellsWhy(t *testing.T) {
	e := registeredAt("e", 5)
	for _, x := range []struct {
		name  string
		leave func(*listSource)
		want  map[string]any
	}{
		{"deleted", func(l *listSource) { l.change(0, 11, "e", nil) }, map[string]any{"reason": "deleted", "peer": "", "revision": "0/11"}},
		{"not listed by the store", func(l *listSource) { l.list(0, 12) }, map[string]any{"reason": "not_listed_by_store", "peer": "", "revision": "0/12"}},
		{"not listed by a peer", func(l *listSource) { l.peerList(0, 13) }, map[string]any{"reason": "not_listed_by_peer", "peer": "p", "revision": "0/13"}},
		{"deleted around an outage", func(l *listSource) {
			l.s.recordListResult(errDown, l.now)
			l.change(0, 11, "e", nil)
			l.wait(retentionTime)
		}, map[string]any{"reason": "deleted", "peer": "", "revision": "0/11"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := emptyState(t)
			core, lines := observer.New(zap.InfoLevel)
			s.log = zap.New(core)
			s.metrics = newMetrics(&Gateway{})
			l := &listSource{s, time.Minute}
			l.list(0, 10, e)
			c.Check(metricValue(t, s.metrics.upstreams.WithLabelValues("llm")), qt.Equals, 1.0)
			x.leave(l)
			gone := lines.FilterMessage("upstream gone").All()
			c.Assert(gone, qt.HasLen, 1)
			for field, want := range x.want {
				c.Check(gone[0].ContextMap()[field], qt.Equals, want, qt.Commentf(field))
			}
			c.Check(metricValue(t, s.metrics.upstreamsGone.WithLabelValues(x.want["reason"].(string))), qt.Equals, 1.0)
			c.Check(metricValue(t, s.metrics.upstreams.WithLabelValues("llm")), qt.Equals, 0.0)
		})
	}
}
