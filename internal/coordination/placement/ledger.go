package placement

import (
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

// Times of orders.
const (
	// effectTime is how long an order may go without effect on the list of
	// upstreams before it is given again. Given again it depends on the same
	// count of orders, so that only one of the two can be carried out.
	effectTime = 1500 * time.Millisecond
	// refusalPause is how long an engine that refused is left alone.
	refusalPause = 300 * time.Millisecond
	// forgetTime is how long an engine that is not listed is remembered.
	forgetTime = time.Minute
)

// Order is an order that is due.
type Order struct {
	Upstream  *fleet.Upstream
	Placement relay.Placement
}

// record is what is known of the orders of an engine.
type record struct {
	// taken is how many orders the engine is known to have taken.
	taken int64
	// wanted is the range of the last order.
	wanted fleet.Range
	// quietUntil is when the next order may be given.
	quietUntil time.Duration
	seen       time.Duration
}

// Ledger remembers the orders given and the count that each engine has taken.
// Its zero value remembers none: an engine that has just started has taken
// none.
type Ledger struct {
	records map[fleet.Incarnation]*record
}

func (l *Ledger) record(u *fleet.Upstream) *record {
	if l.records == nil {
		l.records = make(map[fleet.Incarnation]*record)
	}
	r := l.records[u.Incarnation()]
	if r == nil {
		r = &record{}
		l.records[u.Incarnation()] = r
	}
	return r
}

// Due returns the orders that bring the engines to the goal, but for those
// that may still take effect, and notes them as given.
func (l *Ledger) Due(goal map[string]fleet.Range, upstreams []*fleet.Upstream, now time.Duration) []Order {
	var due []Order
	for _, u := range upstreams {
		r := l.record(u)
		r.seen = now
		want, ok := goal[u.Instance]
		if !ok || want == u.Held || u.State != fleet.Serving || now < r.quietUntil {
			continue
		}
		r.quietUntil = now + effectTime
		r.wanted = want
		due = append(due, Order{u, relay.Placement{Layers: want, IfOrders: r.taken}})
	}
	return due
}

// Took notes that an engine took an order.
func (l *Ledger) Took(o Order) {
	r := l.record(o.Upstream)
	r.taken = max(r.taken, o.Placement.IfOrders+1)
}

// Refused notes that an engine refused an order, since it has taken another
// count of them, or can't take one now.
func (l *Ledger) Refused(o Order, now time.Duration) {
	l.record(o.Upstream).quietUntil = now + refusalPause
}

// Reported notes the count of orders that an engine reports.
func (l *Ledger) Reported(u *fleet.Upstream, taken int64) {
	r := l.record(u)
	r.taken = max(r.taken, taken)
}

// Prune forgets engines that have not been listed for long.
func (l *Ledger) Prune(now time.Duration) {
	for incarnation, r := range l.records {
		if now-r.seen > forgetTime {
			delete(l.records, incarnation)
		}
	}
}
