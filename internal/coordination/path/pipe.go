package path

import "time"

const (
	// maxPipeUse is the part of a pipe's time that prompts may take up: what else
	// is on it must not wait behind them for long.
	maxPipeUse = 0.8
	// maxCrossingPause is the longest time between two crossings of a gateway
	// while a pipe has room: how much room there is changes meanwhile.
	maxCrossingPause = 2 * time.Second
)

// Pipe is the way between two zones that the activations of all chains which
// cross there share, one transfer after another. The zero value is as fast as
// any link.
type Pipe struct {
	// Transfer is the time that the prompt of a request takes.
	Transfer time.Duration
	// Use is the part of its time that prompts take up now.
	Use float64
	// Full says that no further request should cross.
	Full bool
}

// wait is the milliseconds for which the activations of a token wait behind
// prompts.
func (p Pipe) wait() float64 {
	use := min(p.Use, maxUse)
	return p.Transfer.Seconds() * 1e3 * use / (2 * (1 - use))
}

// Share is what a gateway knows of a pipe at a time.
type Share struct {
	// Rate is how many prompt tokens cross by the second if nothing else does;
	// 0 for any number.
	Rate float64
	// Others is the rate of those that other gateways send across.
	Others float64
	// Gateways is how many are likely to cross when this one does.
	Gateways int
}

// Crossing is what one gateway sends over a pipe. It takes at most its part of
// what the others leave, since it knows of theirs about a second late: when a
// zone lacks layers all its gateways cross at once, and what they send together
// must not fill the pipe for seconds. Its zero value has sent nothing.
type Crossing struct {
	rate Rate
	// next is when the next request may cross.
	next time.Duration
}

// Pipe returns the pipe as a request with a prompt of some tokens finds it.
func (c *Crossing) Pipe(s Share, tokens float64, now time.Duration) Pipe {
	if s.Rate <= 0 {
		return Pipe{}
	}
	sum := c.rate.At(now) + s.Others
	return Pipe{
		Transfer: time.Duration(tokens / s.Rate * float64(time.Second)),
		Use:      sum / s.Rate,
		Full:     now < c.next || sum >= maxPipeUse*s.Rate,
	}
}

// Cross notes that a prompt crosses.
func (c *Crossing) Cross(s Share, tokens float64, now time.Duration) {
	own := c.rate.At(now)
	c.rate.Add(tokens, now)
	if s.Rate <= 0 {
		return
	}
	left := max(0, maxPipeUse*s.Rate-own-s.Others)
	allowed := own + left/float64(max(1, s.Gateways))
	c.next = now + maxCrossingPause
	if pause := tokens / max(allowed, 1); pause < maxCrossingPause.Seconds() {
		c.next = now + time.Duration(pause*float64(time.Second))
	}
}

// At returns the rate of prompt tokens that cross, by the second.
func (c *Crossing) At(now time.Duration) float64 { return c.rate.At(now) }

// PipeName names the pipe between two zones, whichever comes first.
func PipeName(a, b string) string { return min(a, b) + " " + max(a, b) }
