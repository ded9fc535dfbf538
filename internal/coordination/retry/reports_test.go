package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const reportWindow = 10 * time.Second

// reportOf returns a report of some retries, and as many requests.
func reportOf(sender string, reach time.Duration, retries float64) Report {
	return Report{Sender: sender, Reach: reach, Counts: map[string]Counts{"s": {Requests: retries, Retries: retries}}}
}

// TestReportsMatchLatest guards against sums that differ from the latest reports. It
// compares them with the sums over all reports after each of many updates and after
// peers were dropped.
func TestReportsMatchLatest(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var reports Reports
		last := make(map[string]Report)
		for range 500 {
			peer := fmt.Sprint("p", random.IntN(12))
			if random.IntN(10) == 0 {
				delete(last, peer)
				reports.Retain(func(source string) bool { _, ok := last[source]; return ok }, reportWindow, time.Minute)
			} else {
				last[peer] = reportOf(peer, reportWindow, random.Float64())
				reports.Set(peer, last[peer], reportWindow, time.Minute)
			}
			var want Counts
			for _, r := range last {
				want = want.Add(r.Counts["s"])
			}
			got := reports.Heard("s")
			for _, difference := range []float64{got.Requests - want.Requests, got.Retries - want.Retries} {
				qt.Assert(t, difference < 1e-6 && difference > -1e-6, qt.IsTrue, qt.Commentf("%v, not %v", got, want))
			}
		}
	}
}

// TestReportsOfEndedSenders covers what counts when a process is silent or starts
// again, and when a process that has just started speaks for its zone.
func TestReportsOfEndedSenders(t *testing.T) {
	const start = time.Minute
	whole := reportOf("a", time.Hour, 8)
	for _, x := range []struct {
		name string
		// later holds the reports after the first one, by their time after it.
		later map[time.Duration]Report
		// heard and gone are the retries 9 s after the first report.
		heard, gone float64
	}{
		{"no other report", nil, 8, 0},
		{"a newer report", map[time.Duration]Report{time.Second: reportOf("a", time.Hour, 9)}, 9, 0},
		{"of an earlier build", map[time.Duration]Report{time.Second: reportOf("a", 0, 9)}, 9, 0},
		{"started again", map[time.Duration]Report{time.Second: reportOf("a", 400*time.Millisecond, 1)}, 1, 8},
		{"started again, reported twice", map[time.Duration]Report{time.Second: reportOf("a", 400*time.Millisecond, 1), 2 * time.Second: reportOf("a", 1300*time.Millisecond, 2)}, 2, 8},
		{"started again twice", map[time.Duration]Report{time.Second: reportOf("a", 400*time.Millisecond, 1), 2 * time.Second: reportOf("a", 200*time.Millisecond, 2)}, 2, 9},
		{"another that knows as much", map[time.Duration]Report{time.Second: reportOf("b", time.Hour, 7)}, 7, 0},
		{"another that knows less", map[time.Duration]Report{time.Second: reportOf("b", time.Second, 1)}, 8, 0},
		{"another that knows less after a silence", map[time.Duration]Report{3 * time.Second: reportOf("b", time.Second, 1)}, 1, 8},
	} {
		t.Run(x.name, func(t *testing.T) {
			var reports Reports
			reports.Set("zone", whole, reportWindow, start)
			for after := time.Duration(0); after <= 9*time.Second; after += 100 * time.Millisecond {
				if r, ok := x.later[after]; ok {
					reports.Set("zone", r, reportWindow, start+after)
				}
				reports.Retain(func(string) bool { return true }, reportWindow, start+after)
			}
			qt.Check(t, reports.Heard("s").Retries, qt.Equals, x.heard)
			qt.Check(t, reports.Gone("s"), qt.Equals, x.gone)
			reports.Retain(func(string) bool { return false }, reportWindow, start+9*time.Second)
			qt.Check(t, reports.Heard("s"), qt.Equals, Counts{})
			qt.Check(t, reports.Gone("s"), qt.Equals, x.heard+x.gone, qt.Commentf("no longer heard"))
			reports.Retain(func(string) bool { return false }, reportWindow, start+19*time.Second)
			qt.Check(t, reports.Gone("s"), qt.Equals, 0.0, qt.Commentf("left the window"))
		})
	}
}
