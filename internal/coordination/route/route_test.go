package route

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageport.example/internal/state/catalog"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/pkg/declaration"
)

// newPool returns the pool of a model that the given engines serve.
func newPool(t interface{ Fatal(...any) }, layers int, engines []declaration.Upstream) *catalog.Pool {
	set := declaration.Set{
		Models:    []declaration.Model{{Name: "m", Layers: layers, MaxOutputTokens: 10}},
		Pipelines: []declaration.Pipeline{{Name: "p", Model: "m"}},
		Upstreams: engines,
	}
	loan := declaration.Loan{Name: "l", Pipelines: []string{"p"}, Accepted: true}
	for _, u := range engines {
		loan.Upstreams = append(loan.Upstreams, u.Name)
	}
	set.Loans = []declaration.Loan{loan}
	pool, ok := catalog.New(configuration.Snapshot{Set: set}).Pool("m")
	if !ok {
		t.Fatal("no pool for model m")
	}
	return pool
}

func newEngine(name, zone string, speed float64, from, to int) declaration.Upstream {
	return declaration.Upstream{
		Name: name, Zone: zone, Kind: declaration.Engine, Slots: 8, LayersPerSecond: speed,
		Held: []declaration.Held{{Model: "m", LayerRange: declaration.LayerRange{From: from, To: to}}},
	}
}

func idle(*catalog.Candidate) Occupancy { return Occupancy{Free: 8} }

func stageNames(c Chain) []string {
	var all []string
	for _, s := range c {
		all = append(all, fmt.Sprintf("%s[%d,%d)", s.Upstream.Name, s.Range.From, s.Range.To))
	}
	return all
}

func TestChoose(t *testing.T) {
	latency := func(from, to string) time.Duration {
		if from != to {
			return 100 * time.Millisecond
		}
		return 0
	}
	engines := []declaration.Upstream{
		newEngine("slow-a", "wien", 100, 0, 6), newEngine("fast-a", "wien", 400, 0, 6),
		newEngine("b", "wien", 100, 6, 12), newEngine("far-b", "graz", 1000, 6, 12),
		newEngine("wide", "wien", 50, 0, 12),
	}
	tests := []struct {
		name      string
		occupancy func(*catalog.Candidate) Occupancy
		want      []string
	}{
		{"fastest in zone", idle, []string{"fast-a[0,6)", "b[6,12)"}},
		{"fastest one full", full("fast-a"), []string{"slow-a[0,6)", "b[6,12)"}},
		{"another zone if the local one is full", full("b", "wide"), []string{"fast-a[0,6)", "far-b[6,12)"}},
		{"part of a wide range", full("b", "far-b"), []string{"fast-a[0,6)", "wide[6,12)"}},
		{"one upstream for all layers", full("b", "far-b", "fast-a", "slow-a"), []string{"wide[0,12)"}},
		{"none", full("b", "far-b", "wide"), nil},
	}
	pool := newPool(t, 12, engines)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := Chooser{Zone: "wien", Latency: latency, LoadWeight: DefaultLoadWeight, ReuseDiscount: DefaultReuseDiscount}
			qt.Check(t, stageNames(c.Choose(pool, tt.occupancy, nil)), qt.DeepEquals, tt.want)
		})
	}
}

// full returns an occupancy under which the named upstreams are full and all
// others idle.
func full(names ...string) func(*catalog.Candidate) Occupancy {
	return func(c *catalog.Candidate) Occupancy {
		for _, name := range names {
			if c.Upstream.Name == name {
				return Occupancy{}
			}
		}
		return Occupancy{Free: 8}
	}
}

func TestPrefersUpstreamWithCache(t *testing.T) {
	pool := newPool(t, 12, []declaration.Upstream{
		newEngine("a", "wien", 100, 0, 12), newEngine("b", "wien", 120, 0, 12),
	})
	c := Chooser{Zone: "wien", ReuseDiscount: DefaultReuseDiscount}
	qt.Check(t, stageNames(c.Choose(pool, idle, nil)), qt.DeepEquals, []string{"b[0,12)"})
	qt.Check(t, stageNames(c.Choose(pool, idle, map[string]bool{"a": true})), qt.DeepEquals, []string{"a[0,12)"})
}

// TestChainCoversLayersOnce checks, for random engines, that a chain runs each
// layer once and in order on upstreams that hold it, uses no upstream twice and
// none without capacity, and that a chain is found if there is one.
func TestChainCoversLayersOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 10
		var engines []declaration.Upstream
		for i := range rapid.IntRange(0, 8).Draw(t, "engines") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			engines = append(engines, newEngine(fmt.Sprint("u", i), "wien", 100, from, to))
		}
		pool := newPool(t, layers, engines)
		free := make(map[string]bool)
		for _, u := range engines {
			free[u.Name] = rapid.Bool().Draw(t, "room")
		}
		c := Chooser{Zone: "wien"}
		chain := c.Choose(pool, func(c *catalog.Candidate) Occupancy {
			if free[c.Upstream.Name] {
				return Occupancy{Free: 1}
			}
			return Occupancy{}
		}, nil)
		if chain == nil {
			if chainExists(engines, free, layers) {
				t.Fatal("a chain exists and was not found")
			}
			return
		}
		next := 0
		seen := make(map[string]bool)
		for _, s := range chain {
			held := s.Upstream.Held[0]
			if s.Range.From != next || s.Range.From < held.From || s.Range.To > held.To || s.Range.To <= s.Range.From {
				t.Fatalf("stage %+v is not held by its upstream or does not follow the one before", s)
			}
			if seen[s.Upstream.Name] || !free[s.Upstream.Name] {
				t.Fatalf("upstream %s is used twice or has no capacity", s.Upstream.Name)
			}
			seen[s.Upstream.Name] = true
			next = s.Range.To
		}
		if next != layers {
			t.Fatalf("chain ends at layer %d", next)
		}
	})
}

// chainExists reports whether the free engines cover all layers.
func chainExists(engines []declaration.Upstream, free map[string]bool, layers int) bool {
	next := 0
	for next < layers {
		best := next
		for _, u := range engines {
			if h := u.Held[0]; free[u.Name] && h.From <= next && h.To > best {
				best = h.To
			}
		}
		if best == next {
			return false
		}
		next = best
	}
	return true
}

func BenchmarkChoose(b *testing.B) {
	for _, perThird := range []int{3, 10, 30, 100} {
		b.Run(fmt.Sprintf("upstreams=%d", 3*perThird), func(b *testing.B) {
			var engines []declaration.Upstream
			for i := range 3 * perThird {
				engines = append(engines, newEngine(fmt.Sprint("u", i), "wien", 100+float64(i), i%3*4, i%3*4+4))
			}
			pool := newPool(b, 12, engines)
			c := Chooser{Zone: "wien", LoadWeight: 1}
			for b.Loop() {
				c.Choose(pool, idle, nil)
			}
		})
	}
}
