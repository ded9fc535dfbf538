package pathfinding

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestFillGap checks that a lost stage is replaced by the cheapest stages for the
// same layers, and that a gap that cannot be filled is reported.
func TestFillGap(t *testing.T) {
	holders := []*fleet.Upstream{
		holder("a", "a100", 0, 32), holder("a", "l40s", 32, 48), holder("a", "l40s", 48, 64), holder("a", "l40s", 64, 80),
		holder("a", "l4", 32, 40), holder("a", "l4", 40, 48), holder("b", "l40s", 32, 48), holder("b", "a100", 16, 48),
	}
	excluded := Load{Excluded: true}
	for _, x := range []struct {
		name  string
		loads map[string]Load
		gap   Gap
		want  []string
	}{
		{"one engine of the same zone", map[string]Load{"a-l4-32-40": excluded}, Gap{fleet.Range{From: 32, To: 48}, "a", "a"}, []string{"a-l40s-32-48:32-48"}},
		{"two slow engines of the same zone", map[string]Load{"a-l40s-32-48": excluded}, Gap{fleet.Range{From: 32, To: 48}, "a", "a"}, []string{"a-l4-32-40:32-40", "a-l4-40-48:40-48"}},
		{"an engine of another zone", map[string]Load{"a-l40s-32-48": excluded, "a-l4-32-40": excluded}, Gap{fleet.Range{From: 32, To: 48}, "a", "a"}, []string{"b-a100-16-48:32-48"}},
		{"the last layers", nil, Gap{fleet.Range{From: 64, To: 80}, "a", "a"}, []string{"a-l40s-64-80:64-80"}},
		{"nobody", map[string]Load{"a-l40s-64-80": excluded}, Gap{fleet.Range{From: 64, To: 80}, "a", "a"}, nil},
		{"the first layers", nil, Gap{fleet.Range{From: 0, To: 32}, "a", "a"}, nil},
		{"a layer at which no held range begins", nil, Gap{fleet.Range{From: 33, To: 48}, "a", "a"}, nil},
		{"a zone without engines", nil, Gap{fleet.Range{From: 32, To: 48}, "c", "a"}, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			chain, ok := NewLayerMap(testEngine(), holders).FillGap(query(x.loads), x.gap)
			qt.Check(t, ok, qt.Equals, x.want != nil)
			qt.Check(t, stageNames(chain), qt.DeepEquals, x.want)
		})
	}
}
