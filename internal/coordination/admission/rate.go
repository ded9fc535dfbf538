package admission

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential average of the drain
// rate.
const rateTimeConstant = 5 * time.Second

// RateEstimator estimates the rate at which a pool admits requests. Its zero
// value has no estimate.
type RateEstimator struct {
	perSecond float64
	updatedAt time.Time
	known     bool
}

// Record records that a request was admitted at now.
func (r *RateEstimator) Record(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
		return
	}
	r.decay(now)
	r.perSecond += 1 / rateTimeConstant.Seconds()
	r.known = true
}

func (r *RateEstimator) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	r.perSecond *= math.Exp(-elapsed / rateTimeConstant.Seconds())
	r.updatedAt = now
}

// EstimateWait estimates how long it takes to admit n requests. It returns false
// if the rate is unknown or too low for an estimate.
func (r *RateEstimator) EstimateWait(n int, now time.Time) (time.Duration, bool) {
	if !r.known {
		return 0, false
	}
	r.decay(now)
	if r.perSecond < minRate {
		return 0, false
	}
	return time.Duration(float64(n) / r.perSecond * float64(time.Second)), true
}

// minRate is the rate, in requests per second, below which there is no estimate.
const minRate = 0.05
