// Package peerload sums the load that peers, or whole zones, report.
//
// Each report of a source replaces its previous one. The sums are updated by the
// difference, so that the cost of an update depends on the size of the report and
// not on the number of sources.
package peerload

import (
	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/protocol/peering"
)

// Totals holds the sums over the latest reports of its sources: peers by address
// or zones by name. Its zero value is empty. It is not safe for concurrent use.
type Totals struct {
	// reports holds the latest report of each source.
	reports map[string]report
	// loads is the total load of each upstream, by instance.
	loads map[string]pathfinding.Load
	// pipes holds the total rates in prompt tokens per second.
	pipes map[pipe]float64
}

// pipe identifies a connection between two zones that the engines of a service
// share.
type pipe struct{ service, name string }

// report is the load that one source has reported.
type report struct {
	loads []peering.UpstreamLoad
	pipes []peering.PipeUse
}

// Set replaces the report of a source with the load in n.
func (t *Totals) Set(source string, n *peering.News) {
	if t.reports == nil {
		t.reports = make(map[string]report)
		t.loads = make(map[string]pathfinding.Load)
		t.pipes = make(map[pipe]float64)
	}
	t.add(t.reports[source], -1)
	latest := report{n.Loads, n.Pipes}
	t.reports[source] = latest
	t.add(latest, 1)
}

// Retain drops the reports of all sources for which present returns false.
func (t *Totals) Retain(present func(source string) bool) {
	for source, r := range t.reports {
		if !present(source) {
			t.add(r, -1)
			delete(t.reports, source)
		}
	}
}

// Len returns the number of sources.
func (t *Totals) Len() int { return len(t.reports) }

// Load returns the total load of an upstream.
func (t *Totals) Load(instance string) pathfinding.Load { return t.loads[instance] }

// PromptTokenRate returns the total rate over a pipe, in prompt tokens per
// second.
func (t *Totals) PromptTokenRate(service, name string) float64 { return t.pipes[pipe{service, name}] }

// add adds a report to the sums if sign is 1, and subtracts it if sign is -1.
func (t *Totals) add(r report, sign float64) {
	for _, l := range r.loads {
		sum := t.loads[l.Upstream]
		sum.Requests += sign * float64(l.Requests)
		sum.Begun += sign * float64(l.Begun)
		sum.TokenLayers += sign * float64(l.TokenLayers)
		sum.Reading = max(0, sum.Reading+sign*float64(l.Reading))
		if sum.Requests <= 0 {
			// Without requests there is no load, whatever rounding errors remain.
			delete(t.loads, l.Upstream)
			continue
		}
		t.loads[l.Upstream] = sum
	}
	for _, p := range r.pipes {
		key := pipe{p.Service, p.Pipe}
		t.pipes[key] = max(0, t.pipes[key]+sign*float64(p.Reading))
	}
}
