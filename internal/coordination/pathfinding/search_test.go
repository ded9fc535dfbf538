package pathfinding

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/state/fleet"
)

func testEngine() *fleet.Engine {
	return &fleet.Engine{
		Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, Step: 1020 * time.Microsecond, StepPerRequest: 7 * time.Microsecond,
		Accelerators: map[string]fleet.Accelerator{
			"a100": {MemoryMB: 72000, Pace: 2.4}, "l40s": {MemoryMB: 43200, Pace: 5.6}, "l4": {MemoryMB: 21600, Pace: 16},
		},
	}
}

// holder returns an upstream that is named after its zone, accelerator and
// layers.
func holder(zone, accelerator string, from, to int) *fleet.Upstream {
	name := fmt.Sprintf("%s-%s-%d-%d", zone, accelerator, from, to)
	return &fleet.Upstream{Instance: name, Address: name, Zone: zone, Accelerator: accelerator, Held: fleet.Range{From: from, To: to}}
}

// query returns a query from zone a with the given loads, by instance.
func query(loads map[string]Load) *Query {
	return &Query{Zone: "a", Tokens: 1000, Load: func(u *fleet.Upstream) Load { return loads[u.Instance] }}
}

func stageNames(chain Chain) []string {
	var out []string
	for _, s := range chain.Stages {
		out = append(out, fmt.Sprintf("%s:%d-%d", s.Upstream.Instance, s.Layers.From, s.Layers.To))
	}
	return out
}

func TestFind(t *testing.T) {
	near := []*fleet.Upstream{holder("a", "a100", 0, 32), holder("a", "l40s", 32, 48), holder("a", "l40s", 48, 64), holder("a", "l40s", 64, 80)}
	far := []*fleet.Upstream{holder("b", "a100", 0, 32), holder("b", "a100", 32, 64), holder("b", "a100", 64, 80)}
	all := append(append([]*fleet.Upstream(nil), near...), far...)
	full := Load{TokenLayers: 1e9}
	for _, test := range []struct {
		name    string
		holders []*fleet.Upstream
		adjust  func(*Query)
		loads   map[string]Load
		want    []string
	}{
		{name: "stays in the zone although another one is faster", holders: all,
			want: []string{"a-a100-0-32:0-32", "a-l40s-32-48:32-48", "a-l40s-48-64:48-64", "a-l40s-64-80:64-80"}},
		{name: "leaves the zone because of an excluded engine", holders: all, loads: map[string]Load{"a-l40s-32-48": {Excluded: true}},
			want: []string{"b-a100-0-32:0-32", "b-a100-32-64:32-64", "b-a100-64-80:64-80"}},
		{name: "leaves the zone because of an engine without memory", holders: all, loads: map[string]Load{"a-a100-0-32": full},
			want: []string{"b-a100-0-32:0-32", "b-a100-32-64:32-64", "b-a100-64-80:64-80"}},
		{name: "avoids a suspected link if it can", holders: all,
			loads:  map[string]Load{"a-l40s-32-48": {Slowdown: 20}},
			adjust: func(q *Query) { q.Suspected = func(a, b string) bool { return true } },
			want:   []string{"a-a100-0-32:0-32", "a-l40s-32-48:32-48", "a-l40s-48-64:48-64", "a-l40s-64-80:64-80"}},
		{name: "begins only where allowed", holders: all,
			adjust: func(q *Query) { q.MayBeFirst = func(u *fleet.Upstream) bool { return u.Zone == "b" } },
			want:   []string{"b-a100-0-32:0-32", "b-a100-32-64:32-64", "b-a100-64-80:64-80"}},
		{name: "finds none if layers are not covered", holders: near[:3]},
		{name: "avoids a slow engine", holders: []*fleet.Upstream{holder("a", "a100", 0, 40), holder("a", "a100", 40, 80), holder("a", "l40s", 40, 60), holder("a", "l40s", 60, 80)},
			loads: map[string]Load{"a-a100-40-80": {Slowdown: 5}},
			want:  []string{"a-a100-0-40:0-40", "a-l40s-40-60:40-60", "a-l40s-60-80:60-80"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := query(test.loads)
			if test.adjust != nil {
				test.adjust(q)
			}
			chain, ok := NewLayerMap(testEngine(), test.holders).Find(q)
			qt.Assert(t, ok, qt.Equals, test.want != nil)
			qt.Assert(t, stageNames(chain), qt.DeepEquals, test.want)
		})
	}
}

// TestChainIsFullWithoutMemory checks that a chain is found, and marked as full,
// if the only holder of some layers has no memory left.
func TestChainIsFullWithoutMemory(t *testing.T) {
	c := qt.New(t)
	m := NewLayerMap(testEngine(), []*fleet.Upstream{holder("a", "a100", 0, 40), holder("a", "a100", 40, 80)})
	chain, ok := m.Find(query(nil))
	c.Assert(ok, qt.IsTrue)
	c.Assert(chain.Full, qt.IsFalse)
	chain, ok = m.Find(query(map[string]Load{"a-a100-40-80": {TokenLayers: 1e9}}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(chain.Full, qt.IsTrue)
}

// TestChainCoversLayersOnce checks, for random holders and loads, that a chain
// runs each layer once and in order, and uses neither an upstream twice nor an
// excluded one.
func TestChainCoversLayersOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := testEngine()
		var holders []*fleet.Upstream
		for i := range rapid.IntRange(1, 14).Draw(t, "holders") {
			from := rapid.IntRange(0, 9).Draw(t, "from")
			count := rapid.IntRange(1, 10-from).Draw(t, "count")
			u := holder(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), "l4", from*8, (from+count)*8)
			u.Instance = fmt.Sprint(i)
			holders = append(holders, u)
		}
		loads := make(map[string]Load)
		for _, u := range holders {
			loads[u.Instance] = Load{
				Excluded:    rapid.IntRange(0, 5).Draw(t, "out") == 0,
				TokenLayers: rapid.Float64Range(0, 1e6).Draw(t, "load"),
				Slowdown:    rapid.Float64Range(0, 9).Draw(t, "slowdown"),
			}
		}
		q := query(loads)
		q.PreferFirst = fmt.Sprint(rapid.IntRange(0, 13).Draw(t, "first"))
		chain, ok := NewLayerMap(e, holders).Find(q)
		if !ok {
			return
		}
		reached := 0
		used := make(map[string]bool)
		for _, s := range chain.Stages {
			if s.Layers.From != reached || s.Layers.Len() <= 0 || !s.Upstream.Held.Covers(s.Layers) {
				t.Fatalf("stage %v of holder of %v follows layer %d", s.Layers, s.Upstream.Held, reached)
			}
			if used[s.Upstream.Instance] || loads[s.Upstream.Instance].Excluded {
				t.Fatalf("upstream %s is used twice or is excluded", s.Upstream.Instance)
			}
			used[s.Upstream.Instance] = true
			reached = s.Layers.To
		}
		if reached != e.Layers {
			t.Fatalf("chain ends before the last layer, at layer %d", reached)
		}
	})
}
