package health

import (
	"slices"
	"time"
)

const (
	// observationTTL is how long an observation is sent to peers. Each peer is
	// reached within this time.
	observationTTL = 1500 * time.Millisecond
	// An upstream that was restored by a peer's observation and fails here again
	// within relapseWindow answers the peers but not this VM. Observations of
	// peers are then ignored for distrustTime.
	relapseWindow = 3 * time.Second
	distrustTime  = 10 * time.Second
	// fullRateProbers is how many of the sharing gateways may together probe an
	// upstream at the full rate.
	fullRateProbers = 2
)

// Observation is the answer of an upstream to a probe or a pace query, as shared
// between gateways.
type Observation struct {
	Instance string
	// Age is the time since the answer.
	Age time.Duration
	// Pace is the reported pace, or 0 for the answer to a probe, which shows that
	// the upstream is healthy.
	Pace float64
}

// stagger returns the random delay of this gateway's next probe. The delay grows
// with the number of gateways that probe the same upstream and share the result.
func (t *Tracker) stagger(rec *record, now time.Duration) time.Duration {
	if t.Random == nil || now < rec.distrustPeersUntil {
		return 0
	}
	return time.Duration(t.Random() * float64(probeInterval) * float64(max(0, t.SharingGateways/fullRateProbers-1)))
}

// recordUnanswered records that the upstream does not answer this gateway. If a
// peer's observation has just restored it, such observations are ignored for a
// while.
func (rec *record) recordUnanswered(now time.Duration) {
	rec.unansweredAt = now
	if rec.restoredByPeerAt > 0 && now-rec.restoredByPeerAt < relapseWindow {
		rec.distrustPeersUntil = now + distrustTime
	}
}

// Observations returns the recent answers of upstreams to this gateway, newest
// first, to be sent to peers. Observations of peers are not forwarded.
func (t *Tracker) Observations(now time.Duration) []Observation {
	var out []Observation
	for instance, rec := range t.records {
		if rec.answeredAt > 0 && now-rec.answeredAt < observationTTL {
			out = append(out, Observation{Instance: instance, Age: now - rec.answeredAt})
		}
		if rec.paceMeasuredHere && now-rec.paceAt < observationTTL {
			out = append(out, Observation{instance, now - rec.paceAt, rec.pace})
		}
	}
	slices.SortFunc(out, func(a, b Observation) int { return int(a.Age - b.Age) })
	return out
}

// MergeObservation applies a peer's observation. It reports whether that restored
// the upstream or changed whether the engine counts as slow.
func (t *Tracker) MergeObservation(o Observation, now time.Duration) bool {
	rec := t.record(o.Instance)
	at := now - o.Age
	if o.Pace > 0 {
		return rec.mergePeerPace(o.Pace, at)
	}
	if !rec.awaitingProbe || at <= rec.unansweredAt || now < rec.distrustPeersUntil {
		return false
	}
	rec.restoredByPeerAt = now
	return rec.restore(now)
}

func (rec *record) mergePeerPace(pace float64, at time.Duration) bool {
	if at <= rec.paceAt {
		return false
	}
	rec.paceMeasuredHere = false
	rec.nextPaceQueryAt = max(rec.nextPaceQueryAt, at+paceQueryInterval+observationTTL)
	return rec.setPace(pace, at)
}
