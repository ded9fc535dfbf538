package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSilentStreamIsAskedAboutInTime: the first question about a stream leaves
// time to go on elsewhere within what its route allows.
func TestSilentStreamIsAskedAboutInTime(t *testing.T) {
	for _, x := range []struct {
		name      string
		silence   Silence
		begun     bool
		questions int
		want      time.Duration
	}{
		{"first event", Silence{Objective: 400 * ms, MaxPause: 200 * ms}, false, 0, 300 * ms},
		{"first event of a patient route", Silence{Objective: time.Minute}, false, 0, maxDoubtAfter},
		{"pause", Silence{Objective: 500 * ms, MaxPause: 200 * ms}, true, 0, 150 * ms},
		{"no bound", Silence{}, true, 0, maxDoubtAfter},
		{"again", Silence{MaxPause: 200 * ms}, true, 1, secondDoubtAfter},
		{"later", Silence{MaxPause: 200 * ms}, true, 2, maxDoubtAfter},
	} {
		t.Run(x.name, func(t *testing.T) {
			qt.Check(t, x.silence.Next(x.begun, x.questions), qt.Equals, x.want)
		})
	}
}
