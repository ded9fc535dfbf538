package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHoldOffExpires(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	now := time.Second
	c.Assert(tr.HoldOffCalls("u", 2*time.Second, now), qt.IsTrue)
	c.Assert(tr.HoldOffCalls("u", time.Second, now), qt.IsFalse, qt.Commentf("a shorter wait does not end a longer one"))
	c.Assert(tr.MayCall("u", now+2*time.Second-ms), qt.IsFalse)
	c.Assert(tr.MayCall("u", now+2*time.Second), qt.IsTrue)
	c.Assert(tr.Excluded("u", now), qt.IsFalse, qt.Commentf("work may still reach it through other upstreams"))
	tr.HoldOffWork("u", time.Second, now)
	c.Assert(tr.Excluded("u", now), qt.IsTrue)
	c.Assert(tr.ExcludedForFault("u", now), qt.IsFalse)
	c.Assert(tr.Exclusions(now), qt.HasLen, 0, qt.Commentf("a hold-off is not reported to peers as a fault"))
	c.Assert(tr.Excluded("u", now+time.Second), qt.IsFalse)
	c.Assert(tr.HoldOffEnds(now), qt.DeepEquals, []time.Duration{2 * time.Second, 3 * time.Second})
}

func TestNoProbesDuringCallHoldOff(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	now := time.Second
	tr.RecordFault("u", Unreachable, now)
	tr.SetPace("u", 5, now)
	tr.HoldOffCalls("u", time.Minute, now)
	later := now + 30*time.Second
	c.Assert(tr.DueProbes(later), qt.HasLen, 0)
	c.Assert(tr.SlowEnginesDue(later), qt.HasLen, 0)
	c.Assert(tr.DueProbes(now+time.Minute), qt.DeepEquals, []string{"u"})
	c.Assert(tr.SlowEnginesDue(now+time.Minute), qt.DeepEquals, []string{"u"})
}

func TestHoldOffIsBounded(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.HoldOffCalls("u", 24*time.Hour, time.Second)
	c.Assert(tr.MayCall("u", time.Second+maxHoldOff-ms), qt.IsFalse)
	c.Assert(tr.MayCall("u", time.Second+maxHoldOff), qt.IsTrue)
}

func TestRestartClearsHoldOff(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.HoldOffCalls("u", time.Minute, time.Second)
	tr.HoldOffWork("u", time.Minute, time.Second)
	tr.ClearHoldOff("u")
	c.Assert(tr.MayCall("u", time.Second), qt.IsTrue)
	c.Assert(tr.Excluded("u", time.Second), qt.IsFalse)
}
