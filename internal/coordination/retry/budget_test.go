package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShareOfFreshTraffic: over a long outage at 1,000 fresh requests a
// second, retries add a tenth, apart from the burst and the trickle.
func TestShareOfFreshTraffic(t *testing.T) {
	const (
		seconds   = 60
		perSecond = 1000
	)
	var b Budget
	now := time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)
	taken := 0
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		b.Fresh()
		for b.Take(now) {
			taken++
		}
	}
	limit := Share*seconds*perSecond + Burst + PerSecond*seconds
	qt.Check(t, float64(taken) <= limit+1, qt.IsTrue, qt.Commentf("%d retries", taken))
	qt.Check(t, float64(taken) >= Share*seconds*perSecond, qt.IsTrue)
}
