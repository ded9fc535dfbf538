package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func TestUnreachableUntilItAnswers(t *testing.T) {
	c := qt.New(t)
	var r Register
	now := time.Second
	c.Assert(r.Blame("u", Unreachable, now), qt.IsTrue)
	c.Assert(r.Blame("u", Unreachable, now), qt.IsFalse)
	c.Assert(r.DueProbes(now), qt.HasLen, 0)
	now += pauses[Unreachable]
	c.Assert(r.DueProbes(now), qt.DeepEquals, []string{"u"})
	c.Assert(r.DueProbes(now), qt.HasLen, 0)
	// Time alone does not bring it back.
	c.Assert(r.Out("u", now+time.Minute), qt.IsTrue)
	c.Assert(r.Answered("u", now), qt.IsTrue)
	c.Assert(r.Out("u", now), qt.IsFalse)
}

func TestFullComesBackByTime(t *testing.T) {
	c := qt.New(t)
	var r Register
	r.Blame("u", Full, time.Second)
	c.Assert(r.Out("u", time.Second+pauses[Full]-ms), qt.IsTrue)
	c.Assert(r.Out("u", time.Second+pauses[Full]), qt.IsFalse)
	c.Assert(r.DueProbes(2*time.Second), qt.HasLen, 0)
}

func TestSuspectIsProbedButStaysInUse(t *testing.T) {
	c := qt.New(t)
	var r Register
	r.Suspect("u", time.Second)
	c.Assert(r.Out("u", time.Second), qt.IsFalse)
	c.Assert(r.DueProbes(time.Second), qt.DeepEquals, []string{"u"})
	r.Suspect("u", time.Second+ms)
	c.Assert(r.DueProbes(time.Second+ms), qt.HasLen, 0, qt.Commentf("probed a moment ago"))
}

func TestHearsayIsNotPassedOn(t *testing.T) {
	c := qt.New(t)
	var r Register
	r.Hear("u", time.Hour, time.Second)
	c.Assert(r.Out("u", time.Second), qt.IsTrue)
	c.Assert(r.Outs(time.Second), qt.HasLen, 0)
	c.Assert(r.Out("u", time.Second+probeInterval), qt.IsFalse, qt.Commentf("a peer's word is bounded"))
}

func TestFailuresAreForgotten(t *testing.T) {
	c := qt.New(t)
	var r Register
	for range 20 {
		r.Result("u", true, time.Second)
	}
	c.Assert(r.Failures("u", time.Second) > 0.9, qt.IsTrue)
	r.Result("u", false, time.Second)
	c.Assert(r.Failures("u", time.Second) < 0.9, qt.IsTrue)
	c.Assert(r.Failures("u", time.Second+forgetAfter+ms), qt.Equals, 0.0)
}

func TestSlowEngineIsAskedUntilItIsNot(t *testing.T) {
	c := qt.New(t)
	var r Register
	c.Assert(r.PaceDue("u", time.Second), qt.IsTrue)
	c.Assert(r.PaceDue("u", time.Second), qt.IsFalse)
	c.Assert(r.SetPace("u", 4.5, time.Second), qt.IsTrue)
	c.Assert(r.Pace("u"), qt.Equals, 4.5)
	c.Assert(r.SlowDue(2*time.Second), qt.DeepEquals, []string{"u"})
	c.Assert(r.SetPace("u", 1, 2*time.Second), qt.IsTrue)
	c.Assert(r.Pace("u"), qt.Equals, 1.0)
	c.Assert(r.SlowDue(3*time.Second), qt.HasLen, 0)
}

func TestLinkIsDoubtedAfterTwoLosses(t *testing.T) {
	c := qt.New(t)
	var l Links
	c.Assert(l.Lost("a", "b", "u1", time.Second), qt.IsFalse)
	c.Assert(l.Lost("a", "b", "u1", time.Second+ms), qt.IsFalse, qt.Commentf("the same upstream again"))
	c.Assert(l.Lost("a", "b", "u2", time.Second+2*ms), qt.IsTrue)
	c.Assert(l.Doubted("b", "a", time.Second+3*ms), qt.IsTrue)
	c.Assert(l.Doubted("a", "c", time.Second+3*ms), qt.IsFalse)
	c.Assert(l.Doubted("a", "b", time.Second+2*ms+linkPause), qt.IsFalse)
	c.Assert(l.Lost("a", "a", "u3", time.Second), qt.IsFalse, qt.Commentf("no link within a zone"))
}
