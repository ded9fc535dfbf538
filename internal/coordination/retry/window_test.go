package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWindowKeepsToTheAllowance replays an outage: each request is tried again
// as often as it may be, by four processes that know each other's counts with a
// delay. Together they stay within the allowance in every window.
func TestWindowKeepsToTheAllowance(t *testing.T) {
	const (
		processes = 4
		perSecond = 20
		newsDelay = 300 * time.Millisecond
	)
	allowance := Allowance{Share: 0.2, Slack: 100, Window: 10 * time.Second}
	windows := make([]Window, processes)
	told := make([]Counts, processes)
	var repeats, requests []time.Duration
	step := time.Second / perSecond
	for now := time.Second; now < 60*time.Second; now += step {
		if now%newsDelay < step {
			for i := range windows {
				told[i] = windows[i].Counts(allowance, now)
			}
		}
		for i := range windows {
			windows[i].Fresh(allowance, now)
			requests = append(requests, now)
			var peers Counts
			for j := range told {
				if j != i {
					peers.Requests += told[j].Requests
					peers.Repeats += told[j].Repeats
				}
			}
			for range 3 {
				if windows[i].Take(allowance, peers, processes, now) {
					repeats = append(repeats, now)
				}
			}
		}
	}
	within := func(times []time.Duration, end time.Duration) float64 {
		n := 0.0
		for _, at := range times {
			if at > end-allowance.Window && at <= end {
				n++
			}
		}
		return n
	}
	for end := 11 * time.Second; end < 60*time.Second; end += 100 * time.Millisecond {
		got, most := within(repeats, end), allowance.Share*within(requests, end)+allowance.Slack
		if got > most {
			t.Fatalf("%v repeats in the window to %v, allowed %v", got, end, most)
		}
	}
	qt.Assert(t, len(repeats) > 400, qt.IsTrue, qt.Commentf("%d repeats: the allowance is used", len(repeats)))
}

func TestWindowForgets(t *testing.T) {
	c := qt.New(t)
	allowance := Allowance{Share: 0.2, Slack: 10, Window: 10 * time.Second}
	var w Window
	for w.Take(allowance, Counts{}, 1, time.Second) {
	}
	c.Assert(w.Take(allowance, Counts{}, 1, 5*time.Second), qt.IsFalse)
	c.Assert(w.Take(allowance, Counts{}, 1, 12*time.Second), qt.IsTrue)
	w.Fresh(allowance, 100*time.Second)
	c.Assert(w.Counts(allowance, 100*time.Second), qt.Equals, Counts{Requests: 1})
}
