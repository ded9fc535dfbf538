package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStartedProcessMayRetry guards against a process that may send no retry at all
// although none was sent anywhere, because it has had few requests since its start.
func TestStartedProcessMayRetry(t *testing.T) {
	c := qt.New(t)
	a := Allowance{Share: 0.2, Slack: 202, Window: 10 * time.Second}
	peers := View{Counts: Counts{Requests: 707}, Processes: 9}
	var w Window
	w.RecordRequest(a, time.Minute)
	c.Check(w.Allow(a, peers, time.Minute), qt.IsTrue)
	c.Check(w.Allow(a, peers, time.Minute), qt.IsFalse)
}

// TestSharesAddUpToAllowance checks that processes that retry at once, unaware of each
// other, don't exceed the allowance, however few retries it has for each.
func TestSharesAddUpToAllowance(t *testing.T) {
	for _, left := range []float64{0, 1, 8, 9, 10, 300} {
		requests := []float64{0, 0, 1, 2, 50, 100, 150, 200, 204}
		var all, sum float64
		for _, n := range requests {
			all += n
		}
		for _, n := range requests {
			sum += processShare(left, Counts{Requests: n}, View{Counts: Counts{Requests: all - n}, Processes: len(requests)})
		}
		qt.Check(t, sum <= left+1e-9, qt.IsTrue, qt.Commentf("%v of %v", sum, left))
	}
}
