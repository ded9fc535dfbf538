package health

import (
	"slices"
	"time"
)

// Times and weights of speed.
const (
	// paceInterval is the least time between two questions about an engine's
	// pace; a slow one is asked as often until it is not.
	paceInterval = 800 * time.Millisecond
	// slowPace is the pace from which an engine counts as slow.
	slowPace = 1.3
	// tookWeight is that of the newest answer in the moving mean.
	tookWeight = 0.2
)

// PaceDue says whether an engine should be asked for its pace, and puts off
// the next question.
func (r *Register) PaceDue(instance string, now time.Duration) bool {
	rec := r.record(instance)
	if now < max(rec.paceDueAt, rec.holdOff.Calls) {
		return false
	}
	rec.paceDueAt = now + paceInterval
	return true
}

// SlowDue returns the engines that were slow when last asked and should be
// asked again.
func (r *Register) SlowDue(now time.Duration) []string {
	var due []string
	for instance, rec := range r.records {
		if rec.pace > slowPace && r.PaceDue(instance, now) {
			due = append(due, instance)
		}
	}
	slices.Sort(due)
	return due
}

// SetPace notes the pace that an engine has reported here. It says whether the
// engine has become slow, or is so no longer.
func (r *Register) SetPace(instance string, pace float64, now time.Duration) bool {
	rec := r.record(instance)
	rec.paceAskedHere = true
	return rec.setPace(pace, now)
}

func (rec *record) setPace(pace float64, at time.Duration) bool {
	changed := (rec.pace > slowPace) != (pace > slowPace)
	rec.pace, rec.paceAt = pace, at
	return changed
}

// Pace returns by how much an engine is slower than usual; at least 1.
func (r *Register) Pace(instance string) float64 {
	rec := r.records[instance]
	if rec == nil || rec.pace <= slowPace {
		return 1
	}
	return rec.pace
}

// Took notes how long an upstream took to answer a call.
func (r *Register) Took(instance string, d, now time.Duration) {
	rec := r.record(instance)
	if rec.tookAt == 0 || now-rec.tookAt > forgetAfter {
		rec.took = d
	}
	rec.took += time.Duration(tookWeight * float64(d-rec.took))
	rec.tookAt = now
}

// MeanTime returns the moving mean of the time that an upstream takes to
// answer; 0 if nothing is known.
func (r *Register) MeanTime(instance string, now time.Duration) time.Duration {
	rec := r.records[instance]
	if rec == nil || now-rec.tookAt > forgetAfter {
		return 0
	}
	return rec.took
}
