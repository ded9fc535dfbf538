package reach

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLostPathIsTriedUntilItIsBack(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	now := time.Second
	c.Assert(tr.BeginCheck("u", now), qt.IsTrue)
	c.Assert(tr.BeginCheck("u", now), qt.IsFalse, qt.Commentf("checked just now"))
	c.Assert(tr.RecordRelayed("u", now), qt.IsTrue)
	c.Assert(tr.RecordRelayed("u", now), qt.IsFalse)
	c.Assert(tr.Relayed(), qt.DeepEquals, map[string]time.Duration{"u": now})
	c.Assert(tr.DueChecks(now), qt.HasLen, 0)
	now += recheckInterval
	c.Assert(tr.BeginCheck("u", now), qt.IsFalse, qt.Commentf("its path is tried anyway"))
	c.Assert(tr.DueChecks(now), qt.DeepEquals, []string{"u"})
	c.Assert(tr.DueChecks(now), qt.HasLen, 0)
	c.Assert(tr.RecordDirect("u"), qt.IsTrue)
	c.Assert(tr.RecordDirect("u"), qt.IsFalse)
	c.Assert(tr.Relayed(), qt.HasLen, 0)
}

// TestOneLostPathIsNoFaultOfOwnLink guards against taking the loss of single upstreams,
// one after the other, for a fault of the own link.
func TestOneLostPathIsNoFaultOfOwnLink(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.RecordRelayed("a", time.Second)
	c.Assert(tr.OwnLinkSuspected(time.Second), qt.IsFalse)
	tr.RecordRelayed("b", time.Second+suspicionWindow)
	c.Assert(tr.OwnLinkSuspected(time.Second+suspicionWindow), qt.IsFalse)
	tr.RecordRelayed("c", 2*time.Second+suspicionWindow/2)
	c.Assert(tr.OwnLinkSuspected(2*time.Second+suspicionWindow/2), qt.IsTrue)
	c.Assert(tr.OwnLinkSuspected(4*time.Second), qt.IsFalse)
}

func TestPathsOfFormerUpstreamsAreForgotten(t *testing.T) {
	var tr Tracker
	tr.RecordRelayed("a", time.Second)
	tr.RecordRelayed("b", time.Second)
	tr.Retain(func(address string) bool { return address == "b" })
	qt.Assert(t, tr.Relayed(), qt.DeepEquals, map[string]time.Duration{"b": time.Second})
}
