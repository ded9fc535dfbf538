package health

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// zone plays gateways that probe one upstream and tell each other, each word on
// its way for a while. It returns how many probes there were in a time in which
// the upstream is lost, and how long after its return the last gateway uses it.
func zone(gateways int, lost time.Duration) (probes int, back time.Duration) {
	const (
		tick    = 10 * time.Millisecond
		newsLag = 300 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, uint64(gateways)))
	all := make([]Register, gateways)
	for i := range all {
		all[i] = Register{Sharers: gateways, Random: random.Float64}
		all[i].Blame("u", Unreachable, time.Second)
	}
	// The gateway that places the layers asks as if it were alone.
	all[0].Sharers = 1
	type word struct {
		Finding
		due time.Duration
	}
	var words []word
	for now := time.Second; now < time.Second+lost+time.Minute; now += tick {
		up := now >= time.Second+lost
		for i := range all {
			for range all[i].DueProbes(now) {
				if !up {
					probes++
					all[i].ProbeFailed("u")
					all[i].Blame("u", Unreachable, now)
					continue
				}
				all[i].Answered("u", now)
				words = append(words, word{Finding{Instance: "u", Age: newsLag}, now + newsLag})
			}
		}
		out := 0
		for i := range all {
			for _, w := range words {
				if now >= w.due {
					all[i].HearFinding(Finding{Instance: "u", Age: now - w.due + newsLag}, now)
				}
			}
			if all[i].Out("u", now) {
				out++
			}
		}
		if up && out == 0 {
			return probes, now - time.Second - lost
		}
	}
	return probes, time.Hour
}

// TestProbesDoNotGrowWithTheGateways: of many gateways that lost the same
// upstream few ask it, and all use it again as soon as one gateway alone would.
func TestProbesDoNotGrowWithTheGateways(t *testing.T) {
	const lost = 20 * time.Second
	alone, backAlone := zone(1, lost)
	qt.Check(t, alone >= 20, qt.IsTrue, qt.Commentf("%d probes", alone))
	qt.Check(t, backAlone <= probeInterval, qt.IsTrue, qt.Commentf("back after %v", backAlone))
	for _, gateways := range []int{6, 19, 60} {
		probes, back := zone(gateways, lost)
		qt.Check(t, probes <= 5*alone, qt.IsTrue, qt.Commentf("%d gateways: %d probes, %d alone", gateways, probes, alone))
		qt.Check(t, back <= probeInterval+400*time.Millisecond, qt.IsTrue, qt.Commentf("%d gateways: back after %v", gateways, back))
	}
}

// TestUpstreamThatAnswersOthersOnly: a peer's word is not believed again if the
// upstream fails here right after it.
func TestUpstreamThatAnswersOthersOnly(t *testing.T) {
	c := qt.New(t)
	var r Register
	now := time.Second
	word := func() bool { return r.HearFinding(Finding{Instance: "u", Age: 10 * ms}, now) }
	r.Blame("u", Unreachable, now)
	c.Assert(word(), qt.IsFalse, qt.Commentf("it answered before it failed here"))
	now += time.Second
	c.Assert(word(), qt.IsTrue)
	c.Assert(r.Out("u", now), qt.IsFalse)
	now += time.Second
	r.Blame("u", Unreachable, now)
	now += time.Second
	c.Assert(word(), qt.IsFalse)
	c.Assert(r.DueProbes(now), qt.HasLen, 1, qt.Commentf("it is asked from here"))
	now += doubtFor
	c.Assert(word(), qt.IsTrue)
}

func TestPaceIsAskedOnceForAll(t *testing.T) {
	c := qt.New(t)
	var asker, other Register
	now := time.Second
	c.Assert(asker.PaceDue("u", now), qt.IsTrue)
	c.Assert(asker.SetPace("u", 4, now), qt.IsTrue)
	told := asker.Findings(now + 300*ms)
	c.Assert(told, qt.DeepEquals, []Finding{{"u", 300 * ms, 4}})
	now += 300 * ms
	c.Assert(other.HearFinding(told[0], now), qt.IsTrue)
	c.Assert(other.Pace("u"), qt.Equals, 4.0)
	c.Assert(other.Findings(now), qt.HasLen, 0, qt.Commentf("hearsay is not passed on"))
	now = time.Second + paceInterval
	c.Assert(asker.SlowDue(now), qt.HasLen, 1)
	c.Assert(other.SlowDue(now), qt.HasLen, 0)
	// The asker falls silent: the other asks itself.
	c.Assert(other.SlowDue(now+toldFor), qt.HasLen, 1)
}
