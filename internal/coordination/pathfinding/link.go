package pathfinding

import "time"

const (
	// maxPromptShare is the fraction of a link's capacity that prompts may use.
	// The rest keeps other transfers from waiting long behind prompts.
	maxPromptShare = 0.8
	// maxCrossingPause is the longest time that a gateway waits between two
	// requests over a link with spare capacity, since the spare capacity changes
	// in the meantime.
	maxCrossingPause = 2 * time.Second
)

// Link is the state of the network link between two zones. All chains that
// cross between the zones share it, and it carries one transfer at a time. The
// zero value has unlimited capacity.
type Link struct {
	// TransferTime is the time that the prompt of the request takes to cross.
	TransferTime time.Duration
	// Utilization is the fraction of the link's capacity that prompts use now.
	Utilization float64
	// Full is set if no further request should cross.
	Full bool
}

// queueingDelay returns the milliseconds for which the activations of a token wait
// behind prompts: the mean waiting time in a queue with random arrivals and
// transfers of equal length.
func (l Link) queueingDelay() float64 {
	utilization := min(l.Utilization, maxUtilization)
	return l.TransferTime.Seconds() * 1e3 * utilization / (2 * (1 - utilization))
}

// LinkInfo is what a gateway knows about a link at one time.
type LinkInfo struct {
	// Capacity is the number of prompt tokens per second that can cross if
	// nothing else does; 0 means unlimited.
	Capacity float64
	// OtherRate is the number of prompt tokens per second that other gateways
	// send over the link.
	OtherRate float64
	// Gateways is the number of gateways that are likely to use the link at the
	// same time as this one, itself included.
	Gateways int
}

// LinkLimiter limits the rate at which one gateway sends prompts over a link to
// its share of the capacity that the other gateways leave. The rates of the
// others are known with a delay of about a second. When a zone lacks layers all
// its gateways send requests to another zone at once, and without the limit
// they would together overload the link for seconds. The zero value has sent
// nothing.
type LinkLimiter struct {
	rate Rate
	// next is the earliest time at which another request may cross.
	next time.Duration
}

// Link returns the state of the link for a request whose prompt has the given
// number of tokens.
func (l *LinkLimiter) Link(i LinkInfo, tokens float64, now time.Duration) Link {
	if i.Capacity <= 0 {
		return Link{}
	}
	sum := l.rate.At(now) + i.OtherRate
	return Link{
		TransferTime: time.Duration(tokens / i.Capacity * float64(time.Second)),
		Utilization:  sum / i.Capacity,
		Full:         now < l.next || sum >= maxPromptShare*i.Capacity,
	}
}

// Record counts a prompt that is sent over the link, and sets the earliest time
// of the next one.
func (l *LinkLimiter) Record(i LinkInfo, tokens float64, now time.Duration) {
	own := l.rate.At(now)
	l.rate.Add(tokens, now)
	if i.Capacity <= 0 {
		return
	}
	spare := max(0, maxPromptShare*i.Capacity-own-i.OtherRate)
	allowed := own + spare/float64(max(1, i.Gateways))
	l.next = now + maxCrossingPause
	if pause := tokens / max(allowed, 1); pause < maxCrossingPause.Seconds() {
		l.next = now + time.Duration(pause*float64(time.Second))
	}
}

// Rate returns the number of prompt tokens per second that this gateway sends
// over the link.
func (l *LinkLimiter) Rate(now time.Duration) float64 { return l.rate.At(now) }

// LinkName returns the name of the link between two zones, which does not depend
// on their order.
func LinkName(a, b string) string { return min(a, b) + " " + max(a, b) }
