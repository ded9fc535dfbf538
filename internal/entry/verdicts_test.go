package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// canKnowNotRun reports whether an entry can know that a booking under fault x
// has not run: no byte of it had been sent when the fault occurred, and the
// service does not reset the connection after receiving the booking.
func canKnowNotRun(x fault, at step) bool {
	switch at {
	case stepHalfSent, stepSent, stepHalfAnswer, stepRecording:
		return false
	}
	return x.name != "service resets before"
}

// TestMayHaveRunOnlyWhenUnknown guards against verdicts of may-have-run for
// bookings that the entry can know not to have run: the caller would have to find
// out by other means. It logs how often a booking that did not run gets this
// verdict, per fault.
func TestMayHaveRunOnlyWhenUnknown(t *testing.T) {
	t.Parallel()
	refused, overcautious := 0, 0
	byFault := make(map[string]int)
	for _, x := range serviceFaults() {
		for _, at := range serviceSteps {
			s := &injector{}
			withFleet(t, func(t *testing.T, f *fleet) {
				k := &injection{at: at, inject: func(address string) { x.inject(f, address) }}
				s.setInjections(k)
				if at == stepBefore {
					k.trigger("")
				}
				// A paused entry must resume before the fleet is closed.
				defer time.Sleep(x.duration)
				got := f.book("wien-entry", "k1", "roses")
				if got.status == 0 || got.status == 200 {
					return
				}
				refused++
				if got.verdict == "may-have-run" && f.effects("k1") == 0 {
					overcautious++
					byFault[fmt.Sprintf("%s at %s", x.name, at)]++
					qt.Check(t, canKnowNotRun(x, at), qt.IsFalse, qt.Commentf("%s at %s: %+v", x.name, at, got))
				}
			}, withInjector(s))
		}
	}
	t.Logf("%d of %d refusals said may-have-run for a booking that had not run: %v", overcautious, refused, byFault)
}
