package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)

func TestSecondCrashNamesTheCulprit(t *testing.T) {
	var r Register
	qt.Check(t, r.Add("f", []Crash{{"u1", noon}}, noon), qt.IsTrue)
	qt.Check(t, r.Suspect("f", noon), qt.IsTrue)
	qt.Check(t, r.Quarantined("f", noon), qt.Equals, time.Duration(0))
	qt.Check(t, r.Add("f", []Crash{{"u2", noon}}, noon), qt.IsTrue)
	qt.Check(t, r.Quarantined("f", noon), qt.Equals, Time)
	later := noon.Add(Time + time.Second)
	qt.Check(t, r.Quarantined("f", later), qt.Equals, time.Duration(0))
	qt.Check(t, r.All(later), qt.HasLen, 0)
}

// TestOneCrashReportedTwice: two entries that see the same upstream crash
// count it once; two upstreams lost at two entries add up.
func TestOneCrashReportedTwice(t *testing.T) {
	var a, b Register
	a.Add("f", []Crash{{"u1", noon}}, noon)
	b.Add("f", []Crash{{"u1", noon.Add(time.Second)}}, noon.Add(time.Second))
	for _, s := range a.All(noon) {
		qt.Check(t, b.Add(s.Fingerprint, s.Crashes, noon.Add(time.Second)), qt.IsFalse)
	}
	qt.Check(t, b.Quarantined("f", noon.Add(time.Second)), qt.Equals, time.Duration(0))
	b.Add("f", []Crash{{"u2", noon}}, noon.Add(time.Second))
	qt.Check(t, b.Quarantined("f", noon.Add(time.Second)) > 0, qt.IsTrue)
}

// TestTold: what many upstreams lost at once leave behind is told for a while
// and a part at a time, what more than one crash points at as long as it lasts.
func TestTold(t *testing.T) {
	var r Register
	r.Limit = 3
	r.Add("twice", []Crash{{"u1", noon}, {"u2", noon}}, noon)
	const requests, most = 500, 32
	for i := range requests {
		r.Add(fmt.Sprint("f", i), []Crash{{"u3", noon}}, noon.Add(time.Duration(i)*time.Millisecond))
	}
	now := noon.Add(requests * time.Millisecond)
	told := r.Told(now, most)
	qt.Assert(t, told, qt.HasLen, most)
	qt.Check(t, told[0].Fingerprint, qt.Equals, "twice")
	qt.Check(t, told[1].Fingerprint, qt.Equals, "f499", qt.Commentf("the newest goes first"))
	told = r.Told(now.Add(TellTime), most)
	qt.Assert(t, told, qt.HasLen, 1)
	qt.Check(t, told[0].Fingerprint, qt.Equals, "twice")
	qt.Check(t, r.Suspect("f0", now.Add(TellTime)), qt.IsTrue, qt.Commentf("not told, but known"))
	qt.Check(t, r.Told(noon.Add(SuspectTime+time.Second), most), qt.HasLen, 0)
}

func TestOldCrashIsNoNews(t *testing.T) {
	var r Register
	qt.Check(t, r.Add("f", []Crash{{"u1", noon.Add(-SuspectTime - time.Second)}}, noon), qt.IsFalse)
	qt.Check(t, r.Suspect("f", noon), qt.IsFalse)
}

func TestFingerprint(t *testing.T) {
	qt.Check(t, Fingerprint("a", "m", []byte("x")), qt.Equals, Fingerprint("a", "m", []byte("x")))
	qt.Check(t, Fingerprint("a", "m", []byte("x")), qt.Not(qt.Equals), Fingerprint("b", "m", []byte("x")))
	qt.Check(t, Fingerprint("a", "m", []byte("x")), qt.Not(qt.Equals), Fingerprint("a", "m", []byte("y")))
}
