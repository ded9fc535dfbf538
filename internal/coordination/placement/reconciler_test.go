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

// issueOrders returns the orders to a single engine that is to hold want.
func issueOrders(r *Reconciler, u *fleet.Upstream, want fleet.Range, lacks bool, now time.Duration) []Order {
	upstreams := r.Expected([]*fleet.Upstream{u}, now)
	return r.IssueOrders(map[string]fleet.Range{u.Instance: want}, upstreams, lacking(lacks), now)
}

func TestAcceptedOrderIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	r := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	orders := issueOrders(r, u, upper, false, 10*second)
	c.Assert(orders, qt.HasLen, 1)
	r.RecordAccepted(orders[0])
	for now := 10 * second; now < 29*second; now += second {
		c.Assert(issueOrders(r, u, upper, false, now), qt.HasLen, 0, qt.Commentf("at %v", now))
	}
	// Once the order has had its effect, another one can follow at once.
	held := &fleet.Upstream{Instance: "i", Held: upper}
	c.Assert(issueOrders(r, held, upper, false, 29*second), qt.HasLen, 0)
	orders = issueOrders(r, held, lower, false, 29*second)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Placement.IfOrders, qt.Equals, int64(1))
}

func TestExpectedReflectsPendingOrder(t *testing.T) {
	c := qt.New(t)
	r := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	r.RecordAccepted(issueOrders(r, u, upper, false, 10*second)[0])
	c.Assert(r.Expected([]*fleet.Upstream{u}, 11*second)[0].Held, qt.Equals, upper)
	c.Assert(u.Held, qt.Equals, lower)
}

// TestUnansweredOrderIsReissuedUnchanged guards against an order that is carried
// out twice: the engine can tell the second one only by its order count.
func TestUnansweredOrderIsReissuedUnchanged(t *testing.T) {
	c := qt.New(t)
	r := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	first := issueOrders(r, u, upper, false, 10*second)
	c.Assert(issueOrders(r, u, upper, false, 11*second), qt.HasLen, 0)
	again := issueOrders(r, u, upper, false, 12*second)
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].Placement, qt.Equals, first[0].Placement)
}

func TestDrainIsAbortedIfZoneLacksLayers(t *testing.T) {
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
			r := &Reconciler{}
			u := &fleet.Upstream{Instance: "i", Held: test.held}
			issueOrders(r, u, upper, test.lacks, 9*second)
			orders := issueOrders(r, u, upper, test.lacks, 10*second)
			if len(orders) == 0 {
				orders = []Order{r.issue(u, upper, false, 10*second)}
			}
			r.RecordAccepted(orders[0])
			c.Assert(issueOrders(r, u, upper, test.lacks, 12*second), qt.HasLen, 0)
			aborted := issueOrders(r, u, upper, test.lacks, 13*second)
			c.Assert(aborted, qt.HasLen, test.want)
			if test.want > 0 {
				c.Assert(aborted[0].Placement.Abort, qt.IsTrue)
			}
		})
	}
}

func TestNewEngineWaitsUnlessZoneLacksLayers(t *testing.T) {
	c := qt.New(t)
	u := &fleet.Upstream{Instance: "i"}
	r := &Reconciler{}
	c.Assert(issueOrders(r, u, upper, false, 10*second), qt.HasLen, 0)
	c.Assert(issueOrders(r, u, upper, false, 11*second), qt.HasLen, 1)
	r = &Reconciler{}
	c.Assert(issueOrders(r, u, upper, true, 10*second), qt.HasLen, 1)
}

// TestOrderCountFollowsReport guards against an order count that stays too high.
// An engine may accept an order that changes nothing without counting it; if it
// is counted here, the engine refuses all later orders.
func TestOrderCountFollowsReport(t *testing.T) {
	c := qt.New(t)
	r := &Reconciler{}
	u := &fleet.Upstream{Instance: "i", Held: lower}
	first := issueOrders(r, u, upper, false, 10*second)[0]
	r.RecordAccepted(first)
	r.RecordReport(u, 0, false, 10*second+100*time.Millisecond)
	c.Assert(r.record(u).taken, qt.Equals, int64(1), qt.Commentf("a report within reportLag must not lower the count"))
	r.RecordRefused(first, 11*second)
	r.RecordReport(u, 0, false, 12*second)
	orders := issueOrders(r, u, upper, false, 13*second)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Placement.IfOrders, qt.Equals, int64(0))
}

func TestOrderCountStartsOverOnRestart(t *testing.T) {
	c := qt.New(t)
	r := &Reconciler{}
	r.RecordAccepted(issueOrders(r, &fleet.Upstream{Instance: "i", Started: 1, Held: lower}, upper, false, 10*second)[0])
	restarted := &fleet.Upstream{Instance: "i", Started: 2}
	orders := issueOrders(r, restarted, upper, true, 11*second)
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Placement.IfOrders, qt.Equals, int64(0))
}
