// Package admission queues requests by priority and, within a priority, fairly
// between client accounts by the tokens that they request. It also predicts how long a
// request has to wait, from the queues of this process and, where they are reported, of
// its peers, and schedules when refused callers return.
//
// The package does no I/O. Times are passed as arguments.
package admission

import (
	"errors"
	"time"

	"lovageport.example/pkg/declaration"
)

// ErrFull is returned by Push if the queue for a pool has reached its bound.
var ErrFull = errors.New("admission: queue is full")

// Item describes a queued request.
type Item struct {
	// Pool is the name of the pool that the request waits for.
	Pool     string
	Account  string
	Priority int
	// Cost is the number of tokens that the request asks for.
	Cost int
	// Deadline is the time until which the request may wait. The queue itself
	// does not enforce it.
	Deadline time.Time
	// Begun requests, of which the caller has received a part of the answer, go
	// before the others of the same priority.
	Begun bool
	// Returning reports that a request of the account was refused before and returns
	// as told. Its account then takes the place that Keep has kept, before accounts of
	// the same priority whose requests are new.
	Returning bool
}

// entry is a queued request.
type entry[T any] struct {
	item  Item
	value T
	// earliest is the earliest virtual time at which the request's turn may come: that
	// of its arrival, or of the refusal of a request that returns.
	earliest float64
	// start is the virtual time at which the request's turn comes. It is set for the
	// first request of each account.
	start float64
}

// fairQueue holds the requests of one pool and priority, those that have begun apart
// from the others. It serves the accounts by start-time fair queueing, in units of
// tokens.
type fairQueue[T any] struct {
	accounts map[string][]entry[T]
	// finish is the virtual finish time of the last request of each account that was
	// served.
	finish      map[string]float64
	virtualTime float64
	// count is the number of requests.
	count int
	// kept holds the places of refused accounts.
	kept places
}

// levelQueues are the queues of a pool by priority: at 2p the requests of priority p,
// at 2p+1 those of them that have begun.
type levelQueues[T any] [2 * (declaration.MaxPriority + 1)]fairQueue[T]

// levelOf returns the index of an item's queue in levelQueues.
func levelOf(item Item) int {
	level := 2 * clampPriority(item.Priority)
	if item.Begun {
		level++
	}
	return level
}

// isBegunLevel reports whether the queue at an index holds requests that have begun.
func isBegunLevel(level int) bool { return level%2 == 1 }

// clampPriority returns the nearest priority that is in range.
func clampPriority(priority int) int { return min(max(priority, 0), declaration.MaxPriority) }

// Queue holds waiting requests, each with a value of type T. Its zero value is
// empty and unbounded. It is not safe for concurrent use.
type Queue[T any] struct {
	// Max bounds the requests that wait for one pool; 0 means no bound.
	Max int

	// levels holds the queues of each pool.
	levels map[string]*levelQueues[T]
	// counts is the number of queued requests of each pool.
	counts map[string]int
}

// Push adds a request to the queue. It returns ErrFull if the queue for the pool
// is full. A priority out of range counts as the nearest one in range.
func (q *Queue[T]) Push(item Item, value T) error {
	if q.Max > 0 && q.counts[item.Pool] >= q.Max {
		return ErrFull
	}
	if q.levels == nil {
		q.levels = make(map[string]*levelQueues[T])
		q.counts = make(map[string]int)
	}
	levels := q.levels[item.Pool]
	if levels == nil {
		levels = new(levelQueues[T])
		q.levels[item.Pool] = levels
	}
	levels[levelOf(item)].push(item, value)
	q.counts[item.Pool]++
	return nil
}

func (f *fairQueue[T]) push(item Item, value T) {
	if f.accounts == nil {
		f.accounts = make(map[string][]entry[T])
		f.finish = make(map[string]float64)
	}
	items := f.accounts[item.Account]
	e := entry[T]{item: item, value: value, earliest: f.earliest(item)}
	if len(items) > 0 && e.earliest < items[0].earliest {
		// Within the account the order of arrival stays: a request that returns cannot
		// be told from a new one of its account, and those that wait would be late.
		e.earliest, items[0].earliest = items[0].earliest, e.earliest
	}
	f.accounts[item.Account] = append(items, e)
	f.count++
	f.setStart(item.Account)
}

// returnLead is how much earlier, in virtual time, the turn of a request that returns
// comes than that of a new one which arrived when it was refused. It is less than the
// cost of any request.
const returnLead = 0.5

// earliest returns the earliest virtual time at which the turn of a request may come
// that arrives now.
func (f *fairQueue[T]) earliest(item Item) float64 {
	if place, ok := f.kept.byAccount[item.Account]; ok && item.Returning {
		return place.start - returnLead
	}
	return f.virtualTime
}

// finishOf returns the virtual time until which an account was served; 0 if that does
// not count any more.
func (f *fairQueue[T]) finishOf(account string) float64 {
	finish := f.finish[account]
	if place, ok := f.kept.byAccount[account]; ok {
		finish = max(finish, place.finish)
	}
	return finish
}

// setStart sets the virtual start time of the first request of an account.
func (f *fairQueue[T]) setStart(account string) {
	first := &f.accounts[account][0]
	first.start = max(first.earliest, f.finishOf(account))
}

// charge records that the first request of an account is served.
func (f *fairQueue[T]) charge(account string) {
	first := &f.accounts[account][0]
	finish := first.start + float64(max(first.item.Cost, 1))
	f.finish[account] = finish
	if place, ok := f.kept.byAccount[account]; ok {
		place.finish = finish
	}
}

// next returns the account whose turn it is, false if the queue is empty.
func (f *fairQueue[T]) next() (string, bool) {
	var (
		best  string
		found bool
	)
	for account, items := range f.accounts {
		if !found || startsBefore(items[0].start, account, f.accounts[best][0].start, best) {
			best, found = account, true
		}
	}
	return best, found
}

// startsBefore orders accounts by virtual start time and then by name, so that
// the order is deterministic.
func startsBefore(start float64, account string, otherStart float64, other string) bool {
	if start != otherStart {
		return start < otherStart
	}
	return account < other
}

// Pools returns the names of the pools that requests wait for, in no particular
// order.
func (q *Queue[T]) Pools() []string {
	var names []string
	for name, n := range q.counts {
		if n > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Peek returns the value of the next request for a pool, false if none waits.
func (q *Queue[T]) Peek(pool string) (T, bool) {
	f, account := q.head(pool)
	if f == nil {
		var none T
		return none, false
	}
	return f.accounts[account][0].value, true
}

// Position identifies a queued request until the queue changes.
type Position struct {
	account string
	level   int
}

// PeekFunc returns the value and the position of the next request for a pool of an account
// and priority for which allowed returns true, or that has begun; false if there is none.
// Accounts that are not allowed do not hold up others. A nil function allows all.
func (q *Queue[T]) PeekFunc(pool string, allowed func(account string, priority int) bool) (T, Position, bool) {
	levels := q.levels[pool]
	for level := len(levelQueues[T]{}) - 1; levels != nil && level >= 0; level-- {
		if account, ok := levels[level].nextFunc(level, allowed); ok {
			return levels[level].accounts[account][0].value, Position{account, level}, true
		}
	}
	var none T
	return none, Position{}, false
}

// nextFunc returns the account whose turn it is of those allowed. level is that of f.
func (f *fairQueue[T]) nextFunc(level int, allowed func(account string, priority int) bool) (string, bool) {
	if allowed == nil || isBegunLevel(level) {
		return f.next()
	}
	var (
		best  string
		found bool
	)
	for account, items := range f.accounts {
		if found && !startsBefore(items[0].start, account, f.accounts[best][0].start, best) || !allowed(account, level/2) {
			continue
		}
		best, found = account, true
	}
	return best, found
}

// PopAt removes the request at a position that PeekFunc has returned, unless the queue
// has changed since.
func (q *Queue[T]) PopAt(pool string, at Position) {
	levels := q.levels[pool]
	if levels == nil || len(levels[at.level].accounts[at.account]) == 0 {
		return
	}
	q.popFirst(pool, &levels[at.level], at.account)
}

// popFirst removes the first request of an account from a queue of a pool.
func (q *Queue[T]) popFirst(pool string, f *fairQueue[T], account string) {
	f.virtualTime = max(f.virtualTime, f.accounts[account][0].start)
	f.charge(account)
	f.removeAt(account, 0)
	q.counts[pool]--
}

// head returns the queue and the account of the next request for a pool; nil if
// none waits.
func (q *Queue[T]) head(pool string) (*fairQueue[T], string) {
	levels := q.levels[pool]
	if levels == nil {
		return nil, ""
	}
	for p := len(levels) - 1; p >= 0; p-- {
		if account, ok := levels[p].next(); ok {
			return &levels[p], account
		}
	}
	return nil, ""
}

// Pop removes the request that Peek returns, if any.
func (q *Queue[T]) Pop(pool string) {
	f, account := q.head(pool)
	if f == nil {
		return
	}
	q.popFirst(pool, f, account)
}

func (f *fairQueue[T]) removeAt(account string, i int) {
	items := f.accounts[account]
	if i == 0 {
		items[0] = entry[T]{}
		items = items[1:]
	} else {
		items = append(items[:i:i], items[i+1:]...)
	}
	f.count--
	if len(items) > 0 {
		f.accounts[account] = items
		f.setStart(account)
		return
	}
	delete(f.accounts, account)
	switch {
	case len(f.accounts) == 0:
		// What was served before counts only while requests wait, except for accounts
		// whose places are kept.
		clear(f.finish)
	case f.finish[account] <= f.virtualTime:
		delete(f.finish, account)
	}
}

// RemoveFunc removes all requests for which gone returns true and returns their
// values.
func (q *Queue[T]) RemoveFunc(gone func(Item, T) bool) []T {
	var removed []T
	for pool, levels := range q.levels {
		for p := range levels {
			taken := levels[p].removeFunc(gone)
			q.counts[pool] -= len(taken)
			removed = append(removed, taken...)
		}
	}
	return removed
}

func (f *fairQueue[T]) removeFunc(gone func(Item, T) bool) []T {
	var removed []T
	for account, items := range f.accounts {
		for i := len(items) - 1; i >= 0; i-- {
			if gone(items[i].item, items[i].value) {
				removed = append(removed, items[i].value)
				f.removeAt(account, i)
			}
		}
	}
	return removed
}

// Len returns how many requests wait for a pool.
func (q *Queue[T]) Len(pool string) int { return q.counts[pool] }

// Ahead returns how many requests of the given priority or above wait for a pool.
func (q *Queue[T]) Ahead(pool string, priority int) int {
	levels := q.levels[pool]
	if levels == nil {
		return 0
	}
	ahead := 0
	for p := 2 * max(priority, 0); p < len(levels); p++ {
		ahead += levels[p].count
	}
	return ahead
}

// ClassCount is the number and the cost of the requests of an account that wait for a
// pool at a priority.
type ClassCount struct {
	Account  string
	Priority int
	Requests int
	Cost     float64
}

// Classes returns the requests that wait for a pool by account and priority, in no
// particular order. Those that have begun are counted apart.
func (q *Queue[T]) Classes(pool string) []ClassCount {
	levels := q.levels[pool]
	if levels == nil {
		return nil
	}
	var out []ClassCount
	for level := range levels {
		for account, items := range levels[level].accounts {
			c := ClassCount{Account: account, Priority: level / 2, Requests: len(items)}
			for i := range items {
				c.Cost += float64(max(items[i].item.Cost, 1))
			}
			out = append(out, c)
		}
	}
	return out
}
