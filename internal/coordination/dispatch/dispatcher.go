package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/coordination/ejection"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/verdict"
)

const (
	// MaxFailures is the number of failed attempts after which a request is
	// refused.
	MaxFailures = 6
	// busyBackoff is how long an upstream that reported itself full gets no new
	// requests.
	busyBackoff = 10 * time.Millisecond
	// leavingTTL is how long an upstream's own report that it is leaving stays
	// valid.
	leavingTTL = 30 * time.Second
	// minRetryAfter is the shortest retry delay given to a refused caller.
	minRetryAfter = time.Second
	// noChainRetryAfter is the retry delay given when no chain exists.
	noChainRetryAfter = 5 * time.Second
	// loadReportTTL is the age at which a load report no longer counts. Its
	// weight falls linearly until then.
	loadReportTTL = 2 * time.Second
)

// upstreamLoad describes the work and the availability of an upstream.
type upstreamLoad struct {
	inFlight int
	// suspects counts the requests in flight that are suspected of having
	// crashed an upstream.
	suspects     int
	busyUntil    time.Time
	leavingUntil time.Time
	// crashedAt is when the latest crash was first reported.
	crashedAt time.Time
	// otherRequests is how many requests of other entries the engine ran
	// according to its latest report, received at reportedAt.
	otherRequests float64
	reportedAt    time.Time
}

// activePlacement is a placement that has not finished.
type activePlacement struct {
	request  *Request
	chain    route.Chain
	suspect  bool
	placedAt time.Time
	// sawCrash is set once an upstream of the chain has crashed. Further crashes
	// during the same attempt are no evidence against the request.
	sawCrash bool
}

// Dispatcher assigns requests to chains of upstreams. Its exported fields must
// be set before use.
type Dispatcher struct {
	// Zone is the availability zone of this entry.
	Zone string
	// Chooser selects the chains unless ChooseFunc is set.
	Chooser route.Chooser
	// ChooseFunc, if not nil, replaces Chooser, so that routing policies can be
	// compared.
	ChooseFunc func(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, prefer map[string]bool) route.Chain
	// Queue holds the waiting first attempts of requests.
	Queue admission.Queue[*Request]
	// Ejections holds the failures of upstreams, and Suspicions the requests
	// suspected of crashing upstreams, seen here or reported by peers.
	Ejections  ejection.Tracker
	Suspicions quarantine.Tracker
	// Confirmed reports whether the state of the upstreams in another
	// availability zone was confirmed at most maxAge ago. If nil, all zones
	// count as confirmed.
	Confirmed func(zone string, maxAge time.Duration, now time.Time) bool

	catalog *catalog.Catalog
	// withdrawn, leaving and loads are by upstream.
	withdrawn map[string]bool
	leaving   map[string]bool
	loads     map[string]*upstreamLoad
	// active holds the unfinished placements by ID.
	active map[uint64]*activePlacement
	lastID uint64
	// openByAccount counts the open requests of each client account.
	openByAccount map[string]int
	limiters      map[string]*rate.Limiter
	// drainRates estimates how fast the queue of each pool drains.
	drainRates map[string]*admission.RateEstimator
	// retries holds the waiting requests that have been placed before or have
	// excluded upstreams. They don't go through Queue.
	retries []*Request
	budget  retry.Budget
}

// SetCatalog sets the configuration that later decisions use.
func (d *Dispatcher) SetCatalog(c *catalog.Catalog) { d.catalog = c }

// SetWithdrawn sets the upstreams that their owners have withdrawn from service.
func (d *Dispatcher) SetWithdrawn(withdrawn map[string]bool) { d.withdrawn = withdrawn }

// SetLeaving sets the upstreams whose VMs are listed as leaving.
func (d *Dispatcher) SetLeaving(leaving map[string]bool) { d.leaving = leaving }

// Submit requests a placement for the next attempt of r. The answer is passed to
// r.Reply, possibly before Submit returns.
func (d *Dispatcher) Submit(r *Request, now time.Time) {
	if err := d.checkSubmission(r, now); err != nil {
		r.Reply(Placement{}, err)
		return
	}
	if r.Attempts > 0 || len(r.Exclude) > 0 {
		d.retries = append(d.retries, r)
		d.dispatch(now)
		return
	}
	item := admission.Item{
		Pool:     r.Pool,
		Account:  r.Account.Name,
		Priority: r.Account.Priority,
		Cost:     r.Cost,
		Deadline: r.QueueDeadline,
	}
	if err := d.Queue.Push(item, r); err != nil {
		r.Reply(Placement{}, verdict.RefuseUntil(d.retryAfter(r.Pool, now), verdict.QueueFull, "too many requests wait"))
		return
	}
	d.dispatch(now)
	d.refuseUnmeetable(r, now)
}

// checkSubmission returns the error that rules out serving r regardless of the
// current load, or nil. It charges a retry to the retry budget.
func (d *Dispatcher) checkSubmission(r *Request, now time.Time) error {
	pool, ok := d.pool(r)
	switch {
	case !ok:
		return verdict.Refuse(verdict.NoChain, "%s is not served any more", r.Pool)
	case !now.Before(r.Deadline):
		return verdict.RefuseUntil(minRetryAfter, verdict.DeadlineExceeded, "deadline exceeded")
	case r.Failures >= MaxFailures:
		return verdict.RefuseUntil(minRetryAfter, verdict.RetryLimit, "given up after %d attempts that failed", r.Failures)
	}
	if left := d.Suspicions.Remaining(r.Fingerprint, now); left > 0 {
		return verdict.RefuseUntil(left, verdict.Quarantined, "this request has crashed upstreams")
	}
	if d.findChain(pool, d.idleState(r, now), nil) == nil {
		return verdict.RefuseUntil(noChainRetryAfter, verdict.NoChain, "no upstreams in service cover %s", r.Pool)
	}
	if r.IsRetry && !d.budget.Allow(now) {
		return verdict.RefuseUntil(minRetryAfter, verdict.RetryBudget, "too many retries are under way")
	}
	return nil
}

// refuseUnmeetable refuses the queued request r if its estimated wait exceeds
// its queue deadline.
func (d *Dispatcher) refuseUnmeetable(r *Request, now time.Time) {
	waiting := d.Queue.Ahead(r.Pool, r.Account.Priority)
	if waiting == 0 {
		return
	}
	wait, known := d.drainRate(r.Pool).EstimateWait(waiting, now)
	if !known || !now.Add(wait).After(r.QueueDeadline) {
		return
	}
	removed := d.Queue.RemoveFunc(func(_ admission.Item, other *Request) bool { return other == r })
	if len(removed) == 0 {
		return
	}
	after := max(wait-r.QueueDeadline.Sub(now), minRetryAfter)
	r.Reply(Placement{}, verdict.RefuseUntil(after, verdict.DeadlineUnmeetable, "the queue is longer than the request may wait"))
}

func (d *Dispatcher) drainRate(pool string) *admission.RateEstimator {
	if d.drainRates == nil {
		d.drainRates = make(map[string]*admission.RateEstimator)
	}
	if d.drainRates[pool] == nil {
		d.drainRates[pool] = &admission.RateEstimator{}
	}
	return d.drainRates[pool]
}

// retryAfter estimates how long the queue of a pool takes to drain.
func (d *Dispatcher) retryAfter(pool string, now time.Time) time.Duration {
	wait, known := d.drainRate(pool).EstimateWait(d.Queue.Len(pool), now)
	if !known {
		return minRetryAfter
	}
	return max(wait, minRetryAfter)
}

// Tick refuses the waiting requests whose deadline has passed and places those
// that fit now. It must be called periodically.
func (d *Dispatcher) Tick(now time.Time) {
	late := d.Queue.RemoveFunc(func(item admission.Item, r *Request) bool {
		return !now.Before(item.Deadline) || !now.Before(r.Deadline)
	})
	d.retries = slices.DeleteFunc(d.retries, func(r *Request) bool {
		if now.Before(r.Deadline) && now.Before(r.QueueDeadline) {
			return false
		}
		late = append(late, r)
		return true
	})
	for _, r := range late {
		r.Reply(Placement{}, verdict.RefuseUntil(d.retryAfter(r.Pool, now), verdict.DeadlineExceeded, "no place became free in time"))
	}
	d.dispatch(now)
	d.Ejections.Prune(now)
}

// dispatch places as many waiting requests as fit. Retries go first because part
// of their work is done already.
func (d *Dispatcher) dispatch(now time.Time) {
	d.retries = slices.DeleteFunc(d.retries, func(r *Request) bool { return d.tryPlace(r, now) })
	for _, pool := range d.Queue.Pools() {
		for {
			r, ok := d.Queue.Peek(pool)
			if !ok || !d.tryPlace(r, now) {
				break
			}
			d.Queue.Pop(pool)
			d.drainRate(pool).Record(now)
		}
	}
}

// tryPlace places r if a chain has room and reports whether it did.
func (d *Dispatcher) tryPlace(r *Request, now time.Time) bool {
	pool, ok := d.pool(r)
	if !ok {
		return false
	}
	suspect := d.Suspicions.IsSuspect(r.Fingerprint, now)
	chain := d.chooseChain(pool, r, suspect, now)
	if chain == nil {
		return false
	}
	d.lastID++
	if d.active == nil {
		d.active = make(map[uint64]*activePlacement)
	}
	d.active[d.lastID] = &activePlacement{request: r, chain: chain, suspect: suspect, placedAt: now}
	for _, s := range chain {
		l := d.loadOf(s.Upstream.Name)
		l.inFlight++
		if suspect {
			l.suspects++
		}
	}
	r.Attempts++
	r.Reply(Placement{d.lastID, chain, d.catalog.Generation(), suspect}, nil)
	return true
}

func (d *Dispatcher) loadOf(upstream string) *upstreamLoad {
	if d.loads == nil {
		d.loads = make(map[string]*upstreamLoad)
	}
	l := d.loads[upstream]
	if l == nil {
		l = &upstreamLoad{}
		d.loads[upstream] = l
	}
	return l
}

// HasWaiting reports whether any request waits for a placement.
func (d *Dispatcher) HasWaiting() bool { return len(d.retries) > 0 || len(d.Queue.Pools()) > 0 }

// Counts returns the numbers of open and of waiting requests. An open request
// may be waiting too.
func (d *Dispatcher) Counts() (open, queued int) {
	for _, n := range d.openByAccount {
		open += n
	}
	for _, pool := range d.Queue.Pools() {
		queued += d.Queue.Len(pool)
	}
	return open, queued + len(d.retries)
}
