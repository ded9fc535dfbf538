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
		if now >= m.nextCallAt {
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b *Member) int { return cmp.Compare(a.nextCallAt, b.nextCallAt) })
	due = due[:min(len(due), FanOut)]
	for _, m := range due {
		m.nextCallAt = now + ms.nextInterval(m, now)
	}
	return due
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

// IsZoneReader reports whether this gateway reads the store on behalf of its
// zone: it is the first by address of the live gateways in the zone that follow
// the store, or of all if none does. follows tells whether this gateway follows
// the store.
func (ms *Members) IsZoneReader(now time.Duration, follows bool) bool {
	for _, m := range ms.Alive(now) {
		if m.Zone != ms.Self.Zone {
			continue
		}
		before := m.Address.Address < ms.Self.Address
		if m.News.Follows && !follows || m.News.Follows == follows && before {
			return false
		}
	}
	return true
}

// Pauses between two watches of the store. They let changes made in quick
// succession arrive in one answer.
const (
	// readerWatchPause is the pause of the zone reader.
	readerWatchPause = 150 * time.Millisecond
	// maxWatchPause bounds the pause of the other gateways. It keeps their list
	// of upstreams younger than MaxListAge and puts configurations in force well
	// within the 2 to 3 s that users allow.
	maxWatchPause = 1500 * time.Millisecond
)

// Maximum durations of a watch of the store.
const (
	// readerWatchWait is the duration for the zone reader. Each answer, even an
	// empty one, confirms the known state as of the time the watch was sent.
	readerWatchWait = 800 * time.Millisecond
	// largeReaderWatchWait is the duration for the zone reader if there are at
	// least manyGateways others: a confirmation then takes longer to reach all.
	largeReaderWatchWait = 400 * time.Millisecond
	// otherWatchWait is the duration for the other gateways, to which the zone
	// reader confirms the state.
	otherWatchWait = 8 * time.Second
	// manyGateways is the number of other gateways from which on
	// largeReaderWatchWait applies.
	manyGateways = 4 * fullRatePeers
)

// WatchWait returns how long a watch of the store may wait for changes. follows
// tells whether this gateway follows the store.
func (ms *Members) WatchWait(now time.Duration, follows bool) time.Duration {
	switch {
	case !ms.IsZoneReader(now, follows):
		return otherWatchWait
	case len(ms.ordered) >= manyGateways:
		return largeReaderWatchWait
	}
	return readerWatchWait
}

// WatchPause returns the pause between two watches of the same state. For
// gateways that aren't zone readers the pause grows with the number of gateways,
// so that the store calls caused by a change do not. follows tells whether this
// gateway follows the store.
func (ms *Members) WatchPause(now time.Duration, follows bool) time.Duration {
	if ms.IsZoneReader(now, follows) {
		return readerWatchPause
	}
	pause := readerWatchPause * time.Duration(max(1, len(ms.ordered)/fullRatePeers))
	return min(pause, maxWatchPause)
}

// Pauses after failed calls to the store.
const (
	// minRetryPause and maxRetryPause bound the pause of the zone reader.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = time.Second
	// maxOtherRetryPause bounds the pause of the other gateways, which get the
	// state of the store from the zone reader. Until they have reached the store
	// themselves they treat missing entries as lapsed. That must end well before
	// users consider the store stable again, 3 to 5 s after its return.
	maxOtherRetryPause = 2500 * time.Millisecond
)

// RetryPause returns the pause after the given number of consecutive failed calls
// to the store. It doubles with each failure, up to a bound. For gateways that
// aren't zone readers the bound grows with the number of gateways, so that the
// load on a store that is down does not. follows tells whether this gateway
// follows the store.
func (ms *Members) RetryPause(failures int, now time.Duration, follows bool) time.Duration {
	longest := maxRetryPause
	if !ms.IsZoneReader(now, follows) {
		longest = min(maxRetryPause*time.Duration(max(1, len(ms.ordered)/fullRatePeers)), maxOtherRetryPause)
	}
	pause := minRetryPause
	for ; failures > 1 && pause < longest; failures-- {
		pause *= 2
	}
	return min(pause, longest)
}

// MaxListAge is the age up to which a gateway's list of upstreams counts as fresh
// when gateways are ranked for placing layers.
const MaxListAge = 2500 * time.Millisecond

// IsPlacementLeader reports whether this gateway places the layers of a zone. n
// is the state that this gateway reports of itself.
//
// The leader is the first gateway by address among the live ones of the best
// rank: those in the zone that follow the list of upstreams in the store, then
// those in the zone with a fresh list from peers, then those elsewhere that
// follow the list, and last the others in the zone. Thus a zone that is
// partitioned from the store continues on its own. Gateways that don't hear each
// other may both be leaders; their orders can't conflict since each order is
// conditional on the number of orders before it.
func (ms *Members) IsPlacementLeader(zone string, n *peering.News, now time.Duration) bool {
	own := rank(n, zone)
	if own == ineligible {
		return false
	}
	for _, m := range ms.Alive(now) {
		other := rank(&m.News, zone)
		if other < own || other == own && m.Address.Address < ms.Self.Address {
			return false
		}
	}
	return true
}

// Ranks of gateways as placement leaders of a zone. The lowest is preferred.
const (
	followsInZone = iota
	freshInZone
	followsElsewhere
	staleInZone
	ineligible
)

// rank returns the rank of the gateway that has sent n as placement leader of a
// zone.
func rank(n *peering.News, zone string) int {
	fresh := n.ListAge >= 0 && n.ListAge < MaxListAge
	inZone := n.Zone == zone
	switch {
	case n.Draining || n.ListAge < 0:
		return ineligible
	case inZone && fresh && n.Follows:
		return followsInZone
	case inZone && fresh:
		return freshInZone
	case fresh && n.Follows:
		return followsElsewhere
	case inZone:
		return staleInZone
	}
	return ineligible
}
