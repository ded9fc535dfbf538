package retry

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWindowKeepsToTheAllowance replays outages: requests are tried again as
// often as they may be, by processes that know each other's counts with a
// delay. Together they stay within the allowance in every window.
func TestWindowKeepsToTheAllowance(t *testing.T) {
	for _, x := range []struct {
		name string
		outage
	}{
		{"few processes, always", outage{processes: 4, perSecond: 20, newsDelay: 300 * time.Millisecond, slack: 100, tries: 3}},
		{"six, streams cut every 5 s", outage{processes: 6, perSecond: 13, newsDelay: 800 * time.Millisecond, slack: 196, burst: 60}},
		{"many, streams cut every 5 s", outage{processes: 77, perSecond: 4, newsDelay: 1400 * time.Millisecond, slack: 338, burst: 12}},
		{"many, always", outage{processes: 77, perSecond: 4, newsDelay: 1400 * time.Millisecond, slack: 338, tries: 3}},
		{"hundreds, streams cut every 5 s", outage{processes: 330, perSecond: 4, newsDelay: 1400 * time.Millisecond, slack: 1400, burst: 12}},
	} {
		t.Run(x.name, func(t *testing.T) {
			repeats, allowed := x.play(t)
			qt.Assert(t, repeats > allowed/2, qt.IsTrue, qt.Commentf("%.0f repeats, %.0f allowed: most of the allowance is used", repeats, allowed))
		})
	}
}

// outage is a time in which requests fail.
type outage struct {
	processes, perSecond int
	// newsDelay is how often the processes hear of each other's counts.
	newsDelay time.Duration
	slack     float64
	// tries is how many repeats each request asks for, and burst how many each
	// process asks for at once every 5 s.
	tries, burst int
}

// play returns how many repeats were sent in a minute, and how many the
// allowance has room for.
func (o *outage) play(t *testing.T) (sent, allowed float64) {
	t.Helper()
	allowance := Allowance{Share: 0.2, Slack: o.slack, Window: 10 * time.Second}
	windows := make([]Window, o.processes)
	told := make([]Counts, o.processes)
	var all Counts
	var repeats, requests []time.Duration
	step := time.Second / time.Duration(o.perSecond)
	for now := time.Second; now < 60*time.Second; now += step {
		if now%o.newsDelay < step {
			all = Counts{}
			for i := range windows {
				told[i] = windows[i].Counts(allowance, now)
				all.Requests += told[i].Requests
				all.Repeats += told[i].Repeats
			}
		}
		asked := o.tries
		if now%(5*time.Second) < step {
			asked += o.burst
		}
		for i := range windows {
			windows[i].Fresh(allowance, now)
			requests = append(requests, now)
			peers := Counts{Requests: all.Requests - told[i].Requests, Repeats: all.Repeats - told[i].Repeats}
			for range asked {
				if windows[i].Take(allowance, peers, o.processes, now) {
					repeats = append(repeats, now)
				}
			}
		}
	}
	for end := 11 * time.Second; end < 60*time.Second; end += 100 * time.Millisecond {
		got, most := within(repeats, end), allowance.Share*within(requests, end)+allowance.Slack
		if got > most {
			t.Fatalf("%v repeats in the window to %v, allowed %v", got, end, most)
		}
	}
	windowsPlayed := (59 * time.Second).Seconds() / allowance.Window.Seconds()
	return float64(len(repeats)), allowance.Share*float64(len(requests)) + allowance.Slack*windowsPlayed
}

// within counts the times in the 10 s to end; times are in order.
func within(times []time.Duration, end time.Duration) float64 {
	after := func(limit time.Duration) int {
		at, _ := slices.BinarySearch(times, limit+1)
		return at
	}
	return float64(after(end) - after(end-10*time.Second))
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
