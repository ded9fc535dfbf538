package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// Open admits a caller's request, or returns the error that refuses it: the
// request is quarantined or its account is at a limit. An admitted request must
// be closed with Close.
func (d *Dispatcher) Open(r *Request, now time.Time) error {
	if left := d.Suspicions.Remaining(r.Fingerprint, now); left > 0 {
		return verdict.RefuseUntil(left, verdict.Quarantined, "this request has crashed upstreams before")
	}
	a := r.Account
	if a.MaxInFlight > 0 && d.openByAccount[a.Name] >= a.MaxInFlight {
		return verdict.RefuseUntil(minRetryAfter, verdict.RateLimited, "account has %d requests in flight", a.MaxInFlight)
	}
	if wait := d.rateLimitDelay(a, now); wait > 0 {
		return verdict.RefuseUntil(wait, verdict.RateLimited, "account is above %g requests a second", a.RequestsPerSecond)
	}
	if d.openByAccount == nil {
		d.openByAccount = make(map[string]int)
	}
	d.openByAccount[a.Name]++
	d.budget.RecordRequest()
	return nil
}

// rateLimitDelay takes a token of the account's rate limit. If there is none, it
// returns how long the caller should wait.
func (d *Dispatcher) rateLimitDelay(a *declaration.Account, now time.Time) time.Duration {
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

// Close ends a request that Open has admitted.
func (d *Dispatcher) Close(r *Request) {
	d.Cancel(r)
	if d.openByAccount[r.Account.Name]--; d.openByAccount[r.Account.Name] <= 0 {
		delete(d.openByAccount, r.Account.Name)
	}
}

// Cancel removes a waiting submission of r without calling r.Reply.
func (d *Dispatcher) Cancel(r *Request) {
	d.retries = slices.DeleteFunc(d.retries, func(other *Request) bool { return other == r })
	if d.Queue.Len(r.Pool) > 0 {
		d.Queue.RemoveFunc(func(_ admission.Item, other *Request) bool { return other == r })
	}
}
