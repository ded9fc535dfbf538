package readiness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestZoneCutOff replays a zone that is cut off from the store and the other
// zones for some seconds: the balancer has moved its callers before their keys
// can't be served any more, while a store that is down for all moves nobody.
func TestZoneCutOff(t *testing.T) {
	const (
		maxAge = 4600 * time.Millisecond
		// The gateways of other zones are missed after this time.
		missed = 2500 * time.Millisecond
		check  = time.Second
		tick   = 100 * time.Millisecond
	)
	for _, x := range []struct {
		name               string
		cut, moved, handed bool
	}{
		{"zone cut off", true, true, true},
		{"store down", false, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			misses, moved, handed := 0, false, false
			for age := time.Duration(0); age < maxAge+check; age += tick {
				s := State{Known: true, Age: age, MaxAge: maxAge, CutOff: x.cut && age >= missed}
				if age%check == 0 {
					if s.Ready() {
						misses = 0
					} else {
						misses++
					}
				}
				if age < maxAge {
					moved = moved || misses >= 2
					handed = handed || s.HandsOver()
				}
			}
			qt.Check(t, moved, qt.Equals, x.moved)
			qt.Check(t, handed, qt.Equals, x.handed)
		})
	}
}

func TestWait(t *testing.T) {
	const maxAge = 4600 * time.Millisecond
	for _, x := range []struct {
		name  string
		state State
		want  time.Duration
	}{
		{"no configuration", State{CutOff: true, MaxAge: maxAge}, time.Second},
		{"store down", State{Known: true, Age: maxAge, MaxAge: maxAge}, time.Second},
		{"cut off, the balancer has not noticed", State{Known: true, CutOff: true, Age: 2900 * time.Millisecond, MaxAge: maxAge}, time.Second},
		{"cut off, the balancer notices soon", State{Known: true, CutOff: true, Age: 4200 * time.Millisecond, MaxAge: maxAge}, 400 * time.Millisecond},
		{"cut off, the balancer has noticed", State{Known: true, CutOff: true, Age: 6 * time.Second, MaxAge: maxAge}, 0},
	} {
		t.Run(x.name, func(t *testing.T) { qt.Check(t, x.state.Wait(time.Second), qt.Equals, x.want) })
	}
}
