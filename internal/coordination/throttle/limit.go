package throttle

import (
	"math"
	"time"

	"lovageport.example/internal/state/fleet"
)

// maxRate bounds the rate of a limit, in requests per second, so that sums and products
// of it stay finite.
const maxRate = 1e6

// minRate is the rate, in requests per second, at which an upstream that takes none is still
// called: only its answers tell when it takes requests again.
const minRate = 0.1

// Limit is what is known of the rate that an upstream takes from all gateways together.
type Limit struct {
	// Upstream is the incarnation that has stated the limit.
	Upstream fleet.Incarnation
	// Rate is the rate in requests per second. If Lifted is set, it is the last one that
	// the upstream stated.
	Rate float64
	// Lifted reports that the upstream does not state a limit any more.
	Lifted bool
	// At is the boot time as of which this is known.
	At time.Duration
}

// replaces reports whether l is newer than other, which is of the same instance. Of two
// that are equally old the limit counts.
func (l *Limit) replaces(other *Limit) bool {
	switch {
	case l.Upstream.Started != other.Upstream.Started:
		return l.Upstream.Started > other.Upstream.Started
	case l.At != other.At:
		return l.At > other.At
	}
	return other.Lifted && !l.Lifted
}

// sameRateShare is the part by which two rates may differ to count as the same.
const sameRateShare = 0.05

// says reports whether l and other state about the same.
func (l *Limit) says(other *Limit) bool {
	return l.Upstream == other.Upstream && l.Lifted == other.Lifted && math.Abs(l.Rate-other.Rate) <= sameRateShare*other.Rate
}

// Ramp of the rate after the end of a limit, so that the gateways, all of which find the
// upstream idle, do not call it at once.
const (
	rampTime    = 1200 * time.Millisecond
	rampDoubled = 240 * time.Millisecond
)

// rateAt returns the rate at a boot time. The bool is false if there is no limit then.
func (e *entry) rateAt(now time.Duration) (float64, bool) {
	rate := min(max(e.Rate, minRate), maxRate)
	if !e.Lifted {
		return rate, true
	}
	since := max(0, now-e.rampFrom)
	if since >= rampTime {
		return 0, false
	}
	// A limit below 1 would take too long to grow.
	return max(1, rate) * math.Exp2(float64(since)/float64(rampDoubled)), true
}
