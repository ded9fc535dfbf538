package retry

import "time"

// windowBuckets is the number of buckets that a sliding window is divided into.
const windowBuckets = 10

// knownShare is the share of the allowance that known retries may use up. The
// rest is reserved for retries that peers have sent since their last report.
const knownShare = 0.8

// Counts holds the numbers of requests and retries within a window.
type Counts struct {
	// Requests counts the requests of callers.
	Requests float64
	// Retries counts the attempts beyond the first of each request.
	Retries float64
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{Requests: c.Requests + other.Requests, Retries: c.Retries + other.Retries}
}

// Allowance bounds the retries that all processes together may send to a service
// within a sliding window: Share times the requests, plus Slack.
type Allowance struct {
	Share, Slack float64
	Window       time.Duration
}

// Window counts the requests and retries of one service over a sliding window.
// Its zero value is empty. Times are durations since boot. It is not safe for
// concurrent use.
type Window struct {
	buckets [windowBuckets]Counts
	// newest is the number of the newest bucket, counted since boot.
	newest int64
}

// advance clears the buckets that have left the window and returns the current
// one.
func (w *Window) advance(a Allowance, now time.Duration) *Counts {
	at := int64(now / (a.Window / windowBuckets))
	if at-w.newest >= windowBuckets {
		w.buckets = [windowBuckets]Counts{}
		w.newest = at
	}
	for w.newest < at {
		w.newest++
		w.buckets[w.newest%windowBuckets] = Counts{}
	}
	return &w.buckets[w.newest%windowBuckets]
}

// RecordRequest counts a request of a caller.
func (w *Window) RecordRequest(a Allowance, now time.Duration) { w.advance(a, now).Requests++ }

// Counts returns the totals over the window.
func (w *Window) Counts(a Allowance, now time.Duration) Counts {
	w.advance(a, now)
	var total Counts
	for _, b := range w.buckets {
		total = total.Add(b)
	}
	return total
}

// minRecentBuckets is the least number of newest buckets whose retries peers may not
// know of yet.
const minRecentBuckets = 2

// recentRetries returns the number of retries since the oldest report of a peer, which
// has the given age, but at least those in the two newest buckets, a tenth to a fifth
// of the window. Peers may not know of them yet.
func (w *Window) recentRetries(a Allowance, age time.Duration) float64 {
	buckets := max(minRecentBuckets, int64(age/(a.Window/windowBuckets))+minRecentBuckets)
	var sum float64
	for i := range min(buckets, windowBuckets) {
		sum += w.buckets[(w.newest+windowBuckets-i)%windowBuckets].Retries
	}
	return sum
}

// View is what a process knows of the others.
type View struct {
	// Counts is the sum of the counts that peers have reported.
	Counts
	// Processes is the number of processes, including this one.
	Processes int
	// Age is that of the oldest report of a peer.
	Age time.Duration
}

// Allow reports whether a retry may be sent and, if so, counts it.
//
// Until its recent retries are known to the peers, each process may use only a
// part of the allowance that was left before them, in proportion to its requests.
// If all processes retry at once, unaware of each other, they use up the allowance
// but don't exceed it. A process may always send one retry if that leaves one to each
// of the others: few requests, as after its start, must not keep it from any.
func (w *Window) Allow(a Allowance, peers View, now time.Duration) bool {
	own := w.Counts(a, now)
	recent := w.recentRetries(a, peers.Age)
	limit := knownShare * (a.Share*(own.Requests+peers.Requests) + a.Slack)
	left := limit - (own.Retries - recent) - peers.Retries
	if recent+1 > processShare(left/knownShare, own, peers) {
		return false
	}
	w.advance(a, now).Retries++
	return true
}

// Return takes back a retry that was allowed and not sent.
func (w *Window) Return(a Allowance, now time.Duration) {
	newest := w.advance(a, now)
	newest.Retries = max(0, newest.Retries-1)
}

// processShare returns the part of an allowance that a process may use: up to one retry,
// and of the rest its share of the requests. The parts add up to the allowance. What each
// has beside its share grows with the allowance, without a step: processes that see a
// little more or less of it must not disagree on how it is shared.
func processShare(left float64, own Counts, peers View) float64 {
	processes := float64(max(1, peers.Processes))
	each := min(1, max(0, left/processes-1))
	return each + (left-each*processes)*requestShare(own, peers)
}

// requestShare returns the share of a process in the requests of all processes.
// Each process counts one request more than it has had, so that one whose requests
// are older than the window has a share too. The shares add up to 1.
func requestShare(own Counts, peers View) float64 {
	return (own.Requests + 1) / (own.Requests + peers.Requests + float64(max(1, peers.Processes)))
}
