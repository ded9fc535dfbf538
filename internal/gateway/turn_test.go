package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// maxTurn is the longest time for which one function may hold the control loop.
const maxTurn = 2 * time.Millisecond

// Sizes of a large site.
const (
	largeRoutes    = 1400
	largeEngines   = 190
	largeUpstreams = 200
	largeLayers    = 80
)

// newLargeState returns the control state of a gateway of a large site.
func newLargeState(t testing.TB) *state {
	s := newState(t)
	all := make(map[string]*fleet.Upstream)
	for i := range largeUpstreams {
		u := &fleet.Upstream{Instance: fmt.Sprintf("i-%08x", i*2654435761), Service: "llm", Zone: fmt.Sprint("z", i%5), Address: fmt.Sprintf("10.1.0.%d:80", i), Slots: 192, Registered: int64(i)}
		if i < largeEngines {
			from := i % 8 * 10
			u.Accelerator, u.Held = "big", fleet.Range{From: from, To: from + 10}
		} else {
			u.Service = "plain"
		}
		all[u.Instance] = u
	}
	s.setTable(newLargeTable(t, 2))
	s.replaceUpstreams(upstreamList{upstreams: all, revision: numbered(2), asOf: time.Second}, time.Second)
	return s
}

// newLargeTable returns a version of the routing table of a large site.
func newLargeTable(t testing.TB, version int64) *routing.Table {
	table := &routing.Table{Version: version, Services: map[string]*routing.Service{
		"plain": {Name: "plain"},
		"llm": {Name: "llm", Engine: &fleet.Engine{
			Layers: largeLayers, LayerMB: 1, KVTokenBytes: 1000, Step: time.Millisecond,
			Accelerators: map[string]fleet.Accelerator{"big": {MemoryMB: 1000, Pace: 1}},
		}},
	}}
	for i := range largeRoutes {
		table.Routes = append(table.Routes, &routing.Route{Name: fmt.Sprint(i), Host: fmt.Sprintf("h%d.example", i%100), Prefix: fmt.Sprintf("/%d/", i),
			Backends: []routing.Backend{{Service: "llm", Weight: 1}}})
	}
	qt.Assert(t, table.Prepare(), qt.IsNil)
	return table
}

// TestTableHoldsControlLoopBriefly guards against streams that wait for the control
// loop while it takes a large configuration over. The shortest of some turns counts,
// since other processes may interrupt any of them. The race detector makes them
// several times as long.
func TestTableHoldsControlLoopBriefly(t *testing.T) {
	for _, x := range []struct {
		name   string
		former int
	}{{"services as before", 0}, {"a service described in many ways", 30}} {
		t.Run(x.name, func(t *testing.T) {
			s := newLargeState(t)
			s.setTable(newLargeTable(t, 2))
			s.formerPools = nil
			for i := range x.former {
				former := &routing.Service{Name: "llm", Engine: &fleet.Engine{Layers: largeLayers + 1 + i}}
				s.poolOf(&request{service: "llm", accepted: former, deadline: time.Minute})
			}
			shortest := time.Hour
			for i := range 20 {
				table := newLargeTable(t, int64(3+i))
				began := time.Now()
				s.setTable(table)
				shortest = min(shortest, time.Since(began))
			}
			t.Logf("shortest of 20 turns: %v", shortest)
			qt.Check(t, s.formerPools, qt.HasLen, x.former)
			if !raceEnabled {
				qt.Check(t, shortest <= maxTurn, qt.IsTrue, qt.Commentf("%v", shortest))
			}
		})
	}
}

// BenchmarkSetTable measures how long the control loop takes a large configuration
// over.
func BenchmarkSetTable(b *testing.B) {
	s := newLargeState(b)
	table := newLargeTable(b, 3)
	b.ReportAllocs()
	for b.Loop() {
		s.setTable(table)
	}
}
