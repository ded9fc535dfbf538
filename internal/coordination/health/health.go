// Package health keeps what is believed of upstreams from how attempts ended:
// which to leave alone for a while, and which fail more than others although
// they say that they are well.
package health

import (
	"slices"
	"time"
)

// Fault is why an upstream is left alone for a while.
type Fault uint8

// The faults.
const (
	// Unreachable upstreams refuse connections: they have ended.
	Unreachable Fault = iota
	// Stalled upstreams say nothing about what they do while streams wait for
	// them: they have ended or are cut off, or only a connection is.
	Stalled
	// Silent upstreams take too long to answer, and may be at work.
	Silent
	// Misplaced upstreams have another instance at their address, or do not
	// hold the layers that they are listed with.
	Misplaced
	// Full upstreams have no place or memory just now.
	Full
)

// pauses is how long an upstream is left alone for a fault; one that does not
// answer must then answer a probe.
var pauses = [...]time.Duration{
	Unreachable: 600 * time.Millisecond,
	Stalled:     600 * time.Millisecond,
	Silent:      600 * time.Millisecond,
	Misplaced:   700 * time.Millisecond,
	Full:        100 * time.Millisecond,
}

// Times of probes.
const (
	// probeInterval is how often an upstream that does not answer is probed.
	probeInterval = 800 * time.Millisecond
	// minOutage is how long peers are told that an upstream is left alone
	// whose probe is under way.
	minOutage = 300 * time.Millisecond
)

// Weights of results.
const (
	// resultWeight is that of the newest result in the moving share of
	// failures.
	resultWeight = 0.15
	// forgetAfter is the time after which results count for nothing.
	forgetAfter = 8 * time.Second
)

type record struct {
	outUntil time.Duration
	// probing says that the upstream must answer a probe before it is used
	// again.
	probing bool
	// unreachable says that it has ended, and stalled that it may have or is cut
	// off, as far as is known.
	unreachable, stalled bool
	// failedProbes counts the probes since the last answer.
	failedProbes int
	// blamedAt is when the upstream last failed to answer here, and answeredAt
	// when it last answered a probe of this gateway.
	blamedAt, answeredAt time.Duration
	// believedAt is when it was last taken back by a peer's word alone, and
	// doubtUntil until when no such word is believed.
	believedAt, doubtUntil time.Duration
	// suspected says that it should be probed at once, and suspectUntil until
	// when it is not suspected again.
	suspected    bool
	suspectUntil time.Duration
	// heardUntil is outUntil by the word of peers; it is not passed on, so that
	// no outage is kept up by peers that repeat each other.
	heardUntil time.Duration
	// pace is the engine's last reported one, as of paceAt; paceAskedHere says
	// that this gateway asked for it.
	pace              float64
	paceAt, paceDueAt time.Duration
	paceAskedHere     bool
	// took is the moving mean of the time to answer.
	took, tookAt time.Duration
	// holdOff is what the upstream has asked for itself.
	holdOff HoldOff
	// failures is the moving share of attempts that failed.
	failures float64
	at       time.Duration
}

// Register holds what is believed of upstreams, by instance. Its zero value
// believes all to be well.
type Register struct {
	// Sharers is how many gateways ask the same upstreams and tell each other
	// the answers, so that each may ask less often; up to 1 for none but this.
	Sharers int
	// Random returns a number in [0, 1), which keeps the gateways from asking at
	// the same time; nil for always 0.
	Random func() float64

	records map[string]*record
}

func (r *Register) record(instance string) *record {
	if r.records == nil {
		r.records = make(map[string]*record)
	}
	rec := r.records[instance]
	if rec == nil {
		rec = &record{}
		r.records[instance] = rec
	}
	return rec
}

// Blame notes a fault of an upstream. It says whether the upstream was in use
// until now.
func (r *Register) Blame(instance string, f Fault, now time.Duration) bool {
	rec := r.record(instance)
	wasOut := r.Out(instance, now)
	end := now + pauses[f]
	if f.NoAnswer() {
		end += r.stagger(rec, now)
		rec.doubt(now)
		rec.probing = true
	}
	rec.unreachable = rec.unreachable || f == Unreachable
	rec.stalled = rec.stalled || f == Stalled
	rec.outUntil = max(rec.outUntil, end)
	return !wasOut
}

// Suspect has an upstream probed at once, without leaving it alone before the
// probe has failed.
func (r *Register) Suspect(instance string, now time.Duration) {
	rec := r.record(instance)
	if !rec.probing && now >= rec.suspectUntil {
		rec.suspected = true
		rec.suspectUntil = now + probeInterval
	}
}

// DueProbes returns the upstreams that should be probed now, and puts off the
// next probe of each.
func (r *Register) DueProbes(now time.Duration) []string {
	var due []string
	for instance, rec := range r.records {
		if now < rec.holdOff.Calls {
			continue
		}
		if rec.suspected || rec.probing && now >= rec.outUntil {
			rec.due(now, r.stagger(rec, now))
			due = append(due, instance)
		}
	}
	slices.Sort(due)
	return due
}

func (rec *record) due(now, stagger time.Duration) {
	if rec.suspected {
		rec.suspected = false
		return
	}
	rec.outUntil = now + probeInterval + stagger
}

// ProbeFailed notes that an upstream did not answer a probe.
func (r *Register) ProbeFailed(instance string) { r.record(instance).failedProbes++ }

// lostProbes is how many probes in a row go without answer before an upstream
// counts as lost.
const lostProbes = 2

// Lost says whether an upstream is to be taken for gone although it is listed.
func (r *Register) Lost(instance string) bool {
	rec := r.records[instance]
	return rec != nil && rec.probing && rec.failedProbes >= lostProbes
}

// Unreachable says whether an upstream has most likely ended or is cut off, as
// far as is known here.
func (r *Register) Unreachable(instance string) bool {
	rec := r.records[instance]
	return rec != nil && (rec.unreachable || rec.stalled)
}

// Ended says whether it is known that an upstream has ended or is cut off: it
// refuses connections, or has stalled and has not answered a probe either. One
// that has only stalled may still be at work.
func (r *Register) Ended(instance string) bool {
	rec := r.records[instance]
	return rec != nil && (rec.unreachable || rec.stalled && rec.failedProbes > 0)
}

// Answered notes that an upstream has answered a probe. It says whether the
// upstream is in use again by that.
func (r *Register) Answered(instance string, now time.Duration) bool {
	rec := r.record(instance)
	rec.answeredAt = now
	return rec.takeBack(now)
}

// takeBack ends the wait for an answer to a probe, and says whether there was
// one.
func (rec *record) takeBack(now time.Duration) bool {
	rec.failedProbes = 0
	rec.unreachable, rec.stalled = false, false
	if !rec.probing {
		return false
	}
	rec.probing = false
	rec.outUntil = now
	return true
}

// Out says whether an upstream must be left alone.
func (r *Register) Out(instance string, now time.Duration) bool {
	return r.Faulty(instance, now) || now < r.Held(instance).Work
}

// Faulty says whether an upstream must be left alone for a fault, as opposed to
// its own request.
func (r *Register) Faulty(instance string, now time.Duration) bool {
	rec := r.records[instance]
	return rec != nil && (rec.probing || now < max(rec.outUntil, rec.heardUntil))
}

// Hear takes a peer's word that an upstream is to be left alone for a while.
func (r *Register) Hear(instance string, left, now time.Duration) {
	rec := r.record(instance)
	rec.heardUntil = max(rec.heardUntil, now+min(left, probeInterval))
}

// Outage is an upstream that is left alone.
type Outage struct {
	Instance string
	// Left is for how long still.
	Left time.Duration
}

// Outs returns the upstreams that are left alone for a fault seen here.
func (r *Register) Outs(now time.Duration) []Outage {
	var out []Outage
	for instance, rec := range r.records {
		if rec.probing || now < rec.outUntil {
			out = append(out, Outage{instance, max(rec.outUntil-now, minOutage)})
		}
	}
	return out
}

// Result notes how an attempt at an upstream ended.
func (r *Register) Result(instance string, failed bool, now time.Duration) {
	rec := r.record(instance)
	if now-rec.at > forgetAfter {
		rec.failures = 0
	}
	rec.at = now
	rec.failures *= 1 - resultWeight
	if failed {
		rec.failures += resultWeight
	}
}

// Failures returns the moving share of attempts that failed.
func (r *Register) Failures(instance string, now time.Duration) float64 {
	rec := r.records[instance]
	if rec == nil || now-rec.at > forgetAfter {
		return 0
	}
	return rec.failures
}

// Keep forgets all upstreams but those for which live returns true.
func (r *Register) Keep(live func(instance string) bool) {
	for instance := range r.records {
		if !live(instance) {
			delete(r.records, instance)
		}
	}
}

// NoAnswer says whether the fault is that an upstream does not answer.
func (f Fault) NoAnswer() bool { return f == Unreachable || f == Stalled || f == Silent }

// String names the fault.
func (f Fault) String() string {
	return [...]string{Unreachable: "unreachable", Stalled: "stalled", Silent: "silent", Misplaced: "misplaced", Full: "full"}[f]
}
