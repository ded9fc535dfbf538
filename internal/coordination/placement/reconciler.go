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
	// newcomerTime is how long a new engine waits for its first order if its
	// zone lacks nothing.
	newcomerTime = 700 * time.Millisecond
	// overdueTime is how long an order may be under way before the engine is
	// asked whether it still works on it.
	overdueTime = 5 * time.Second
	// drainTime is how long an engine of a zone that lacks layers may let what
	// passes through the layers to be given up end by itself.
	drainTime = 2500 * time.Millisecond
	// refusalPause is how long an engine that refused is left alone.
	refusalPause = 300 * time.Millisecond
	// underWayTime is how long an order is believed to be under way: an engine
	// may first end what passes through the layers that it gives up.
	underWayTime = 20 * time.Second
	// reportLag is how long an engine's report may not show an order yet.
	reportLag = 600 * time.Millisecond
	// askPause is the least time between two questions to an engine.
	askPause = 500 * time.Millisecond
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
	wanted   fleet.Range
	underWay bool
	// answered says that it was taken for sure, and aborting that it cuts what
	// passes through the layers that are given up.
	answered, aborting bool
	// moving says that the engine held other layers when it was ordered.
	moving bool
	// orderedAt is when the order was given, and askedAt when the engine was
	// last asked about it.
	orderedAt, askedAt time.Duration
	// quietUntil is when the next order may be given.
	quietUntil time.Duration
	// firstSeen and seen are when the engine was first and last listed.
	firstSeen, seen time.Duration
}

// Reconciler remembers the orders given and the count that each engine has taken.
// Its zero value remembers none: an engine that has just started has taken
// none.
type Reconciler struct {
	records map[fleet.Incarnation]*record
}

func (l *Reconciler) record(u *fleet.Upstream) *record {
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

// IssueOrders returns the orders that bring the engines to the goal, and notes them as
// given. Left out are those that may still take effect, and engines that have
// just come to a zone that lacks nothing: what they are to replace may be about
// to leave. lacks says which zones lack layers.
func (l *Reconciler) IssueOrders(goal map[string]fleet.Range, upstreams []*fleet.Upstream, lacks func(zone string) bool, now time.Duration) []Order {
	var due []Order
	for _, u := range upstreams {
		r := l.record(u)
		if r.firstSeen == 0 {
			r.firstSeen = now
		}
		r.seen = now
		want, ok := goal[u.Instance]
		if !ok || u.State != fleet.Serving || now < r.quietUntil {
			continue
		}
		if r.underWay {
			if r.stuck(lacks(u.Zone), now) {
				due = append(due, l.give(u, r.wanted, true, now))
			}
			continue
		}
		newcomer := u.Held.Len() == 0 && now-r.firstSeen < newcomerTime
		if want == u.Held || newcomer && !lacks(u.Zone) {
			continue
		}
		due = append(due, l.give(u, want, false, now))
	}
	return due
}

// give notes an order as given and returns it.
func (l *Reconciler) give(u *fleet.Upstream, want fleet.Range, abort bool, now time.Duration) Order {
	r := l.record(u)
	r.wanted = want
	r.underWay = true
	r.answered = false
	r.aborting = abort
	r.moving = u.Held.Len() > 0
	r.orderedAt = now
	return Order{u, relay.Placement{Layers: want, Abort: abort, IfOrders: r.taken}}
}

// stuck says whether an order waits for so long for what passes through the
// layers to be given up that it should be cut, since the zone lacks layers.
func (r *record) stuck(lacking bool, now time.Duration) bool {
	return lacking && r.moving && r.answered && !r.aborting && now-r.orderedAt > drainTime
}

// RecordAccepted notes that an engine took an order. It is not ordered again before it
// holds the layers, or reports that it is idle: another order would have it
// begin anew.
func (l *Reconciler) RecordAccepted(o Order) {
	r := l.record(o.Upstream)
	r.answered = true
	r.taken = max(r.taken, o.Placement.IfOrders+1)
}

// RecordRefused notes that an engine refused an order, since it has taken another
// count of them, or can't take one now.
func (l *Reconciler) RecordRefused(o Order, now time.Duration) {
	r := l.record(o.Upstream)
	r.quietUntil = now + refusalPause
	r.underWay = false
}

// Expected returns the engines as they will be once the orders under way have
// been carried out: a plan that starts from there does not change its mind.
func (l *Reconciler) Expected(upstreams []*fleet.Upstream, now time.Duration) []*fleet.Upstream {
	out := make([]*fleet.Upstream, len(upstreams))
	for i, u := range upstreams {
		out[i] = u
		r := l.records[u.Incarnation()]
		if r == nil || !r.underWay {
			continue
		}
		if u.Held == r.wanted || r.lost(now) {
			r.underWay = false
			continue
		}
		expected := *u
		expected.Held = r.wanted
		out[i] = &expected
	}
	return out
}

// lost says whether an order has to be given up for lost.
func (r *record) lost(now time.Duration) bool {
	limit := effectTime
	if r.answered {
		limit = underWayTime
	}
	return now-r.orderedAt > limit
}

// DueStatusChecks returns the engines whose orders have been under way for long, or all
// whose orders are if blind is set: the list can't show their effect then.
func (l *Reconciler) DueStatusChecks(upstreams []*fleet.Upstream, blind bool, now time.Duration) []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, u := range upstreams {
		r := l.records[u.Incarnation()]
		if r != nil && r.underWay && (blind || now-r.orderedAt > overdueTime) && now-r.askedAt > askPause {
			r.askedAt = now
			out = append(out, u)
		}
	}
	return out
}

// RecordReport notes the count of orders that an engine reports, and whether it
// works on one. One that is idle may be ordered again.
func (l *Reconciler) RecordReport(u *fleet.Upstream, taken int64, busy bool, now time.Duration) {
	r := l.record(u)
	if taken > r.taken || now-r.orderedAt > reportLag {
		r.taken = taken
	}
	if !busy && now-r.orderedAt > effectTime {
		r.underWay = false
	}
}

// Prune forgets engines that have not been listed for long.
func (l *Reconciler) Prune(now time.Duration) {
	for incarnation, r := range l.records {
		if now-r.seen > forgetTime {
			delete(l.records, incarnation)
		}
	}
}
