package ejection

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)

func TestEjectionDoublesAndSlowStarts(t *testing.T) {
	var tr Tracker
	now := noon
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		tr.RecordFailure("u", now)
		qt.Check(t, tr.Ejected("u", now.Add(want-time.Millisecond)), qt.IsTrue, qt.Commentf("ejection %d", i))
		qt.Check(t, tr.Ejected("u", now.Add(want)), qt.IsFalse)
		now = now.Add(want)
	}
	for _, want := range []int{1, 2, 4, 8, 8} {
		qt.Check(t, tr.ConcurrencyLimit("u", 8, now), qt.Equals, want)
		tr.RecordSuccess("u", 8)
	}
	qt.Check(t, tr.ConcurrencyLimit("other", 8, now), qt.Equals, 8)
}

func TestEjectionIsBounded(t *testing.T) {
	var tr Tracker
	now := noon
	for range 20 {
		tr.RecordFailure("u", now)
		now = now.Add(MaxDuration)
	}
	qt.Check(t, tr.Ejected("u", now), qt.IsFalse)
}

// TestConcurrentFailuresEjectOnce guards against counting one failure several
// times: all requests in flight on a lost upstream report it.
func TestConcurrentFailuresEjectOnce(t *testing.T) {
	var tr Tracker
	for range 50 {
		tr.RecordFailure("u", noon)
	}
	qt.Check(t, tr.Ejected("u", noon.Add(BaseDuration)), qt.IsFalse)
}

func TestOldFailuresArePruned(t *testing.T) {
	var tr Tracker
	tr.RecordFailure("u", noon)
	tr.Prune(noon.Add(ForgetAfter + time.Second))
	qt.Check(t, tr.records, qt.HasLen, 0)
}

func TestUnattributedFaultsEjectOnlyInARow(t *testing.T) {
	var tr Tracker
	tr.RecordUnattributed("u", noon)
	tr.RecordUnattributed("u", noon)
	tr.RecordSuccess("u", 8)
	tr.RecordUnattributed("u", noon)
	tr.RecordUnattributed("u", noon)
	qt.Check(t, tr.Ejected("u", noon), qt.IsFalse)
	qt.Check(t, tr.RecentFailures(noon.Add(-time.Second)), qt.HasLen, 0)
	tr.RecordUnattributed("u", noon)
	qt.Check(t, tr.Ejected("u", noon), qt.IsTrue)
}

// TestPeerFailureIsDoubtedOnlyIfRecentAndNew checks that a peer's report is a reason to
// probe once and ejects nothing, and that what is known here goes before it.
func TestPeerFailureIsDoubtedOnlyIfRecentAndNew(t *testing.T) {
	var tr Tracker
	qt.Check(t, tr.RecordPeerFailure("u", 10*time.Second, noon), qt.IsFalse)
	qt.Check(t, tr.RecordPeerFailure("u", 200*time.Millisecond, noon), qt.IsTrue)
	qt.Check(t, tr.RecordPeerFailure("u", 200*time.Millisecond, noon), qt.IsFalse)
	qt.Check(t, tr.RecordPeerFailure("u", 700*time.Millisecond, noon.Add(500*time.Millisecond)), qt.IsFalse)
	qt.Check(t, tr.RecordPeerFailure("u", 100*time.Millisecond, noon.Add(500*time.Millisecond)), qt.IsTrue)
	qt.Check(t, tr.Ejected("u", noon), qt.IsFalse)
	qt.Check(t, tr.ConcurrencyLimit("u", 8, noon.Add(time.Second)), qt.Equals, 8)
	qt.Check(t, tr.RecentFailures(noon.Add(-time.Second)), qt.HasLen, 0)

	tr.RecordFailure("failed", noon)
	qt.Check(t, tr.RecordPeerFailure("failed", 0, noon.Add(100*time.Millisecond)), qt.IsFalse)
	later := noon.Add(BaseDuration)
	qt.Check(t, tr.RecordPeerFailure("failed", BaseDuration, later), qt.IsFalse)
	qt.Check(t, tr.RecordPeerFailure("failed", 200*time.Millisecond, later), qt.IsTrue)
}

func TestAnswerSinceFailureOutweighsPeers(t *testing.T) {
	var tr Tracker
	tr.RecordAnswer("u", noon)
	qt.Check(t, tr.RecordPeerFailure("u", 200*time.Millisecond, noon.Add(100*time.Millisecond)), qt.IsFalse)
	qt.Check(t, tr.RecordPeerFailure("u", 50*time.Millisecond, noon.Add(100*time.Millisecond)), qt.IsTrue)
}

// TestEjectionDoublesOnlyIfAnyAnswers guards against long ejections of all upstreams
// by a process that has lost its own links.
func TestEjectionDoublesOnlyIfAnyAnswers(t *testing.T) {
	var tr Tracker
	now := noon
	tr.RecordAnswer("other", now)
	for range 5 {
		tr.RecordFailure("u", now)
		now = now.Add(BaseDuration)
		qt.Check(t, tr.Ejected("u", now), qt.IsFalse)
	}
	tr.RecordAnswer("other", now)
	tr.RecordFailure("u", now)
	qt.Check(t, tr.Ejected("u", now.Add(2*BaseDuration-time.Millisecond)), qt.IsTrue)
}

func TestOldContactsArePruned(t *testing.T) {
	var tr Tracker
	tr.RecordAnswer("u", noon)
	tr.Prune(noon.Add(ForgetAfter + time.Second))
	qt.Check(t, tr.contacts, qt.HasLen, 0)
}
