package admission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the default time constant of the exponential average of
	// the drain rate.
	rateTimeConstant = 5 * time.Second
	// idleTimeConstant is the time constant with which a rate is forgotten while no
	// request waits: loads change by half within 15 s.
	idleTimeConstant = 15 * time.Second
	// minBusyTime is the least time with waiting requests after which there is an
	// estimate. One request that leaves within less says little about the rate.
	minBusyTime = 500 * time.Millisecond
	// minRate is the rate, in requests per second, below which there is no estimate.
	minRate = 0.05
)

// RateEstimator estimates the rate at which a pool admits waiting requests. Time
// without waiting requests does not count, as nothing can be admitted then. Its zero
// value has no estimate; requests are taken to wait from the first call of Record or
// Busy until Idle is called.
type RateEstimator struct {
	// TimeConstant is that of the exponential average; 5 s if it is 0.
	TimeConstant time.Duration

	// admitted is the number of admitted requests, and busy the time with waiting
	// requests in seconds, both as exponential averages.
	admitted, busy float64
	updatedAt      time.Time
	idle           bool
}

// Record records that a request was admitted at now.
func (r *RateEstimator) Record(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
		return
	}
	r.advance(now)
	r.idle = false
	r.admitted++
}

// Busy records that requests wait from now on.
func (r *RateEstimator) Busy(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	r.advance(now)
	r.idle = false
}

// Idle records that no request waits from now on.
func (r *RateEstimator) Idle(now time.Time) {
	if r.updatedAt.IsZero() || r.idle {
		return
	}
	r.advance(now)
	r.idle = true
}

// advance moves the averages to now.
func (r *RateEstimator) advance(now time.Time) {
	elapsed := max(0, now.Sub(r.updatedAt).Seconds())
	r.updatedAt = now
	constant := rateTimeConstant.Seconds()
	if r.TimeConstant > 0 {
		constant = r.TimeConstant.Seconds()
	}
	if r.idle {
		constant = idleTimeConstant.Seconds()
	}
	decay := math.Exp(-elapsed / constant)
	r.admitted *= decay
	r.busy *= decay
	if !r.idle {
		r.busy += constant * (1 - decay)
	}
}

// Rate returns the rate in requests per second, false if it is unknown or too low for
// an estimate.
func (r *RateEstimator) Rate(now time.Time) (float64, bool) {
	if r.updatedAt.IsZero() {
		return 0, false
	}
	r.advance(now)
	if r.busy < minBusyTime.Seconds() {
		return 0, false
	}
	rate := r.admitted / r.busy
	return rate, rate >= minRate
}

// EstimateWait estimates how long it takes to admit n requests. It returns false
// if the rate is unknown or too low for an estimate.
func (r *RateEstimator) EstimateWait(n int, now time.Time) (time.Duration, bool) {
	rate, known := r.Rate(now)
	if !known {
		return 0, false
	}
	return time.Duration(float64(n) / rate * float64(time.Second)), true
}
