package retry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestProcessesTogetherStayWithinAllowance simulates outages in which processes
// retry as often as they may and learn of each other's counts with a delay.
// Together they must not exceed the allowance in any window, but use most of it.
func TestProcessesTogetherStayWithinAllowance(t *testing.T) {
	for _, x := range []struct {
		name string
		outage
	}{
		{"few processes, every request retried", outage{processes: 4, perSecond: 20, exchangeInterval: 300 * time.Millisecond, slack: 100, retriesPerRequest: 3}},
		{"six processes, bursts every 5 s", outage{processes: 6, perSecond: 13, exchangeInterval: 800 * time.Millisecond, slack: 196, burst: 60}},
		{"many processes, bursts every 5 s", outage{processes: 77, perSecond: 4, exchangeInterval: 1400 * time.Millisecond, slack: 338, burst: 12}},
		{"many processes, every request retried", outage{processes: 77, perSecond: 4, exchangeInterval: 1400 * time.Millisecond, slack: 338, retriesPerRequest: 3}},
		{"many uneven processes, every request retried", outage{processes: 77, perSecond: 4, exchangeInterval: 1400 * time.Millisecond, slack: 338, retriesPerRequest: 3, uneven: true}},
		{"many uneven processes, bursts every 5 s", outage{processes: 77, perSecond: 4, exchangeInterval: 1400 * time.Millisecond, slack: 338, burst: 12, uneven: true}},
		{"hundreds of processes, bursts every 5 s", outage{processes: 330, perSecond: 4, exchangeInterval: 1400 * time.Millisecond, slack: 1400, burst: 12}},
	} {
		t.Run(x.name, func(t *testing.T) {
			retries, allowed := x.simulate(t)
			qt.Assert(t, retries > allowed/2, qt.IsTrue, qt.Commentf("%.0f retries, %.0f allowed: most of the allowance should be used", retries, allowed))
		})
	}
}

// TestBusyProcessesMayRetryMore replays the loss of upstreams on which a tenth of
// all streams run, while callers are spread unevenly over the processes: the
// allowance of those with few callers must not be left unused. The retries are
// fewer than the allowance of the window.
func TestBusyProcessesMayRetryMore(t *testing.T) {
	const processes, callers, lossAt = 69, 250, 30 * time.Second
	allowance := Allowance{Share: 0.2, Slack: 322, Window: 10 * time.Second}
	windows := make([]Window, processes)
	load := make([]int, processes)
	rng := rand.New(rand.NewPCG(1, 2))
	for range callers {
		load[rng.IntN(processes)]++
	}
	for now := time.Second; now < lossAt; now += 1500 * time.Millisecond {
		for i := range windows {
			for range load[i] {
				windows[i].RecordRequest(allowance, now)
			}
		}
	}
	var all Counts
	for i := range windows {
		all = all.Add(windows[i].Counts(allowance, lossAt))
	}
	wanted, allowed := 0, 0
	for i := range windows {
		own := windows[i].Counts(allowance, lossAt)
		peers := View{Counts: Counts{Requests: all.Requests - own.Requests}, Processes: processes}
		for range 2 * load[i] {
			wanted++
			if windows[i].Allow(allowance, peers, lossAt) {
				allowed++
			}
		}
	}
	qt.Check(t, allowed, qt.Equals, wanted)
}

// outage describes a period in which requests fail.
type outage struct {
	processes, perSecond int
	// exchangeInterval is the interval at which the processes exchange counts.
	exchangeInterval time.Duration
	slack            float64
	// retriesPerRequest is the number of retries attempted for each request, and
	// burst the number that each process attempts at once every 5 s.
	retriesPerRequest, burst int
	// uneven gives process i between none and three times the requests of the
	// mean.
	uneven bool
}

// simulate returns how many retries were sent in a minute and how many the
// allowance permits.
func (o *outage) simulate(t *testing.T) (sent, allowed float64) {
	t.Helper()
	allowance := Allowance{Share: 0.2, Slack: o.slack, Window: 10 * time.Second}
	windows := make([]Window, o.processes)
	reported := make([]Counts, o.processes)
	var all Counts
	var retries, requests []time.Duration
	step := time.Second / time.Duration(o.perSecond)
	for now := time.Second; now < 60*time.Second; now += step {
		if now%o.exchangeInterval < step {
			all = Counts{}
			for i := range windows {
				reported[i] = windows[i].Counts(allowance, now)
				all.Requests += reported[i].Requests
				all.Retries += reported[i].Retries
			}
		}
		wanted := o.retriesPerRequest
		if now%(5*time.Second) < step {
			wanted += o.burst
		}
		for i := range windows {
			for range o.requestsOf(i) {
				windows[i].RecordRequest(allowance, now)
				requests = append(requests, now)
			}
			peers := View{Counts: Counts{Requests: all.Requests - reported[i].Requests, Retries: all.Retries - reported[i].Retries}, Processes: o.processes}
			for range wanted {
				if windows[i].Allow(allowance, peers, now) {
					retries = append(retries, now)
				}
			}
		}
	}
	for end := 11 * time.Second; end < 60*time.Second; end += 100 * time.Millisecond {
		got, limit := countWithin(retries, end), allowance.Share*countWithin(requests, end)+allowance.Slack
		if got > limit {
			t.Fatalf("%v retries in the window that ends at %v, allowed %v", got, end, limit)
		}
	}
	windowCount := (59 * time.Second).Seconds() / allowance.Window.Seconds()
	return float64(len(retries)), allowance.Share*float64(len(requests)) + allowance.Slack*windowCount
}

// requestsOf returns how many requests a process gets at a time.
func (o *outage) requestsOf(process int) int {
	if !o.uneven {
		return 1
	}
	return []int{0, 0, 1, 3}[process%4]
}

// countWithin counts the times in the 10 s that end at end. The times must be in
// order.
func countWithin(times []time.Duration, end time.Duration) float64 {
	upTo := func(limit time.Duration) int {
		n, _ := slices.BinarySearch(times, limit+1)
		return n
	}
	return float64(upTo(end) - upTo(end-10*time.Second))
}

func TestWindowExpiresOldRetries(t *testing.T) {
	c := qt.New(t)
	allowance := Allowance{Share: 0.2, Slack: 10, Window: 10 * time.Second}
	var w Window
	for w.Allow(allowance, View{Processes: 1}, time.Second) {
	}
	c.Assert(w.Allow(allowance, View{Processes: 1}, 5*time.Second), qt.IsFalse)
	c.Assert(w.Allow(allowance, View{Processes: 1}, 12*time.Second), qt.IsTrue)
	w.RecordRequest(allowance, 100*time.Second)
	c.Assert(w.Counts(allowance, 100*time.Second), qt.Equals, Counts{Requests: 1})
}

// TestBurstsWithinWindowShareAllowance guards against retries that are forgotten before
// they have left the window, wherever in a second they were made: two bursts that are
// less than a window apart must share one allowance.
func TestBurstsWithinWindowShareAllowance(t *testing.T) {
	allowance := Allowance{Share: 0.2, Slack: 100, Window: 10 * time.Second}
	for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
		for _, between := range []time.Duration{5 * time.Second, 9300 * time.Millisecond, 9900 * time.Millisecond, 9999 * time.Millisecond} {
			var w Window
			sent := 0
			for _, at := range []time.Duration{30*time.Second + offset, 30*time.Second + offset + between} {
				for w.Allow(allowance, View{Processes: 1}, at) {
					sent++
				}
			}
			qt.Check(t, sent <= int(allowance.Slack), qt.IsTrue, qt.Commentf("%d retries in bursts %v apart, the first %v after a second", sent, between, offset))
		}
	}
}
