package pathfinding

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestWaitOfAChain: the stages of a chain read the prompts before at the same
// time and that of the request one after the other; a slow stage takes longer
// for both.
func TestWaitOfAChain(t *testing.T) {
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
		{"nothing before", nil, 20 * time.Millisecond},
		{"prompts at both", map[string]Load{"a-a100-0-40": {Backlog: 50 * time.Millisecond}, "a-l40s-40-80": {Backlog: 30 * time.Millisecond}}, 70 * time.Millisecond},
		{"a slow stage", map[string]Load{"a-l40s-40-80": {Backlog: 30 * time.Millisecond, Slowdown: 3}}, 130 * time.Millisecond},
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

// TestBacklogIsReadInTime: what is left shrinks as time passes, and is never
// less than none.
func TestBacklogIsReadInTime(t *testing.T) {
	var b Backlog
	b.Add(100*time.Millisecond, time.Second)
	b.Add(50*time.Millisecond, time.Second+30*time.Millisecond)
	qt.Check(t, b.At(time.Second+40*time.Millisecond), qt.Equals, 110*time.Millisecond)
	qt.Check(t, b.At(time.Minute), qt.Equals, time.Duration(0))
}
