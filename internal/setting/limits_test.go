package setting

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLimitsOfSmallestVM guards against budgets that together exceed the memory or the
// descriptors of the smallest VM, beside the 22 MB that an idle process takes.
func TestLimitsOfSmallestVM(t *testing.T) {
	// An idle process has 8 MB that the Go runtime counts.
	const idleBytes, idleGoBytes, garbage = 22 << 20, 8 << 20, 1.25
	l := Limits{MemoryMB: 136, MaxDescriptors: 2870}
	qt.Check(t, l.InputBytes(), qt.Equals, int64(34<<20))
	held := idleBytes + l.InputBytes() + l.AnswerBytes() + l.BodyBytes()
	qt.Check(t, float64(held)*garbage <= 136<<20, qt.IsTrue, qt.Commentf("%d MB", held>>20))
	goBytes := held - idleBytes + idleGoBytes
	qt.Check(t, l.GoMemoryBytes() < 136<<20 && l.GoMemoryBytes() > goBytes, qt.IsTrue, qt.Commentf("%d MB, %d held", l.GoMemoryBytes()>>20, goBytes>>20))
	qt.Check(t, l.CallerConnections(), qt.Equals, 1160)
	listeners := l.CallerConnections() + l.UnknownPeerConnections() + 2*l.ToolConnections()
	qt.Check(t, listeners < 2870-fileDescriptors, qt.IsTrue, qt.Commentf("%d", listeners))
}

// TestDefaultLimits guards against defaults that a deployment meets which states nothing:
// the budgets of answers and bodies stay as they were.
func TestDefaultLimits(t *testing.T) {
	var l Limits
	qt.Check(t, l.AnswerBytes(), qt.Equals, int64(64<<20))
	qt.Check(t, l.BodyBytes(), qt.Equals, int64(64<<20))
	qt.Check(t, l.InputBytes(), qt.Equals, int64(96<<20))
	qt.Check(t, l.GoMemoryBytes(), qt.Equals, int64(0))
	qt.Check(t, (&Limits{MaxConnections: 5}).CallerConnections(), qt.Equals, 5)
}
