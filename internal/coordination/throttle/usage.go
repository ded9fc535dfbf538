package throttle

import (
	"math"
	"time"
)

const (
	// newsDelay is how late the use that others report may be. Without regard to it, all
	// gateways whose demand rises at once would count their own use, which each knows at
	// once, against none of the others.
	newsDelay = 2 * time.Second
	// usageSlot is the resolution of the time for which use is kept.
	usageSlot  = 500 * time.Millisecond
	usageSlots = int(newsDelay/usageSlot) + 1
	// smoothTime is the time constant over which use is averaged, so that single short
	// requests do not change the parts.
	smoothTime = time.Second
)

// usage is the recent use of an upstream.
type usage struct {
	known bool
	// mean is the average use as of a boot time.
	mean Use
	at   time.Duration
	// slots hold the least own use and the most use of others in each usageSlot; latest is
	// the number of the last one since boot.
	slots  [usageSlots]Use
	latest int64
}

// record adds the use as of now.
func (u *usage) record(use Use, now time.Duration) {
	before := u.mean
	slot := int64(now / usageSlot)
	switch {
	case !u.known:
		u.known, u.mean, u.at, u.latest = true, use, now, slot
		// The own use before is not known here. That it was none is the safe assumption.
		for i := range u.slots {
			u.slots[i] = Use{Others: use.Others}
		}
		return
	case now <= u.at:
		return
	}
	weight := -math.Expm1(-(now - u.at).Seconds() / smoothTime.Seconds())
	u.mean.Own += weight * (use.Own - u.mean.Own)
	u.mean.Others += weight * (use.Others - u.mean.Others)
	u.at = now
	for s := max(u.latest+1, slot-int64(usageSlots)+1); s <= slot; s++ {
		u.slots[s%int64(usageSlots)] = before
	}
	u.latest = slot
	current := &u.slots[slot%int64(usageSlots)]
	current.Own, current.Others = min(current.Own, u.mean.Own), max(current.Others, u.mean.Others)
}

// cautious returns the least own use and the most use of others within newsDelay. The parts
// that gateways compute from it add up to no more than the rate although each gateway
// knows the use of the others as of another time.
func (u *usage) cautious() Use {
	out := u.slots[0]
	for _, s := range u.slots[1:] {
		out.Own, out.Others = min(out.Own, s.Own), max(out.Others, s.Others)
	}
	return out
}
