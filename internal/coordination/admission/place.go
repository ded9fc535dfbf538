package admission

import (
	"container/heap"
	"time"
)

// maxPlaces bounds the places that are kept in a queue.
const maxPlaces = 1 << 15

// places are the places of accounts whose requests were refused. Its zero value is
// empty.
type places struct {
	byAccount map[string]*place
	// expiries holds each account of byAccount once.
	expiries expiryHeap
}

type placeExpiry struct {
	at      time.Time
	account string
}

// expiryHeap is a heap of which the earliest element is the first.
type expiryHeap []placeExpiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(e any)        { *h = append(*h, e.(placeExpiry)) }
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// place is the place of an account in a fair queue.
type place struct {
	// start is the virtual time of the first refusal, from which the turn of a request
	// that returns counts, and since the time of that refusal.
	start float64
	since time.Time
	// finish is the virtual time until which the account was served.
	finish float64
	// until is when the place is given up.
	until time.Time
}

// Keep keeps the place of an account whose request was refused until a later time:
// what was served to it counts until then, also when the queue is empty meanwhile, and
// a request that returns is not put behind those that have arrived since.
func (q *Queue[T]) Keep(item Item, now, until time.Time) {
	levels := q.levels[item.Pool]
	if levels == nil || item.Begun {
		// No request has waited for the pool, or the request is never put behind others.
		return
	}
	f := &levels[levelOf(item)]
	f.kept.expire(now)
	p := f.kept.byAccount[item.Account]
	if p == nil {
		if len(f.kept.byAccount) >= maxPlaces {
			return
		}
		if f.kept.byAccount == nil {
			f.kept.byAccount = make(map[string]*place)
		}
		p = &place{start: f.virtualTime, since: now, finish: f.finish[item.Account]}
		f.kept.byAccount[item.Account] = p
		heap.Push(&f.kept.expiries, placeExpiry{until, item.Account})
	}
	if now.Sub(p.since) > MaxReturn {
		// An account that is refused again and again keeps the place of its last
		// refusals only, or it would have a burst saved up.
		p.start, p.since = f.virtualTime, now
	}
	if until.After(p.until) {
		p.until = until
	}
}

// ExpirePlaces gives up the kept places whose time has passed.
func (q *Queue[T]) ExpirePlaces(now time.Time) {
	for _, levels := range q.levels {
		for p := range levels {
			levels[p].kept.expire(now)
		}
	}
}

func (k *places) expire(now time.Time) {
	for len(k.expiries) > 0 && !now.Before(k.expiries[0].at) {
		first := &k.expiries[0]
		if until := k.byAccount[first.account].until; now.Before(until) {
			first.at = until
			heap.Fix(&k.expiries, 0)
			continue
		}
		delete(k.byAccount, first.account)
		heap.Pop(&k.expiries)
	}
}

// maxSampled bounds the accounts that are looked at to estimate how many requests go
// before another one.
const maxSampled = 64

// position estimates how many requests of the own queue go before one that is about to
// be pushed, and returns how many of them are of the same account and priority.
func (q *Queue[T]) position(item Item) (ahead, sameAccount float64) {
	levels := q.levels[item.Pool]
	if levels == nil {
		return 0, 0
	}
	level := levelOf(item)
	for p := level + 1; p < len(levels); p++ {
		ahead += float64(levels[p].count)
	}
	f := &levels[level]
	start, same := f.startOf(item)
	return ahead + float64(same) + f.startingBefore(start, item.Account), float64(same)
}

// startOf returns the virtual start time of a request that is about to be pushed and
// the number of requests of its account that go before it.
func (f *fairQueue[T]) startOf(item Item) (start float64, same int) {
	start = max(f.earliest(item), f.finishOf(item.Account))
	items := f.accounts[item.Account]
	if len(items) == 0 {
		return start, 0
	}
	same = len(items)
	if start >= items[0].start {
		start = items[0].start
	}
	return start + float64(same*max(items[0].item.Cost, 1)), same
}

// startingBefore estimates the number of requests of other accounts whose virtual start
// time is not after start.
func (f *fairQueue[T]) startingBefore(start float64, account string) float64 {
	n, sampled := 0, 0
	for other, items := range f.accounts {
		if other == account {
			continue
		}
		if sampled++; sampled > maxSampled {
			return float64(n) / maxSampled * float64(len(f.accounts))
		}
		if behind := start - items[0].start; behind >= 0 {
			n += min(len(items), 1+int(behind/float64(max(items[0].item.Cost, 1))))
		}
	}
	return float64(n)
}
