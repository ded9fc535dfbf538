package dispatch

import (
	"time"

	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

// currentState returns the capacity of the upstreams for r, given the load and
// the ejections at the time now.
func (d *Dispatcher) currentState(r *Request, suspect bool, now time.Time) func(*catalog.Candidate) route.Occupancy {
	return func(c *catalog.Candidate) route.Occupancy {
		u := c.Upstream
		l := d.loadOf(u.Name)
		if !d.usable(c, l, now) || r.excludes(u.Name) || now.Before(l.busyUntil) || suspect && l.suspects > 0 {
			return route.Occupancy{}
		}
		others := l.otherRequests * max(0, 1-now.Sub(l.reportedAt).Seconds()/loadReportTTL.Seconds())
		used := float64(l.inFlight) + others
		limit := float64(d.Ejections.ConcurrencyLimit(u.Name, u.Slots, now))
		return route.Occupancy{Free: limit - used, Used: used}
	}
}

// idleState returns the capacity of the upstreams for r if no requests were in
// flight and no upstreams ejected.
func (d *Dispatcher) idleState(r *Request, now time.Time) func(*catalog.Candidate) route.Occupancy {
	return func(c *catalog.Candidate) route.Occupancy {
		if !d.usable(c, d.loadOf(c.Upstream.Name), now) || r.excludes(c.Upstream.Name) {
			return route.Occupancy{}
		}
		return route.Occupancy{Free: float64(c.Upstream.Slots)}
	}
}

// usable reports whether an upstream may get new requests.
func (d *Dispatcher) usable(c *catalog.Candidate, l *upstreamLoad, now time.Time) bool {
	return d.status(c.Upstream, c.UnconfirmedUse, l, now) == InService
}

// Status tells whether an upstream may get new requests or why it may not.
type Status string

const (
	InService Status = "in_service"
	// Withdrawn upstreams were taken out of service by their owners.
	Withdrawn Status = "withdrawn"
	// LeavingVM upstreams are leaving, by the VM list or their own report.
	LeavingVM Status = "leaving"
	// Ejected upstreams failed recently.
	Ejected Status = "ejected"
	// Unconfirmed upstreams are in another zone whose state is not known well
	// enough.
	Unconfirmed Status = "unconfirmed"
)

// status returns the status of u apart from ejection. maxAge bounds the age of
// the information on u if it is in another zone.
func (d *Dispatcher) status(u *declaration.Upstream, maxAge time.Duration, l *upstreamLoad, now time.Time) Status {
	switch {
	case d.withdrawn[u.Name]:
		return Withdrawn
	case d.leaving[u.Name] || now.Before(l.leavingUntil):
		return LeavingVM
	case u.Zone != d.Zone && d.Confirmed != nil && !d.Confirmed(u.Zone, maxAge, now):
		return Unconfirmed
	}
	return InService
}

// UpstreamStatus is the state of an upstream as shown to operators.
type UpstreamStatus struct {
	Upstream *declaration.Upstream
	Status   Status
	InFlight int
}

// UpstreamStatuses returns the status of each declared upstream, in the order of
// the declarations.
func (d *Dispatcher) UpstreamStatuses(now time.Time) []UpstreamStatus {
	if d.catalog == nil {
		return nil
	}
	set := &d.catalog.Snapshot.Set
	all := make([]UpstreamStatus, 0, len(set.Upstreams))
	for i := range set.Upstreams {
		u := &set.Upstreams[i]
		l := d.loadOf(u.Name)
		status := d.status(u, declaration.DefaultUnconfirmedUse, l, now)
		if status == InService && d.Ejections.Ejected(u.Name, now) {
			status = Ejected
		}
		all = append(all, UpstreamStatus{u, status, l.inFlight})
	}
	return all
}
