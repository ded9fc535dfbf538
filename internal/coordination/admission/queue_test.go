package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)

func item(account string, priority, cost int) Item {
	return Item{Pool: "m", Account: account, Priority: priority, Cost: cost, Deadline: noon}
}

// pop removes the next request and returns its value.
func pop(q *Queue[string]) string {
	value, _ := q.Peek("m")
	q.Pop("m")
	return value
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	var q Queue[string]
	qt.Assert(t, q.Push(item("a", 1, 1), "low"), qt.IsNil)
	qt.Assert(t, q.Push(item("a", 9, 1), "high"), qt.IsNil)
	qt.Check(t, q.Ahead("m", 5), qt.Equals, 1)
	qt.Check(t, pop(&q), qt.Equals, "high")
	qt.Check(t, pop(&q), qt.Equals, "low")
	qt.Check(t, pop(&q), qt.Equals, "")
}

// TestFloodDoesNotDelayOtherAccounts checks that a request of one account that
// arrives behind many of another waits for one of them at most.
func TestFloodDoesNotDelayOtherAccounts(t *testing.T) {
	var q Queue[string]
	for i := range 1000 {
		qt.Assert(t, q.Push(item("large", 5, 100), fmt.Sprint("large", i)), qt.IsNil)
	}
	for range 10 {
		pop(&q)
	}
	qt.Assert(t, q.Push(item("small", 5, 100), "small"), qt.IsNil)
	first, second := pop(&q), pop(&q)
	qt.Check(t, first == "small" || second == "small", qt.IsTrue)
}

// TestAccountsGetEqualTokens checks that accounts that always have requests
// waiting get about the same number of tokens, whatever the size of their
// requests.
func TestAccountsGetEqualTokens(t *testing.T) {
	var q Queue[string]
	costs := map[string]int{"a": 10, "b": 100, "c": 35}
	got := make(map[string]int)
	for account, cost := range costs {
		for range 3 {
			qt.Assert(t, q.Push(item(account, 5, cost), account), qt.IsNil)
		}
	}
	for range 3000 {
		account := pop(&q)
		got[account] += costs[account]
		qt.Assert(t, q.Push(item(account, 5, costs[account]), account), qt.IsNil)
	}
	for account, tokens := range got {
		share := float64(tokens) / float64(got["a"])
		qt.Check(t, share > 0.95 && share < 1.05, qt.IsTrue, qt.Commentf("%s got %d", account, tokens))
	}
}

// TestServiceBeforeIdleTimeDoesNotCount guards against an account that is served after
// all others because of a large request before the queue was last empty.
func TestServiceBeforeIdleTimeDoesNotCount(t *testing.T) {
	var q Queue[string]
	qt.Assert(t, q.Push(item("a", 5, 1000), "a"), qt.IsNil)
	qt.Assert(t, q.Push(item("b", 5, 10), "b"), qt.IsNil)
	pop(&q)
	pop(&q)
	qt.Assert(t, q.Len("m"), qt.Equals, 0)
	for _, account := range []string{"b", "b", "b", "a"} {
		qt.Assert(t, q.Push(item(account, 5, 10), account), qt.IsNil)
	}
	first, second := pop(&q), pop(&q)
	qt.Check(t, first == "a" || second == "a", qt.IsTrue)
}

func TestFullQueueRejects(t *testing.T) {
	q := Queue[string]{Max: 1}
	qt.Assert(t, q.Push(item("a", 1, 1), "x"), qt.IsNil)
	qt.Check(t, q.Push(item("a", 1, 1), "y"), qt.Equals, ErrFull)
}

// TestEachRequestLeavesOnce checks that no request is lost, popped twice or
// counted wrongly.
func TestEachRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		waiting := make(map[int]bool)
		for i := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				it := Item{
					Pool:     rapid.SampledFrom([]string{"m", "n"}).Draw(t, "pool"),
					Account:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
					Cost:     rapid.IntRange(0, 50).Draw(t, "cost"),
				}
				if err := q.Push(it, i); err != nil {
					t.Fatal(err)
				}
				waiting[i] = true
			case 1:
				pool := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "from")
				v, ok := q.Peek(pool)
				if !ok {
					continue
				}
				q.Pop(pool)
				if !waiting[v] {
					t.Fatalf("%d popped twice", v)
				}
				delete(waiting, v)
			case 2:
				odd := rapid.IntRange(0, 1).Draw(t, "odd")
				for _, v := range q.RemoveFunc(func(_ Item, v int) bool { return v%2 == odd }) {
					if !waiting[v] {
						t.Fatalf("%d removed twice", v)
					}
					delete(waiting, v)
				}
			}
			if q.Len("m")+q.Len("n") != len(waiting) {
				t.Fatalf("queue counts %d, %d wait", q.Len("m")+q.Len("n"), len(waiting))
			}
		}
	})
}

func TestWaitEstimateFollowsDrainRate(t *testing.T) {
	var r RateEstimator
	_, known := r.EstimateWait(10, noon)
	qt.Check(t, known, qt.IsFalse)
	now := noon
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		r.Record(now)
	}
	wait, known := r.EstimateWait(20, now)
	qt.Check(t, known, qt.IsTrue)
	qt.Check(t, wait > 900*time.Millisecond && wait < 1100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", wait))
}

// TestRefusedAccountsDoNotHoldUpOthers guards against requests that wait behind those of
// an account that may not be served now, and against a resumed request of such an account
// that waits with them.
func TestRefusedAccountsDoNotHoldUpOthers(t *testing.T) {
	c := qt.New(t)
	var q Queue[string]
	next := func(allowed func(string, int) bool) string {
		value, at, ok := q.PeekFunc("m", allowed)
		if ok {
			q.PopAt("m", at)
		}
		return value
	}
	notLarge := func(account string, _ int) bool { return account != "large" }
	c.Check(next(nil), qt.Equals, "")
	for i := range 3 {
		c.Assert(q.Push(item("large", 9, 1), fmt.Sprint("large", i)), qt.IsNil)
	}
	resumed := item("large", 9, 1)
	resumed.Begun = true
	c.Assert(q.Push(resumed, "resumed"), qt.IsNil)
	c.Assert(q.Push(item("small", 5, 1), "small"), qt.IsNil)
	c.Check(waitingOf(&q, "large", 9), qt.Equals, 4)
	c.Check(waitingOf(&q, "large", 5), qt.Equals, 0)
	c.Check(next(notLarge), qt.Equals, "resumed")
	c.Check(next(notLarge), qt.Equals, "small")
	c.Check(next(notLarge), qt.Equals, "")
	c.Check(q.Len("m"), qt.Equals, 3)
	for i := range 3 {
		c.Check(next(nil), qt.Equals, fmt.Sprint("large", i))
	}
	c.Check(q.Len("m"), qt.Equals, 0)
}

// TestOrderWithoutRefusedAccounts guards against another order of requests than without
// the choice of accounts.
func TestOrderWithoutRefusedAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var plain, chosen Queue[int]
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
			priority, cost := rapid.IntRange(0, 9).Draw(t, "priority"), rapid.IntRange(1, 9).Draw(t, "cost")
			_ = plain.Push(item(account, priority, cost), i)
			_ = chosen.Push(item(account, priority, cost), i)
			if rapid.Bool().Draw(t, "pop") {
				plain.Pop("m")
				_, at, _ := chosen.PeekFunc("m", nil)
				chosen.PopAt("m", at)
			}
		}
		for plain.Len("m") > 0 {
			want, _ := plain.Peek("m")
			got, at, ok := chosen.PeekFunc("m", nil)
			if !ok || got != want {
				t.Fatalf("%v goes first instead of %v", got, want)
			}
			plain.Pop("m")
			chosen.PopAt("m", at)
		}
		if chosen.Len("m") != 0 {
			t.Fatal("requests are left")
		}
	})
}

// TestClasses guards against demand that is reported with the wrong number or cost.
func TestClasses(t *testing.T) {
	var q Queue[string]
	for range 3 {
		qt.Assert(t, q.Push(item("a", 5, 10), ""), qt.IsNil)
	}
	qt.Assert(t, q.Push(item("a", 9, 0), ""), qt.IsNil)
	qt.Check(t, q.Classes("m"), qt.ContentEquals, []ClassCount{{"a", 5, 3, 30}, {"a", 9, 1, 1}})
	qt.Check(t, q.Classes("other"), qt.HasLen, 0)
}

// waitingOf returns how many requests of an account at a priority wait for the pool m.
func waitingOf(q *Queue[string], account string, priority int) int {
	n := 0
	for _, c := range q.Classes("m") {
		if c.Account == account && c.Priority == priority {
			n += c.Requests
		}
	}
	return n
}
