// Package health detects failed and slow upstreams from the outcomes of
// attempts, from probes, and from the reports of peers. It tells which upstreams
// to exclude for a while and which fail more often than others although they
// pass their probes.
//
// Times are durations since boot.
package health

import (
	"slices"
	"time"

	"lovageport.example/internal/state/fleet"
)

// Fault is the reason for which an upstream is excluded for a while.
type Fault uint8

const (
	// Unreachable upstreams refuse connections: their process has ended.
	Unreachable Fault = iota
	// Stalled upstreams give no sign of life while streams wait for them. They
	// have ended or are partitioned, or only a connection is broken.
	Stalled
	// Silent upstreams did not answer in time but may be working.
	Silent
	// Misplaced upstreams have another instance at their address or don't hold
	// the layers that they are listed with.
	Misplaced
	// Full upstreams temporarily lack slots or memory.
	Full
)

// exclusionTimes is how long an upstream is excluded for each fault. After a
// fault for which NoAnswer is true it must also answer a probe.
var exclusionTimes = [...]time.Duration{
	Unreachable: 600 * time.Millisecond,
	Stalled:     600 * time.Millisecond,
	Silent:      600 * time.Millisecond,
	Misplaced:   700 * time.Millisecond,
	Full:        100 * time.Millisecond,
}

const (
	// probeInterval is the interval between probes of an upstream that does not
	// answer.
	probeInterval = 800 * time.Millisecond
	// minReportedExclusion is the shortest remaining exclusion reported to peers.
	// It covers the time in which the result of a probe is pending.
	minReportedExclusion = 300 * time.Millisecond
)

const (
	// resultWeight is the weight of the newest result in the moving average of
	// failures.
	resultWeight = 0.15
	// sampleTTL is the age after which results and latencies no longer count.
	sampleTTL = 8 * time.Second
)

// record is the state of one upstream.
type record struct {
	// excludedUntil is the end of the exclusion for faults seen here or, while
	// awaitingProbe is set, the time of the next probe.
	excludedUntil time.Duration
	// awaitingProbe is set while the upstream must answer a probe before it is
	// used again.
	awaitingProbe bool
	// unreachable and stalled are set after these faults until the upstream
	// answers a probe.
	unreachable, stalled bool
	// failedProbes counts the failed probes since the last answer.
	failedProbes int
	// unansweredAt is when the upstream last failed to answer this gateway, and
	// answeredAt when it last answered a probe of this gateway.
	unansweredAt, answeredAt time.Duration
	// restoredByPeerAt is when the upstream was last restored by a peer's
	// observation alone. Such observations are ignored until
	// distrustPeersUntil.
	restoredByPeerAt, distrustPeersUntil time.Duration
	// probeRequested is set while a probe is to be sent at probeRequestedFor.
	// Further requests are ignored until nextProbeRequestAt.
	probeRequested                        bool
	probeRequestedFor, nextProbeRequestAt time.Duration
	// faultAt is when the upstream last had a fault here. refusedUntil is the end of
	// the exclusion for faults that are answers.
	faultAt, refusedUntil time.Duration
	// heardAt is when the upstream last answered this gateway anything.
	heardAt time.Duration
	// peerExcludedUntil is the end of the exclusion reported by peers. It is not
	// forwarded: peers that repeated each other would never end it.
	peerExcludedUntil time.Duration
	// pace is the engine's pace as of paceAt; see SetPace. paceMeasuredHere is
	// set if this gateway asked for it.
	pace                    float64
	paceAt, nextPaceQueryAt time.Duration
	paceMeasuredHere        bool
	// meanLatency is the moving average of the response time.
	meanLatency, latencyAt time.Duration
	// holdOff is the hold-off that the incarnation heldOff of the upstream has requested.
	holdOff HoldOff
	heldOff fleet.Incarnation
	// failureRate is the moving average of failed attempts, in [0, 1].
	failureRate float64
	resultAt    time.Duration
}

// Tracker tracks the health of upstreams by instance. In its zero value all are
// healthy. It is not safe for concurrent use.
type Tracker struct {
	// SharingGateways is the number of gateways, including this one, that probe
	// the same upstreams and share the results, so that each probes less often.
	// Values below 2 mean that this gateway probes alone.
	SharingGateways int
	// Random returns a number in [0, 1) to spread the probes of the gateways over
	// time. If nil, probes are not delayed.
	Random func() float64

	records map[string]*record
}

func (t *Tracker) record(instance string) *record {
	if t.records == nil {
		t.records = make(map[string]*record)
	}
	rec := t.records[instance]
	if rec == nil {
		rec = &record{}
		t.records[instance] = rec
	}
	return rec
}

// RecordFault excludes an upstream because of a fault. It reports whether the
// upstream was in use until now.
func (t *Tracker) RecordFault(instance string, f Fault, now time.Duration) bool {
	rec := t.record(instance)
	wasExcluded := t.Excluded(instance, now)
	end := now + exclusionTimes[f]
	if f.NoAnswer() {
		end += t.stagger(rec, now)
		rec.recordUnanswered(now)
		rec.awaitingProbe = true
	} else {
		rec.refusedUntil = max(rec.refusedUntil, end)
	}
	rec.faultAt = now
	rec.unreachable = rec.unreachable || f == Unreachable
	rec.stalled = rec.stalled || f == Stalled
	rec.excludedUntil = max(rec.excludedUntil, end)
	return !wasExcluded
}

// RequestProbe requests an immediate probe of an upstream, which stays in use
// unless the probe fails.
func (t *Tracker) RequestProbe(instance string, now time.Duration) {
	rec := t.record(instance)
	if !rec.awaitingProbe && now >= rec.nextProbeRequestAt {
		rec.requestProbe(now, now)
	}
}

func (rec *record) requestProbe(at, now time.Duration) {
	rec.probeRequested, rec.probeRequestedFor = true, at
	rec.nextProbeRequestAt = now + probeInterval
}

// ProbeNow makes the probe that may end an exclusion due at once, if there is one.
func (t *Tracker) ProbeNow(instance string, now time.Duration) {
	if rec := t.records[instance]; rec != nil && rec.awaitingProbe {
		rec.excludedUntil = min(rec.excludedUntil, now)
	}
}

// DueProbes returns the upstreams to probe now, in order, and schedules the next
// probe of each.
func (t *Tracker) DueProbes(now time.Duration) []string {
	var due []string
	for instance, rec := range t.records {
		if now < rec.holdOff.Calls {
			continue
		}
		if rec.probeRequested && now >= rec.probeRequestedFor || rec.awaitingProbe && now >= rec.excludedUntil {
			rec.scheduleNextProbe(now, t.stagger(rec, now))
			due = append(due, instance)
		}
	}
	slices.Sort(due)
	return due
}

func (rec *record) scheduleNextProbe(now, stagger time.Duration) {
	if rec.probeRequested && now >= rec.probeRequestedFor {
		rec.probeRequested = false
		return
	}
	rec.excludedUntil = now + probeInterval + stagger
}

// RecordProbeFailure records that an upstream did not answer a probe.
func (t *Tracker) RecordProbeFailure(instance string) { t.record(instance).failedProbes++ }

// maxFailedProbes is the number of consecutive failed probes after which an
// upstream is presumed gone.
const maxFailedProbes = 2

// PresumedGone reports whether an upstream is to be treated as gone although it
// is still listed.
func (t *Tracker) PresumedGone(instance string) bool {
	rec := t.records[instance]
	return rec != nil && rec.awaitingProbe && rec.failedProbes >= maxFailedProbes
}

// LikelyDown reports whether an upstream has most likely ended or is
// partitioned, by the faults seen here.
func (t *Tracker) LikelyDown(instance string) bool {
	rec := t.records[instance]
	return rec != nil && (rec.unreachable || rec.stalled)
}

// Refuses reports whether an upstream refuses connections: its process has ended.
func (t *Tracker) Refuses(instance string) bool {
	rec := t.records[instance]
	return rec != nil && rec.unreachable
}

// ConfirmedDown reports whether an upstream is known to have ended or to be
// partitioned: it refuses connections, or has stalled and failed a probe. One
// that has only stalled may still be working.
func (t *Tracker) ConfirmedDown(instance string) bool {
	rec := t.records[instance]
	return rec != nil && (rec.unreachable || rec.stalled && rec.failedProbes > 0)
}

// RecordProbeSuccess records that an upstream has answered a probe. It reports
// whether that ended an exclusion.
func (t *Tracker) RecordProbeSuccess(instance string, now time.Duration) bool {
	rec := t.record(instance)
	rec.answeredAt = now
	rec.recordAnswer(now)
	return rec.restore(now)
}

// restore ends the exclusion until a successful probe and reports whether there
// was one.
func (rec *record) restore(now time.Duration) bool {
	rec.failedProbes = 0
	rec.unreachable, rec.stalled = false, false
	if !rec.awaitingProbe {
		return false
	}
	rec.awaitingProbe = false
	rec.excludedUntil = now
	return true
}

// Excluded reports whether an upstream must not get new work.
func (t *Tracker) Excluded(instance string, now time.Duration) bool {
	return t.ExcludedForFault(instance, now) || now < t.HoldOff(instance).Work
}

// ExcludedForFault reports whether an upstream is excluded because of a fault,
// seen here or reported by a peer, rather than by a hold-off it requested.
func (t *Tracker) ExcludedForFault(instance string, now time.Duration) bool {
	rec := t.records[instance]
	return rec != nil && (rec.awaitingProbe || now < max(rec.excludedUntil, rec.peerExcludedUntil))
}

// OnlySilent reports whether an upstream is excluded only because it gave no answer in
// time, and may be working: it neither refuses connections nor failed several probes.
func (t *Tracker) OnlySilent(instance string, now time.Duration) bool {
	rec := t.records[instance]
	return rec != nil && rec.awaitingProbe && !rec.unreachable && rec.failedProbes < maxFailedProbes &&
		now >= max(rec.refusedUntil, rec.holdOff.Work)
}

// Exclusion is an excluded upstream as reported to peers.
type Exclusion struct {
	Instance string
	// Remaining is the time until the exclusion ends or is renewed.
	Remaining time.Duration
}

// Exclusions returns the upstreams excluded for faults seen here, in no
// particular order.
func (t *Tracker) Exclusions(now time.Duration) []Exclusion {
	var out []Exclusion
	for instance, rec := range t.records {
		if rec.awaitingProbe || now < rec.excludedUntil {
			out = append(out, Exclusion{instance, max(rec.excludedUntil-now, minReportedExclusion)})
		}
	}
	return out
}

// RecordResult records whether an attempt on an upstream failed.
func (t *Tracker) RecordResult(instance string, failed bool, now time.Duration) {
	rec := t.record(instance)
	if now-rec.resultAt > sampleTTL {
		rec.failureRate = 0
	}
	rec.resultAt = now
	rec.failureRate *= 1 - resultWeight
	if failed {
		rec.failureRate += resultWeight
	}
}

// FailureRate returns the moving average of failed attempts, in [0, 1].
func (t *Tracker) FailureRate(instance string, now time.Duration) float64 {
	rec := t.records[instance]
	if rec == nil || now-rec.resultAt > sampleTTL {
		return 0
	}
	return rec.failureRate
}

// Retain drops the state of all upstreams that are no longer listed, and the hold-offs of
// those that are listed as another incarnation now. The hold-off of an upstream whose entry
// has lapsed is kept to its end: the entry may be created again.
func (t *Tracker) Retain(listed func(instance string) (fleet.Incarnation, bool), now time.Duration) {
	for instance, rec := range t.records {
		incarnation, ok := listed(instance)
		switch {
		case ok && rec.heldOff != incarnation:
			rec.holdOff, rec.heldOff = HoldOff{}, fleet.Incarnation{}
		case !ok && now < max(rec.holdOff.Calls, rec.holdOff.Work):
			*rec = record{holdOff: rec.holdOff, heldOff: rec.heldOff}
		case !ok:
			delete(t.records, instance)
		}
	}
}

// NoAnswer reports whether the fault is that the upstream does not answer.
func (f Fault) NoAnswer() bool { return f == Unreachable || f == Stalled || f == Silent }

// String returns the name of the fault.
func (f Fault) String() string {
	return [...]string{Unreachable: "unreachable", Stalled: "stalled", Silent: "silent", Misplaced: "misplaced", Full: "full"}[f]
}
