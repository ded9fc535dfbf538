// Package admission queues requests by priority and, within a priority, fairly
// between client accounts by the tokens that they request. It also estimates how
// long a queued request has to wait.
package admission

import (
	"errors"
	"slices"
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
	// Resumed is set if the stream of the request has begun.
	Resumed bool
	// Deadline is the time until which the request may wait. The queue itself
	// does not enforce it.
	Deadline time.Time
}

// entry is a queued request.
type entry[T any] struct {
	item  Item
	value T
	// start is the virtual time at which the request's turn comes.
	start float64
}

// fairQueue holds the requests of one pool and priority. It serves the accounts
// by start-time fair queueing, in units of tokens.
type fairQueue[T any] struct {
	accounts map[string][]entry[T]
	// finish is the virtual finish time of the last request of each account.
	finish      map[string]float64
	virtualTime float64
}

// Queue holds waiting requests, each with a value of type T. Its zero value is
// empty and unbounded. It is not safe for concurrent use.
type Queue[T any] struct {
	// Max bounds the requests that wait for one pool; 0 means no bound.
	Max int

	// levels holds the queues of each pool by priority.
	levels map[string]*[declaration.MaxPriority + 1]fairQueue[T]
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
		q.levels = make(map[string]*[declaration.MaxPriority + 1]fairQueue[T])
		q.counts = make(map[string]int)
	}
	levels := q.levels[item.Pool]
	if levels == nil {
		levels = new([declaration.MaxPriority + 1]fairQueue[T])
		q.levels[item.Pool] = levels
	}
	levels[min(max(item.Priority, 0), declaration.MaxPriority)].push(item, value)
	q.counts[item.Pool]++
	return nil
}

func (f *fairQueue[T]) push(item Item, value T) {
	if f.accounts == nil {
		f.accounts = make(map[string][]entry[T])
		f.finish = make(map[string]float64)
	}
	start := max(f.virtualTime, f.finish[item.Account])
	f.finish[item.Account] = start + float64(max(item.Cost, 1))
	f.accounts[item.Account] = append(f.accounts[item.Account], entry[T]{item, value, start})
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
	account         string
	priority, index int
}

// PeekFunc returns the value and the position of the next request for a pool of an account
// and priority for which allowed returns true, or that is resumed; false if there is none.
// Accounts that are not allowed do not hold up others. A nil function allows all.
func (q *Queue[T]) PeekFunc(pool string, allowed func(account string, priority int) bool) (T, Position, bool) {
	levels := q.levels[pool]
	for p := declaration.MaxPriority; levels != nil && p >= 0; p-- {
		if at, ok := levels[p].nextFunc(p, allowed); ok {
			return levels[p].accounts[at.account][at.index].value, at, true
		}
	}
	var none T
	return none, Position{}, false
}

// nextFunc returns the position of the next request that is allowed or resumed.
func (f *fairQueue[T]) nextFunc(priority int, allowed func(account string, priority int) bool) (Position, bool) {
	var (
		best  Position
		start float64
		found bool
	)
	for account, items := range f.accounts {
		i := 0
		if allowed != nil && !allowed(account, priority) {
			i = slices.IndexFunc(items, func(e entry[T]) bool { return e.item.Resumed })
		}
		if i < 0 || found && !startsBefore(items[i].start, account, start, best.account) {
			continue
		}
		best, start, found = Position{account, priority, i}, items[i].start, true
	}
	return best, found
}

// PopAt removes the request at a position that PeekFunc has returned, unless the queue
// has changed since.
func (q *Queue[T]) PopAt(pool string, at Position) {
	levels := q.levels[pool]
	if levels == nil {
		return
	}
	f := &levels[at.priority]
	items := f.accounts[at.account]
	if at.index >= len(items) {
		return
	}
	f.virtualTime = max(f.virtualTime, items[at.index].start)
	f.removeAt(at.account, at.index)
	q.counts[pool]--
}

// head returns the queue and the account of the next request for a pool; nil if
// none waits.
func (q *Queue[T]) head(pool string) (*fairQueue[T], string) {
	levels := q.levels[pool]
	if levels == nil {
		return nil, ""
	}
	for p := declaration.MaxPriority; p >= 0; p-- {
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
	f.virtualTime = max(f.virtualTime, f.accounts[account][0].start)
	f.removeAt(account, 0)
	q.counts[pool]--
}

func (f *fairQueue[T]) removeAt(account string, i int) {
	items := f.accounts[account]
	items = append(items[:i:i], items[i+1:]...)
	if len(items) > 0 {
		f.accounts[account] = items
		return
	}
	delete(f.accounts, account)
	switch {
	case len(f.accounts) == 0:
		// What was served before counts only while requests wait.
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
	for p := max(priority, 0); p <= declaration.MaxPriority; p++ {
		for _, items := range levels[p].accounts {
			ahead += len(items)
		}
	}
	return ahead
}

// Waiting returns how many requests of an account at a priority wait for a pool.
func (q *Queue[T]) Waiting(pool, account string, priority int) int {
	levels := q.levels[pool]
	if levels == nil {
		return 0
	}
	return len(levels[min(max(priority, 0), declaration.MaxPriority)].accounts[account])
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
// particular order.
func (q *Queue[T]) Classes(pool string) []ClassCount {
	levels := q.levels[pool]
	if levels == nil {
		return nil
	}
	var out []ClassCount
	for p := range levels {
		for account, items := range levels[p].accounts {
			c := ClassCount{Account: account, Priority: p, Requests: len(items)}
			for i := range items {
				c.Cost += float64(max(items[i].item.Cost, 1))
			}
			out = append(out, c)
		}
	}
	return out
}
