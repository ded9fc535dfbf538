package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func TestUnreachableUpstreamReturnsOnlyAfterProbe(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	now := time.Second
	c.Assert(tr.RecordFault("u", Unreachable, now), qt.IsTrue)
	c.Assert(tr.RecordFault("u", Unreachable, now), qt.IsFalse)
	c.Assert(tr.DueProbes(now), qt.HasLen, 0)
	now += exclusionTimes[Unreachable]
	c.Assert(tr.DueProbes(now), qt.DeepEquals, []string{"u"})
	c.Assert(tr.DueProbes(now), qt.HasLen, 0)
	// It stays excluded until a probe succeeds, however long that takes.
	c.Assert(tr.Excluded("u", now+time.Minute), qt.IsTrue)
	c.Assert(tr.RecordProbeSuccess("u", now), qt.IsTrue)
	c.Assert(tr.Excluded("u", now), qt.IsFalse)
}

func TestFullUpstreamReturnsAfterTimeout(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.RecordFault("u", Full, time.Second)
	c.Assert(tr.Excluded("u", time.Second+exclusionTimes[Full]-ms), qt.IsTrue)
	c.Assert(tr.Excluded("u", time.Second+exclusionTimes[Full]), qt.IsFalse)
	c.Assert(tr.DueProbes(2*time.Second), qt.HasLen, 0)
}

func TestRequestedProbeDoesNotExclude(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.RequestProbe("u", time.Second)
	c.Assert(tr.Excluded("u", time.Second), qt.IsFalse)
	c.Assert(tr.DueProbes(time.Second), qt.DeepEquals, []string{"u"})
	tr.RequestProbe("u", time.Second+ms)
	c.Assert(tr.DueProbes(time.Second+ms), qt.HasLen, 0, qt.Commentf("probed 1 ms ago"))
}

func TestPeerExclusionIsBoundedAndNotForwarded(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.RecordPeerExclusion("u", time.Hour, time.Second)
	c.Assert(tr.Excluded("u", time.Second), qt.IsTrue)
	c.Assert(tr.Exclusions(time.Second), qt.HasLen, 0)
	c.Assert(tr.Excluded("u", time.Second+probeInterval), qt.IsFalse, qt.Commentf("an exclusion by a peer lasts one probe interval at most"))
}

func TestFailureRateExpires(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	for range 20 {
		tr.RecordResult("u", true, time.Second)
	}
	c.Assert(tr.FailureRate("u", time.Second) > 0.9, qt.IsTrue)
	tr.RecordResult("u", false, time.Second)
	c.Assert(tr.FailureRate("u", time.Second) < 0.9, qt.IsTrue)
	c.Assert(tr.FailureRate("u", time.Second+sampleTTL+ms), qt.Equals, 0.0)
}

func TestSlowEngineIsQueriedUntilItRecovers(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	c.Assert(tr.PaceQueryDue("u", time.Second), qt.IsTrue)
	c.Assert(tr.PaceQueryDue("u", time.Second), qt.IsFalse)
	c.Assert(tr.SetPace("u", 4.5, time.Second), qt.IsTrue)
	c.Assert(tr.Pace("u"), qt.Equals, 4.5)
	c.Assert(tr.SlowEnginesDue(2*time.Second), qt.DeepEquals, []string{"u"})
	c.Assert(tr.SetPace("u", 1, 2*time.Second), qt.IsTrue)
	c.Assert(tr.Pace("u"), qt.Equals, 1.0)
	c.Assert(tr.SlowEnginesDue(3*time.Second), qt.HasLen, 0)
}

func TestLinkIsSuspectedAfterTwoUpstreamLosses(t *testing.T) {
	c := qt.New(t)
	var l Links
	c.Assert(l.RecordLoss("a", "b", "u1", time.Second), qt.IsFalse)
	c.Assert(l.RecordLoss("a", "b", "u1", time.Second+ms), qt.IsFalse, qt.Commentf("the same upstream again"))
	c.Assert(l.RecordLoss("a", "b", "u2", time.Second+2*ms), qt.IsTrue)
	c.Assert(l.Suspected("b", "a", time.Second+3*ms), qt.IsTrue)
	c.Assert(l.Suspected("a", "c", time.Second+3*ms), qt.IsFalse)
	c.Assert(l.Suspected("a", "b", time.Second+2*ms+linkSuspectTime), qt.IsFalse)
	c.Assert(l.RecordLoss("a", "a", "u3", time.Second), qt.IsFalse, qt.Commentf("no link within a zone"))
}
