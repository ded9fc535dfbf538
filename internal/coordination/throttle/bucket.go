package throttle

import "time"

const (
	// burstTime is for how long a gateway may save up its part, and burstFloor how many
	// requests it may save up at least. With 1 request, the time until the next caller
	// comes would be lost to a small part.
	burstTime  = 250 * time.Millisecond
	burstFloor = 1.5
	// ownDebt is how far calls of the gateway's own, such as probes, may overdraw a bucket,
	// since requests would leave nothing to them otherwise.
	ownDebt = 1.0
	// ownAfterOwn is how much must be saved up for a call of the gateway's own that follows
	// another one. Requests need less, so that they come between.
	ownAfterOwn = 1.25
)

// bucket is a token bucket whose rate changes.
type bucket struct {
	tokens   float64
	filledAt time.Duration
}

// fill adds the tokens of a rate, in tokens per second, since the last call.
func (b *bucket) fill(rate float64, now time.Duration) {
	if now <= b.filledAt {
		return
	}
	b.tokens = min(b.tokens+rate*(now-b.filledAt).Seconds(), max(burstFloor, rate*burstTime.Seconds()))
	b.filledAt = now
}

// nextAt returns when the bucket will hold a number of tokens.
func (b *bucket) nextAt(tokens, rate float64, now time.Duration) time.Duration {
	missing := tokens - b.tokens
	switch {
	case missing <= 0:
		return now
	case rate <= 0:
		return never
	}
	wait := missing / rate
	if wait >= maxWait.Seconds() {
		return never
	}
	return now + time.Duration(wait*float64(time.Second))
}
