package fairshare

import (
	"cmp"
	"slices"
)

// priorities is the number of priorities; 0 is the most urgent.
const priorities = 10

// guarantee is the part of its proportional capacity that each priority gets before the
// more urgent ones get theirs. Priorities that are refused more often want more in
// proportion, so that this serves them at least a quarter as often as all. With 0.25 and
// twice the capacity asked, half of it at a more urgent priority, no more than 90% of the
// latter were served.
const guarantee = 0.2

// Class is an account and a priority. Requests without account are a class too.
type Class struct {
	Account string
	// Priority is 0 for the most urgent requests, 9 for the least.
	Priority int
	// Others is set for the sum of the classes of a priority that reports do not name.
	Others bool
}

// demand is what a class uses and wants, at all gateways.
type demand struct {
	class Class
	// accounts is the number of accounts in a sum; 1 for other classes.
	accounts     int
	used, wanted float64
	// share is the capacity that the class may use.
	share float64
	// limited is set if the class wants more than its share.
	limited bool
}

func (d *demand) total() float64 { return d.used + d.wanted }

// divide sets the shares of a capacity. Each priority gets its guaranteed minimum, then
// the more urgent ones go first. Within a priority, accounts get max-min fair shares:
// demand below an equal part is met in full.
func divide(capacity float64, demands []*demand) {
	var byPriority [priorities][]*demand
	var totals [priorities]float64
	sum := 0.0
	for _, d := range demands {
		p := d.class.Priority
		byPriority[p] = append(byPriority[p], d)
		totals[p] += d.total()
		sum += d.total()
	}
	if sum <= capacity {
		for _, d := range demands {
			d.share, d.limited = d.total(), false
		}
		return
	}
	var parts [priorities]float64
	left := capacity
	for p, total := range totals {
		parts[p] = guarantee * capacity * total / sum
		left -= parts[p]
	}
	for p, total := range totals {
		more := min(total-parts[p], left)
		parts[p] += more
		left -= more
		fill(parts[p], totals[p], byPriority[p])
	}
}

// fill divides a capacity between the classes of a priority, whose demand has a sum.
func fill(capacity, sum float64, demands []*demand) {
	if sum <= capacity {
		for _, d := range demands {
			d.share, d.limited = d.total(), false
		}
		return
	}
	perAccount := func(d *demand) float64 { return d.total() / float64(d.accounts) }
	slices.SortFunc(demands, func(a, b *demand) int { return cmp.Compare(perAccount(a), perAccount(b)) })
	accounts := 0
	for _, d := range demands {
		accounts += d.accounts
	}
	for _, d := range demands {
		equal := capacity / float64(accounts) * float64(d.accounts)
		d.share = min(d.total(), equal)
		d.limited = d.total() > equal
		capacity -= d.share
		accounts -= d.accounts
	}
}
