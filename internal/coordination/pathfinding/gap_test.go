package pathfinding

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestFill: a chain that has lost a stage gets the cheapest others for its
// layers, and no upstream twice.
func TestFill(t *testing.T) {
	holders := []*fleet.Upstream{
		holder("a", "a100", 0, 32), holder("a", "l40s", 32, 48), holder("a", "l40s", 48, 64), holder("a", "l40s", 64, 80),
		holder("a", "l4", 32, 40), holder("a", "l4", 40, 48), holder("b", "l40s", 32, 48), holder("b", "a100", 16, 48),
	}
	out := Load{Excluded: true}
	for _, x := range []struct {
		name  string
		loads map[string]Load
		gap   Gap
		want  []string
	}{
		{"a spare in the zone", map[string]Load{"a-l4-32-40": out}, Gap{fleet.Range{From: 32, To: 48}, "a", "a"}, []string{"a-l40s-32-48:32-48"}},
		{"two slow ones in the zone", map[string]Load{"a-l40s-32-48": out}, Gap{fleet.Range{From: 32, To: 48}, "a", "a"}, []string{"a-l4-32-40:32-40", "a-l4-40-48:40-48"}},
		{"one of another zone", map[string]Load{"a-l40s-32-48": out, "a-l4-32-40": out}, Gap{fleet.Range{From: 32, To: 48}, "a", "a"}, []string{"b-a100-16-48:32-48"}},
		{"the last layers", nil, Gap{fleet.Range{From: 64, To: 80}, "a", "a"}, []string{"a-l40s-64-80:64-80"}},
		{"nobody", map[string]Load{"a-l40s-64-80": out}, Gap{fleet.Range{From: 64, To: 80}, "a", "a"}, nil},
		{"the first layers", nil, Gap{fleet.Range{From: 0, To: 32}, "a", "a"}, nil},
		{"layers that no range bounds", nil, Gap{fleet.Range{From: 33, To: 48}, "a", "a"}, nil},
		{"a zone without engines", nil, Gap{fleet.Range{From: 32, To: 48}, "c", "a"}, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			chain, ok := NewLayerMap(testEngine(), holders).FillGap(query(x.loads), x.gap)
			qt.Check(t, ok, qt.Equals, x.want != nil)
			qt.Check(t, names(chain), qt.DeepEquals, x.want)
		})
	}
}
