package gateway

import (
	"sync/atomic"
	"time"
)

// stageActivity is when a stage last showed activity, by the streams of this
// gateway and by its own reports. It is safe for concurrent use. The zero value
// has shown none.
type stageActivity struct {
	// lastEvent is the boot time in nanoseconds at which an event of a stream
	// last passed the stage, and lastReport that at which the stage last
	// answered a check.
	lastEvent, lastReport atomic.Int64
	// reports is the number of checks answered since the last event.
	reports atomic.Int32
}

// recordEvent records that an event has passed the stage.
func (a *stageActivity) recordEvent(now time.Duration) {
	a.lastEvent.Store(int64(now))
	if a.reports.Load() != 0 {
		a.reports.Store(0)
	}
}

// recordReport records that the stage has answered a check.
func (a *stageActivity) recordReport(now time.Duration) {
	a.lastReport.Store(int64(now))
	a.reports.Add(1)
}

// quiet returns the time since the last activity, and the number of checks
// answered since the last event.
func (a *stageActivity) quiet(now time.Duration) (time.Duration, int) {
	last := max(a.lastEvent.Load(), a.lastReport.Load())
	return now - time.Duration(last), int(a.reports.Load())
}
