package pathfinding

import "time"

const (
	// maxPipeUse is the part of a pipe's time that prompts may take up: what else
	// is on it must not wait behind them for long.
	maxPipeUse = 0.8
	// maxCrossingPause is the longest time between two crossings of a gateway
	// while a pipe has room: how much room there is changes meanwhile.
	maxCrossingPause = 2 * time.Second
)

// Link is the way between two zones that the activations of all chains which
// cross there share, one transfer after another. The zero value is as fast as
// any link.
type Link struct {
	// TransferTime is the time that the prompt of a request takes.
	TransferTime time.Duration
	// Utilization is the part of its time that prompts take up now.
	Utilization float64
	// Full says that no further request should cross.
	Full bool
}

// wait is the milliseconds for which the activations of a token wait behind
// prompts.
func (p Link) wait() float64 {
	use := min(p.Utilization, maxUse)
	return p.TransferTime.Seconds() * 1e3 * use / (2 * (1 - use))
}

// LinkInfo is what a gateway knows of a pipe at a time.
type LinkInfo struct {
	// Capacity is how many prompt tokens cross by the second if nothing else does;
	// 0 for any number.
	Capacity float64
	// OtherRate is the rate of those that other gateways send across.
	OtherRate float64
	// Gateways is how many are likely to cross when this one does.
	Gateways int
}

// LinkLimiter is what one gateway sends over a pipe. It takes at most its part of
// what the others leave, since it knows of theirs about a second late: when a
// zone lacks layers all its gateways cross at once, and what they send together
// must not fill the pipe for seconds. Its zero value has sent nothing.
type LinkLimiter struct {
	rate Rate
	// next is when the next request may cross.
	next time.Duration
}

// Link returns the pipe as a request with a prompt of some tokens finds it.
func (c *LinkLimiter) Link(s LinkInfo, tokens float64, now time.Duration) Link {
	if s.Capacity <= 0 {
		return Link{}
	}
	sum := c.rate.At(now) + s.OtherRate
	return Link{
		TransferTime: time.Duration(tokens / s.Capacity * float64(time.Second)),
		Utilization:  sum / s.Capacity,
		Full:         now < c.next || sum >= maxPipeUse*s.Capacity,
	}
}

// Record notes that a prompt crosses.
func (c *LinkLimiter) Record(s LinkInfo, tokens float64, now time.Duration) {
	own := c.rate.At(now)
	c.rate.Add(tokens, now)
	if s.Capacity <= 0 {
		return
	}
	left := max(0, maxPipeUse*s.Capacity-own-s.OtherRate)
	allowed := own + left/float64(max(1, s.Gateways))
	c.next = now + maxCrossingPause
	if pause := tokens / max(allowed, 1); pause < maxCrossingPause.Seconds() {
		c.next = now + time.Duration(pause*float64(time.Second))
	}
}

// Rate returns the rate of prompt tokens that cross, by the second.
func (c *LinkLimiter) Rate(now time.Duration) float64 { return c.rate.At(now) }

// LinkName names the pipe between two zones, whichever comes first.
func LinkName(a, b string) string { return min(a, b) + " " + max(a, b) }
