// Package retry limits the load that retries add, per process with a [Budget] or
// across processes with a [Window].
package retry

import "time"

// Parameters of a Budget.
const (
	// RetriesPerRequest is the number of retries that each new request allows.
	RetriesPerRequest = 0.1
	// Burst is the capacity of the budget, which starts full. It is enough to
	// retry the streams of a few lost upstreams at once.
	Burst = 100
	// RefillPerSecond is the number of retries per second allowed without any
	// requests.
	RefillPerSecond = 1.0
)

// Budget is a token bucket for retries that new requests and time refill. Its
// zero value is full. It is not safe for concurrent use.
type Budget struct {
	spent      float64
	refilledAt time.Time
}

// RecordRequest refills the budget for a new request.
func (b *Budget) RecordRequest() { b.spent = max(0, b.spent-RetriesPerRequest) }

// Allow reports whether a retry may be sent and, if so, charges it.
func (b *Budget) Allow(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.spent = max(0, b.spent-RefillPerSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.spent+1 > Burst {
		return false
	}
	b.spent++
	return true
}
