package pathfinding

import (
	"math"
	"time"
)

// rateTime is the time over which a rate is a mean. What peers say of theirs is
// about a second old, which changes little of it.
const rateTime = 1500 * time.Millisecond

// Rate is a mean of what has come in lately, by the second. Its zero value is 0.
type Rate struct {
	perSecond float64
	at        time.Duration
}

// Add counts what has come in at a boot time.
func (r *Rate) Add(amount float64, now time.Duration) {
	r.perSecond = r.At(now) + amount/rateTime.Seconds()
	r.at = now
}

// At returns the rate as of a boot time.
func (r *Rate) At(now time.Duration) float64 {
	return r.perSecond * math.Exp(-max(0, now-r.at).Seconds()/rateTime.Seconds())
}
