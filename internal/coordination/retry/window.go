package retry

import "time"

// slices is how many parts a window is counted in.
const slices = 10

// safety is the share of the allowance that is used: what peers have sent
// since their last word is not known.
const safety = 0.8

// Counts are requests and repeats within a window.
type Counts struct {
	// Requests are those of callers.
	Requests float64
	// Repeats are attempts beyond the first of each request.
	Repeats float64
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
	parts [slices]Counts
	// at is the number of the newest part since boot.
	at int64
}

func (w *Window) advance(a Allowance, now time.Duration) *Counts {
	at := int64(now / (a.Window / slices))
	if at-w.at >= slices {
		w.parts = [slices]Counts{}
		w.at = at
	}
	for w.at < at {
		w.at++
		w.parts[w.at%slices] = Counts{}
	}
	return &w.parts[w.at%slices]
}

// Fresh notes a request of a caller.
func (w *Window) Fresh(a Allowance, now time.Duration) { w.advance(a, now).Requests++ }

// Counts returns what the window holds.
func (w *Window) Counts(a Allowance, now time.Duration) Counts {
	w.advance(a, now)
	var total Counts
	for _, p := range w.parts {
		total.Requests += p.Requests
		total.Repeats += p.Repeats
	}
	return total
}

// Take says whether a repeat may be sent, given what peers have counted and
// how many processes share what is not yet known, and counts it if so.
func (w *Window) Take(a Allowance, peers Counts, processes int, now time.Duration) bool {
	own := w.Counts(a, now)
	limit := safety * (a.Share*(own.Requests+peers.Requests) + a.Slack)
	// What is left is shared with the peers, which may be taking it too.
	left := limit - own.Repeats - peers.Repeats
	if left < float64(max(1, processes)) {
		return false
	}
	w.advance(a, now).Repeats++
	return true
}
