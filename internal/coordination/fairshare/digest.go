package fairshare

import (
	"cmp"
	"slices"
	"time"

	"lovageport.example/internal/protocol/peering"
)

// Digest returns the demand of this gateway, or that of its zone, for peers. It returns
// false if there is nothing to report.
func (s *Service) Digest(ofZone bool, now time.Duration) (peering.ServiceDemand, bool) {
	if !s.Active(now) {
		return peering.ServiceDemand{}, false
	}
	sums := make(map[Class]*peering.ClassDemand)
	add := func(c Class, accounts int, waiting, used, wanted float64) {
		sum := sums[c]
		if sum == nil {
			sum = &peering.ClassDemand{Account: c.Account, Priority: c.Priority}
			sums[c] = sum
		}
		sum.Accounts = max(sum.Accounts, accounts)
		sum.Waiting += float32(waiting)
		sum.Used += float32(used)
		sum.Wanted += float32(max(0, wanted))
	}
	accepted := s.acceptedPart()
	for c, u := range s.own {
		accounts := 1
		if c.Others {
			accounts = 2
		}
		add(c, accounts, float64(u.waitingNumber), u.used*accepted, u.demand-u.used*accepted)
	}
	d := peering.ServiceDemand{}
	// Other zones get reports of lack of room in this zone only. Otherwise their own
	// lack of room would return to them as a new one.
	full := s.fullAt
	if ofZone {
		for _, r := range s.reports {
			if !r.ownZone {
				continue
			}
			full = max(full, r.fullAt)
			d.DispatchRate += r.demand.DispatchRate
			for i := range r.demand.Classes {
				c := &r.demand.Classes[i]
				class := Class{Account: c.Account, Priority: c.Priority, Others: c.Accounts > 1}
				add(class, c.Accounts, float64(c.Waiting), float64(c.Used), float64(c.Wanted))
			}
		}
	}
	d.Classes = largest(sums)
	if left := full + scarcityTime - now; full > 0 && left > 0 {
		d.Scarcity = float32(left.Seconds())
	}
	return d, true
}

// compareDemand orders classes by falling demand.
func compareDemand(a, b peering.ClassDemand) int {
	return cmp.Or(cmp.Compare(b.Used+b.Wanted, a.Used+a.Wanted), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Priority, b.Priority))
}

// largest names the classes with the largest demand and sums up the others by priority.
func largest(sums map[Class]*peering.ClassDemand) []peering.ClassDemand {
	named := make([]peering.ClassDemand, 0, peering.MaxDemandClasses+priorities)
	var others [priorities]peering.ClassDemand
	join := func(c *peering.ClassDemand) {
		o := &others[c.Priority]
		o.Accounts += c.Accounts
		o.Waiting += c.Waiting
		o.Used += c.Used
		o.Wanted += c.Wanted
	}
	for c, sum := range sums {
		if c.Others {
			join(sum)
			continue
		}
		if len(named) < peering.MaxDemandClasses {
			named = append(named, *sum)
			if len(named) == peering.MaxDemandClasses {
				slices.SortFunc(named, compareDemand)
			}
			continue
		}
		if last := &named[len(named)-1]; compareDemand(*sum, *last) < 0 {
			join(last)
			i, _ := slices.BinarySearchFunc(named, *sum, compareDemand)
			copy(named[i+1:], named[i:len(named)-1])
			named[i] = *sum
			continue
		}
		join(sum)
	}
	slices.SortFunc(named, compareDemand)
	for p := range others {
		if others[p].Accounts > 0 {
			others[p].Priority = p
			others[p].Accounts = max(2, others[p].Accounts)
			named = append(named, others[p])
		}
	}
	return named
}
