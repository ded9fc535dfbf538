package health

import "time"

const (
	// maxProbeDelay bounds the silence before the first probe.
	maxProbeDelay = 500 * time.Millisecond
	// minProbeDelay is the shortest silence after which a stream is probed.
	minProbeDelay = 80 * time.Millisecond
	// The first earlyProbes probes follow each other at earlyProbeInterval, or at
	// the stream's event interval if that is longer. They are cheap since they go
	// only to stages that no other stream has passed in the meantime. The next
	// probe follows after middleProbeInterval, and later ones at
	// lateProbeInterval.
	earlyProbes         = 4
	earlyProbeInterval  = 40 * time.Millisecond
	middleProbeInterval = 150 * time.Millisecond
	lateProbeInterval   = 500 * time.Millisecond
	// busyStageQuiet and sparseStageQuiet are how long a stage must have been
	// quiet to be probed. The former holds for at least busyStageStreams streams,
	// whose events alternate.
	busyStageQuiet   = 90 * time.Millisecond
	sparseStageQuiet = 120 * time.Millisecond
	busyStageStreams = 3
	// maxQuietDoublings bounds how often the allowed quiet time doubles.
	maxQuietDoublings = 2
	// pauseShare and firstEventShare are the shares of the route's longest pause
	// and of its time to the first event after which the first probe is sent at
	// the latest. The rest is needed to process the prompt elsewhere.
	pauseShare      = 0.5
	firstEventShare = 0.3
	// intervalFactor is the multiple of the usual interval between events at
	// which a stream counts as silent. minIntervalFactor is the multiple that
	// must pass whatever the route allows, since events that come through slow
	// engines are late without a fault.
	intervalFactor    = 3.5
	minIntervalFactor = 1.5
)

// ProbeSchedule determines when to probe the stages of a stream that brings no
// events.
type ProbeSchedule struct {
	// Objective is the time within which the first event should come. MaxPause
	// is the longest pause allowed after it. Either is 0 if there is no limit.
	Objective, MaxPause time.Duration
	// EventInterval is the usual time between events of the stream, 0 if
	// unknown.
	EventInterval time.Duration
}

// StageQuietLimit returns how long a stage with the given number of streams may
// give no sign of life before it is probed. The limit doubles with each probe
// answered since the last sign of life, up to a bound: the stage or another one
// is merely slow.
func StageQuietLimit(streams, answers int) time.Duration {
	quiet := sparseStageQuiet
	if streams >= busyStageStreams {
		quiet = busyStageQuiet
	}
	return quiet << min(answers, maxQuietDoublings)
}

// NextProbe returns the delay of the next probe, given the number of probes since
// the last event. begun tells whether the stream has had an event.
func (s ProbeSchedule) NextProbe(begun bool, probes int) time.Duration {
	switch {
	case probes > earlyProbes:
		return lateProbeInterval
	case probes == earlyProbes:
		return middleProbeInterval
	case probes > 0:
		return max(earlyProbeInterval, s.EventInterval)
	}
	allowed, share := s.Objective, firstEventShare
	if begun {
		allowed, share = s.MaxPause, pauseShare
	}
	if allowed <= 0 {
		return maxProbeDelay
	}
	latest := min(maxProbeDelay, time.Duration(share*float64(allowed)))
	if !begun || s.EventInterval <= 0 {
		return latest
	}
	usual := max(minProbeDelay, time.Duration(intervalFactor*float64(s.EventInterval)))
	least := time.Duration(minIntervalFactor * float64(s.EventInterval))
	return min(maxProbeDelay, max(least, min(latest, usual)))
}
