package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSilentStreamIsProbedInTime checks that the first probe of a silent stream
// comes early enough to continue the stream elsewhere within the route's limits.
func TestSilentStreamIsProbedInTime(t *testing.T) {
	for _, x := range []struct {
		name     string
		schedule ProbeSchedule
		begun    bool
		probes   int
		want     time.Duration
	}{
		{"first event", ProbeSchedule{Objective: 400 * ms, MaxPause: 200 * ms}, false, 0, 120 * ms},
		{"first event of a route with a long objective", ProbeSchedule{Objective: time.Minute}, false, 0, maxProbeDelay},
		{"pause", ProbeSchedule{Objective: 500 * ms, MaxPause: 200 * ms}, true, 0, 100 * ms},
		{"pause of a fast stream", ProbeSchedule{MaxPause: 200 * ms, EventInterval: 5 * ms}, true, 0, minProbeDelay},
		{"pause of a typical stream", ProbeSchedule{MaxPause: 200 * ms, EventInterval: 26 * ms}, true, 0, 91 * ms},
		{"pause of a slower stream", ProbeSchedule{MaxPause: 200 * ms, EventInterval: 60 * ms}, true, 0, 100 * ms},
		{"pause without a limit", ProbeSchedule{EventInterval: 30 * ms}, true, 0, maxProbeDelay},
		{"no limit and no interval", ProbeSchedule{}, true, 0, maxProbeDelay},
		{"again", ProbeSchedule{MaxPause: 200 * ms}, true, 1, earlyProbeInterval},
		{"after the early probes", ProbeSchedule{MaxPause: 200 * ms}, true, earlyProbes, middleProbeInterval},
		{"later", ProbeSchedule{MaxPause: 200 * ms}, true, earlyProbes + 1, lateProbeInterval},
	} {
		t.Run(x.name, func(t *testing.T) {
			qt.Check(t, x.schedule.NextProbe(x.begun, x.probes), qt.Equals, x.want)
		})
	}
}

// TestSlowStreamIsNotProbedBetweenEvents guards against probing a stream between
// its regular events: engines that are five times slower than usual bring them
// 100 to 200 ms apart. A silence that lasts must still be probed.
func TestSlowStreamIsNotProbedBetweenEvents(t *testing.T) {
	s := ProbeSchedule{Objective: 500 * ms, MaxPause: 200 * ms}
	for _, x := range []struct{ interval, pause time.Duration }{{100 * ms, 130 * ms}, {150 * ms, 200 * ms}, {200 * ms, 280 * ms}} {
		s.EventInterval = x.interval
		qt.Check(t, s.NextProbe(true, 0) >= x.pause, qt.IsTrue, qt.Commentf("%v", x))
		qt.Check(t, s.NextProbe(true, 1) >= x.interval, qt.IsTrue, qt.Commentf("%v", x))
		qt.Check(t, s.NextProbe(true, 0) <= maxProbeDelay, qt.IsTrue, qt.Commentf("%v", x))
	}
	s.EventInterval = time.Second
	qt.Check(t, s.NextProbe(true, 0), qt.Equals, maxProbeDelay)
}
