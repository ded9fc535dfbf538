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

// poolOf indexes engines of one model.
func poolOf(t interface{ Fatal(...any) }, layers int, engines []declaration.Upstream) *catalog.Pool {
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
		t.Fatal("no pool")
	}
	return pool
}

func engineOf(name, zone string, speed float64, from, to int) declaration.Upstream {
	return declaration.Upstream{
		Name: name, Zone: zone, Kind: declaration.Engine, Slots: 8, LayersPerSecond: speed,
		Held: []declaration.Held{{Model: "m", LayerRange: declaration.LayerRange{From: from, To: to}}},
	}
}

func idle(*catalog.Candidate) Occupancy { return Occupancy{Free: 8} }

func names(c Chain) []string {
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
		engineOf("slow-a", "wien", 100, 0, 6), engineOf("fast-a", "wien", 400, 0, 6),
		engineOf("b", "wien", 100, 6, 12), engineOf("far-b", "graz", 1000, 6, 12),
		engineOf("wide", "wien", 50, 0, 12),
	}
	tests := []struct {
		name  string
		state func(*catalog.Candidate) Occupancy
		want  []string
	}{
		{"fastest in zone", idle, []string{"fast-a[0,6)", "b[6,12)"}},
		{"without the fast one", without("fast-a"), []string{"slow-a[0,6)", "b[6,12)"}},
		{"spills by price", without("b", "wide"), []string{"fast-a[0,6)", "far-b[6,12)"}},
		{"part of a wide range", without("b", "far-b"), []string{"fast-a[0,6)", "wide[6,12)"}},
		{"one upstream for all", without("b", "far-b", "fast-a", "slow-a"), []string{"wide[0,12)"}},
		{"none", without("b", "far-b", "wide"), nil},
	}
	pool := poolOf(t, 12, engines)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := Chooser{Zone: "wien", Latency: latency, LoadWeight: DefaultLoadWeight, ReuseDiscount: DefaultReuseDiscount}
			qt.Check(t, names(c.Choose(pool, tt.state, nil)), qt.DeepEquals, tt.want)
		})
	}
}

func without(gone ...string) func(*catalog.Candidate) Occupancy {
	return func(c *catalog.Candidate) Occupancy {
		for _, name := range gone {
			if c.Upstream.Name == name {
				return Occupancy{}
			}
		}
		return Occupancy{Free: 8}
	}
}

func TestPrefersWhereTheCacheIs(t *testing.T) {
	pool := poolOf(t, 12, []declaration.Upstream{
		engineOf("a", "wien", 100, 0, 12), engineOf("b", "wien", 120, 0, 12),
	})
	c := Chooser{Zone: "wien", ReuseDiscount: DefaultReuseDiscount}
	qt.Check(t, names(c.Choose(pool, idle, nil)), qt.DeepEquals, []string{"b[0,12)"})
	qt.Check(t, names(c.Choose(pool, idle, map[string]bool{"a": true})), qt.DeepEquals, []string{"a[0,12)"})
}

// TestChainsTile: any chain from any engines tiles the layers with ranges that
// its upstreams hold, uses no upstream twice, and none without room; and if
// there is any such chain, one is found.
func TestChainsTile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 10
		var engines []declaration.Upstream
		for i := range rapid.IntRange(0, 8).Draw(t, "engines") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			to := rapid.IntRange(from+1, layers).Draw(t, "to")
			engines = append(engines, engineOf(fmt.Sprint("u", i), "wien", 100, from, to))
		}
		pool := poolOf(t, layers, engines)
		room := make(map[string]bool)
		for _, u := range engines {
			room[u.Name] = rapid.Bool().Draw(t, "room")
		}
		c := Chooser{Zone: "wien"}
		chain := c.Choose(pool, func(c *catalog.Candidate) Occupancy {
			if room[c.Upstream.Name] {
				return Occupancy{Free: 1}
			}
			return Occupancy{}
		}, nil)
		if chain == nil {
			if reachable(engines, room, layers) {
				t.Fatal("a chain exists and was not found")
			}
			return
		}
		next := 0
		seen := make(map[string]bool)
		for _, s := range chain {
			held := s.Upstream.Held[0]
			if s.Range.From != next || s.Range.From < held.From || s.Range.To > held.To || s.Range.To <= s.Range.From {
				t.Fatalf("bad stage %+v", s)
			}
			if seen[s.Upstream.Name] || !room[s.Upstream.Name] {
				t.Fatalf("%s used wrongly", s.Upstream.Name)
			}
			seen[s.Upstream.Name] = true
			next = s.Range.To
		}
		if next != layers {
			t.Fatalf("chain ends at layer %d", next)
		}
	})
}

// reachable says whether the layers can be covered at all.
func reachable(engines []declaration.Upstream, room map[string]bool, layers int) bool {
	next := 0
	for next < layers {
		best := next
		for _, u := range engines {
			if h := u.Held[0]; room[u.Name] && h.From <= next && h.To > best {
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
				engines = append(engines, engineOf(fmt.Sprint("u", i), "wien", 100+float64(i), i%3*4, i%3*4+4))
			}
			pool := poolOf(b, 12, engines)
			c := Chooser{Zone: "wien", LoadWeight: 1}
			for b.Loop() {
				c.Choose(pool, idle, nil)
			}
		})
	}
}
