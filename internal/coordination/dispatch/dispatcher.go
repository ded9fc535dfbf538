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
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// Limits and times of dispatching.
const (
	// MaxFailures bounds the attempts of a request that may fail.
	MaxFailures = 6
	// busyTime is how long an upstream that said it is full gets nothing new.
	busyTime = 10 * time.Millisecond
	// leavingTime is how long an upstream's own word that it leaves counts.
	leavingTime = 30 * time.Second
	// minRetryAfter is the least time after which a caller is told to return.
	minRetryAfter = time.Second
	// noChainRetryAfter is when a caller is told to return if no chain exists.
	noChainRetryAfter = 5 * time.Second
	// reportMemory is the age at which a load report counts for nothing.
	reportMemory = 2 * time.Second
)

// load is what runs on an upstream.
type load struct {
	inFlight int
	// suspects counts the requests in flight that crashed another upstream.
	suspects  int
	busyUntil time.Time
	leaving   time.Time
	// crashed is when the last crash was first reported.
	crashed time.Time
	// others is what the engine last reported beyond our own requests.
	others   float64
	reported time.Time
}

// flight is a placement that has not ended.
type flight struct {
	request *Request
	chain   route.Chain
	suspect bool
	// placed is when the attempt got its place.
	placed time.Time
	// crashed says that an upstream of the chain crashed. Others that crash in
	// the same attempt say nothing more about the request.
	crashed bool
}

// Dispatcher places requests on upstreams. Set its exported fields before use.
type Dispatcher struct {
	// Zone is the entry's availability zone.
	Zone string
	// Chooser finds chains.
	Chooser route.Chooser
	// Choose replaces Chooser if set, to compare policies.
	Choose func(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, prefer map[string]bool) route.Chain
	// Queue holds the requests that wait.
	Queue admission.Queue[*Request]
	// Ejections and Suspicions are those known here.
	Ejections  ejection.Register
	Suspicions quarantine.Register
	// Confirmed says whether there is word about the upstreams of another
	// availability zone that is younger than term. Nil confirms all.
	Confirmed func(zone string, term time.Duration, now time.Time) bool

	catalog   *catalog.Catalog
	withdrawn map[string]bool
	listed    map[string]bool
	loads     map[string]*load
	flights   map[uint64]*flight
	lastID    uint64
	open      map[string]int
	limiters  map[string]*rate.Limiter
	rates     map[string]*admission.Rate
	retries   []*Request
	budget    retry.Budget
}

// SetCatalog puts a configuration in force.
func (d *Dispatcher) SetCatalog(c *catalog.Catalog) { d.catalog = c }

// SetWithdrawn sets the upstreams that their owners have taken back.
func (d *Dispatcher) SetWithdrawn(withdrawn map[string]bool) { d.withdrawn = withdrawn }

// SetLeaving sets the upstreams that the VM list shows as leaving.
func (d *Dispatcher) SetLeaving(leaving map[string]bool) { d.listed = leaving }

// Submit asks for the place of an attempt.
func (d *Dispatcher) Submit(r *Request, now time.Time) {
	if err := d.refusal(r, now); err != nil {
		r.Reply(Placement{}, err)
		return
	}
	if r.Attempts > 0 || len(r.Avoid) > 0 {
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
	d.refuseHopeless(r, now)
}

// refusal says why a submission can't be served whatever the load.
func (d *Dispatcher) refusal(r *Request, now time.Time) error {
	pool, ok := d.pool(r.Pool)
	switch {
	case !ok:
		return verdict.Refuse(verdict.NoChain, "%s is not served any more", r.Pool)
	case !now.Before(r.Deadline):
		return verdict.RefuseUntil(minRetryAfter, verdict.DeadlineExceeded, "deadline exceeded")
	case r.Failures >= MaxFailures:
		return verdict.RefuseUntil(minRetryAfter, verdict.RetryLimit, "given up after %d attempts that failed", r.Failures)
	}
	if left := d.Suspicions.Quarantined(r.Fingerprint, now); left > 0 {
		return verdict.RefuseUntil(left, verdict.Quarantined, "this request has crashed upstreams")
	}
	if r.Repeated && !d.budget.Take(now) {
		return verdict.RefuseUntil(minRetryAfter, verdict.RetryBudget, "too many retries are under way")
	}
	if d.chain(pool, d.idleState(r, now), nil) == nil {
		return verdict.RefuseUntil(noChainRetryAfter, verdict.NoChain, "no upstreams in service cover %s", r.Pool)
	}
	return nil
}

func (d *Dispatcher) pool(name string) (*catalog.Pool, bool) {
	if d.catalog == nil {
		return nil, false
	}
	return d.catalog.Pool(name)
}

// refuseHopeless refuses a request that waits, if its turn will come too late.
func (d *Dispatcher) refuseHopeless(r *Request, now time.Time) {
	waiting := d.Queue.Ahead(r.Pool, r.Account.Priority)
	if waiting == 0 {
		return
	}
	wait, known := d.rate(r.Pool).Wait(waiting, now)
	if !known || !now.Add(wait).After(r.QueueDeadline) {
		return
	}
	removed := d.Queue.Remove(func(_ admission.Item, other *Request) bool { return other == r })
	if len(removed) == 0 {
		return
	}
	after := max(wait-r.QueueDeadline.Sub(now), minRetryAfter)
	r.Reply(Placement{}, verdict.RefuseUntil(after, verdict.DeadlineUnmeetable, "the queue is longer than the request may wait"))
}

func (d *Dispatcher) rate(pool string) *admission.Rate {
	if d.rates == nil {
		d.rates = make(map[string]*admission.Rate)
	}
	if d.rates[pool] == nil {
		d.rates[pool] = &admission.Rate{}
	}
	return d.rates[pool]
}

// retryAfter returns when the queue of a pool will have drained.
func (d *Dispatcher) retryAfter(pool string, now time.Time) time.Duration {
	wait, known := d.rate(pool).Wait(d.Queue.Len(pool), now)
	if !known {
		return minRetryAfter
	}
	return max(wait, minRetryAfter)
}

// Tick refuses requests whose time is up and places those that now fit.
func (d *Dispatcher) Tick(now time.Time) {
	late := d.Queue.Remove(func(item admission.Item, r *Request) bool {
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

// dispatch places as many waiting requests as fit: retries first, since they
// hold work that is partly done.
func (d *Dispatcher) dispatch(now time.Time) {
	d.retries = slices.DeleteFunc(d.retries, func(r *Request) bool { return d.place(r, now) })
	for _, pool := range d.Queue.Pools() {
		for {
			r, ok := d.Queue.Peek(pool)
			if !ok || !d.place(r, now) {
				break
			}
			d.Queue.Pop(pool)
			d.rate(pool).Note(now)
		}
	}
}

// place gives a request its place if there is one.
func (d *Dispatcher) place(r *Request, now time.Time) bool {
	pool, ok := d.pool(r.Pool)
	if !ok {
		return false
	}
	suspect := d.Suspicions.Suspect(r.Fingerprint, now)
	chain := d.choose(pool, r, suspect, now)
	if chain == nil {
		return false
	}
	d.lastID++
	if d.flights == nil {
		d.flights = make(map[uint64]*flight)
	}
	d.flights[d.lastID] = &flight{request: r, chain: chain, suspect: suspect, placed: now}
	for _, s := range chain {
		l := d.load(s.Upstream.Name)
		l.inFlight++
		if suspect {
			l.suspects++
		}
	}
	r.Attempts++
	r.Reply(Placement{d.lastID, chain, d.catalog.Generation(), suspect}, nil)
	return true
}

// chain finds a chain by the policy in force.
func (d *Dispatcher) chain(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, prefer map[string]bool) route.Chain {
	if d.Choose != nil {
		return d.Choose(pool, state, prefer)
	}
	return d.Chooser.Choose(pool, state, prefer)
}

// candidateState is what a chooser sees of a candidate.
type candidateState = func(*catalog.Candidate) route.Occupancy

// except passes over the upstreams for which out returns true.
func except(state candidateState, out func(*declaration.Upstream) bool) candidateState {
	return func(c *catalog.Candidate) route.Occupancy {
		if out(c.Upstream) {
			return route.Occupancy{}
		}
		return state(c)
	}
}

// choose finds a chain without the upstreams in doubt if there can be one, and
// outside the zone of a crash if there is room.
func (d *Dispatcher) choose(pool *catalog.Pool, r *Request, suspect bool, now time.Time) route.Chain {
	state := d.state(r, suspect, now)
	shunned := func(u *declaration.Upstream) bool { return r.Shun[u.Name] }
	if len(r.Shun) > 0 && d.chain(pool, except(d.idleState(r, now), shunned), nil) != nil {
		state = except(state, shunned)
	}
	if r.CrashZone != "" {
		inZone := func(u *declaration.Upstream) bool { return u.Zone == r.CrashZone }
		if chain := d.chain(pool, except(state, inZone), r.Prefer); chain != nil {
			return chain
		}
	}
	return d.chain(pool, state, r.Prefer)
}

func (d *Dispatcher) load(upstream string) *load {
	if d.loads == nil {
		d.loads = make(map[string]*load)
	}
	l := d.loads[upstream]
	if l == nil {
		l = &load{}
		d.loads[upstream] = l
	}
	return l
}

// Waiting says whether any request waits for a place.
func (d *Dispatcher) Waiting() bool { return len(d.retries) > 0 || len(d.Queue.Pools()) > 0 }

// Counts returns how many requests are open and how many wait.
func (d *Dispatcher) Counts() (open, queued int) {
	for _, n := range d.open {
		open += n
	}
	for _, pool := range d.Queue.Pools() {
		queued += d.Queue.Len(pool)
	}
	return open, queued + len(d.retries)
}
