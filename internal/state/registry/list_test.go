package registry_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/registry"
	"lovageport.example/internal/state/revision"
)

// An upstream registers again before a gateway sees that its earlier entry was deleted.
func ExampleList() {
	earlier := &fleet.Upstream{Instance: "e", Registered: 5}
	again := &fleet.Upstream{Instance: "e", Registered: 13}
	var l registry.List
	l.Replace(map[string]*fleet.Upstream{"e": earlier}, revision.Revision{Number: 10}, 0)
	// A peer is ahead of the store's changes.
	l.Replace(map[string]*fleet.Upstream{"e": again}, revision.Revision{Number: 14}, 0)
	counts := l.Apply(registry.Change{Instance: "e", Revision: revision.Revision{Number: 12}}, 0)
	fmt.Println(counts, l.Entry("e").Registered)
	// Output: false 13
}

// TestDigest guards against a digest that depends on how a list came about: gateways
// would fetch lists that they have.
func TestDigest(t *testing.T) {
	c := qt.New(t)
	at := func(number int64) revision.Revision { return revision.Revision{Number: number} }
	one, two := &fleet.Upstream{Instance: "1", Registered: 3}, &fleet.Upstream{Instance: "2", Registered: 4}
	var listed, changed registry.List
	listed.Replace(map[string]*fleet.Upstream{"2": two}, at(6), 0)
	changed.Apply(registry.Change{Instance: "1", Revision: at(3), Upstream: one}, 0)
	changed.Apply(registry.Change{Instance: "2", Revision: at(4), Upstream: two}, 0)
	c.Check(changed.Digest(), qt.Not(qt.Equals), listed.Digest())
	changed.Apply(registry.Change{Instance: "1", Revision: at(5)}, 0)
	c.Check(changed.Digest(), qt.Equals, listed.Digest())
	c.Check(changed.Entries(), qt.DeepEquals, []*fleet.Upstream{two})
}

// modelStore models the entries of upstreams in a store that can be restored from a copy.
type modelStore struct {
	at      revision.Revision
	entries map[string]*fleet.Upstream
	// log holds the changes of the era that are kept.
	log []registry.Change
	// copied is the state from which the store is restored.
	copied   map[string]*fleet.Upstream
	copiedAt int64
}

// change changes or deletes the entry of an instance.
func (m *modelStore) change(instance string, u *fleet.Upstream) {
	m.at.Number++
	m.log = append(m.log, registry.Change{Instance: instance, Revision: m.at, Upstream: u})
	if u == nil {
		delete(m.entries, instance)
		return
	}
	m.entries[instance] = u
}

// write has an upstream write its entry, and creates it if there is none.
func (m *modelStore) write(instance string, slots int, state fleet.State) {
	created := m.at.Number + 1
	if old := m.entries[instance]; old != nil {
		created = old.Registered
	}
	m.change(instance, &fleet.Upstream{Instance: instance, Registered: created, Slots: slots, State: state})
}

// restore restores the store from its copy.
func (m *modelStore) restore() {
	m.at = revision.Revision{Era: m.at.Era + 1, Number: m.copiedAt}
	m.entries = maps.Clone(m.copied)
	m.log = nil
}

// between returns the changes after one revision and up to another one.
func (m *modelStore) between(after, to int64) []registry.Change {
	var out []registry.Change
	for _, c := range m.log {
		if c.Revision.Number > after && c.Revision.Number <= to {
			out = append(out, c)
		}
	}
	return out
}

// modelGateway models what a gateway knows.
type modelGateway struct {
	list registry.List
	// watched is the revision from which the watch continues.
	watched revision.Revision
	// pages holds what was read of a list whose pages are not all read, from the
	// revision at which that began.
	pages    map[string]*fleet.Upstream
	pagesAt  revision.Revision
	pageLeft []string
	// seen holds, by instance, the revision of creation of the newest entry that was
	// listed in the era seenIn, and gone that of the newest one that was listed no more.
	seen, gone map[string]int64
	seenIn     int64
}

// replace takes over a list, unless it is older.
func (g *modelGateway) replace(entries map[string]*fleet.Upstream, at revision.Revision) {
	if at.Before(g.list.Revision()) {
		return
	}
	g.list.Replace(g.list.Merge(entries, at), at, time.Second)
}

// readPage reads the next entry of a list in pages, and takes the list over once it is
// whole, as of the revision of the first page.
func (g *modelGateway) readPage(m *modelStore, instances []string) {
	if g.pageLeft == nil || g.pagesAt.Era != m.at.Era {
		g.pages, g.pagesAt, g.pageLeft = make(map[string]*fleet.Upstream), m.at, instances
	}
	name := g.pageLeft[0]
	if u := m.entries[name]; u != nil {
		g.pages[name] = u
	}
	if g.pageLeft = g.pageLeft[1:]; len(g.pageLeft) > 0 {
		return
	}
	g.pageLeft = nil
	g.replace(g.pages, g.pagesAt)
	g.watched = g.pagesAt
}

// watch applies the changes up to a revision, which may lag behind the store's.
func (g *modelGateway) watch(m *modelStore, to int64) {
	at := revision.Revision{Era: m.at.Era, Number: to}
	changes := m.between(g.watched.Number, to)
	g.watched = at
	if !at.After(g.list.Revision()) {
		return
	}
	g.list.Advance(at)
	for _, c := range changes {
		g.list.Apply(c, time.Second)
	}
}

// check checks that a list which is current is the one of the store, and that no entry
// has returned that was removed or replaced.
func (g *modelGateway) check(r *rapid.T, m *modelStore) {
	g.checkOrder(r)
	if g.list.Revision() != m.at {
		return
	}
	want := make([]fleet.Upstream, 0)
	for _, instance := range slices.Sorted(maps.Keys(m.entries)) {
		want = append(want, *m.entries[instance])
	}
	got := make([]fleet.Upstream, 0)
	for _, u := range g.list.Entries() {
		got = append(got, *u)
	}
	if !slices.Equal(got, want) {
		r.Fatalf("at %v the list is %+v, the store's %+v", m.at, got, want)
	}
}

// checkOrder checks the entries against those that were listed before in the era.
func (g *modelGateway) checkOrder(r *rapid.T) {
	if era := g.list.Revision().Era; g.seen == nil || era != g.seenIn {
		g.seen, g.gone, g.seenIn = make(map[string]int64), make(map[string]int64), era
	}
	for instance, created := range g.seen {
		u := g.list.Entry(instance)
		switch {
		case u == nil:
			g.gone[instance] = created
		case u.Registered < created, u.Registered <= g.gone[instance]:
			r.Fatalf("at %v the entry of %s created at %d is listed, after one created at %d that is gone", g.list.Revision(), instance, u.Registered, created)
		}
	}
	for _, u := range g.list.Entries() {
		g.seen[u.Instance] = u.Registered
	}
}

// TestCurrentListIsTheStores applies lists that are read in pages while entries change,
// watches that lag, lists of peers and restorations of the store in random order. It
// guards against a gateway that has followed the store up to its present revision and
// lacks an entry, has one that was removed, or has one in an earlier state, and against
// one at which an earlier entry returns for a while.
func TestCurrentListIsTheStores(t *testing.T) {
	const runs = 40
	for range runs {
		rapid.Check(t, playList)
	}
}

// playList plays one random order of events.
func playList(r *rapid.T) {
	instances := []string{"e1", "e2"}
	m := &modelStore{at: revision.Revision{Era: 1, Number: 10}, entries: make(map[string]*fleet.Upstream), copied: make(map[string]*fleet.Upstream), copiedAt: 10}
	gateways := []*modelGateway{{}, {}}
	pick := func() *modelGateway { return rapid.SampledFrom(gateways).Draw(r, "gateway") }
	instance := func() string { return rapid.SampledFrom(instances).Draw(r, "instance") }
	r.Repeat(map[string]func(*rapid.T){
		"write": func(r *rapid.T) {
			m.write(instance(), rapid.IntRange(1, 9).Draw(r, "slots"), rapid.SampledFrom([]fleet.State{fleet.Serving, fleet.Draining}).Draw(r, "state"))
		},
		"delete": func(r *rapid.T) {
			if name := instance(); m.entries[name] != nil {
				m.change(name, nil)
			}
		},
		"write of another kind": func(*rapid.T) { m.at.Number++ },
		"page":                  func(*rapid.T) { pick().readPage(m, instances) },
		"list": func(*rapid.T) {
			g := pick()
			g.replace(m.entries, m.at)
			g.watched = m.at
		},
		"watch": func(r *rapid.T) {
			if g := pick(); !g.watched.IsZero() && g.watched.Era == m.at.Era {
				g.watch(m, rapid.Int64Range(g.watched.Number, m.at.Number).Draw(r, "to"))
			}
		},
		"borrow": func(*rapid.T) {
			g, from := pick(), pick()
			entries := make(map[string]*fleet.Upstream)
			for _, u := range from.list.Entries() {
				entries[u.Instance] = u
			}
			g.replace(entries, from.list.Revision())
		},
		"confirm": func(*rapid.T) {
			g, from := pick(), pick()
			if at := from.list.Revision(); at.Era == g.list.Revision().Era && g.list.Digest() == from.list.Digest() {
				g.list.Advance(at)
			}
		},
		"copy": func(*rapid.T) { m.copied, m.copiedAt = maps.Clone(m.entries), m.at.Number },
		"restore": func(r *rapid.T) {
			if rapid.IntRange(1, 4).Draw(r, "one in four") == 1 {
				m.restore()
			}
		},
		"": func(r *rapid.T) {
			for _, g := range gateways {
				g.check(r, m)
			}
		},
	})
}
