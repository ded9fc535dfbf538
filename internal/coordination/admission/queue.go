// Package admission orders the requests that wait at an entry: by priority,
// then fairly between client accounts by the tokens they ask for, each bounded
// by its deadline.
package admission

import (
	"errors"
	"time"

	"lovageport.example/pkg/declaration"
)

// ErrFull says that no more requests may wait.
var ErrFull = errors.New("admission: queue is full")

// Item is what the queue knows of a request.
type Item struct {
	// Pool is what the request waits for.
	Pool     string
	Account  string
	Priority int
	// Cost is the tokens that the request asks for.
	Cost int
	// Deadline is when waiting makes no sense any more.
	Deadline time.Time
}

// waiting is an item in the queue.
type waiting[T any] struct {
	item  Item
	value T
	// start is the virtual time at which the item's turn comes.
	start float64
}

// line holds the waiting items of one pool and priority.
type line[T any] struct {
	accounts map[string][]waiting[T]
	// finish is the virtual time up to which each account has had its share.
	finish map[string]float64
	now    float64
}

// Queue holds waiting requests, each with a value of its user. Its zero value
// is empty and takes any number.
type Queue[T any] struct {
	// Max bounds the requests that wait for one pool; 0 is no bound.
	Max int

	lines map[string]*[declaration.MaxPriority + 1]line[T]
	count map[string]int
}

// Push adds a request.
func (q *Queue[T]) Push(item Item, value T) error {
	if q.Max > 0 && q.count[item.Pool] >= q.Max {
		return ErrFull
	}
	if q.lines == nil {
		q.lines = make(map[string]*[declaration.MaxPriority + 1]line[T])
		q.count = make(map[string]int)
	}
	lines := q.lines[item.Pool]
	if lines == nil {
		lines = new([declaration.MaxPriority + 1]line[T])
		q.lines[item.Pool] = lines
	}
	lines[min(max(item.Priority, 0), declaration.MaxPriority)].push(item, value)
	q.count[item.Pool]++
	return nil
}

func (l *line[T]) push(item Item, value T) {
	if l.accounts == nil {
		l.accounts = make(map[string][]waiting[T])
		l.finish = make(map[string]float64)
	}
	start := max(l.now, l.finish[item.Account])
	l.finish[item.Account] = start + float64(max(item.Cost, 1))
	l.accounts[item.Account] = append(l.accounts[item.Account], waiting[T]{item, value, start})
}

// first returns the account whose turn it is.
func (l *line[T]) first() (string, bool) {
	var (
		best  string
		found bool
	)
	for account, items := range l.accounts {
		if !found || less(items[0].start, account, l.accounts[best][0].start, best) {
			best, found = account, true
		}
	}
	return best, found
}

// less orders by virtual time, then by name, so that the order is the same on
// every run.
func less(start float64, account string, otherStart float64, other string) bool {
	if start != otherStart {
		return start < otherStart
	}
	return account < other
}

// Pools returns the names of the pools that requests wait for.
func (q *Queue[T]) Pools() []string {
	var names []string
	for name, n := range q.count {
		if n > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Peek returns the request whose turn it is for a pool.
func (q *Queue[T]) Peek(pool string) (T, bool) {
	l, account := q.turn(pool)
	if l == nil {
		var none T
		return none, false
	}
	return l.accounts[account][0].value, true
}

// turn returns the line and account whose turn it is; nil if none waits.
func (q *Queue[T]) turn(pool string) (*line[T], string) {
	lines := q.lines[pool]
	if lines == nil {
		return nil, ""
	}
	for p := declaration.MaxPriority; p >= 0; p-- {
		if account, ok := lines[p].first(); ok {
			return &lines[p], account
		}
	}
	return nil, ""
}

// Pop removes the request that Peek returns.
func (q *Queue[T]) Pop(pool string) {
	l, account := q.turn(pool)
	if l == nil {
		return
	}
	l.now = max(l.now, l.accounts[account][0].start)
	l.removeAt(account, 0)
	q.count[pool]--
}

func (l *line[T]) removeAt(account string, i int) {
	items := l.accounts[account]
	items = append(items[:i:i], items[i+1:]...)
	if len(items) > 0 {
		l.accounts[account] = items
		return
	}
	delete(l.accounts, account)
	if l.finish[account] <= l.now || len(l.accounts) == 0 {
		delete(l.finish, account)
	}
}

// Remove takes out all requests for which gone returns true, and returns them.
func (q *Queue[T]) Remove(gone func(Item, T) bool) []T {
	var removed []T
	for pool, lines := range q.lines {
		for p := range lines {
			taken := lines[p].remove(gone)
			q.count[pool] -= len(taken)
			removed = append(removed, taken...)
		}
	}
	return removed
}

func (l *line[T]) remove(gone func(Item, T) bool) []T {
	var removed []T
	for account, items := range l.accounts {
		for i := len(items) - 1; i >= 0; i-- {
			if gone(items[i].item, items[i].value) {
				removed = append(removed, items[i].value)
				l.removeAt(account, i)
			}
		}
	}
	return removed
}

// Len returns how many requests wait for a pool.
func (q *Queue[T]) Len(pool string) int { return q.count[pool] }

// Ahead returns how many requests of a priority or above wait for a pool.
func (q *Queue[T]) Ahead(pool string, priority int) int {
	lines := q.lines[pool]
	if lines == nil {
		return 0
	}
	ahead := 0
	for p := max(priority, 0); p <= declaration.MaxPriority; p++ {
		for _, items := range lines[p].accounts {
			ahead += len(items)
		}
	}
	return ahead
}
