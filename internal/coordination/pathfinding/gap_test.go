package pathfinding

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/relay"
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
			found, ok := NewLayerMap(testEngine(), holders).FillGaps(query(x.loads), []Gap{x.gap})
			qt.Check(t, ok, qt.Equals, x.want != nil)
			qt.Check(t, stageNames(Chain{Stages: found.Stages()}), qt.DeepEquals, x.want)
		})
	}
}

// smallModel returns an engine of which one accelerator can hold most layers.
func smallModel() *fleet.Engine {
	e := testEngine()
	e.LayerMB = 200
	return e
}

// TestFillSeveralGaps guards against an order that names an engine twice, and against
// gaps that are reported as not fillable because the spare that one of them needs was
// taken for another that has a choice.
func TestFillSeveralGaps(t *testing.T) {
	first, last := Gap{fleet.Range{From: 32, To: 48}, "a", "a"}, Gap{fleet.Range{From: 64, To: 80}, "a", "a"}
	entry := holder("a", "a100", 0, 32)
	for _, x := range []struct {
		name    string
		holders []*fleet.Upstream
		loads   map[string]Load
		want    [][]string
	}{
		{"a spare for each",
			[]*fleet.Upstream{entry, holder("a", "l40s", 32, 48), holder("a", "l40s", 64, 80)}, nil,
			[][]string{{"a-l40s-32-48:32-48"}, {"a-l40s-64-80:64-80"}}},
		{"a spare for one",
			[]*fleet.Upstream{entry, holder("a", "l40s", 32, 48), holder("a", "l40s", 48, 64)}, nil, nil},
		{"one spare for both",
			[]*fleet.Upstream{entry, holder("a", "a100", 32, 80), holder("a", "l40s", 48, 64)}, nil, nil},
		{"the cheapest for the first is the only one for the last",
			[]*fleet.Upstream{entry, holder("a", "a100", 32, 80), holder("a", "l4", 32, 48), holder("a", "l40s", 48, 64)}, nil,
			[][]string{{"a-l4-32-48:32-48"}, {"a-a100-32-80:64-80"}}},
		{"the cheapest for the last is the only one for the first",
			[]*fleet.Upstream{entry, holder("a", "a100", 32, 80), holder("a", "l4", 64, 80), holder("a", "l40s", 48, 64)}, nil,
			[][]string{{"a-a100-32-80:32-48"}, {"a-l4-64-80:64-80"}}},
		{"the cheapest for the first is the only one with capacity for the last",
			[]*fleet.Upstream{entry, holder("a", "a100", 32, 80), holder("a", "l4", 32, 48), holder("a", "l40s", 64, 80)},
			map[string]Load{"a-l40s-64-80": {TokenLayers: 1e9}},
			[][]string{{"a-l4-32-48:32-48"}, {"a-a100-32-80:64-80"}}},
		{"no spare with capacity for the last",
			[]*fleet.Upstream{entry, holder("a", "l40s", 32, 48), holder("a", "l40s", 64, 80)},
			map[string]Load{"a-l40s-64-80": {TokenLayers: 1e9}}, nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			found, ok := NewLayerMap(smallModel(), x.holders).FillGaps(query(x.loads), []Gap{first, last})
			qt.Check(t, ok, qt.Equals, x.want != nil)
			var got [][]string
			for _, stages := range found.Gaps {
				got = append(got, stageNames(Chain{Stages: stages}))
			}
			qt.Check(t, got, qt.DeepEquals, x.want)
		})
	}
}

// TestGapsOf guards against adjacent lost stages that are replaced one by one, and
// against the zone of a lost stage being taken for that of the stage beside a gap.
func TestGapsOf(t *testing.T) {
	var chain []relay.Stage
	for i, zone := range []string{"a", "b", "c", "a", "b"} {
		layers := fleet.Range{From: 16 * i, To: 16 * (i + 1)}
		chain = append(chain, relay.Stage{Upstream: holder(zone, "l40s", layers.From, layers.To), Layers: layers})
	}
	for _, x := range []struct {
		name string
		lost []int
		want []Gap
	}{
		{"none", nil, nil},
		{"one", []int{1}, []Gap{{fleet.Range{From: 16, To: 32}, "a", "c"}}},
		{"apart", []int{1, 3}, []Gap{{fleet.Range{From: 16, To: 32}, "a", "c"}, {fleet.Range{From: 48, To: 64}, "c", "b"}}},
		{"adjacent", []int{1, 2}, []Gap{{fleet.Range{From: 16, To: 48}, "a", "a"}}},
		{"adjacent at the end", []int{2, 3, 4}, []Gap{{fleet.Range{From: 32, To: 80}, "b", "a"}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			qt.Check(t, GapsOf(chain, x.lost), qt.DeepEquals, x.want)
		})
	}
}

// TestEngineIsUsedOnceInAGap guards against a wide gap that is reported as not fillable
// because the cheapest stages for it would use an engine twice.
func TestEngineIsUsedOnceInAGap(t *testing.T) {
	m := NewLayerMap(smallModel(), []*fleet.Upstream{holder("a", "a100", 0, 32), holder("a", "l4", 32, 80), holder("a", "a100", 48, 64)})
	found, ok := m.FillGaps(query(nil), []Gap{{fleet.Range{From: 32, To: 80}, "a", "a"}})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, stageNames(Chain{Stages: found.Stages()}), qt.DeepEquals, []string{"a-l4-32-80:32-80"})
}

// TestDelayOfSeveralGaps guards against comparing a repair with a new chain by the delay
// of one gap only: backlogs are worked off at the same time, and the prompt is read by
// one stage after the other.
func TestDelayOfSeveralGaps(t *testing.T) {
	e := testEngine()
	e.ReadChunk = 100
	m := NewLayerMap(e, []*fleet.Upstream{holder("a", "a100", 0, 32), holder("a", "l40s", 32, 48), holder("a", "l40s", 48, 64), holder("a", "l40s", 64, 80)})
	q := query(map[string]Load{"a-l40s-32-48": {Backlog: 300 * time.Millisecond}, "a-l40s-64-80": {Backlog: 100 * time.Millisecond}})
	q.PromptTokens = 1000
	gaps := []Gap{{fleet.Range{From: 32, To: 48}, "a", "a"}, {fleet.Range{From: 64, To: 80}, "a", "a"}}
	found, ok := m.FillGaps(q, gaps)
	qt.Assert(t, ok, qt.IsTrue)
	want := 300 * time.Millisecond
	for _, stage := range found.Stages() {
		want += m.PrefillTime(stage.Upstream, q.PromptTokens, stage.Layers.Len())
	}
	qt.Check(t, found.PrefillDelay, qt.Equals, want)
	qt.Check(t, found.PrefillDelay > 300*time.Millisecond, qt.IsTrue)
}
