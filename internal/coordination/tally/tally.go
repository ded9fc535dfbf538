// Package tally adds up what peers, or whole zones, say that they carry.
//
// Each word of a source replaces its last one. Sums are kept up to date by the
// difference, so that the work for a word grows with what is said and not
// with the number of sources.
package tally

import (
	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/peering"
)

// Tally is the sum of what some sources said last: peers by address, or zones
// by name. Its zero value is empty.
type Tally struct {
	// said is the last word of each source.
	said   map[string]word
	loads  map[string]pathfinding.Load
	counts map[string]retry.Counts
	// pipes are the rates of prompt tokens, by service and pipe.
	pipes map[pipe]float64
}

// pipe names a pipe between two zones that engines of a service share.
type pipe struct{ service, name string }

// word is what one source said.
type word struct {
	loads  []peering.UpstreamLoad
	counts []peering.ServiceCounts
	pipes  []peering.PipeUse
}

// Put replaces what a source said.
func (t *Tally) Put(source string, n *peering.News) {
	if t.said == nil {
		t.said = make(map[string]word)
		t.loads = make(map[string]pathfinding.Load)
		t.counts = make(map[string]retry.Counts)
		t.pipes = make(map[pipe]float64)
	}
	t.add(t.said[source], -1)
	now := word{n.Loads, n.Services, n.Pipes}
	t.said[source] = now
	t.add(now, 1)
}

// Keep drops what was said by sources for which present says false.
func (t *Tally) Keep(present func(source string) bool) {
	for source, w := range t.said {
		if !present(source) {
			t.add(w, -1)
			delete(t.said, source)
		}
	}
}

// Len returns how many sources are counted.
func (t *Tally) Len() int { return len(t.said) }

// Load returns what is under way at an upstream.
func (t *Tally) Load(instance string) pathfinding.Load { return t.loads[instance] }

// Counts returns what was counted for a service.
func (t *Tally) Counts(service string) retry.Counts { return t.counts[service] }

// Crossing returns the rate of prompt tokens over a pipe, by the second.
func (t *Tally) Crossing(service, name string) float64 { return t.pipes[pipe{service, name}] }

// add adds a word to the sums, or takes it away if sign is negative.
func (t *Tally) add(w word, sign float64) {
	for _, l := range w.loads {
		sum := t.loads[l.Upstream]
		sum.Requests += sign * float64(l.Requests)
		sum.Begun += sign * float64(l.Begun)
		sum.TokenLayers += sign * float64(l.TokenLayers)
		sum.Reading = max(0, sum.Reading+sign*float64(l.Reading))
		if sum.Requests <= 0 {
			// Without requests nothing is carried, whatever rounding left.
			delete(t.loads, l.Upstream)
			continue
		}
		t.loads[l.Upstream] = sum
	}
	for _, p := range w.pipes {
		key := pipe{p.Service, p.Pipe}
		t.pipes[key] = max(0, t.pipes[key]+sign*float64(p.Reading))
	}
	for _, c := range w.counts {
		sum := t.counts[c.Service]
		sum.Requests = max(0, sum.Requests+sign*float64(c.Requests))
		sum.Repeats = max(0, sum.Repeats+sign*float64(c.Repeats))
		t.counts[c.Service] = sum
	}
}
