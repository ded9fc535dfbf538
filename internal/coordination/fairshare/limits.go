package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// setLimits computes the shares and what the limited classes may use at this gateway.
func (s *Service) setLimits(now time.Duration) {
	s.limits, s.limiting = nil, false
	if s.capacity <= 0 || now >= s.scarceUntil {
		return
	}
	since := (now - s.scarceUntil + scarcityTime).Seconds()
	capacity := s.capacity * (1 + linearGrowth*since + squareGrowth*since*since)
	demands := make([]*demand, 0, len(s.demands))
	for _, d := range s.demands {
		demands = append(demands, d)
	}
	if len(demands) < 2 && s.equalPart == 0 {
		return
	}
	divide(capacity, demands)
	s.limits = make(map[Class]float64)
	for _, d := range demands {
		if d.limited {
			s.limiting = true
			s.limits[d.class] = s.localLimit(d, now)
		}
	}
}

// localLimit returns the part of a share that this gateway may use, in whole requests.
// Gateways round up in turn, so that the sum over all gateways is about the share.
func (s *Service) localLimit(d *demand, now time.Duration) float64 {
	own := 0.0
	if d.class.Others {
		for c, u := range s.own {
			if s.groupOf(c) == d.class {
				own += u.demand
			}
		}
	} else if u := s.own[d.class]; u != nil {
		own = u.demand
	}
	if own == 0 || s.meanCost <= 0 {
		return 0
	}
	requests := d.share * min(1, own/d.total()) / s.meanCost
	whole, rest := math.Modf(requests)
	if s.phase(d.class, now) < rest {
		whole++
	}
	return whole * s.meanCost
}

// phase returns a number from 0 to 1 for a class, which differs between gateways and
// changes with each epoch.
func (s *Service) phase(c Class, now time.Duration) float64 {
	hash := xxhash.Sum64String(s.Self + "\x00" + c.Account)
	_, phase := math.Modf(float64(hash>>11)/(1<<53) + float64(now/epoch)*(math.Phi-1))
	return phase
}

// groupOf returns the class under which the demand of c counts.
func (s *Service) groupOf(c Class) Class {
	if d := s.demands[c]; d != nil || c.Others {
		return c
	}
	return Class{Priority: c.Priority, Others: true}
}

// Limiting reports whether any class is limited.
func (s *Service) Limiting() bool { return s.limiting }

// IsLimited reports whether a class wants more than its share.
func (s *Service) IsLimited(c Class) bool {
	if !s.limiting {
		return false
	}
	_, limited := s.limits[s.groupOf(c)]
	return limited
}

// MayStart reports whether a request of a class may get a target. If not, the class
// uses all of its share that this gateway may use.
func (s *Service) MayStart(c Class) bool {
	if !s.limiting {
		return true
	}
	group := s.groupOf(c)
	limit, limited := s.limits[group]
	if !limited {
		return true
	}
	used := s.ownUsed(group)
	// Half of a request allows for costs that differ.
	if used+s.meanCost/2 <= limit || used == 0 && s.demands[group].used == 0 {
		return true
	}
	s.hold(group)
	return false
}

// Reason says why a limited class gets less than it wants: [ByAccount] if its priority has
// other accounts, else [ByPriority]: other priorities want a part.
func (s *Service) Reason(c Class) string {
	group := s.groupOf(c)
	for other := range s.demands {
		if other != group && other.Priority == group.Priority {
			return ByAccount
		}
	}
	return ByPriority
}

// The reasons for which a class is limited; each is a metric label.
const (
	ByAccount  = "account"
	ByPriority = "priority"
)

// ownUsed returns what a class, or the sum of the classes that count as it, uses at this
// gateway.
func (s *Service) ownUsed(c Class) float64 {
	if !c.Others {
		if u := s.own[c]; u != nil {
			return u.used
		}
		return 0
	}
	used := 0.0
	for other, u := range s.own {
		if s.groupOf(other) == c {
			used += u.used
		}
	}
	return used
}

// maxHeld bounds the classes of which changes are reported.
const maxHeld = 64

// hold records that requests of a class were held back, unless too many classes are recorded.
func (s *Service) hold(c Class) {
	if h := s.held[c]; h != nil || len(s.held) >= maxHeld {
		return
	}
	if s.held == nil {
		s.held = make(map[Class]*hold)
	}
	s.held[c] = &hold{}
}

// changes returns the classes that begin to be limited here, and those that have not been
// limited for scarcityTime.
func (s *Service) changes(now time.Duration, reports int, oldest time.Duration) []Change {
	var out []Change
	for c, h := range s.held {
		if _, limited := s.limits[c]; limited || !h.reported {
			h.limitedAt = now
		}
		begins, ends := !h.reported, now-h.limitedAt >= scarcityTime
		if !begins && !ends {
			continue
		}
		change := Change{Class: c, Limited: begins, Reason: s.Reason(c), Capacity: s.capacity, Reports: reports, Oldest: oldest}
		if d := s.demands[c]; d != nil {
			change.Share, change.Used, change.Demand = d.share, d.used, d.total()
		}
		out = append(out, change)
		h.reported = true
		if ends {
			delete(s.held, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Class.Account, b.Class.Account), cmp.Compare(a.Class.Priority, b.Class.Priority))
	})
	return out
}
