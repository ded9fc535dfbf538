package admission

import (
	"math"
	"time"
)

// Bounds of the time after which a refused caller is told to return.
const (
	MinReturn = 200 * time.Millisecond
	MaxReturn = 3 * time.Second
)

// ReturnGrace is how much later than told a caller may return, since it may add jitter
// and has to connect anew.
const ReturnGrace = time.Second

const (
	// returnEarly is how much earlier than told a caller may return, as the time is
	// told in hundredths of a second and clocks differ.
	returnEarly = 50 * time.Millisecond
	// unknownInterval is the time between the returns of two callers of an account
	// while the rate is unknown, as after the loss of all upstreams.
	unknownInterval = 10 * time.Millisecond
	// maxReturning bounds the accounts, and maxPromised the callers of an account,
	// that are expected back.
	maxReturning = 1 << 15
	maxPromised  = 256
	// returnLifetime is how long a refusal is remembered.
	returnLifetime = MaxReturn + ReturnGrace
)

// Refusal describes a refused request.
type Refusal struct {
	Pool     string
	Account  string
	Priority int
	// Wait is the predicted time until there is room for the request.
	Wait time.Duration
	// Rate is the number of requests per second that the account may expect to be
	// served here; 0 if unknown.
	Rate float64
	// Limit bounds the time that the caller is told, as far as the bounds allow. A
	// caller returns earlier than told if little of its own time is left.
	Limit time.Duration
}

// Returns schedules when refused callers return, one after the other at the rate at
// which their account is served. Its zero value expects nobody. Its state is bounded,
// and all calls take constant time, averaged over many of them.
type Returns struct {
	accounts map[returnKey]*accountReturns
	// active is the number of accounts by pool and priority.
	active map[returnLevel]int
	// expiries holds each key of accounts once, in the order of the times.
	expiries []returnExpiry
}

type returnLevel struct {
	pool     string
	priority int
}

type returnKey struct {
	returnLevel
	account string
}

type returnExpiry struct {
	at  time.Time
	key returnKey
}

type accountReturns struct {
	// promised holds the times that callers were told, in order.
	promised []time.Time
	// last is the last time that was assigned.
	last time.Time
	// until is when the account is forgotten.
	until time.Time
	// beyond counts the refusals for which no time was left within the limit.
	beyond int
}

// Refuse returns the time after which the caller of a refused request is told to
// return.
func (r *Returns) Refuse(f Refusal, now time.Time) time.Duration {
	r.expire(now)
	limit := min(max(f.Limit, MinReturn), MaxReturn)
	wait := min(max(f.Wait, MinReturn), limit)
	a := r.account(returnKey{returnLevel{f.Pool, clampPriority(f.Priority)}, f.Account}, now)
	if a == nil {
		return wait
	}
	a.until = now.Add(returnLifetime)
	a.dropMissed(now)
	interval := unknownInterval
	if f.Rate > 0 {
		interval = time.Duration(min(float64(time.Second)/f.Rate, float64(MaxReturn)))
	}
	at := now.Add(wait)
	if next := a.last.Add(interval); next.After(at) {
		at = next
	}
	if f.Wait <= limit && at.Sub(now) <= limit && len(a.promised) < maxPromised {
		a.last = at
		a.promised = append(a.promised, at)
		return at.Sub(now)
	}
	// Multiples of the golden ratio are spread evenly over the interval, however many
	// callers there are.
	a.beyond++
	_, part := math.Modf(float64(a.beyond) * math.Phi)
	first := max(limit/2, MinReturn)
	return first + time.Duration(part*float64(limit-first))
}

// Claim reports whether a request that arrives now is one of those that were told to
// return about now. Each time that was told counts once, so that asking more often
// or earlier than told gains nothing.
func (r *Returns) Claim(pool, account string, priority int, now time.Time) bool {
	r.expire(now)
	a := r.accounts[returnKey{returnLevel{pool, clampPriority(priority)}, account}]
	if a == nil {
		return false
	}
	a.dropMissed(now)
	if len(a.promised) == 0 || now.Before(a.promised[0].Add(-returnEarly)) {
		return false
	}
	a.promised = a.promised[1:]
	return true
}

// dropMissed drops the promised times at which no caller returned.
func (a *accountReturns) dropMissed(now time.Time) {
	for len(a.promised) > 0 && now.After(a.promised[0].Add(ReturnGrace)) {
		a.promised = a.promised[1:]
	}
}

// Accounts returns the number of accounts of a pool and priority that were refused
// recently.
func (r *Returns) Accounts(pool string, priority int) int {
	return r.active[returnLevel{pool, clampPriority(priority)}]
}

// account returns the state of an account, nil if there are too many accounts.
func (r *Returns) account(key returnKey, now time.Time) *accountReturns {
	if a := r.accounts[key]; a != nil {
		return a
	}
	if len(r.accounts) >= maxReturning {
		return nil
	}
	if r.accounts == nil {
		r.accounts = make(map[returnKey]*accountReturns)
		r.active = make(map[returnLevel]int)
	}
	a := &accountReturns{}
	r.accounts[key] = a
	r.active[key.returnLevel]++
	r.expiries = append(r.expiries, returnExpiry{now.Add(returnLifetime), key})
	return a
}

// expire forgets the accounts without recent refusals.
func (r *Returns) expire(now time.Time) {
	for len(r.expiries) > 0 && !now.Before(r.expiries[0].at) {
		key := r.expiries[0].key
		r.expiries = r.expiries[1:]
		if now.Before(r.accounts[key].until) {
			r.expiries = append(r.expiries, returnExpiry{now.Add(returnLifetime), key})
			continue
		}
		delete(r.accounts, key)
		if r.active[key.returnLevel]--; r.active[key.returnLevel] == 0 {
			delete(r.active, key.returnLevel)
		}
	}
}
