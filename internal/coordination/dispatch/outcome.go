package dispatch

import (
	"time"

	"lovageport.example/internal/coordination/quarantine"
)

// Finish ends the placement with the given ID. Unknown and finished placements
// are ignored.
func (d *Dispatcher) Finish(id uint64, outcome Outcome, now time.Time) {
	p := d.active[id]
	if p == nil {
		return
	}
	if outcome.Fault == Crashed {
		d.recordCrash(outcome.Upstream, now)
	}
	delete(d.active, id)
	for _, s := range p.chain {
		l := d.loadOf(s.Upstream.Name)
		l.inFlight--
		if p.suspect {
			l.suspects--
		}
		if outcome.Fault == None {
			d.Ejections.RecordSuccess(s.Upstream.Name, s.Upstream.Slots)
			d.Ejections.RecordAnswer(s.Upstream.Name, now)
		}
	}
	d.applyFault(p, outcome, now)
	d.dispatch(now)
}

// recordCrash marks the requests that were in flight on an upstream when it
// crashed as suspects. A crash may be reported several times; an attempt placed
// after the first report cannot have caused it.
func (d *Dispatcher) recordCrash(upstream string, now time.Time) {
	l := d.loadOf(upstream)
	if now.Sub(l.crashedAt) > quarantine.SameCrashWindow {
		l.crashedAt = now
	}
	crashes := []quarantine.Crash{{Upstream: upstream, At: now}}
	for _, p := range d.active {
		if p.sawCrash || p.placedAt.After(l.crashedAt) || !p.chain.Contains(upstream) {
			continue
		}
		p.sawCrash = true
		d.Suspicions.Add(p.request.Fingerprint, crashes, now)
	}
}

// applyFault updates the request and the upstreams of a finished attempt
// according to its outcome.
func (d *Dispatcher) applyFault(p *activePlacement, outcome Outcome, now time.Time) {
	r := p.request
	// Unreachable upstreams don't count as failures of the request: each is
	// excluded from its later attempts, which bounds their number.
	if outcome.Fault != None && outcome.Fault != Unreachable && !outcome.Fault.Neutral() {
		r.Failures++
	}
	switch outcome.Fault {
	case Busy:
		d.loadOf(outcome.Upstream).busyUntil = now.Add(busyBackoff)
	case Leaving:
		d.loadOf(outcome.Upstream).leavingUntil = now.Add(leavingTTL)
	case Unattributed:
		for _, s := range p.chain {
			if name := s.Upstream.Name; outcome.Upstream == "" || outcome.Upstream == name {
				r.avoidIfPossible(name)
				d.Ejections.RecordUnattributed(name, now)
			}
		}
	case ConnectTimeout:
		r.avoidIfPossible(outcome.Upstream)
		d.Ejections.RecordFailure(outcome.Upstream, now)
	case Rejected:
		r.exclude(outcome.Upstream)
	case Unreachable, ConnectionLost, Crashed, Silent, Protocol:
		if u, ok := d.catalog.Upstream(outcome.Upstream); ok && outcome.Fault == Crashed {
			r.CrashZone = u.Zone
		}
		r.exclude(outcome.Upstream)
		d.Ejections.RecordFailure(outcome.Upstream, now)
	}
}

// ReportLoad records an engine's report: how many requests it runs, including
// those of other entries, and whether it is leaving.
func (d *Dispatcher) ReportLoad(upstream string, running int, leaving bool, now time.Time) {
	d.Ejections.RecordAnswer(upstream, now)
	l := d.loadOf(upstream)
	l.otherRequests = max(0, float64(running-l.inFlight))
	l.reportedAt = now
	if leaving {
		l.leavingUntil = now.Add(leavingTTL)
	}
}
