package dispatch

import (
	"time"

	"lovageport.example/internal/coordination/quarantine"
)

// Finish ends a placement.
func (d *Dispatcher) Finish(ticket uint64, outcome Outcome, now time.Time) {
	f := d.flights[ticket]
	if f == nil {
		return
	}
	if outcome.Fault == Crashed {
		d.crash(outcome.Upstream, now)
	}
	delete(d.flights, ticket)
	for _, s := range f.chain {
		l := d.load(s.Upstream.Name)
		l.inFlight--
		if f.suspect {
			l.suspects--
		}
		if outcome.Fault == None {
			d.Ejections.Succeed(s.Upstream.Name, s.Upstream.Slots)
		}
	}
	d.blame(f, outcome, now)
	d.dispatch(now)
}

// crash makes suspects of the requests that were in flight on an upstream when
// it crashed. Reports of the same crash follow the first one; an attempt placed
// after that has not caused it.
func (d *Dispatcher) crash(upstream string, now time.Time) {
	l := d.load(upstream)
	if now.Sub(l.crashed) > quarantine.SameCrash {
		l.crashed = now
	}
	crashes := []quarantine.Crash{{Upstream: upstream, At: now}}
	for _, f := range d.flights {
		if f.crashed || f.placed.After(l.crashed) || !f.chain.Contains(upstream) {
			continue
		}
		f.crashed = true
		d.Suspicions.Add(f.request.Fingerprint, crashes, now)
	}
}

// blame draws the consequences of a fault for the upstream.
func (d *Dispatcher) blame(f *flight, outcome Outcome, now time.Time) {
	r := f.request
	// An upstream that can't be reached is avoided from then on, so that
	// attempts at others that are gone too come to an end by themselves.
	if outcome.Fault != None && outcome.Fault != Unreachable && !outcome.Fault.Harmless() {
		r.Failures++
	}
	switch outcome.Fault {
	case Busy:
		d.load(outcome.Upstream).busyUntil = now.Add(busyTime)
	case Leaving:
		d.load(outcome.Upstream).leaving = now.Add(leavingTime)
	case Doubtful:
		for _, s := range f.chain {
			if name := s.Upstream.Name; outcome.Upstream == "" || outcome.Upstream == name {
				r.shun(name)
				d.Ejections.Doubt(name, now)
			}
		}
	case Rejected:
		r.avoid(outcome.Upstream)
	case Unreachable, Lost, Crashed, Silent, Protocol:
		if u, ok := d.catalog.Upstream(outcome.Upstream); ok && outcome.Fault == Crashed {
			r.CrashZone = u.Zone
		}
		r.avoid(outcome.Upstream)
		d.Ejections.Fail(outcome.Upstream, now)
	}
}

// Report takes in an engine's report of its load.
func (d *Dispatcher) Report(upstream string, running int, leaving bool, now time.Time) {
	l := d.load(upstream)
	l.others = max(0, float64(running-l.inFlight))
	l.reported = now
	if leaving {
		l.leaving = now.Add(leavingTime)
	}
}
