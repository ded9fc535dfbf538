package health

import (
	"slices"
	"time"

	"lovageport.example/internal/state/fleet"
)

// maxHoldOff bounds the hold-off that an upstream may request. A longer one is
// taken for an error of the upstream, which is tried again after this time.
const maxHoldOff = time.Hour

// HoldOff holds the times until which an upstream, in refusing a call, has asked
// not to be used.
type HoldOff struct {
	// Calls is the time until which the upstream wants no calls from this VM.
	// Work is the time until which it has no room for work that reaches it
	// through other upstreams either.
	Calls, Work time.Duration
}

// HoldOffCalls records that an upstream wants no calls from this VM for the
// duration wait. It reports whether that extends the known hold-off.
func (t *Tracker) HoldOffCalls(u fleet.Incarnation, wait, now time.Duration) bool {
	return extend(&t.holdOffOf(u).Calls, wait, now)
}

// HoldOffWork records that an upstream has no room for work for the duration
// wait. It reports whether that extends the known hold-off.
func (t *Tracker) HoldOffWork(u fleet.Incarnation, wait, now time.Duration) bool {
	return extend(&t.holdOffOf(u).Work, wait, now)
}

// holdOffOf returns the hold-off of an incarnation to change it. That of another one is
// dropped.
func (t *Tracker) holdOffOf(u fleet.Incarnation) *HoldOff {
	rec := t.record(u.Instance)
	if rec.heldOff != u {
		rec.holdOff, rec.heldOff = HoldOff{}, u
	}
	return &rec.holdOff
}

func extend(until *time.Duration, wait, now time.Duration) bool {
	end := now + min(wait, maxHoldOff)
	extended := end > *until
	*until = max(*until, end)
	return extended
}

// HoldOff returns the hold-off of an upstream, zero if it has requested none.
func (t *Tracker) HoldOff(instance string) HoldOff {
	if rec := t.records[instance]; rec != nil {
		return rec.holdOff
	}
	return HoldOff{}
}

// MayCall reports whether this VM may call an upstream.
func (t *Tracker) MayCall(instance string, now time.Duration) bool {
	return now >= t.HoldOff(instance).Calls
}

// HoldingOffWork returns the upstreams that want no work, in order.
func (t *Tracker) HoldingOffWork(now time.Duration) []string {
	var out []string
	for instance, rec := range t.records {
		if now < rec.holdOff.Work {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}

// HoldOffEnds returns the times after now at which hold-offs end, in order and
// without duplicates.
func (t *Tracker) HoldOffEnds(now time.Duration) []time.Duration {
	var ends []time.Duration
	for _, rec := range t.records {
		for _, end := range []time.Duration{rec.holdOff.Calls, rec.holdOff.Work} {
			if end > now {
				ends = append(ends, end)
			}
		}
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}
