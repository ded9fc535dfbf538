package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func refusal(account string, wait time.Duration, rate float64) Refusal {
	return Refusal{Pool: "m", Account: account, Priority: 5, Wait: wait, Rate: rate, Limit: MaxReturn}
}

// TestReturnsFollowRate guards against callers that return faster than their account is
// served, or all at once when no time is left within the bounds.
func TestReturnsFollowRate(t *testing.T) {
	c := qt.New(t)
	var r Returns
	last := time.Duration(0)
	for i := range 20 {
		after := r.Refuse(refusal("a", time.Second, 10), noon)
		c.Check(i == 0 || after-last == 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v after %v", after, last))
		last = after
	}
	buckets := make(map[time.Duration]int)
	for range 1000 {
		after := r.Refuse(refusal("a", 2*time.Second, 10), noon)
		c.Assert(after >= MinReturn && after <= MaxReturn, qt.IsTrue)
		buckets[after.Truncate(100*time.Millisecond)]++
	}
	for at, n := range buckets {
		c.Check(n < 150, qt.IsTrue, qt.Commentf("%d at %v", n, at))
	}
}

// TestEarlyReturnGainsNothing guards against a caller that is taken for one that returns
// as told although it asks earlier, or more often than it was refused.
func TestEarlyReturnGainsNothing(t *testing.T) {
	c := qt.New(t)
	var r Returns
	after := r.Refuse(refusal("a", time.Second, 10), noon)
	for at := time.Duration(0); at < after-returnEarly; at += 20 * time.Millisecond {
		c.Check(r.Claim("m", "a", 5, noon.Add(at)), qt.IsFalse)
	}
	c.Check(r.Claim("m", "b", 5, noon.Add(after)), qt.IsFalse)
	c.Check(r.Claim("m", "a", 4, noon.Add(after)), qt.IsFalse)
	c.Check(r.Claim("m", "a", 5, noon.Add(after)), qt.IsTrue)
	c.Check(r.Claim("m", "a", 5, noon.Add(after)), qt.IsFalse)
	r.Refuse(refusal("a", time.Second, 10), noon.Add(10*time.Second))
	c.Check(r.Claim("m", "a", 5, noon.Add(10*time.Second+MaxReturn+ReturnGrace)), qt.IsFalse)
}

// TestReturnsAreBounded guards against state that grows with the number of accounts,
// and against refusals that are remembered for ever.
func TestReturnsAreBounded(t *testing.T) {
	c := qt.New(t)
	var r Returns
	for i := range 2 * maxReturning {
		after := r.Refuse(refusal(fmt.Sprint(i), time.Second, 10), noon)
		c.Assert(after >= MinReturn && after <= MaxReturn, qt.IsTrue)
	}
	c.Check(len(r.accounts), qt.Equals, maxReturning)
	c.Check(r.Accounts("m", 5), qt.Equals, maxReturning)
	for range 10 * maxPromised {
		r.Refuse(refusal("0", MinReturn, 1e6), noon)
	}
	c.Check(len(r.accounts[returnKey{returnLevel{"m", 5}, "0"}].promised) <= maxPromised, qt.IsTrue)
	r.Claim("m", "a", 5, noon.Add(2*returnLifetime))
	c.Check(len(r.accounts)+len(r.expiries)+len(r.active), qt.Equals, 0)
}

// TestReturnTimesStayInBounds checks the bounds for any refusal.
func TestReturnTimesStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Returns
		now := noon
		for range rapid.IntRange(1, 50).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			f := refusal("a", time.Duration(rapid.Int64().Draw(t, "wait")), rapid.Float64().Draw(t, "rate"))
			f.Limit = time.Duration(rapid.Int64().Draw(t, "limit"))
			after := r.Refuse(f, now)
			if after < MinReturn || after > MaxReturn || after > max(f.Limit, MinReturn) {
				t.Fatalf("told %v, limit %v", after, f.Limit)
			}
		}
	})
}

// TestUnclaimedTimesAreForgotten guards against callers that are told to return later than
// there is room, because many before them were told times that nobody claimed, as those
// of requests without account.
func TestUnclaimedTimesAreForgotten(t *testing.T) {
	var r Returns
	f := Refusal{Pool: "m", Wait: 300 * time.Millisecond, Rate: 1000, Limit: time.Second}
	now := noon
	for range 2 * maxPromised {
		r.Refuse(f, now)
		now = now.Add(10 * time.Millisecond)
	}
	qt.Check(t, r.Refuse(f, now), qt.Equals, f.Wait)
}
