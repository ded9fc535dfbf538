// Package cluster keeps track of the other gateways: their addresses, the state
// that they last reported, and whether they are alive. It schedules the calls to
// them and elects the gateways that read the store and place layers for a zone.
//
// Times are durations since boot.
package cluster

import (
	"cmp"
	"slices"
	"time"

	"lovageport.example/internal/protocol/peering"
)

const (
	// SameZoneInterval and OtherZoneInterval are the shortest intervals at which
	// peers in the same zone and in other zones are called.
	SameZoneInterval  = 200 * time.Millisecond
	OtherZoneInterval = 800 * time.Millisecond
	// sameZoneAliveTime and otherZoneAliveTime are how long a peer counts as alive
	// after its last message if it is called at the shortest interval.
	sameZoneAliveTime  = 1200 * time.Millisecond
	otherZoneAliveTime = 2500 * time.Millisecond
	// silentInterval is the interval at which a peer that does not answer is
	// called. After lostAfter without an answer, lostInterval applies.
	silentInterval = 600 * time.Millisecond
	lostInterval   = 4 * time.Second
	lostAfter      = 10 * time.Second
	// forgetAfter is the time of silence after which a member that is no seed is
	// dropped.
	forgetAfter = 60 * time.Second
)

// FanOut bounds the number of peers called in one round.
const FanOut = 12

// fullRatePeers is the number of peers, counted separately for the same zone and
// for other zones, that are called at the shortest interval. If there are more,
// each is called less often, so that the calls of one gateway do not grow with
// the number of gateways.
const fullRatePeers = 6

// Member is another gateway.
type Member struct {
	peering.Address
	// News is the latest message of the member.
	News peering.News
	// LastHeard is when that message arrived, 0 if none has.
	LastHeard time.Duration

	// seed is set if the settings name the member.
	seed bool
	// nextCallAt is when the member is due to be called.
	nextCallAt time.Duration
	addedAt    time.Duration
	// calledAt is when the member was last called, and reportedAt when it was last
	// sent a report of this zone; 0 if never.
	calledAt, reportedAt time.Duration
}

// Members holds the other gateways by address. Its zero value is empty. It is not
// safe for concurrent use.
type Members struct {
	// Self is the address of this gateway, which is never added.
	Self      peering.Address
	byAddress map[string]*Member
	// ordered holds the members ordered by address.
	ordered []*Member
	// sameZone and otherZones count the members in the same zone and in others.
	// If recount is set, they must be recomputed before use.
	sameZone, otherZones int
	recount              bool
	// reporting reports whether this gateway reports for its zone.
	reporting bool
}

// AddAddresses adds the gateways at the given addresses, which the settings (seed
// is true), the store or other gateways name.
func (ms *Members) AddAddresses(addresses []peering.Address, seed bool, now time.Duration) {
	for _, a := range addresses {
		if a.Address == ms.Self.Address || a.Address == "" {
			continue
		}
		m := ms.member(a.Address, now)
		m.seed = m.seed || seed
		if m.Gateway == "" {
			m.Address = a
			ms.recount = true
		}
	}
}

func (ms *Members) member(address string, now time.Duration) *Member {
	if ms.byAddress == nil {
		ms.byAddress = make(map[string]*Member)
	}
	m := ms.byAddress[address]
	if m == nil {
		m = &Member{Address: peering.Address{Address: address}, addedAt: now}
		ms.byAddress[address] = m
		at, _ := slices.BinarySearchFunc(ms.ordered, address, func(m *Member, address string) int {
			return cmp.Compare(m.Address.Address, address)
		})
		ms.ordered = slices.Insert(ms.ordered, at, m)
		ms.recount = true
	}
	return m
}

// Update records a message of a gateway and adds the gateways it names.
func (ms *Members) Update(n *peering.News, now time.Duration) {
	if n.Address.Address == ms.Self.Address {
		return
	}
	m := ms.member(n.Address.Address, now)
	ms.recount = ms.recount || m.Zone != n.Address.Zone
	m.Address = n.Address
	m.News = *n
	// They are merged elsewhere and would be held for each member.
	m.News.Relay.Reports = nil
	m.LastHeard = now
	ms.AddAddresses(n.Peers, false, now)
}

// intervalFactor returns the factor by which the call interval of a member
// exceeds the shortest one because of the number of members.
func (ms *Members) intervalFactor(m *Member) time.Duration {
	if ms.recount {
		ms.countZones()
	}
	peers := ms.otherZones
	if m.Zone == ms.Self.Zone {
		peers = ms.sameZone
	}
	return time.Duration(max(1, peers/fullRatePeers))
}

// countZones recomputes sameZone and otherZones.
func (ms *Members) countZones() {
	ms.sameZone, ms.otherZones, ms.recount = 0, 0, false
	for _, m := range ms.ordered {
		if m.Zone == ms.Self.Zone {
			ms.sameZone++
		} else {
			ms.otherZones++
		}
	}
}

// callInterval returns the interval at which a member that answers is called.
func (ms *Members) callInterval(m *Member) time.Duration {
	if m.Zone == ms.Self.Zone {
		return SameZoneInterval * ms.intervalFactor(m)
	}
	return OtherZoneInterval * ms.intervalFactor(m)
}

// alive reports whether a member was heard recently enough.
func (ms *Members) alive(m *Member, now time.Duration) bool {
	limit, base := otherZoneAliveTime, OtherZoneInterval
	if m.Zone == ms.Self.Zone {
		limit, base = sameZoneAliveTime, SameZoneInterval
	}
	return m.LastHeard > 0 && now-m.LastHeard < limit+ms.callInterval(m)-base
}

// Alive returns the members that are alive, ordered by address.
func (ms *Members) Alive(now time.Duration) []*Member {
	out := make([]*Member, 0, len(ms.ordered))
	for _, m := range ms.ordered {
		if ms.alive(m, now) {
			out = append(out, m)
		}
	}
	return out
}

// HeardCount returns the number of members that have ever been heard, alive or
// not, except for those dropped by Prune.
func (ms *Members) HeardCount() int {
	heard := 0
	for _, m := range ms.ordered {
		if m.LastHeard > 0 {
			heard++
		}
	}
	return heard
}

// OtherZonesLost reports whether gateways in other zones were heard but none of
// them is alive. This zone is then probably partitioned from the others.
func (ms *Members) OtherZonesLost(now time.Duration) bool {
	known := false
	for _, m := range ms.ordered {
		if m.Zone == ms.Self.Zone || m.LastHeard == 0 {
			continue
		}
		known = true
		if ms.alive(m, now) {
			return false
		}
	}
	return known
}

// TakeDue returns up to FanOut members to call now, the longest due first, and
// schedules the next call of each.
func (ms *Members) TakeDue(now time.Duration) []*Member {
	var due []*Member
	for _, m := range ms.ordered {
		if ms.isReporterPair(m) && ms.alive(m, now) {
			m.nextCallAt = min(m.nextCallAt, m.calledAt+OtherZoneInterval)
		}
		if now >= m.nextCallAt {
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b *Member) int { return cmp.Compare(a.nextCallAt, b.nextCallAt) })
	due = due[:min(len(due), FanOut)]
	for _, m := range due {
		m.calledAt = now
		m.nextCallAt = now + ms.nextInterval(m, now)
	}
	return due
}

// CallSoon makes the members that are alive due now, for news that must not wait.
func (ms *Members) CallSoon(now time.Duration) {
	for _, m := range ms.ordered {
		if ms.alive(m, now) {
			m.nextCallAt = min(m.nextCallAt, now)
		}
	}
}

func (ms *Members) nextInterval(m *Member, now time.Duration) time.Duration {
	switch {
	case now-max(m.LastHeard, m.addedAt) > lostAfter:
		return lostInterval
	case !ms.alive(m, now):
		return silentInterval
	}
	return ms.callInterval(m)
}

// Prune drops members, except for seeds, that have been silent for too long.
func (ms *Members) Prune(now time.Duration) {
	ms.ordered = slices.DeleteFunc(ms.ordered, func(m *Member) bool {
		expired := !m.seed && now-max(m.LastHeard, m.addedAt) > forgetAfter
		if expired {
			delete(ms.byAddress, m.Address.Address)
			ms.recount = true
		}
		return expired
	})
}
