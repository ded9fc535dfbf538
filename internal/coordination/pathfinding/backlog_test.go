package pathfinding

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestPrefillDelay checks that the backlogs of the stages count in parallel, that
// the request's own prompt counts at one stage after the other, and that a slow
// stage lengthens both.
func TestPrefillDelay(t *testing.T) {
	e := testEngine()
	e.ReadPerSecond = 100000
	for name, a := range e.Accelerators {
		a.ReadFactor = 2
		e.Accelerators[name] = a
	}
	m := NewLayerMap(e, []*fleet.Upstream{holder("a", "a100", 0, 40), holder("a", "l40s", 40, 80)})
	for _, x := range []struct {
		name  string
		loads map[string]Load
		want  time.Duration
	}{
		{"no backlog", nil, 20 * time.Millisecond},
		{"backlog at both stages", map[string]Load{"a-a100-0-40": {Backlog: 50 * time.Millisecond}, "a-l40s-40-80": {Backlog: 30 * time.Millisecond}}, 70 * time.Millisecond},
		{"slow stage", map[string]Load{"a-l40s-40-80": {Backlog: 30 * time.Millisecond, Slowdown: 3}}, 130 * time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			q := query(x.loads)
			q.PromptTokens = 1000
			chain, ok := m.Find(q)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, chain.PrefillDelay, qt.Equals, x.want)
		})
	}
}

// TestBacklogShrinksWithTime also checks that a backlog never becomes negative.
func TestBacklogShrinksWithTime(t *testing.T) {
	var b Backlog
	b.Add(100*time.Millisecond, time.Second)
	b.Add(50*time.Millisecond, time.Second+30*time.Millisecond)
	qt.Check(t, b.At(time.Second+40*time.Millisecond), qt.Equals, 110*time.Millisecond)
	qt.Check(t, b.At(time.Minute), qt.Equals, time.Duration(0))
}
