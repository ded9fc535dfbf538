package retry

import "time"

// windowParts is how many parts a window is counted in.
const windowParts = 10

// safety is the share of the allowance up to which repeats that are known
// count; the rest is for what peers have sent since their last word.
const safety = 0.8

// Counts are requests and repeats within a window.
type Counts struct {
	// Requests are those of callers.
	Requests float64
	// Repeats are attempts beyond the first of each request.
	Repeats float64
}

// Plus returns the sum of both.
func (c Counts) Plus(other Counts) Counts {
	return Counts{Requests: c.Requests + other.Requests, Repeats: c.Repeats + other.Repeats}
}

// Allowance bounds the repeats that all processes together may send to a
// service within a sliding window.
type Allowance struct {
	// Share of the requests, and Slack beside it.
	Share, Slack float64
	Window       time.Duration
}

// Window counts the requests and repeats of one service over a sliding window.
// Its zero value has counted none.
type Window struct {
	parts [windowParts]Counts
	// at is the number of the newest part since boot.
	at int64
}

func (w *Window) advance(a Allowance, now time.Duration) *Counts {
	at := int64(now / (a.Window / windowParts))
	if at-w.at >= windowParts {
		w.parts = [windowParts]Counts{}
		w.at = at
	}
	for w.at < at {
		w.at++
		w.parts[w.at%windowParts] = Counts{}
	}
	return &w.parts[w.at%windowParts]
}

// Fresh notes a request of a caller.
func (w *Window) Fresh(a Allowance, now time.Duration) { w.advance(a, now).Requests++ }

// Counts returns what the window holds.
func (w *Window) Counts(a Allowance, now time.Duration) Counts {
	w.advance(a, now)
	var total Counts
	for _, p := range w.parts {
		total = total.Plus(p)
	}
	return total
}

// recent returns how many repeats the two newest parts hold: those of the last
// one to two seconds, of which peers may not know yet.
func (w *Window) recent() float64 {
	return w.parts[w.at%windowParts].Repeats + w.parts[(w.at+windowParts-1)%windowParts].Repeats
}

// Take says whether a repeat may be sent, given what peers have counted and
// how many processes share what is not yet known, and counts it if so.
//
// In the time that the counts take to reach the peers, each process takes at
// most its part of what was left before. If all do at once, nobody knowing of
// the others, they use up the whole allowance and no more.
func (w *Window) Take(a Allowance, peers Counts, processes int, now time.Duration) bool {
	own := w.Counts(a, now)
	recent := w.recent()
	limit := safety * (a.Share*(own.Requests+peers.Requests) + a.Slack)
	left := limit - (own.Repeats - recent) - peers.Repeats
	part := left / safety / float64(max(1, processes))
	if recent+1 > part {
		return false
	}
	w.advance(a, now).Repeats++
	return true
}
