package retry

import "time"

// A sliding window is divided into buckets.
const (
	windowBuckets = 40
	// olderBuckets is the number of buckets before them whose retries still count. The
	// newest bucket has only begun, so that without them the oldest retries of the window
	// would be forgotten too soon; and what is counted now may arrive a little later.
	olderBuckets = 2
	keptBuckets  = windowBuckets + olderBuckets
)

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
	buckets [keptBuckets]Counts
	// newest is the number of the newest bucket, counted since boot.
	newest int64
}

// advance clears the buckets that have left the window and returns the current
// one.
func (w *Window) advance(a Allowance, now time.Duration) *Counts {
	at := int64(now / (a.Window / windowBuckets))
	if at-w.newest >= keptBuckets {
		w.buckets = [keptBuckets]Counts{}
		w.newest = at
	}
	for w.newest < at {
		w.newest++
		*w.bucket(0) = Counts{}
	}
	return w.bucket(0)
}

// bucket returns the bucket that is the given number of buckets older than the newest.
func (w *Window) bucket(older int64) *Counts {
	return &w.buckets[(w.newest+keptBuckets-older)%keptBuckets]
}

// RecordRequest counts a request of a caller.
func (w *Window) RecordRequest(a Allowance, now time.Duration) { w.advance(a, now).Requests++ }

// Counts returns the totals over the window: the requests of the window or a little less,
// and the retries of the window and a little more.
func (w *Window) Counts(a Allowance, now time.Duration) Counts {
	w.advance(a, now)
	var total Counts
	for i := range int64(keptBuckets) {
		b := *w.bucket(i)
		if i >= windowBuckets {
			b.Requests = 0
		}
		total = total.Add(b)
	}
	return total
}

// minRecentBuckets is the least number of newest buckets whose retries peers may not
// know of yet, a fifth of the window.
const minRecentBuckets = windowBuckets / 5

// recentRetries returns the number of retries since the oldest report of a peer, which
// has the given age, but at least those in the newest minRecentBuckets. Peers may not
// know of them yet.
func (w *Window) recentRetries(a Allowance, age time.Duration) float64 {
	buckets := max(minRecentBuckets, int64(age/(a.Window/windowBuckets))+minRecentBuckets)
	var sum float64
	for i := range min(buckets, keptBuckets) {
		sum += w.bucket(i).Retries
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
	return w.allow(a, peers, 1, now)
}

// AllowLeaving is like Allow, but leaves a part of what the process may use to retries that
// are counted with Allow, unless none was sent recently.
func (w *Window) AllowLeaving(a Allowance, peers View, now time.Duration) bool {
	return w.allow(a, peers, 1-reservedShare, now)
}

// reservedShare is the part of what a process may use that AllowLeaving leaves.
const reservedShare = 0.25

// allow counts a retry if the recent ones remain within a share of what the process may
// use, or if there is none.
func (w *Window) allow(a Allowance, peers View, share float64, now time.Duration) bool {
	own := w.Counts(a, now)
	recent := w.recentRetries(a, peers.Age)
	limit := knownShare * (a.Share*(own.Requests+peers.Requests) + a.Slack)
	left := limit - (own.Retries - recent) - peers.Retries
	mayUse := processShare(left/knownShare, own, peers)
	if recent+1 > mayUse || recent > 0 && recent+1 > share*mayUse {
		return false
	}
	w.advance(a, now).Retries++
	return true
}

// MayAllow reports whether a retry would be allowed at a later time if the counts of the
// peers stay as they are and nothing else is sent.
func (w *Window) MayAllow(a Allowance, peers View, at time.Duration) bool {
	later := *w
	return later.Allow(a, peers, at)
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
