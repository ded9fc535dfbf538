package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestAccountAtSeveralPeersCountsOnce guards against a flood that is sent to many
// gateways and counts as many accounts, each with a turn before the others' requests.
func TestAccountAtSeveralPeersCountsOnce(t *testing.T) {
	c := qt.New(t)
	var r Reports
	for i := range 100 {
		r.Set(fmt.Sprint(i), []PoolReport{{Pool: "m", Rate: 3, Classes: []ClassReport{{Account: "flood", Accounts: 1, Priority: 5, Waiting: 4}}}}, noon.Add(time.Duration(i)*time.Millisecond))
	}
	f := r.Fleet("m", "small", 5, noon.Add(time.Second))
	c.Check(f.Rate, qt.Equals, 300.0)
	c.Check(f.Waiting[5], qt.Equals, 400.0)
	c.Check(f.Accounts[5], qt.Equals, 1.0)
	c.Check(f.SameAccount, qt.Equals, 0.0)
	c.Check(f.Age, qt.Equals, time.Second)
	var q Queue[string]
	p := q.Predict(item("small", 5, 1), &RateEstimator{}, f, noon)
	c.Check(p.Wait < 10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", p.Wait))
	f = r.Fleet("m", "flood", 5, noon)
	c.Check(q.Predict(item("flood", 5, 1), &RateEstimator{}, f, noon).Wait > time.Second, qt.IsTrue)
}

// TestReportsSumWhatPeersSaid checks the sums against those of the last report of each
// source that is left, whatever came before.
func TestReportsSumWhatPeersSaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Reports
		last := make(map[string][]PoolReport)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			source := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "source")
			if rapid.IntRange(0, 4).Draw(t, "what") == 0 {
				delete(last, source)
				r.Retain(func(s string) bool { return s != source })
				continue
			}
			var pools []PoolReport
			for _, pool := range []string{"m", "n"} {
				p := PoolReport{Pool: pool, Rate: float64(rapid.IntRange(0, 50).Draw(t, "rate"))}
				for _, account := range []string{"", "a", "b"} {
					p.Classes = append(p.Classes, ClassReport{Account: account, Accounts: 1, Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Waiting: float64(rapid.IntRange(0, 5).Draw(t, "waiting"))})
				}
				pools = append(pools, p)
			}
			last[source] = pools
			r.Set(source, pools, noon)
		}
		for _, pool := range []string{"m", "n"} {
			var rate, waiting, same float64
			for _, pools := range last {
				for _, p := range pools {
					if p.Pool != pool {
						continue
					}
					rate += p.Rate
					for _, c := range p.Classes {
						if c.Priority == 1 {
							waiting += c.Waiting
						}
						if c.Priority == 1 && c.Account == "a" {
							same += c.Waiting
						}
					}
				}
			}
			f := r.Fleet(pool, "a", 1, noon)
			if math.Abs(f.Rate-rate)+math.Abs(f.Waiting[1]-waiting)+math.Abs(f.SameAccount-same) > 1e-9 {
				t.Fatalf("%+v, want rate %v, %v waiting, %v of the account", f, rate, waiting, same)
			}
		}
		r.Retain(func(string) bool { return false })
		if len(r.sources)+len(r.pools) > 0 {
			t.Fatalf("%d sources and %d pools left", len(r.sources), len(r.pools))
		}
	})
}
