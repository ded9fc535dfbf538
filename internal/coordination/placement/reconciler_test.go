package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

const second = time.Second

var (
	lower = fleet.Range{From: 0, To: 8}
	upper = fleet.Range{From: 8, To: 16}
)

func lacking(lacks bool) func(string) bool { return func(string) bool { return lacks } }

// due returns the orders for one engine.
func due(l *Reconciler, u *fleet.Upstream, want fleet.Range, lacks bool, now time.Duration) []Order {
	upstreams := l.Expected([]*fleet.Upstream{u}, now)
	return l.IssueOrders(map[string]fleet.Range{u.Instance: want}, upstreams, lacking(lacks), now)
}

func TestOrderIsGivenOnce(t *testing.T) {
	c := qt.New(t)
	l := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	orders := due(l, u, upper, false, 10*second)
	c.Assert(orders, qt.HasLen, 1)
	l.RecordAccepted(orders[0])
	for now := 10 * second; now < 29*second; now += second {
		c.Assert(due(l, u, upper, false, now), qt.HasLen, 0, qt.Commentf("at %v", now))
	}
	// Its effect ends it, so that the next need is met at once.
	held := &fleet.Upstream{Instance: "i", Held: upper}
	c.Assert(due(l, held, upper, false, 29*second), qt.HasLen, 0)
	orders = due(l, held, lower, false, 29*second)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Placement.IfOrders, qt.Equals, int64(1))
}

func TestExpectedIsWhatWasOrdered(t *testing.T) {
	c := qt.New(t)
	l := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	l.RecordAccepted(due(l, u, upper, false, 10*second)[0])
	c.Assert(l.Expected([]*fleet.Upstream{u}, 11*second)[0].Held, qt.Equals, upper)
	c.Assert(u.Held, qt.Equals, lower)
}

func TestOrderWithoutAnswerIsGivenAgainOnTheSameCondition(t *testing.T) {
	c := qt.New(t)
	l := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	first := due(l, u, upper, false, 10*second)
	c.Assert(due(l, u, upper, false, 11*second), qt.HasLen, 0)
	again := due(l, u, upper, false, 12*second)
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Placement, qt.Equals, first[0].Placement)
}

func TestMoveThatWaitsIsCutWhereLayersLack(t *testing.T) {
	for _, test := range []struct {
		name  string
		held  fleet.Range
		lacks bool
		want  int
	}{
		{"zone lacks layers", lower, true, 1},
		{"zone lacks nothing", lower, false, 0},
		{"engine held nothing", fleet.Range{}, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := &Reconciler{}
			u := &fleet.Upstream{Instance: "i", Held: test.held}
			due(l, u, upper, test.lacks, 9*second)
			orders := due(l, u, upper, test.lacks, 10*second)
			if len(orders) == 0 {
				orders = []Order{l.give(u, upper, false, 10*second)}
			}
			l.RecordAccepted(orders[0])
			c.Assert(due(l, u, upper, test.lacks, 12*second), qt.HasLen, 0)
			cut := due(l, u, upper, test.lacks, 13*second)
			c.Assert(cut, qt.HasLen, test.want)
			if test.want > 0 {
				c.Assert(cut[0].Placement.Abort, qt.IsTrue)
			}
		})
	}
}

func TestNewcomerWaitsWhereNothingLacks(t *testing.T) {
	c := qt.New(t)
	u := &fleet.Upstream{Instance: "i"}
	l := &Reconciler{}
	c.Assert(due(l, u, upper, false, 10*second), qt.HasLen, 0)
	c.Assert(due(l, u, upper, false, 11*second), qt.HasLen, 1)
	l = &Reconciler{}
	c.Assert(due(l, u, upper, true, 10*second), qt.HasLen, 1)
}

// TestCountOfOrdersIsThatOfTheReport: an engine may take an order that changes
// nothing without counting it; taking it for counted made every later order
// fail.
func TestCountOfOrdersIsThatOfTheReport(t *testing.T) {
	c := qt.New(t)
	l := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	first := due(l, u, upper, false, 10*second)[0]
	l.RecordAccepted(first)
	l.RecordReport(u, 0, false, 10*second+100*time.Millisecond)
	c.Assert(l.record(u).taken, qt.Equals, int64(1), qt.Commentf("the report lags"))
	l.RecordRefused(first, 11*second)
	l.RecordReport(u, 0, false, 12*second)
	orders := due(l, u, upper, false, 13*second)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Placement.IfOrders, qt.Equals, int64(0))
}

func TestRestartedEngineHasTakenNoOrders(t *testing.T) {
	c := qt.New(t)
	l := &Reconciler{}
	l.RecordAccepted(due(l, &fleet.Upstream{Instance: "i", Started: 1, Held: lower}, upper, false, 10*second)[0])
	restarted := &fleet.Upstream{Instance: "i", Started: 2}
	orders := due(l, restarted, upper, true, 11*second)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Placement.IfOrders, qt.Equals, int64(0))
}
