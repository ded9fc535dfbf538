package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)

func TestSecondCrashQuarantinesRequest(t *testing.T) {
	var tr Tracker
	qt.Check(t, tr.Add("f", []Crash{{"u1", noon}}, noon), qt.IsTrue)
	qt.Check(t, tr.IsSuspect("f", noon), qt.IsTrue)
	qt.Check(t, tr.Remaining("f", noon), qt.Equals, time.Duration(0))
	qt.Check(t, tr.Add("f", []Crash{{"u2", noon}}, noon), qt.IsTrue)
	qt.Check(t, tr.Remaining("f", noon), qt.Equals, Duration)
	later := noon.Add(Duration + time.Second)
	qt.Check(t, tr.Remaining("f", later), qt.Equals, time.Duration(0))
	qt.Check(t, tr.All(later), qt.HasLen, 0)
}

// TestCrashReportedTwiceCountsOnce checks that a crash seen by two entries counts
// once, while crashes of two upstreams add up.
func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	var a, b Tracker
	a.Add("f", []Crash{{"u1", noon}}, noon)
	b.Add("f", []Crash{{"u1", noon.Add(time.Second)}}, noon.Add(time.Second))
	for _, s := range a.All(noon) {
		qt.Check(t, b.Add(s.Fingerprint, s.Crashes, noon.Add(time.Second)), qt.IsFalse)
	}
	qt.Check(t, b.Remaining("f", noon.Add(time.Second)), qt.Equals, time.Duration(0))
	b.Add("f", []Crash{{"u2", noon}}, noon.Add(time.Second))
	qt.Check(t, b.Remaining("f", noon.Add(time.Second)) > 0, qt.IsTrue)
}

// TestForPeersIsBoundedAndOrdered checks that the many suspects of a crash don't
// crowd out more important ones: suspicions with one crash are sent for a limited
// time and up to the limit, those with several crashes until they expire.
func TestForPeersIsBoundedAndOrdered(t *testing.T) {
	var tr Tracker
	tr.CrashLimit = 3
	tr.Add("twice", []Crash{{"u1", noon}, {"u2", noon}}, noon)
	const requests, limit = 500, 32
	for i := range requests {
		tr.Add(fmt.Sprint("f", i), []Crash{{"u3", noon}}, noon.Add(time.Duration(i)*time.Millisecond))
	}
	now := noon.Add(requests * time.Millisecond)
	shared := tr.ForPeers(now, limit)
	qt.Assert(t, shared, qt.HasLen, limit)
	qt.Check(t, shared[0].Fingerprint, qt.Equals, "twice")
	qt.Check(t, shared[1].Fingerprint, qt.Equals, "f499", qt.Commentf("the newest goes first"))
	shared = tr.ForPeers(now.Add(ShareTime), limit)
	qt.Assert(t, shared, qt.HasLen, 1)
	qt.Check(t, shared[0].Fingerprint, qt.Equals, "twice")
	qt.Check(t, tr.IsSuspect("f0", now.Add(ShareTime)), qt.IsTrue, qt.Commentf("still a suspect, though no longer sent to peers"))
	qt.Check(t, tr.ForPeers(noon.Add(SuspicionTTL+time.Second), limit), qt.HasLen, 0)
}

func TestExpiredCrashIsIgnored(t *testing.T) {
	var tr Tracker
	qt.Check(t, tr.Add("f", []Crash{{"u1", noon.Add(-SuspicionTTL - time.Second)}}, noon), qt.IsFalse)
	qt.Check(t, tr.IsSuspect("f", noon), qt.IsFalse)
}

func TestFingerprintDependsOnAccountAndBody(t *testing.T) {
	qt.Check(t, Fingerprint("a", "m", []byte("x")), qt.Equals, Fingerprint("a", "m", []byte("x")))
	qt.Check(t, Fingerprint("a", "m", []byte("x")), qt.Not(qt.Equals), Fingerprint("b", "m", []byte("x")))
	qt.Check(t, Fingerprint("a", "m", []byte("x")), qt.Not(qt.Equals), Fingerprint("a", "m", []byte("y")))
}
