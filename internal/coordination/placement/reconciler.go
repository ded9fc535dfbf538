package placement

import (
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

// Timing of orders.
const (
	// effectTimeout is how long an unconfirmed order may have no effect on the
	// list of upstreams before it is issued again. The second order depends on
	// the same order count as the first, so the engine carries out only one of
	// them.
	effectTimeout = 1500 * time.Millisecond
	// newEngineDelay is how long a new engine waits for its first order if its
	// zone lacks no layers.
	newEngineDelay = 700 * time.Millisecond
	// statusCheckDelay is how long an order may be in progress before the engine
	// is asked whether it still works on it.
	statusCheckDelay = 5 * time.Second
	// drainTimeout is how long an engine in a zone that lacks layers may let
	// generations on the layers that it gives up end by themselves.
	drainTimeout = 2500 * time.Millisecond
	// refusalPause is how long an engine that refused an order gets no other.
	refusalPause = 300 * time.Millisecond
	// acceptedTimeout is how long an accepted order is taken to be in progress.
	// The engine may first let generations on the layers that it gives up end.
	acceptedTimeout = 20 * time.Second
	// reportLag is the time within which an engine's report may not yet count an
	// order.
	reportLag = 600 * time.Millisecond
	// statusCheckInterval is the least time between two status checks of an
	// engine.
	statusCheckInterval = 500 * time.Millisecond
	// recordTTL is how long the record of an engine is kept after the engine was
	// last listed.
	recordTTL = time.Minute
)

// Order is an order to an engine to hold certain layers.
type Order struct {
	Upstream  *fleet.Upstream
	Placement relay.Placement
}

// record is what is known about the orders to an engine.
type record struct {
	// taken is the number of orders that the engine is known to have accepted.
	taken int64
	// target is the range of the last order. pending is set while that order has
	// been accepted, or may have been, but has had no visible effect.
	target  fleet.Range
	pending bool
	// accepted is set if the engine confirmed the order. aborts is set if the
	// order cuts off generations on the layers that are given up.
	accepted, aborts bool
	// heldLayers is set if the engine held layers when the order was issued.
	heldLayers bool
	// issuedAt is when the order was issued, and checkedAt when the engine was
	// last asked about it.
	issuedAt, checkedAt time.Duration
	// pausedUntil is when the next order may be issued.
	pausedUntil time.Duration
	// firstSeen and lastSeen are when the engine was first and last listed.
	firstSeen, lastSeen time.Duration
}

// Reconciler issues the orders that turn the present placement into the planned
// one, and tracks those in progress and the number that each engine has
// accepted. Times are since boot. The zero value has issued none. It is not safe
// for concurrent use.
type Reconciler struct {
	records map[fleet.Incarnation]*record
}

// record returns the record of an engine, which it creates if there is none. A
// restarted engine gets a new one, since it has accepted no orders.
func (r *Reconciler) record(u *fleet.Upstream) *record {
	if r.records == nil {
		r.records = make(map[fleet.Incarnation]*record)
	}
	e := r.records[u.Incarnation()]
	if e == nil {
		e = &record{}
		r.records[u.Incarnation()] = e
	}
	return e
}

// IssueOrders returns the orders that carry out a plan, which is keyed by
// instance, and records them as issued. lacksLayers reports whether a zone lacks
// layers. Engines get no order while an earlier one may still take effect, except
// to abort a drain that takes too long in a zone that lacks layers. New engines in
// a zone that lacks nothing have to wait, since the engines that they are to
// replace may be about to leave.
func (r *Reconciler) IssueOrders(plan map[string]fleet.Range, upstreams []*fleet.Upstream, lacksLayers func(zone string) bool, now time.Duration) []Order {
	var orders []Order
	for _, u := range upstreams {
		e := r.record(u)
		if e.firstSeen == 0 {
			e.firstSeen = now
		}
		e.lastSeen = now
		want, ok := plan[u.Instance]
		if !ok || u.State != fleet.Serving || now < e.pausedUntil {
			continue
		}
		if e.pending {
			if e.drainTimedOut(lacksLayers(u.Zone), now) {
				orders = append(orders, r.issue(u, e.target, true, now))
			}
			continue
		}
		isNew := u.Held.Len() == 0 && now-e.firstSeen < newEngineDelay
		if want == u.Held || isNew && !lacksLayers(u.Zone) {
			continue
		}
		orders = append(orders, r.issue(u, want, false, now))
	}
	return orders
}

// issue records an order as issued and returns it.
func (r *Reconciler) issue(u *fleet.Upstream, want fleet.Range, abort bool, now time.Duration) Order {
	e := r.record(u)
	e.target = want
	e.pending = true
	e.accepted = false
	e.aborts = abort
	e.heldLayers = u.Held.Len() > 0
	e.issuedAt = now
	return Order{u, relay.Placement{Layers: want, Abort: abort, IfOrders: e.taken}}
}

// drainTimedOut reports whether an order has waited so long for generations to
// end that they should be cut off, since the zone lacks layers.
func (e *record) drainTimedOut(lacksLayers bool, now time.Duration) bool {
	return lacksLayers && e.heldLayers && e.accepted && !e.aborts && now-e.issuedAt > drainTimeout
}

// RecordAccepted records that an engine accepted an order. It gets no other one
// before it holds the layers or reports that it is idle, since another order
// would make it start over.
func (r *Reconciler) RecordAccepted(o Order) {
	e := r.record(o.Upstream)
	e.accepted = true
	e.taken = max(e.taken, o.Placement.IfOrders+1)
}

// RecordRefused records that an engine refused an order, because it has accepted
// a different number of orders or cannot take one now.
func (r *Reconciler) RecordRefused(o Order, now time.Duration) {
	e := r.record(o.Upstream)
	e.pausedUntil = now + refusalPause
	e.pending = false
}

// Expected returns the upstreams as they will be when the pending orders have
// been carried out. Plans that start from there do not change while orders are
// in progress. Orders that took effect or timed out are no longer pending
// afterwards. The upstreams passed in are not modified.
func (r *Reconciler) Expected(upstreams []*fleet.Upstream, now time.Duration) []*fleet.Upstream {
	out := make([]*fleet.Upstream, len(upstreams))
	for i, u := range upstreams {
		out[i] = u
		e := r.records[u.Incarnation()]
		if e == nil || !e.pending {
			continue
		}
		if u.Held == e.target || e.timedOut(now) {
			e.pending = false
			continue
		}
		expected := *u
		expected.Held = e.target
		out[i] = &expected
	}
	return out
}

// timedOut reports whether a pending order is to be treated as lost.
func (e *record) timedOut(now time.Duration) bool {
	limit := effectTimeout
	if e.accepted {
		limit = acceptedTimeout
	}
	return now-e.issuedAt > limit
}

// DueStatusChecks returns the engines to ask for the state of their orders, and
// records them as asked: those whose orders have been pending for long, or all
// with pending orders if listStale is set, because a stale list of upstreams
// cannot show the effect of orders.
func (r *Reconciler) DueStatusChecks(upstreams []*fleet.Upstream, listStale bool, now time.Duration) []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, u := range upstreams {
		e := r.records[u.Incarnation()]
		if e != nil && e.pending && (listStale || now-e.issuedAt > statusCheckDelay) && now-e.checkedAt > statusCheckInterval {
			e.checkedAt = now
			out = append(out, u)
		}
	}
	return out
}

// RecordReport records the number of orders that an engine reports as accepted,
// and whether it works on one. An idle engine may get the next order.
func (r *Reconciler) RecordReport(u *fleet.Upstream, taken int64, busy bool, now time.Duration) {
	e := r.record(u)
	if taken > e.taken || now-e.issuedAt > reportLag {
		e.taken = taken
	}
	if !busy && now-e.issuedAt > effectTimeout {
		e.pending = false
	}
}

// Prune deletes the records of engines that have not been listed for long.
func (r *Reconciler) Prune(now time.Duration) {
	for incarnation, e := range r.records {
		if now-e.lastSeen > recordTTL {
			delete(r.records, incarnation)
		}
	}
}
