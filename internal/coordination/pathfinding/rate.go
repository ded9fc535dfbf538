package pathfinding

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of a [Rate]. Peers report their rates
// with a delay of about a second, over which a rate with this constant changes
// little.
const rateTimeConstant = 1500 * time.Millisecond

// Rate is an exponentially decaying average of the amount that arrives per
// second. The zero value is a rate of 0.
type Rate struct {
	perSecond float64
	updated   time.Duration
}

// Add counts an amount that arrives at now, a time since boot.
func (r *Rate) Add(amount float64, now time.Duration) {
	r.perSecond = r.At(now) + amount/rateTimeConstant.Seconds()
	r.updated = now
}

// At returns the rate per second at now, a time since boot.
func (r *Rate) At(now time.Duration) float64 {
	return r.perSecond * math.Exp(-max(0, now-r.updated).Seconds()/rateTimeConstant.Seconds())
}
