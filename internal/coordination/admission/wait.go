package admission

import (
	"time"

	"lovageport.example/pkg/declaration"
)

// Fleet is what the peers report of a pool. Its zero value means that nothing is known.
type Fleet struct {
	// Rate is the number of requests per second that leave the peers' queues with a
	// target; 0 if unknown.
	Rate float64
	// Waiting and Accounts are the requests that wait at the peers and the number of
	// accounts that sent them, by the priority of an [Item].
	Waiting, Accounts [declaration.MaxPriority + 1]float64
	// SameAccount is the number of requests in Waiting of the account and priority
	// that the estimate is for.
	SameAccount float64
	// Age is the time since the oldest report used.
	Age time.Duration
}

// Prediction is an estimate of how long a request waits.
type Prediction struct {
	// Wait is the time until the request gets its target, and Known whether there is
	// an estimate.
	Wait  time.Duration
	Known bool
	// Ahead is the number of requests that go first, and Rate the number per second
	// that get a target; 0 if unknown.
	Ahead, Rate float64
	// Waiting is the number of requests that wait in all queues.
	Waiting float64
	// Peers reports whether reports of peers were used, and Age how old the oldest of
	// them is.
	Peers bool
	Age   time.Duration
}

// Predict estimates the wait of a request before it is queued. With the rates of peers
// the requests ahead in all queues are divided by the rate of all queues, since the
// targets are shared and a refused caller may return at another gateway. Otherwise the
// own queue and rate are used.
func (q *Queue[T]) Predict(item Item, rate *RateEstimator, fleet Fleet, now time.Time) Prediction {
	ahead, sameAccount := q.position(item)
	p := Prediction{Ahead: ahead, Waiting: float64(q.Len(item.Pool))}
	p.Rate, p.Known = rate.Rate(now)
	if !p.Known {
		p.Rate = 0
	}
	if fleet.Rate >= minRate {
		p.Peers, p.Age, p.Known = true, fleet.Age, true
		p.Rate += fleet.Rate
		p.Ahead += fleet.ahead(clampPriority(item.Priority), sameAccount)
		for _, waiting := range fleet.Waiting {
			p.Waiting += waiting
		}
	}
	if p.Known {
		p.Wait = time.Duration((p.Ahead + 1) / p.Rate * float64(time.Second))
	}
	return p
}

// ahead returns how many requests at the peers go before one that has sameAccount
// requests of its account and priority before it in the own queue. The accounts of a
// priority take turns, so that the backlog of one account does not delay the others.
func (f *Fleet) ahead(priority int, sameAccount float64) float64 {
	ahead := 0.0
	for _, waiting := range f.Waiting[priority+1:] {
		ahead += waiting
	}
	same := min(f.SameAccount, f.Waiting[priority])
	others, accounts := f.Waiting[priority]-same, f.Accounts[priority]
	if same > 0 {
		accounts--
	}
	if accounts > 0 {
		others = min(others, accounts*(sameAccount+same+1))
	}
	return ahead + same + others
}

// AccountRate returns the number of requests per second that the own queue may expect to
// serve for each of a number of accounts; 0 if unknown. Each process lets as many refused
// callers return as its own queue serves: together they do not invite more than there is
// room for, although a caller may return at another one.
func (r *RateEstimator) AccountRate(accounts int, now time.Time) float64 {
	rate, known := r.Rate(now)
	if !known {
		return 0
	}
	return rate / float64(max(accounts, 1))
}
