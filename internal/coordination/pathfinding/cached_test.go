package pathfinding

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/state/fleet"
)

// prefillEngine returns an engine that takes 40 ms to read 1,000 tokens for all layers.
func prefillEngine() *fleet.Engine {
	e := testEngine()
	e.ReadPerSecond = 25_000
	for name, a := range e.Accelerators {
		a.ReadFactor = 1
		e.Accelerators[name] = a
	}
	return e
}

// whole returns an upstream that holds all layers.
func whole(zone, name string) *fleet.Upstream {
	return &fleet.Upstream{Instance: name, Address: name, Zone: zone, Accelerator: "h", Slots: 10, Held: fleet.Range{From: 0, To: 80}}
}

// wholeEngine returns an engine whose accelerator h has memory for all layers and reads
// more slowly by a factor.
func wholeEngine(readFactor float64) *fleet.Engine {
	e := prefillEngine()
	e.Accelerators["h"] = fleet.Accelerator{MemoryMB: 200_000, Pace: 1, ReadFactor: readFactor}
	return e
}

// TestNothingCachedChangesNothing guards against other choices, or other predictions, of
// a gateway whose engines cache nothing: whether the feature is off or has no entry.
func TestNothingCachedChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var holders []*fleet.Upstream
		for i := range rapid.IntRange(1, 12).Draw(t, "holders") {
			from := rapid.IntRange(0, 4).Draw(t, "from")
			count := rapid.IntRange(1, 5-from).Draw(t, "count")
			u := holder(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), "l4", from*16, (from+count)*16)
			u.Instance, u.Slots = fmt.Sprint(i), 8
			holders = append(holders, u)
		}
		loads := make(map[string]Load)
		for _, u := range holders {
			loads[u.Instance] = Load{
				Excluded:    rapid.IntRange(0, 5).Draw(t, "out") == 0,
				TokenLayers: rapid.Float64Range(0, 1e6).Draw(t, "load"),
				Begun:       rapid.Float64Range(0, 9).Draw(t, "begun"),
				Backlog:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "backlog")) * time.Millisecond,
				Slowdown:    rapid.Float64Range(0, 3).Draw(t, "slowdown"),
			}
		}
		seed := rapid.Uint64().Draw(t, "seed")
		newQuery := func() *Query {
			random := rand.New(rand.NewPCG(seed, 0))
			q := query(loads)
			q.PromptTokens = 1000
			q.Urgent = seed%2 == 0
			q.Jitter = func() float64 { return 1 + 0.15*(random.Float64()-0.5) }
			return q
		}
		off, empty := newQuery(), newQuery()
		empty.Cached = func(*fleet.Upstream) Cached { return Cached{} }
		m := NewLayerMap(prefillEngine(), holders)
		want, wantOK := m.Find(off)
		got, ok := m.Find(empty)
		if ok != wantOK || !reflect.DeepEqual(got, want) {
			t.Fatalf("with nothing cached %+v (%v), without the feature %+v (%v)", got, ok, want, wantOK)
		}
	})
}

// TestCachedPrefix checks what a cached prefix outweighs, and what it does not: a holder
// that is full, has used up its slots or has a long backlog, or a link that may be cut.
func TestCachedPrefix(t *testing.T) {
	cached := Cached{Tokens: 50_000, Layers: fleet.Range{From: 0, To: 80}, Probability: 1}
	for _, x := range []struct {
		name   string
		cached Cached
		loads  map[string]Load
		adjust func(*Query)
		zone   string
		// readFactor is that of the engine; 0 for 1. With 10 the prefix saves 20 s.
		readFactor float64
		want       string
	}{
		{name: "nothing cached", loads: map[string]Load{"h1": {Requests: 1}}, want: "h2"},
		{name: "holder is used", cached: cached, loads: map[string]Load{"h1": {Requests: 1}}, want: "h1"},
		{name: "probably evicted", cached: Cached{Tokens: 50_000, Layers: cached.Layers, Probability: 0.01}, loads: map[string]Load{"h1": {Backlog: time.Second}}, want: "h2"},
		{name: "cached for other layers", cached: Cached{Tokens: 50_000, Layers: fleet.Range{From: 0, To: 40}, Probability: 1}, loads: map[string]Load{"h1": {Requests: 1}}, want: "h2"},
		{name: "shorter backlog than the saving", cached: cached, loads: map[string]Load{"h1": {Backlog: 1900 * time.Millisecond}}, want: "h1"},
		{name: "longer backlog than the saving", cached: cached, loads: map[string]Load{"h1": {Backlog: 2100 * time.Millisecond}}, want: "h2"},
		{name: "no memory left", cached: cached, loads: map[string]Load{"h1": {TokenLayers: 1e9}}, want: "h2"},
		{name: "no memory left, urgent", cached: cached, loads: map[string]Load{"h1": {TokenLayers: 1e9}}, readFactor: 10, adjust: func(q *Query) { q.Urgent = true }, want: "h2"},
		{name: "no slot left", cached: cached, loads: map[string]Load{"h1": {Begun: 10}}, want: "h2"},
		{name: "no slot left, urgent", cached: cached, loads: map[string]Load{"h1": {Begun: 10}}, readFactor: 10, adjust: func(q *Query) { q.Urgent = true }, want: "h2"},
		{name: "excluded", cached: cached, loads: map[string]Load{"h1": {Excluded: true}}, want: "h2"},
		{name: "over a link that may be cut", cached: cached, zone: "b", readFactor: 10, adjust: func(q *Query) {
			q.Urgent = true
			q.Suspected = func(a, b string) bool { return true }
		}, want: "h2"},
		{name: "in another zone", cached: cached, zone: "b", adjust: func(q *Query) { q.Urgent = true }, want: "h1"},
	} {
		t.Run(x.name, func(t *testing.T) {
			zone := x.zone
			if zone == "" {
				zone = "a"
			}
			q := query(x.loads)
			q.PromptTokens, q.Tokens = 51_000, 51_100
			q.Cached = func(u *fleet.Upstream) Cached {
				if u.Instance == "h1" {
					return x.cached
				}
				return Cached{}
			}
			if x.adjust != nil {
				x.adjust(q)
			}
			chain, ok := NewLayerMap(wholeEngine(max(1, x.readFactor)), []*fleet.Upstream{whole(zone, "h1"), whole("a", "h2")}).Find(q)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, chain.Stages[0].Upstream.Instance, qt.Equals, x.want)
		})
	}
}

// TestPrefillDelayOfCachedPrefix checks that the predicted time counts what is cached by
// its probability, and that a stage reads what a later one does not cache: that one
// needs its activations.
func TestPrefillDelayOfCachedPrefix(t *testing.T) {
	m := NewLayerMap(prefillEngine(), []*fleet.Upstream{holder("a", "a100", 0, 40), holder("a", "l40s", 40, 80)})
	first := Cached{Tokens: 500, Layers: fleet.Range{From: 0, To: 40}, Probability: 0.8}
	last := Cached{Tokens: 250, Layers: fleet.Range{From: 40, To: 80}, Probability: 0.5}
	for _, x := range []struct {
		name               string
		cached             map[string]Cached
		want, saving, gain time.Duration
		tokens             []float64
	}{
		{"none", nil, 40 * time.Millisecond, 0, 0, nil},
		{"first stage alone", map[string]Cached{"a-a100-0-40": first}, 40 * time.Millisecond, 0, 0, nil},
		{"last stage alone", map[string]Cached{"a-l40s-40-80": last}, 37500 * time.Microsecond, 2500 * time.Microsecond, 5 * time.Millisecond, []float64{0, 125}},
		{"both", map[string]Cached{"a-a100-0-40": first, "a-l40s-40-80": last}, 35 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, []float64{125, 125}},
		{"more than the prompt", map[string]Cached{"a-l40s-40-80": {Tokens: 9999, Layers: last.Layers, Probability: 1}}, 20020 * time.Microsecond, 19980 * time.Microsecond, 19980 * time.Microsecond, []float64{0, 999}},
	} {
		t.Run(x.name, func(t *testing.T) {
			q := query(nil)
			q.PromptTokens = 1000
			q.Cached = func(u *fleet.Upstream) Cached { return x.cached[u.Instance] }
			chain, ok := m.Find(q)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, chain.PrefillDelay, qt.Equals, x.want)
			qt.Check(t, chain.PrefixSaving, qt.Equals, x.saving)
			qt.Check(t, chain.PrefixGain, qt.Equals, x.gain)
			qt.Check(t, chain.CachedTokens, qt.DeepEquals, x.tokens)
		})
	}
}

// TestPrefixOfFirstStageAlone guards against a choice by a prefix that saves nothing, since
// no last stage caches it, and checks that one that saves something is still chosen.
func TestPrefixOfFirstStageAlone(t *testing.T) {
	named := func(name string, from, to int) *fleet.Upstream {
		u := holder("a", "a100", from, to)
		u.Instance = name
		return u
	}
	m := NewLayerMap(prefillEngine(), []*fleet.Upstream{named("f1", 0, 40), named("f2", 0, 40), named("l1", 40, 80), named("l2", 40, 80)})
	for _, x := range []struct {
		name   string
		cached []string
		want   []string
	}{
		{"nothing", nil, []string{"f2:0-40", "l2:40-80"}},
		{"first stage", []string{"f1"}, []string{"f2:0-40", "l2:40-80"}},
		{"last stage", []string{"l1"}, []string{"f2:0-40", "l1:40-80"}},
		{"both", []string{"f1", "l1"}, []string{"f1:0-40", "l1:40-80"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			q := query(map[string]Load{"f1": {Requests: 1}, "l1": {Requests: 1}})
			q.PromptTokens = 51_000
			q.Cached = func(u *fleet.Upstream) Cached {
				if slices.Contains(x.cached, u.Instance) {
					return Cached{Tokens: 50_000, Layers: u.Held, Probability: 1}
				}
				return Cached{}
			}
			chain, ok := m.Find(q)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, stageNames(chain), qt.DeepEquals, x.want)
		})
	}
}
