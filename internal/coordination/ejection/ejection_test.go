package ejection

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)

func TestEjectionDoublesAndReturnsSlowly(t *testing.T) {
	var r Register
	now := noon
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		r.Fail("u", now)
		qt.Check(t, r.Ejected("u", now.Add(want-time.Millisecond)), qt.IsTrue, qt.Commentf("ejection %d", i))
		qt.Check(t, r.Ejected("u", now.Add(want)), qt.IsFalse)
		now = now.Add(want)
	}
	for _, want := range []int{1, 2, 4, 8, 8} {
		qt.Check(t, r.Room("u", 8, now), qt.Equals, want)
		r.Succeed("u", 8)
	}
	qt.Check(t, r.Room("other", 8, now), qt.Equals, 8)
}

func TestEjectionIsBounded(t *testing.T) {
	var r Register
	now := noon
	for range 20 {
		r.Fail("u", now)
		now = now.Add(MaxTime)
	}
	qt.Check(t, r.Ejected("u", now), qt.IsFalse)
}

// TestManyFailuresAtOnceCountOnce: the requests in flight on one lost upstream
// all report it.
func TestManyFailuresAtOnceCountOnce(t *testing.T) {
	var r Register
	for range 50 {
		r.Fail("u", noon)
	}
	qt.Check(t, r.Ejected("u", noon.Add(BaseTime)), qt.IsFalse)
}

func TestForgets(t *testing.T) {
	var r Register
	r.Fail("u", noon)
	r.Prune(noon.Add(ForgetAfter + time.Second))
	qt.Check(t, r.records, qt.HasLen, 0)
}

func TestDoubts(t *testing.T) {
	var r Register
	r.Doubt("u", noon)
	r.Doubt("u", noon)
	r.Succeed("u", 8)
	r.Doubt("u", noon)
	r.Doubt("u", noon)
	qt.Check(t, r.Ejected("u", noon), qt.IsFalse)
	qt.Check(t, r.Recent(noon.Add(-time.Second)), qt.HasLen, 0)
	r.Doubt("u", noon)
	qt.Check(t, r.Ejected("u", noon), qt.IsTrue)
}

func TestHear(t *testing.T) {
	var r Register
	qt.Check(t, r.Hear("u", 10*time.Second, noon), qt.IsFalse)
	qt.Check(t, r.Hear("u", 200*time.Millisecond, noon), qt.IsTrue)
	qt.Check(t, r.Hear("u", 200*time.Millisecond, noon), qt.IsFalse)
	qt.Check(t, r.Ejected("u", noon), qt.IsTrue)
	qt.Check(t, r.Ejected("u", noon.Add(800*time.Millisecond)), qt.IsFalse)
}
