package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// knowable says whether an entry can know that a booking under fault has not
// run: no byte of it had left when the fault struck, and the service does not
// break off what it has been sent.
func knowable(x fault, at step) bool {
	switch at {
	case stepHalfSent, stepSent, stepHalfAnswer, stepRecording:
		return false
	}
	return x.name != "service resets before"
}

// TestCautiousVerdicts measures how often a booking under fault is refused as
// may-have-run although it has not run: what a caller then has to find out by
// other means. It may say so only where the entry can't know.
func TestCautiousVerdicts(t *testing.T) {
	t.Parallel()
	refused, cautious := 0, 0
	byFault := make(map[string]int)
	for _, x := range serviceFaults() {
		for _, at := range serviceSteps {
			s := &strikes{}
			inFleet(t, func(t *testing.T, f *fleet) {
				k := &strike{at: at, fire: func(address string) { x.strike(f, address) }}
				s.arm(k)
				if at == stepBefore {
					k.do("")
				}
				// An entry that was paused wakes before the fleet ends.
				defer time.Sleep(x.lasts)
				got := f.book("wien-entry", "k1", "roses")
				if got.status == 0 || got.status == 200 {
					return
				}
				refused++
				if got.verdict == "may-have-run" && f.effects("k1") == 0 {
					cautious++
					byFault[fmt.Sprintf("%s at %s", x.name, at)]++
					qt.Check(t, knowable(x, at), qt.IsFalse, qt.Commentf("%s at %s: %+v", x.name, at, got))
				}
			}, withStrikes(s))
		}
	}
	t.Logf("%d of %d refusals said may-have-run for a booking that had not run: %v", cautious, refused, byFault)
}
