package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/state/routing"
)

// TestSilenceOfAllExcludesNone checks that upstreams are used that were silent if all of
// them were, and otherwise not.
func TestSilenceOfAllExcludesNone(t *testing.T) {
	const now = time.Minute
	none := health.Fault(255)
	for _, x := range []struct {
		name   string
		faults [2]health.Fault
		// failed is the number of probes that failed, excluded an upstream that
		// failed the request before.
		failed   int
		excluded string
		handover bool
		want     string
	}{
		{"none", [2]health.Fault{none, health.Silent}, 0, "", false, "e0"},
		{"both silent", [2]health.Fault{health.Silent, health.Stalled}, 1, "", false, "any"},
		{"both silent, one tried", [2]health.Fault{health.Silent, health.Stalled}, 0, "e0", false, "e1"},
		{"both silent, the attempt still runs", [2]health.Fault{health.Silent, health.Silent}, 0, "e0", true, ""},
		{"both silent for long", [2]health.Fault{health.Silent, health.Silent}, 2, "", false, ""},
		{"one refuses connections", [2]health.Fault{health.Silent, health.Unreachable}, 0, "", false, ""},
		{"one is misplaced", [2]health.Fault{health.Silent, health.Misplaced}, 0, "", false, ""},
		{"one is full", [2]health.Fault{health.Silent, health.Full}, 0, "", false, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newState(t)
			p := &servicePool{}
			for i, fault := range x.faults {
				u := engine(fmt.Sprint("e", i), 10)
				u.Slots = 1
				p.members = append(p.members, u)
				if fault == none {
					continue
				}
				for range x.failed {
					s.health.RecordProbeFailure(u.Instance)
				}
				s.health.RecordFault(u.Instance, fault, now)
			}
			q := &request{service: "llm", route: &routing.Route{MaxUpstreams: 2}}
			q.handingOver = x.handover
			if x.excluded != "" {
				q.exclude(x.excluded)
			}
			to, err := s.selectUpstream(p, q, now)
			if x.want == "" {
				qt.Assert(t, err, qt.IsNotNil)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			if x.want != "any" {
				qt.Check(t, to.upstream.Instance, qt.Equals, x.want)
			}
		})
	}
}
