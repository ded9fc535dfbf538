package fairshare

import "lovageport.example/pkg/declaration"

// priorities is the number of priorities; 0 is the most urgent.
const priorities = declaration.MaxPriority + 1

// Each priority gets a guaranteed part of its proportional capacity before the more urgent
// ones get theirs, so that none is served less than a quarter as often as all. Priorities
// that are refused more often want more in proportion; therefore minGuarantee is enough up
// to demand of guaranteeDemand times the capacity. A constant part would be too large for
// urgent requests at a small excess of demand, or too small for the others at a large one.
const (
	minGuarantee    = 0.2
	maxGuarantee    = 0.3
	guaranteeDemand = 3.0
	guaranteeSlope  = 0.05
)

// guaranteeAt returns the guaranteed part at a ratio of the demand to the capacity.
func guaranteeAt(ratio float64) float64 {
	return min(max(minGuarantee+guaranteeSlope*(ratio-guaranteeDemand), minGuarantee), maxGuarantee)
}

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
		parts[p] = guaranteeAt(sum/capacity) * capacity * total / sum
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
	accounts := 0
	for _, d := range demands {
		accounts += d.accounts
		d.limited = true
	}
	// Classes that want no more than an equal part get what they want, which raises the
	// equal part of the others.
	for changed := true; changed; {
		changed = false
		equal := capacity / float64(accounts)
		for _, d := range demands {
			if !d.limited || d.total() > equal*float64(d.accounts) {
				continue
			}
			d.share, d.limited, changed = d.total(), false, true
			capacity -= d.share
			accounts -= d.accounts
		}
	}
	for _, d := range demands {
		if d.limited {
			d.share = capacity / float64(accounts) * float64(d.accounts)
		}
	}
}
