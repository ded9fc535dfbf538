package dispatch

import (
	"time"

	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

// state returns what the chooser sees on behalf of a request.
func (d *Dispatcher) state(r *Request, suspect bool, now time.Time) func(*catalog.Candidate) route.Occupancy {
	return func(c *catalog.Candidate) route.Occupancy {
		u := c.Upstream
		l := d.load(u.Name)
		if !d.usable(c, l, now) || r.Avoid[u.Name] || now.Before(l.busyUntil) || suspect && l.suspects > 0 {
			return route.Occupancy{}
		}
		others := l.others * max(0, 1-now.Sub(l.reported).Seconds()/reportMemory.Seconds())
		used := float64(l.inFlight) + others
		room := float64(d.Ejections.Room(u.Name, u.Slots, now))
		return route.Occupancy{Free: room - used, Used: used}
	}
}

// idleState is the state if nothing were in flight and no upstream ejected.
func (d *Dispatcher) idleState(r *Request, now time.Time) func(*catalog.Candidate) route.Occupancy {
	return func(c *catalog.Candidate) route.Occupancy {
		if !d.usable(c, d.load(c.Upstream.Name), now) || r.Avoid[c.Upstream.Name] {
			return route.Occupancy{}
		}
		return route.Occupancy{Free: float64(c.Upstream.Slots)}
	}
}

// usable says whether an upstream may get new work.
func (d *Dispatcher) usable(c *catalog.Candidate, l *load, now time.Time) bool {
	return d.status(c.Upstream, c.UnconfirmedUse, l, now) == InService
}

// Status is whether an upstream may get new work, and why not.
type Status string

// The statuses.
const (
	InService   Status = "in_service"
	Withdrawn   Status = "withdrawn"
	LeavingVM   Status = "leaving"
	Ejected     Status = "ejected"
	Unconfirmed Status = "unconfirmed"
)

func (d *Dispatcher) status(u *declaration.Upstream, term time.Duration, l *load, now time.Time) Status {
	switch {
	case d.withdrawn[u.Name]:
		return Withdrawn
	case d.listed[u.Name] || now.Before(l.leaving):
		return LeavingVM
	case u.Zone != d.Zone && d.Confirmed != nil && !d.Confirmed(u.Zone, term, now):
		return Unconfirmed
	}
	return InService
}

// UpstreamStatus is what an operator is told of an upstream.
type UpstreamStatus struct {
	Upstream *declaration.Upstream
	Status   Status
	InFlight int
}

// Upstreams returns the status of all declared upstreams.
func (d *Dispatcher) Upstreams(now time.Time) []UpstreamStatus {
	if d.catalog == nil {
		return nil
	}
	set := &d.catalog.Accepted.Set
	all := make([]UpstreamStatus, 0, len(set.Upstreams))
	for i := range set.Upstreams {
		u := &set.Upstreams[i]
		l := d.load(u.Name)
		status := d.status(u, declaration.DefaultUnconfirmedUse, l, now)
		if status == InService && d.Ejections.Ejected(u.Name, now) {
			status = Ejected
		}
		all = append(all, UpstreamStatus{u, status, l.inFlight})
	}
	return all
}
