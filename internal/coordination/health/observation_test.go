package health

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulateZone simulates gateways that probe one upstream and share their
// observations with a delay. It returns the number of probes during an outage of
// the upstream and the time from its return until the last gateway uses it.
func simulateZone(gateways int, outage time.Duration) (probes int, back time.Duration) {
	const (
		tick       = 10 * time.Millisecond
		shareDelay = 300 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, uint64(gateways)))
	all := make([]Tracker, gateways)
	for i := range all {
		all[i] = Tracker{SharingGateways: gateways, Random: random.Float64}
		all[i].RecordFault("u", Unreachable, time.Second)
	}
	// The gateway that places the layers probes at the full rate.
	all[0].SharingGateways = 1
	type message struct {
		Observation
		due time.Duration
	}
	var messages []message
	for now := time.Second; now < time.Second+outage+time.Minute; now += tick {
		up := now >= time.Second+outage
		for i := range all {
			for range all[i].DueProbes(now) {
				if !up {
					probes++
					all[i].RecordProbeFailure("u")
					all[i].RecordFault("u", Unreachable, now)
					continue
				}
				all[i].RecordProbeSuccess("u", now)
				messages = append(messages, message{Observation{Instance: "u", Age: shareDelay}, now + shareDelay})
			}
		}
		excluded := 0
		for i := range all {
			for _, m := range messages {
				if now >= m.due {
					all[i].MergeObservation(Observation{Instance: "u", Age: now - m.due + shareDelay}, now)
				}
			}
			if all[i].Excluded("u", now) {
				excluded++
			}
		}
		if up && excluded == 0 {
			return probes, now - time.Second - outage
		}
	}
	return probes, time.Hour
}

// TestProbesDoNotGrowWithGateways checks that many gateways that lose the same
// upstream do not overload it with probes, and that all use it again as soon as
// a single gateway would.
func TestProbesDoNotGrowWithGateways(t *testing.T) {
	const outage = 20 * time.Second
	alone, backAlone := simulateZone(1, outage)
	qt.Check(t, alone >= 20, qt.IsTrue, qt.Commentf("%d probes", alone))
	qt.Check(t, backAlone <= probeInterval, qt.IsTrue, qt.Commentf("back after %v", backAlone))
	for _, gateways := range []int{6, 19, 60} {
		probes, back := simulateZone(gateways, outage)
		qt.Check(t, probes <= 5*alone, qt.IsTrue, qt.Commentf("%d gateways: %d probes, %d alone", gateways, probes, alone))
		qt.Check(t, back <= probeInterval+400*time.Millisecond, qt.IsTrue, qt.Commentf("%d gateways: back after %v", gateways, back))
	}
}

// TestPeerObservationDistrustedAfterRelapse guards against an upstream that
// answers the peers but not this gateway. Each observation of a peer would
// restore it and the next request would fail.
func TestPeerObservationDistrustedAfterRelapse(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	now := time.Second
	observe := func() bool { return tr.MergeObservation(Observation{Instance: "u", Age: 10 * ms}, now) }
	tr.RecordFault("u", Unreachable, now)
	c.Assert(observe(), qt.IsFalse, qt.Commentf("the observation is older than the failure here"))
	now += time.Second
	c.Assert(observe(), qt.IsTrue)
	c.Assert(tr.Excluded("u", now), qt.IsFalse)
	now += time.Second
	tr.RecordFault("u", Unreachable, now)
	now += time.Second
	c.Assert(observe(), qt.IsFalse)
	c.Assert(tr.DueProbes(now), qt.HasLen, 1, qt.Commentf("this gateway probes it itself"))
	now += distrustTime
	c.Assert(observe(), qt.IsTrue)
}

func TestPaceIsQueriedByOneGateway(t *testing.T) {
	c := qt.New(t)
	var querier, other Tracker
	now := time.Second
	c.Assert(querier.PaceQueryDue("u", now), qt.IsTrue)
	c.Assert(querier.SetPace("u", 4, now), qt.IsTrue)
	shared := querier.Observations(now + 300*ms)
	c.Assert(shared, qt.DeepEquals, []Observation{{"u", 300 * ms, 4}})
	now += 300 * ms
	c.Assert(other.MergeObservation(shared[0], now), qt.IsTrue)
	c.Assert(other.Pace("u"), qt.Equals, 4.0)
	c.Assert(other.Observations(now), qt.HasLen, 0, qt.Commentf("observations of peers are not forwarded"))
	now = time.Second + paceQueryInterval
	c.Assert(querier.SlowEnginesDue(now), qt.HasLen, 1)
	c.Assert(other.SlowEnginesDue(now), qt.HasLen, 0)
	// Without further observations the other gateway queries the engine itself.
	c.Assert(other.SlowEnginesDue(now+observationTTL), qt.HasLen, 1)
}
