package readiness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIsolatedZoneMovesCallersInTime simulates a zone that is partitioned from
// the store and the other zones. The load balancer must move its callers before
// their keys can no longer be served, and must not move them if the store is down
// for all zones.
func TestIsolatedZoneMovesCallersInTime(t *testing.T) {
	const (
		maxAge = 4600 * time.Millisecond
		// detection is the time until the loss of the other zones is detected.
		detection     = 2500 * time.Millisecond
		checkInterval = time.Second
		tick          = 100 * time.Millisecond
	)
	for _, x := range []struct {
		name                    string
		isolated, moved, closed bool
	}{
		{"zone isolated", true, true, true},
		{"store down", false, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			failedChecks, moved, closed := 0, false, false
			for age := time.Duration(0); age < maxAge+checkInterval; age += tick {
				s := State{HasConfiguration: true, Age: age, MaxAge: maxAge, ZoneIsolated: x.isolated && age >= detection}
				if age%checkInterval == 0 {
					if s.Ready() {
						failedChecks = 0
					} else {
						failedChecks++
					}
				}
				if age < maxAge {
					moved = moved || failedChecks >= 2
					closed = closed || s.ShouldCloseConnections()
				}
			}
			qt.Check(t, moved, qt.Equals, x.moved)
			qt.Check(t, closed, qt.Equals, x.closed)
		})
	}
}

func TestRetryDelay(t *testing.T) {
	const maxAge = 4600 * time.Millisecond
	for _, x := range []struct {
		name  string
		state State
		want  time.Duration
	}{
		{"no configuration", State{ZoneIsolated: true, MaxAge: maxAge}, time.Second},
		{"store down", State{HasConfiguration: true, Age: maxAge, MaxAge: maxAge}, time.Second},
		{"zone isolated, the balancer has not noticed", State{HasConfiguration: true, ZoneIsolated: true, Age: 2900 * time.Millisecond, MaxAge: maxAge}, time.Second},
		{"zone isolated, the balancer notices soon", State{HasConfiguration: true, ZoneIsolated: true, Age: 4200 * time.Millisecond, MaxAge: maxAge}, 400 * time.Millisecond},
		{"zone isolated, the balancer has noticed", State{HasConfiguration: true, ZoneIsolated: true, Age: 6 * time.Second, MaxAge: maxAge}, 0},
	} {
		t.Run(x.name, func(t *testing.T) { qt.Check(t, x.state.RetryDelay(time.Second), qt.Equals, x.want) })
	}
}
