package restoration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const second = time.Second

func TestFirstEraIsNoRestoration(t *testing.T) {
	var r Tracker
	qt.Check(t, r.Observe(0, second), qt.IsFalse)
	qt.Check(t, r.Observe(4, second), qt.IsFalse)
	qt.Check(t, r.Era(), qt.Equals, int64(4))
	qt.Check(t, r.Restored(), qt.IsFalse)
	qt.Check(t, r.Age(second) < 0, qt.IsTrue)
	qt.Check(t, r.Confirms(5, 5, second), qt.IsTrue)
}

// TestConfirmation covers what an answer of a restored store proves.
func TestConfirmation(t *testing.T) {
	var r Tracker
	r.Observe(1, second)
	qt.Assert(t, r.Observe(2, 10*second), qt.IsTrue)
	for _, x := range []struct {
		name         string
		stored, held int64
		sent         time.Duration
		want         bool
	}{
		{"a revocation may have been lost", 6, 6, 10500 * time.Millisecond, false},
		{"the operator has written again", 6, 6, 12 * second, true},
		{"the operator has not written again", 5, 6, 12 * second, false},
		{"the operator has nothing to write", 5, 6, 25 * second, true},
		{"newer than the one held", 7, 6, 12 * second, true},
	} {
		qt.Check(t, r.Confirms(x.stored, x.held, x.sent), qt.Equals, x.want, qt.Commentf(x.name))
	}
}

func TestEraOfPeers(t *testing.T) {
	var r Tracker
	// A process that started after the restoration learns of it from a peer.
	r.Observe(2, 20*second)
	qt.Check(t, r.ObservePeer(2, -1, 20*second), qt.IsFalse)
	qt.Check(t, r.Restored(), qt.IsFalse)
	qt.Check(t, r.ObservePeer(2, second, 20*second), qt.IsFalse)
	qt.Check(t, r.Age(20*second), qt.Equals, second)
	qt.Check(t, r.Reentering(24*second), qt.IsTrue)
	qt.Check(t, r.Reentering(25*second), qt.IsFalse)
	// A peer that saw it later, or knows an earlier era only, changes nothing.
	r.ObservePeer(2, 0, 21*second)
	r.ObservePeer(1, 5*second, 21*second)
	qt.Check(t, r.Age(21*second), qt.Equals, 2*second)
	// The next era begins anew.
	qt.Check(t, r.ObservePeer(3, 0, 30*second), qt.IsTrue)
	qt.Check(t, r.Age(30*second), qt.Equals, time.Duration(0))
	qt.Check(t, r.Reentering(30*second), qt.IsTrue)
}
