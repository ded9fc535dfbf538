package outage

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOutageEndsWithFirstAnswer guards against an outage whose end is dated by a later
// answer, or again by each one while the calls of this gateway fail.
func TestOutageEndsWithFirstAnswer(t *testing.T) {
	const s = time.Second
	for _, x := range []struct {
		name string
		play func(tr *Tracker)
		want time.Duration
	}{
		{"none", func(tr *Tracker) { tr.RecordAnswer(10 * s) }, 0},
		{"own answer", func(tr *Tracker) {
			tr.RecordFailure(10 * s)
			tr.RecordFailure(12 * s)
			tr.RecordAnswer(14 * s)
			tr.RecordAnswer(20 * s)
		}, 14 * s},
		{"a peer's answer first", func(tr *Tracker) { tr.RecordFailure(10 * s); tr.RecordPeerAnswer(11*s, 12*s); tr.RecordAnswer(14 * s) }, 12 * s},
		{"a peer's call from before", func(tr *Tracker) { tr.RecordFailure(10 * s); tr.RecordPeerAnswer(9*s, 11*s); tr.RecordAnswer(14 * s) }, 14 * s},
		{"own calls go on failing", func(tr *Tracker) {
			tr.RecordFailure(10 * s)
			for now := 12 * s; now < 30*s; now += s {
				tr.RecordPeerAnswer(now-s/2, now)
				tr.RecordFailure(now + s/2)
			}
		}, 12 * s},
		{"second outage while own calls fail", func(tr *Tracker) {
			tr.RecordFailure(10 * s)
			tr.RecordPeerAnswer(11*s, 12*s)
			tr.RecordPeerAnswer(19*s, 20*s)
		}, 20 * s},
		{"second outage", func(tr *Tracker) {
			tr.RecordFailure(10 * s)
			tr.RecordAnswer(11 * s)
			tr.RecordFailure(12 * s)
			tr.RecordAnswer(13 * s)
		}, 13 * s},
		{"long wait without a failure", func(tr *Tracker) { tr.RecordAnswer(10 * s); tr.RecordAnswer(18 * s) }, 0},
		{"restoration", func(tr *Tracker) { tr.RecordRestoration(10 * s) }, 10 * s},
	} {
		t.Run(x.name, func(t *testing.T) {
			var tr Tracker
			x.play(&tr)
			at, was := tr.Ended()
			qt.Check(t, at, qt.Equals, x.want)
			qt.Check(t, was, qt.Equals, x.want > 0)
		})
	}
}
