package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHoldOffExpires(t *testing.T) {
	c := qt.New(t)
	var r Tracker
	now := time.Second
	c.Assert(r.HoldOffCalls("u", 2*time.Second, now), qt.IsTrue)
	c.Assert(r.HoldOffCalls("u", time.Second, now), qt.IsFalse, qt.Commentf("a shorter wait does not end a longer one"))
	c.Assert(r.MayCall("u", now+2*time.Second-ms), qt.IsFalse)
	c.Assert(r.MayCall("u", now+2*time.Second), qt.IsTrue)
	c.Assert(r.Excluded("u", now), qt.IsFalse, qt.Commentf("work may still reach it through other upstreams"))
	r.HoldOffWork("u", time.Second, now)
	c.Assert(r.Excluded("u", now), qt.IsTrue)
	c.Assert(r.ExcludedForFault("u", now), qt.IsFalse)
	c.Assert(r.Exclusions(now), qt.HasLen, 0, qt.Commentf("a hold-off is not reported to peers as a fault"))
	c.Assert(r.Excluded("u", now+time.Second), qt.IsFalse)
	c.Assert(r.HoldOffEnds(now), qt.DeepEquals, []time.Duration{2 * time.Second, 3 * time.Second})
}

func TestNoProbesDuringCallHoldOff(t *testing.T) {
	c := qt.New(t)
	var r Tracker
	now := time.Second
	r.RecordFault("u", Unreachable, now)
	r.SetPace("u", 5, now)
	r.HoldOffCalls("u", time.Minute, now)
	later := now + 30*time.Second
	c.Assert(r.DueProbes(later), qt.HasLen, 0)
	c.Assert(r.SlowEnginesDue(later), qt.HasLen, 0)
	c.Assert(r.DueProbes(now+time.Minute), qt.DeepEquals, []string{"u"})
	c.Assert(r.SlowEnginesDue(now+time.Minute), qt.DeepEquals, []string{"u"})
}

func TestHoldOffIsBounded(t *testing.T) {
	c := qt.New(t)
	var r Tracker
	r.HoldOffCalls("u", 24*time.Hour, time.Second)
	c.Assert(r.MayCall("u", time.Second+maxHoldOff-ms), qt.IsFalse)
	c.Assert(r.MayCall("u", time.Second+maxHoldOff), qt.IsTrue)
}

func TestRestartClearsHoldOff(t *testing.T) {
	c := qt.New(t)
	var r Tracker
	r.HoldOffCalls("u", time.Minute, time.Second)
	r.HoldOffWork("u", time.Minute, time.Second)
	r.ClearHoldOff("u")
	c.Assert(r.MayCall("u", time.Second), qt.IsTrue)
	c.Assert(r.Excluded("u", time.Second), qt.IsFalse)
}
