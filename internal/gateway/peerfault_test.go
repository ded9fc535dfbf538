package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
)

// stateWithEngines returns the state of a gateway that knows four engines.
func stateWithEngines(t *testing.T, name string) *state {
	s := newState(t)
	s.log = zap.NewNop()
	s.members.Self = peering.Address{Gateway: name, Zone: s.zone, Address: name + ":1"}
	all := make(map[string]*fleet.Upstream)
	for i := range 4 {
		u := engine(fmt.Sprint("e", i), 10)
		u.Zone = s.zone
		all[u.Instance] = u
	}
	s.replaceUpstreams(upstreamList{upstreams: all, revision: numbered(2), asOf: time.Second}, time.Second)
	return s
}

// TestGatewayWithoutLinksHarmsNoOther guards against a gateway that reaches no upstream
// and takes the others with it: what they see themselves goes before what it says.
func TestGatewayWithoutLinksHarmsNoOther(t *testing.T) {
	const start = time.Minute
	for _, fault := range []health.Fault{health.Unreachable, health.Stalled, health.Silent} {
		for _, x := range []struct {
			name string
			cut  []string
		}{
			{"from all", []string{"e0", "e1", "e2", "e3"}},
			{"from one", []string{"e0"}},
		} {
			t.Run(fmt.Sprint(fault, " ", x.name), func(t *testing.T) {
				cut, whole := stateWithEngines(t, "a"), []*state{stateWithEngines(t, "b"), stateWithEngines(t, "c")}
				for now := start; now < start+3*time.Second; now += 100 * time.Millisecond {
					for _, instance := range x.cut {
						cut.health.RecordProbeFailure(instance)
						cut.eject(cut.upstreams[instance], fault, now)
					}
					for _, s := range whole {
						for instance := range s.upstreams {
							s.health.RecordProbeSuccess(instance, now+10*time.Millisecond)
						}
					}
					later := now + 50*time.Millisecond
					for _, s := range whole {
						s.mergeNews(cut.buildNews(&Gateway{}, s.zone, later), later)
						for instance := range s.upstreams {
							qt.Assert(t, s.health.Excluded(instance, later), qt.IsFalse, qt.Commentf("%s at %s, %v", instance, s.members.Self.Gateway, later-start))
						}
					}
				}
			})
		}
	}
}

// TestLostRackIsFound checks that gateways whose own calls fail exclude several
// upstreams at once although none of them tells the others.
func TestLostRackIsFound(t *testing.T) {
	const now = time.Minute
	a, b := stateWithEngines(t, "a"), stateWithEngines(t, "b")
	for _, s := range []*state{a, b} {
		for instance, u := range s.upstreams {
			s.health.RecordProbeSuccess(instance, now-time.Second)
			if instance != "e3" {
				s.eject(u, health.Unreachable, now)
			}
		}
	}
	for _, s := range []*state{a, b} {
		for _, other := range []*state{a, b} {
			s.mergeNews(other.buildNews(&Gateway{}, s.zone, now), now)
		}
		for instance := range s.upstreams {
			qt.Check(t, s.health.Excluded(instance, now), qt.Equals, instance != "e3")
		}
	}
}
