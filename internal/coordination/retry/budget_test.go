package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetriesStayWithinShareOfRequests simulates a long outage at 1,000 requests
// per second: retries add a tenth, apart from the burst and the refill over time.
func TestRetriesStayWithinShareOfRequests(t *testing.T) {
	const (
		seconds   = 60
		perSecond = 1000
	)
	var b Budget
	now := time.Date(2026, 2, 14, 12, 0, 0, 0, time.UTC)
	retries := 0
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		b.RecordRequest()
		for b.Allow(now) {
			retries++
		}
	}
	limit := RetriesPerRequest*seconds*perSecond + Burst + RefillPerSecond*seconds
	qt.Check(t, float64(retries) <= limit+1, qt.IsTrue, qt.Commentf("%d retries", retries))
	qt.Check(t, float64(retries) >= RetriesPerRequest*seconds*perSecond, qt.IsTrue)
}
