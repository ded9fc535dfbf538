package health

import (
	"slices"
	"time"
)

// maxHoldOff bounds how long an upstream is left alone at its own request. A
// longer time is taken for a mistake: the upstream is tried again after this.
const maxHoldOff = time.Hour

// HoldOff is what an upstream has asked of this VM with a refusal.
type HoldOff struct {
	// Calls is the boot time before which it wants no calls from here, and
	// Work that before which it has no room for work that comes through other
	// upstreams either.
	Calls, Work time.Duration
}

// HoldCalls notes that an upstream wants no calls from here for a time. It says
// whether that is longer than was known.
func (r *Register) HoldCalls(instance string, wait, now time.Duration) bool {
	h := &r.record(instance).holdOff
	return extend(&h.Calls, wait, now)
}

// HoldWork notes that an upstream has no room for a time.
func (r *Register) HoldWork(instance string, wait, now time.Duration) bool {
	h := &r.record(instance).holdOff
	return extend(&h.Work, wait, now)
}

func extend(until *time.Duration, wait, now time.Duration) bool {
	end := now + min(wait, maxHoldOff)
	longer := end > *until
	*until = max(*until, end)
	return longer
}

// Held returns what an upstream has asked for; zero if nothing.
func (r *Register) Held(instance string) HoldOff {
	if rec := r.records[instance]; rec != nil {
		return rec.holdOff
	}
	return HoldOff{}
}

// MayCall says whether an upstream may be called from here.
func (r *Register) MayCall(instance string, now time.Duration) bool {
	return now >= r.Held(instance).Calls
}

// Renew forgets what an upstream has asked for: it has been started anew.
func (r *Register) Renew(instance string) {
	if rec := r.records[instance]; rec != nil {
		rec.holdOff = HoldOff{}
	}
}

// HeldWork returns the upstreams that have no room, in order.
func (r *Register) HeldWork(now time.Duration) []string {
	var out []string
	for instance, rec := range r.records {
		if now < rec.holdOff.Work {
			out = append(out, instance)
		}
	}
	slices.Sort(out)
	return out
}

// HoldOffEnds returns the times, after now, at which upstreams take calls or
// work again, in order.
func (r *Register) HoldOffEnds(now time.Duration) []time.Duration {
	var ends []time.Duration
	for _, rec := range r.records {
		for _, end := range []time.Duration{rec.holdOff.Calls, rec.holdOff.Work} {
			if end > now {
				ends = append(ends, end)
			}
		}
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}
