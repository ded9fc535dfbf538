package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func push(t testing.TB, q *Queue[string], it Item, value string) {
	qt.Assert(t, q.Push(it, value), qt.IsNil)
}

// TestRefusalKeepsWhatWasServed guards against a flood whose share starts anew each time
// that the queue is empty, because it was refused and asks again.
func TestRefusalKeepsWhatWasServed(t *testing.T) {
	for _, kept := range []bool{true, false} {
		c := qt.New(t)
		var q Queue[string]
		push(c, &q, item("a", 5, 1000), "served")
		push(c, &q, item("b", 5, 10), "b")
		pop(&q)
		if kept {
			q.Keep(item("a", 5, 10), noon, noon.Add(time.Second))
		}
		pop(&q)
		q.ExpirePlaces(noon.Add(900 * time.Millisecond))
		push(c, &q, item("a", 5, 10), "flood")
		push(c, &q, item("c", 5, 10), "other")
		c.Check(pop(&q) == "other", qt.Equals, kept)
	}
}

// TestPlaceIsGivenUp guards against a place that is kept after the time that the caller
// was told.
func TestPlaceIsGivenUp(t *testing.T) {
	c := qt.New(t)
	var q Queue[string]
	push(c, &q, item("a", 5, 1000), "served")
	push(c, &q, item("b", 5, 10), "b")
	pop(&q)
	for i := range 3 {
		q.Keep(item("a", 5, 10), noon, noon.Add(time.Duration(i)*time.Second))
	}
	pop(&q)
	f := &q.levels["m"][levelOf(item("a", 5, 10))]
	q.ExpirePlaces(noon.Add(1999 * time.Millisecond))
	c.Check(len(f.kept.byAccount), qt.Equals, 1)
	q.ExpirePlaces(noon.Add(2 * time.Second))
	c.Check(len(f.kept.byAccount)+len(f.kept.expiries), qt.Equals, 0)
	push(c, &q, item("a", 5, 10), "a")
	push(c, &q, item("c", 5, 10), "c")
	c.Check(pop(&q), qt.Equals, "a")
}

// TestReturningAccountGoesBeforeNewOnes guards against an account that was refused and
// is put behind those that came after it, and against one that gets ahead of its share
// in this way.
func TestReturningAccountGoesBeforeNewOnes(t *testing.T) {
	c := qt.New(t)
	var q Queue[string]
	for range 5 {
		push(c, &q, item("busy", 5, 10), "busy")
	}
	q.Keep(item("r", 5, 10), noon, noon.Add(time.Second))
	for range 3 {
		pop(&q)
	}
	push(c, &q, item("new", 5, 10), "new")
	returning := item("r", 5, 10)
	returning.Returning = true
	push(c, &q, item("r", 5, 10), "first of r")
	push(c, &q, returning, "second of r")
	var order []string
	for q.Len("m") > 0 {
		order = append(order, pop(&q))
	}
	// One request of r returns, so only one goes first.
	c.Check(order, qt.DeepEquals, []string{"first of r", "new", "second of r", "busy", "busy"})
}

// TestPlacesAreBounded guards against state that grows with the number of accounts.
func TestPlacesAreBounded(t *testing.T) {
	c := qt.New(t)
	var q Queue[string]
	push(c, &q, item("a", 5, 1), "a")
	for i := range 2 * maxPlaces {
		q.Keep(item(fmt.Sprint(i), 5, 1), noon, noon.Add(time.Second))
	}
	f := &q.levels["m"][levelOf(item("a", 5, 1))]
	c.Check(len(f.kept.byAccount), qt.Equals, maxPlaces)
	c.Check(len(f.kept.expiries), qt.Equals, maxPlaces)
}

// TestRequestThatLeavesIsNotCharged guards against an account that comes later because
// its requests have waited in vain.
func TestRequestThatLeavesIsNotCharged(t *testing.T) {
	c := qt.New(t)
	var q Queue[string]
	push(c, &q, item("a", 5, 1000), "gone")
	push(c, &q, item("b", 5, 10), "b1")
	push(c, &q, item("b", 5, 10), "b2")
	q.RemoveFunc(func(_ Item, v string) bool { return v == "gone" })
	push(c, &q, item("a", 5, 10), "a")
	c.Check([]string{pop(&q), pop(&q), pop(&q)}, qt.DeepEquals, []string{"a", "b1", "b2"})
}

// TestIdleTimeDoesNotLowerRate guards against refusing a request for a rate that is low
// only because nothing has waited for a while.
func TestIdleTimeDoesNotLowerRate(t *testing.T) {
	c := qt.New(t)
	r := RateEstimator{TimeConstant: 2 * time.Second}
	now := noon
	r.Busy(now)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		r.Record(now)
	}
	r.Idle(now)
	rate, known := r.Rate(now.Add(5 * time.Second))
	c.Check(known && rate > 18 && rate < 22, qt.IsTrue, qt.Commentf("%v", rate))
	_, known = r.Rate(now.Add(time.Minute))
	c.Check(known, qt.IsFalse)
}

// TestRateFollowsLoss guards against an estimate that stays high after several engines
// have failed.
func TestRateFollowsLoss(t *testing.T) {
	c := qt.New(t)
	r := RateEstimator{TimeConstant: 2 * time.Second}
	now := noon
	r.Busy(now)
	for _, interval := range []time.Duration{20 * time.Millisecond, 50 * time.Millisecond} {
		for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(interval) {
			r.Record(now)
		}
	}
	rate, _ := r.Rate(now)
	c.Check(rate > 18 && rate < 26, qt.IsTrue, qt.Commentf("%v", rate))
}
