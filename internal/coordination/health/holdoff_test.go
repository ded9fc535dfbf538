package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestHoldOffEndsByTime(t *testing.T) {
	c := qt.New(t)
	var r Register
	now := time.Second
	c.Assert(r.HoldCalls("u", 2*time.Second, now), qt.IsTrue)
	c.Assert(r.HoldCalls("u", time.Second, now), qt.IsFalse, qt.Commentf("a shorter wait does not end a longer one"))
	c.Assert(r.MayCall("u", now+2*time.Second-ms), qt.IsFalse)
	c.Assert(r.MayCall("u", now+2*time.Second), qt.IsTrue)
	c.Assert(r.Out("u", now), qt.IsFalse, qt.Commentf("others may still pass work through it"))
	r.HoldWork("u", time.Second, now)
	c.Assert(r.Out("u", now), qt.IsTrue)
	c.Assert(r.Faulty("u", now), qt.IsFalse)
	c.Assert(r.Outs(now), qt.HasLen, 0, qt.Commentf("it is no fault to tell peers of"))
	c.Assert(r.Out("u", now+time.Second), qt.IsFalse)
	c.Assert(r.HoldOffEnds(now), qt.DeepEquals, []time.Duration{2 * time.Second, 3 * time.Second})
}

func TestNoQuestionsWhileHeldOff(t *testing.T) {
	c := qt.New(t)
	var r Register
	now := time.Second
	r.Blame("u", Unreachable, now)
	r.SetPace("u", 5, now)
	r.HoldCalls("u", time.Minute, now)
	later := now + 30*time.Second
	c.Assert(r.DueProbes(later), qt.HasLen, 0)
	c.Assert(r.SlowDue(later), qt.HasLen, 0)
	c.Assert(r.DueProbes(now+time.Minute), qt.DeepEquals, []string{"u"})
	c.Assert(r.SlowDue(now+time.Minute), qt.DeepEquals, []string{"u"})
}

func TestAnHourAtMost(t *testing.T) {
	c := qt.New(t)
	var r Register
	r.HoldCalls("u", 24*time.Hour, time.Second)
	c.Assert(r.MayCall("u", time.Second+maxHoldOff-ms), qt.IsFalse)
	c.Assert(r.MayCall("u", time.Second+maxHoldOff), qt.IsTrue)
}

func TestRestartEndsTheHoldOff(t *testing.T) {
	c := qt.New(t)
	var r Register
	r.HoldCalls("u", time.Minute, time.Second)
	r.HoldWork("u", time.Minute, time.Second)
	r.Renew("u")
	c.Assert(r.MayCall("u", time.Second), qt.IsTrue)
	c.Assert(r.Out("u", time.Second), qt.IsFalse)
}
