package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// held is the incarnation that asks for hold-offs, and restarted a later one.
var held, restarted = fleet.Incarnation{Instance: "u", Started: 1}, fleet.Incarnation{Instance: "u", Started: 2}

// retain retains the state of an upstream that is listed as one incarnation.
func retain(tr *Tracker, listed fleet.Incarnation, now time.Duration) {
	tr.Retain(func(instance string) (fleet.Incarnation, bool) { return listed, instance == listed.Instance }, now)
}

func TestHoldOffExpires(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	now := time.Second
	c.Assert(tr.HoldOffCalls(held, 2*time.Second, now), qt.IsTrue)
	c.Assert(tr.HoldOffCalls(held, time.Second, now), qt.IsFalse, qt.Commentf("a shorter wait does not end a longer one"))
	c.Assert(tr.MayCall("u", now+2*time.Second-ms), qt.IsFalse)
	c.Assert(tr.MayCall("u", now+2*time.Second), qt.IsTrue)
	c.Assert(tr.Excluded("u", now), qt.IsFalse, qt.Commentf("work may still reach it through other upstreams"))
	tr.HoldOffWork(held, time.Second, now)
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
	tr.HoldOffCalls(held, time.Minute, now)
	later := now + 30*time.Second
	c.Assert(tr.DueProbes(later), qt.HasLen, 0)
	c.Assert(tr.SlowEnginesDue(later), qt.HasLen, 0)
	c.Assert(tr.DueProbes(now+time.Minute), qt.DeepEquals, []string{"u"})
	c.Assert(tr.SlowEnginesDue(now+time.Minute), qt.DeepEquals, []string{"u"})
}

func TestHoldOffIsBounded(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.HoldOffCalls(held, 24*time.Hour, time.Second)
	c.Assert(tr.MayCall("u", time.Second+maxHoldOff-ms), qt.IsFalse)
	c.Assert(tr.MayCall("u", time.Second+maxHoldOff), qt.IsTrue)
}

func TestRestartClearsHoldOff(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.HoldOffCalls(held, time.Minute, time.Second)
	tr.HoldOffWork(held, time.Minute, time.Second)
	retain(&tr, held, time.Second)
	c.Assert(tr.MayCall("u", time.Second), qt.IsFalse)
	retain(&tr, restarted, time.Second)
	c.Assert(tr.MayCall("u", time.Second), qt.IsTrue)
	c.Assert(tr.Excluded("u", time.Second), qt.IsFalse)
	tr.HoldOffWork(restarted, time.Minute, time.Second)
	c.Assert(tr.MayCall("u", time.Second), qt.IsTrue, qt.Commentf("the former incarnation's hold-off"))
}

// TestHoldOffOutlivesEntry guards against forgetting a hold-off while the upstream's entry
// has lapsed, and against keeping anything else or keeping it for ever.
func TestHoldOffOutlivesEntry(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	none := fleet.Incarnation{}
	tr.RecordFault("u", Unreachable, time.Second)
	tr.RecordFault("v", Unreachable, time.Second)
	tr.HoldOffCalls(held, 10*time.Second, time.Second)
	retain(&tr, none, 2*time.Second)
	c.Check(tr.MayCall("u", 2*time.Second), qt.IsFalse)
	c.Check(tr.ExcludedForFault("u", 2*time.Second), qt.IsFalse)
	c.Check(tr.records, qt.HasLen, 1)
	retain(&tr, held, 3*time.Second)
	c.Check(tr.MayCall("u", 3*time.Second), qt.IsFalse, qt.Commentf("listed again"))
	retain(&tr, none, 4*time.Second)
	retain(&tr, restarted, 5*time.Second)
	c.Check(tr.MayCall("u", 5*time.Second), qt.IsTrue, qt.Commentf("listed again after a restart"))
	retain(&tr, none, 11*time.Second)
	c.Check(tr.records, qt.HasLen, 0)
}
