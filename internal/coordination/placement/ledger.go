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
	// loadTime is how long an engine that took an order is left to it.
	loadTime = 6 * time.Second
	// refusalPause is how long an engine that refused is left alone.
	refusalPause = 300 * time.Millisecond
	// underWayTime is how long an order is believed to be under way: an engine
	// may first end what passes through the layers that it gives up.
	underWayTime = 20 * time.Second
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
	// wanted is the range of the last order, and underWay says that it was
	// taken, or may have been, but has not shown effect yet.
	wanted    fleet.Range
	underWay  bool
	orderedAt time.Duration
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
		r.underWay = true
		r.orderedAt = now
		due = append(due, Order{u, relay.Placement{Layers: want, IfOrders: r.taken}})
	}
	return due
}

// Took notes that an engine took an order: it loads the layers, and is not
// ordered again before it holds them.
func (l *Ledger) Took(o Order, now time.Duration) {
	r := l.record(o.Upstream)
	r.quietUntil = now + loadTime
	r.taken = max(r.taken, o.Placement.IfOrders+1)
}

// Refused notes that an engine refused an order, since it has taken another
// count of them, or can't take one now.
func (l *Ledger) Refused(o Order, now time.Duration) {
	r := l.record(o.Upstream)
	r.quietUntil = now + refusalPause
	r.underWay = false
}

// Expected returns the engines as they will be once the orders under way have
// been carried out: a plan that starts from there does not change its mind.
func (l *Ledger) Expected(upstreams []*fleet.Upstream, now time.Duration) []*fleet.Upstream {
	out := make([]*fleet.Upstream, len(upstreams))
	for i, u := range upstreams {
		out[i] = u
		r := l.records[u.Incarnation()]
		if r == nil || !r.underWay {
			continue
		}
		if u.Held == r.wanted || now-r.orderedAt > underWayTime {
			r.underWay = false
			continue
		}
		expected := *u
		expected.Held = r.wanted
		out[i] = &expected
	}
	return out
}

// UnderWay returns the engines whose orders have not shown effect yet.
func (l *Ledger) UnderWay(upstreams []*fleet.Upstream) []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, u := range upstreams {
		if r := l.records[u.Incarnation()]; r != nil && r.underWay {
			out = append(out, u)
		}
	}
	return out
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
