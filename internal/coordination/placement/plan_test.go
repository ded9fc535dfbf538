package placement

import (
	"fmt"
	"testing"
	"time"

	"lovageport.example/internal/state/fleet"
)

func testEngine() *fleet.Engine {
	return &fleet.Engine{
		Layers: 80, Step: 1020 * time.Microsecond, LayerMB: 1750, KVTokenBytes: 918000, MeanPrompt: 774, MeanAnswer: 200,
		Accelerators: map[string]fleet.Accelerator{
			"a100": {MemoryMB: 72000, Pace: 2.4, ReadFactor: 3.2},
			"l40s": {MemoryMB: 43200, Pace: 5.6, ReadFactor: 2.7},
			"l4":   {MemoryMB: 21600, Pace: 16, ReadFactor: 8.2},
		},
	}
}

// zone returns the engines of one zone.
func zone(name string, kinds map[string]int) []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, kind := range []string{"a100", "l40s", "l4"} {
		for i := range kinds[kind] {
			out = append(out, &fleet.Upstream{
				Instance: fmt.Sprintf("%s-%s-%d", name, kind, i), Service: "s", Zone: name, Accelerator: kind, Slots: 192,
			})
		}
	}
	return out
}

func TestPrint(t *testing.T) {
	e := testEngine()
	for name, kinds := range map[string]map[string]int{
		"wien": {"a100": 1, "l40s": 3, "l4": 8}, "graz": {"a100": 1, "l40s": 6, "l4": 5}, "linz": {"a100": 2, "l40s": 2, "l4": 5},
	} {
		ups := zone(name, kinds)
		goal := Plan(e, ups)
		room := make([]float64, 10)
		holders := make([]int, 10)
		for _, u := range ups {
			r := goal[u.Instance]
			fmt.Println(u.Instance, r, e.RoomTokens(u.Accelerator, r.Len()))
			for i := r.From / 8; i < r.To/8; i++ {
				room[i] += e.RoomTokens(u.Accelerator, r.Len())
				holders[i]++
			}
		}
		p := newPlanner(e, ups, 8)
		for i, m := range p.members {
			r := goal[m.upstream.Instance]
			p.set(i, span{r.From / 8, r.Len() / 8})
		}
		fmt.Println(name, "step time", p.stepTime())
		for i := range room {
			fmt.Printf("%.0fk/%d ", room[i]/1000, holders[i])
		}
		fmt.Println()
	}
}
