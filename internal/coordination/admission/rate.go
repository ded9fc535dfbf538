package admission

import (
	"math"
	"time"
)

// rateMemory is the time over which a drain rate is averaged.
const rateMemory = 5 * time.Second

// Rate estimates how many requests a second a pool lets in. Its zero value
// knows no rate.
type Rate struct {
	perSecond float64
	at        time.Time
	known     bool
}

// Note counts one request let in.
func (r *Rate) Note(now time.Time) {
	if r.at.IsZero() {
		r.at = now
		return
	}
	r.decay(now)
	r.perSecond += 1 / rateMemory.Seconds()
	r.known = true
}

func (r *Rate) decay(now time.Time) {
	elapsed := now.Sub(r.at).Seconds()
	r.perSecond *= math.Exp(-elapsed / rateMemory.Seconds())
	r.at = now
}

// Wait returns how long n requests take to be let in; false if that can't be
// told.
func (r *Rate) Wait(n int, now time.Time) (time.Duration, bool) {
	if !r.known {
		return 0, false
	}
	r.decay(now)
	if r.perSecond < minRate {
		return 0, false
	}
	return time.Duration(float64(n) / r.perSecond * float64(time.Second)), true
}

// minRate is the requests a second below which nothing is foretold.
const minRate = 0.05
