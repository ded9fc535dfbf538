// Package retry bounds the load that retries add.
package retry

import "time"

// The budget's defaults.
const (
	// Share is the retries allowed per fresh request.
	Share = 0.1
	// Burst is the most retries that can be saved up, and what a new entry
	// starts with: enough for the streams of a few lost upstreams.
	Burst = 100
	// PerSecond is what the budget gains without traffic.
	PerSecond = 1.0
)

// Budget allows retries as a share of fresh requests. Its zero value is full.
type Budget struct {
	spent  float64
	filled time.Time
}

// Fresh notes a fresh request.
func (b *Budget) Fresh() { b.spent = max(0, b.spent-Share) }

// Take says whether a retry may be sent, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	if !b.filled.IsZero() {
		b.spent = max(0, b.spent-PerSecond*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.spent+1 > Burst {
		return false
	}
	b.spent++
	return true
}
