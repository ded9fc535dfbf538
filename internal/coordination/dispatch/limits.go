package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// Open takes in a caller's request, or refuses it by its account's limits.
func (d *Dispatcher) Open(r *Request, now time.Time) error {
	if left := d.Suspicions.Quarantined(r.Fingerprint, now); left > 0 {
		return verdict.RefuseUntil(left, verdict.Quarantined, "this request has crashed upstreams before")
	}
	a := r.Account
	if a.MaxInFlight > 0 && d.open[a.Name] >= a.MaxInFlight {
		return verdict.RefuseUntil(minRetryAfter, verdict.RateLimited, "account has %d requests in flight", a.MaxInFlight)
	}
	if wait := d.overRate(a, now); wait > 0 {
		return verdict.RefuseUntil(wait, verdict.RateLimited, "account is above %g requests a second", a.RequestsPerSecond)
	}
	if d.open == nil {
		d.open = make(map[string]int)
	}
	d.open[a.Name]++
	d.budget.Fresh()
	return nil
}

// overRate returns how long an account must wait to be within its rate.
func (d *Dispatcher) overRate(a *declaration.Account, now time.Time) time.Duration {
	if a.RequestsPerSecond == 0 {
		return 0
	}
	limiter := d.limiters[a.Name]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(a.RequestsPerSecond), int(max(1, a.RequestsPerSecond)))
		if d.limiters == nil {
			d.limiters = make(map[string]*rate.Limiter)
		}
		d.limiters[a.Name] = limiter
	}
	if limiter.Limit() != rate.Limit(a.RequestsPerSecond) {
		limiter.SetLimitAt(now, rate.Limit(a.RequestsPerSecond))
		limiter.SetBurstAt(now, int(max(1, a.RequestsPerSecond)))
	}
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
		return max(wait, minRetryAfter)
	}
	return 0
}

// Close ends a request that Open has taken in.
func (d *Dispatcher) Close(r *Request) {
	d.Cancel(r)
	if d.open[r.Account.Name]--; d.open[r.Account.Name] <= 0 {
		delete(d.open, r.Account.Name)
	}
}

// Cancel withdraws the submission of a request, if it waits.
func (d *Dispatcher) Cancel(r *Request) {
	d.retries = slices.DeleteFunc(d.retries, func(other *Request) bool { return other == r })
	if d.Queue.Len(r.Pool) > 0 {
		d.Queue.Remove(func(_ admission.Item, other *Request) bool { return other == r })
	}
}
