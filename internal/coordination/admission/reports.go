package admission

import (
	"time"

	"lovageport.example/pkg/declaration"
)

// PoolReport is what a peer, or the peers of a zone together, report of a pool.
type PoolReport struct {
	Pool string
	// Rate is the number of requests per second that leave the queues with a target; 0
	// if unknown.
	Rate float64
	// Classes are the requests that wait.
	Classes []ClassReport
}

// ClassReport is the number of requests of a priority that wait.
type ClassReport struct {
	// Account is empty in a sum over several accounts, of which Accounts is the number.
	Account  string
	Accounts float64
	Priority int
	Waiting  float64
}

// Reports sums the reports of peers, so that reading them takes constant time. Its zero
// value has none.
type Reports struct {
	sources map[string]sourceReport
	pools   map[string]*poolSum
	// oldest is the time of the oldest report.
	oldest time.Time
}

type sourceReport struct {
	at    time.Time
	pools []PoolReport
}

// poolSum is the sum of the reports of a pool.
type poolSum struct {
	// reports is the number of reports that name the pool.
	reports int
	rate    float64
	waiting [declaration.MaxPriority + 1]float64
	// unnamed is the number of accounts in sums.
	unnamed [declaration.MaxPriority + 1]float64
	// named holds the requests of each named account with the number of reports that
	// name it.
	named map[classKey]namedClass
	// namedAccounts is the number of elements of named by priority.
	namedAccounts [declaration.MaxPriority + 1]int
}

type classKey struct {
	account  string
	priority int
}

type namedClass struct {
	waiting float64
	reports int
}

// Set replaces the report of a source, which is as of a time.
func (r *Reports) Set(source string, pools []PoolReport, at time.Time) {
	if r.sources == nil {
		r.sources = make(map[string]sourceReport)
		r.pools = make(map[string]*poolSum)
	}
	r.add(r.sources[source].pools, -1)
	r.add(pools, 1)
	r.sources[source] = sourceReport{at, pools}
	r.findOldest()
}

// Retain drops the reports of the sources for which present returns false.
func (r *Reports) Retain(present func(source string) bool) {
	for source, report := range r.sources {
		if !present(source) {
			r.add(report.pools, -1)
			delete(r.sources, source)
		}
	}
	r.findOldest()
}

func (r *Reports) findOldest() {
	r.oldest = time.Time{}
	for _, report := range r.sources {
		if r.oldest.IsZero() || report.at.Before(r.oldest) {
			r.oldest = report.at
		}
	}
}

// add adds reports to the sums, or subtracts them if sign is -1.
func (r *Reports) add(pools []PoolReport, sign int) {
	for i := range pools {
		p := &pools[i]
		sum := r.pools[p.Pool]
		if sum == nil {
			sum = &poolSum{named: make(map[classKey]namedClass)}
			r.pools[p.Pool] = sum
		}
		sum.reports += sign
		if sum.reports == 0 {
			// Starting anew leaves no rounding errors.
			delete(r.pools, p.Pool)
			continue
		}
		sum.rate = max(0, sum.rate+float64(sign)*p.Rate)
		for _, c := range p.Classes {
			sum.addClass(c, sign)
		}
	}
}

func (s *poolSum) addClass(c ClassReport, sign int) {
	if c.Waiting <= 0 {
		return
	}
	priority := clampPriority(c.Priority)
	s.waiting[priority] = max(0, s.waiting[priority]+float64(sign)*c.Waiting)
	if c.Account == "" {
		// The accounts of a sum are those that use the pool, of which not all wait.
		accounts := min(max(c.Accounts, 1), c.Waiting)
		s.unnamed[priority] = max(0, s.unnamed[priority]+float64(sign)*accounts)
		return
	}
	key := classKey{c.Account, priority}
	n, ok := s.named[key]
	if !ok {
		s.namedAccounts[priority]++
	}
	n.waiting += float64(sign) * c.Waiting
	n.reports += sign
	if n.reports > 0 {
		s.named[key] = n
		return
	}
	delete(s.named, key)
	s.namedAccounts[priority]--
}

// Fleet returns the sums for a pool, for a request of an account and priority.
func (r *Reports) Fleet(pool, account string, priority int, now time.Time) Fleet {
	sum := r.pools[pool]
	if sum == nil {
		return Fleet{}
	}
	f := Fleet{Rate: sum.rate, Waiting: sum.waiting, Accounts: sum.unnamed, Age: now.Sub(r.oldest)}
	for p, n := range sum.namedAccounts {
		f.Accounts[p] += float64(n)
	}
	if account != "" {
		f.SameAccount = max(0, sum.named[classKey{account, clampPriority(priority)}].waiting)
	}
	return f
}
