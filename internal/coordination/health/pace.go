package health

import (
	"slices"
	"time"
)

const (
	// paceQueryInterval is the shortest interval between two pace queries to an
	// engine. A slow engine is queried at this interval until it recovers.
	paceQueryInterval = 800 * time.Millisecond
	// slowPaceThreshold is the pace above which an engine counts as slow.
	slowPaceThreshold = 1.3
	// latencyWeight is the weight of the newest sample in the moving average of
	// the response time.
	latencyWeight = 0.2
)

// PaceQueryDue reports whether an engine should be asked for its pace now and,
// if so, schedules the next query.
func (t *Tracker) PaceQueryDue(instance string, now time.Duration) bool {
	rec := t.record(instance)
	if now < max(rec.nextPaceQueryAt, rec.holdOff.Calls) {
		return false
	}
	rec.nextPaceQueryAt = now + paceQueryInterval
	return true
}

// SlowEnginesDue returns, in order, the engines that were slow at the last query
// and should be queried again now, and schedules the next query of each.
func (t *Tracker) SlowEnginesDue(now time.Duration) []string {
	var due []string
	for instance, rec := range t.records {
		if rec.pace > slowPaceThreshold && t.PaceQueryDue(instance, now) {
			due = append(due, instance)
		}
	}
	slices.Sort(due)
	return due
}

// SetPace records the pace that an engine has reported to this gateway: the
// factor by which it is slower than usual. It reports whether the engine has
// become slow or has ceased to be slow.
func (t *Tracker) SetPace(instance string, pace float64, now time.Duration) bool {
	rec := t.record(instance)
	rec.paceMeasuredHere = true
	return rec.setPace(pace, now)
}

func (rec *record) setPace(pace float64, at time.Duration) bool {
	changed := (rec.pace > slowPaceThreshold) != (pace > slowPaceThreshold)
	rec.pace, rec.paceAt = pace, at
	return changed
}

// Pace returns the factor by which an engine is slower than usual; 1 if it does
// not count as slow.
func (t *Tracker) Pace(instance string) float64 {
	rec := t.records[instance]
	if rec == nil || rec.pace <= slowPaceThreshold {
		return 1
	}
	return rec.pace
}

// RecordLatency records the response time of a call to an upstream.
func (t *Tracker) RecordLatency(instance string, d, now time.Duration) {
	rec := t.record(instance)
	if rec.latencyAt == 0 || now-rec.latencyAt > sampleTTL {
		rec.meanLatency = d
	}
	rec.meanLatency += time.Duration(latencyWeight * float64(d-rec.meanLatency))
	rec.latencyAt = now
}

// MeanLatency returns the moving average of an upstream's response time, 0 if
// there is no recent sample.
func (t *Tracker) MeanLatency(instance string, now time.Duration) time.Duration {
	rec := t.records[instance]
	if rec == nil || now-rec.latencyAt > sampleTTL {
		return 0
	}
	return rec.meanLatency
}
