// Package roster knows the other gateways: where they listen, what they last
// said, and whether they can be taken for alive.
package roster

import (
	"cmp"
	"slices"
	"time"

	"lovageport.example/internal/protocol/peering"
)

// Times of peers.
const (
	// NearInterval is how often peers of the own zone are called, and
	// FarInterval those of others.
	NearInterval = 200 * time.Millisecond
	FarInterval  = 800 * time.Millisecond
	// nearAliveTime and farAliveTime are how long after its last word a peer
	// counts as alive, where there are few.
	nearAliveTime = 1200 * time.Millisecond
	farAliveTime  = 2500 * time.Millisecond
	// silentInterval is how often a peer that does not answer is called, and
	// lostInterval one that has not for lostTime.
	silentInterval = 600 * time.Millisecond
	lostInterval   = 4 * time.Second
	lostTime       = 10 * time.Second
	// forgetTime is how long a silent peer that is no seed is remembered.
	forgetTime = 60 * time.Second
)

// FanOut is how many peers are called in one round.
const FanOut = 12

// fewPeers is how many peers, of the own zone and of others, are called at the
// shortest interval; more are called less often each, so that the calls of one
// gateway do not grow with their number.
const fewPeers = 6

// Member is another gateway.
type Member struct {
	peering.Address
	// News is what the member last said.
	News peering.News
	// HeardAt is the boot time of its last word; 0 for never.
	HeardAt time.Duration

	seed bool
	// dueAt is when it will be called.
	dueAt   time.Duration
	addedAt time.Duration
}

// Roster holds the other gateways by address. Its zero value knows none.
type Roster struct {
	// Self is the own address.
	Self    peering.Address
	members map[string]*Member
	// ordered are the members in the order of their addresses.
	ordered []*Member
	// near and far count the members of the own zone and of others; they are
	// counted anew before use if recount is set.
	near, far int
	recount   bool
}

// Learn takes in gateways that others or the settings name.
func (r *Roster) Learn(addresses []peering.Address, seed bool, now time.Duration) {
	for _, a := range addresses {
		if a.Address == r.Self.Address || a.Address == "" {
			continue
		}
		m := r.member(a.Address, now)
		m.seed = m.seed || seed
		if m.Gateway == "" {
			m.Address = a
			r.recount = true
		}
	}
}

func (r *Roster) member(address string, now time.Duration) *Member {
	if r.members == nil {
		r.members = make(map[string]*Member)
	}
	m := r.members[address]
	if m == nil {
		m = &Member{Address: peering.Address{Address: address}, addedAt: now}
		r.members[address] = m
		at, _ := slices.BinarySearchFunc(r.ordered, address, func(m *Member, address string) int {
			return cmp.Compare(m.Address.Address, address)
		})
		r.ordered = slices.Insert(r.ordered, at, m)
		r.recount = true
	}
	return m
}

// Hear takes in what a gateway says of itself.
func (r *Roster) Hear(n *peering.News, now time.Duration) {
	if n.Address.Address == r.Self.Address {
		return
	}
	m := r.member(n.Address.Address, now)
	r.recount = r.recount || m.Zone != n.Address.Zone
	m.Address = n.Address
	m.News = *n
	m.HeardAt = now
	r.Learn(n.Peers, false, now)
}

// crowding returns by how much the intervals of a member are longer than the
// shortest, for the number of members like it.
func (r *Roster) crowding(m *Member) time.Duration {
	if r.recount {
		r.count()
	}
	like := r.far
	if m.Zone == r.Self.Zone {
		like = r.near
	}
	return time.Duration(max(1, like/fewPeers))
}

func (r *Roster) count() {
	r.near, r.far, r.recount = 0, 0, false
	for _, m := range r.ordered {
		if m.Zone == r.Self.Zone {
			r.near++
		} else {
			r.far++
		}
	}
}

// callInterval returns how often a member that answers is called.
func (r *Roster) callInterval(m *Member) time.Duration {
	if m.Zone == r.Self.Zone {
		return NearInterval * r.crowding(m)
	}
	return FarInterval * r.crowding(m)
}

// alive says whether a member was heard lately.
func (r *Roster) alive(m *Member, now time.Duration) bool {
	limit, base := farAliveTime, FarInterval
	if m.Zone == r.Self.Zone {
		limit, base = nearAliveTime, NearInterval
	}
	return m.HeardAt > 0 && now-m.HeardAt < limit+r.callInterval(m)-base
}

// Alive returns the gateways heard lately, in the order of their addresses.
func (r *Roster) Alive(now time.Duration) []*Member {
	out := make([]*Member, 0, len(r.ordered))
	for _, m := range r.ordered {
		if r.alive(m, now) {
			out = append(out, m)
		}
	}
	return out
}

// Heard returns how many gateways have been heard and are not forgotten yet,
// whether they are alive or not.
func (r *Roster) Heard() int {
	heard := 0
	for _, m := range r.ordered {
		if m.HeardAt > 0 {
			heard++
		}
	}
	return heard
}

// CutOff says whether gateways of other zones were heard, and none of them has
// been lately.
func (r *Roster) CutOff(now time.Duration) bool {
	known := false
	for _, m := range r.ordered {
		if m.Zone == r.Self.Zone || m.HeardAt == 0 {
			continue
		}
		known = true
		if r.alive(m, now) {
			return false
		}
	}
	return known
}

// Due returns the members to call now, those due for longest first, and notes
// them as called.
func (r *Roster) Due(now time.Duration) []*Member {
	var due []*Member
	for _, m := range r.ordered {
		if now >= m.dueAt {
			due = append(due, m)
		}
	}
	slices.SortStableFunc(due, func(a, b *Member) int { return cmp.Compare(a.dueAt, b.dueAt) })
	due = due[:min(len(due), FanOut)]
	for _, m := range due {
		m.dueAt = now + r.interval(m, now)
	}
	return due
}

func (r *Roster) interval(m *Member, now time.Duration) time.Duration {
	switch {
	case now-max(m.HeardAt, m.addedAt) > lostTime:
		return lostInterval
	case !r.alive(m, now):
		return silentInterval
	}
	return r.callInterval(m)
}

// Prune forgets members that have been silent for long.
func (r *Roster) Prune(now time.Duration) {
	r.ordered = slices.DeleteFunc(r.ordered, func(m *Member) bool {
		forgotten := !m.seed && now-max(m.HeardAt, m.addedAt) > forgetTime
		if forgotten {
			delete(r.members, m.Address.Address)
			r.recount = true
		}
		return forgotten
	})
}

// Reads says whether this gateway, which can follow the store or not, is the
// one that asks the store for its zone how things are: the first by address of
// those that can follow it, or else of all.
func (r *Roster) Reads(now time.Duration, follows bool) bool {
	for _, m := range r.Alive(now) {
		if m.Zone != r.Self.Zone {
			continue
		}
		before := m.Address.Address < r.Self.Address
		if m.News.Follows && !follows || m.News.Follows == follows && before {
			return false
		}
	}
	return true
}

// Pauses between two watches, so that changes that come together arrive in one
// answer.
const (
	// readerPause is that of a gateway that reads for its zone.
	readerPause = 150 * time.Millisecond
	// maxWatchPause keeps what the others know younger than MaxListAge, and has
	// a configuration in force well within the users' bound of 2 to 3 s.
	maxWatchPause = 1500 * time.Millisecond
)

// Waits of watches.
const (
	// readerWait is how long a watch waits in a gateway that reads for its
	// zone. Each answer, also an empty one, confirms what is known as of when
	// the watch was sent.
	readerWait = 800 * time.Millisecond
	// manyReaderWait is the same where there are many gateways, which takes the
	// confirmation longer to reach all.
	manyReaderWait = 400 * time.Millisecond
	// otherWait is how long it waits in the others, which hear from the reader
	// that what they know is right.
	otherWait = 8 * time.Second
	// manyGateways is from how many others on there are many.
	manyGateways = 4 * fewPeers
)

// WatchWait returns how long a watch of the store may wait.
func (r *Roster) WatchWait(now time.Duration, follows bool) time.Duration {
	switch {
	case !r.Reads(now, follows):
		return otherWait
	case len(r.ordered) >= manyGateways:
		return manyReaderWait
	}
	return readerWait
}

// WatchPause returns the pause between two watches of the same thing. Those who
// don't read for their zone pause for longer the more they are, so that the
// calls of all for a change do not grow with their number.
func (r *Roster) WatchPause(now time.Duration, follows bool) time.Duration {
	if r.Reads(now, follows) {
		return readerPause
	}
	pause := readerPause * time.Duration(max(1, len(r.ordered)/fewPeers))
	return min(pause, maxWatchPause)
}

// Pauses after calls of the store that have failed.
const (
	// minRetryPause and maxRetryPause bound that of a gateway that reads for its
	// zone.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = time.Second
	// maxOtherRetryPause bounds that of the others, which hear from the reader
	// what the store says. Until they have reached it themselves they take entries
	// that are gone for lapsed, which must end well before users count the store
	// as stable again, 3 to 5 s after its return.
	maxOtherRetryPause = 2500 * time.Millisecond
)

// RetryPause returns the pause after a call of the store that has failed, the
// failures-th in a row. Gateways that don't read for their zone pause for longer
// the more they are, so that the calls of all to a store that is down do not grow
// with their number.
func (r *Roster) RetryPause(failures int, now time.Duration, follows bool) time.Duration {
	longest := maxRetryPause
	if !r.Reads(now, follows) {
		longest = min(maxRetryPause*time.Duration(max(1, len(r.ordered)/fewPeers)), maxOtherRetryPause)
	}
	pause := minRetryPause
	for ; failures > 1 && pause < longest; failures-- {
		pause *= 2
	}
	return min(pause, longest)
}

// MaxListAge is how old a gateway's list of upstreams may be if it is to place
// layers by it.
const MaxListAge = 2500 * time.Millisecond

// Places says whether this gateway, which would say n of itself, is the one
// that places the layers of a zone. The first by address is, of those in the
// zone that follow the list of upstreams, or else of those in the zone that
// have a fresh one from peers, or else of all that follow it, or else of those
// in the zone: a zone that is cut off from the store goes on by itself.
// Gateways that do not hear each other may both take themselves for the one;
// the count of orders that each order depends on keeps their orders apart.
func (r *Roster) Places(zone string, n *peering.News, now time.Duration) bool {
	own := rank(n, zone)
	if own == unfit {
		return false
	}
	for _, m := range r.Alive(now) {
		other := rank(&m.News, zone)
		if other < own || other == own && m.Address.Address < r.Self.Address {
			return false
		}
	}
	return true
}

// Ranks of gateways that might place a zone; the least goes first.
const (
	followsInZone = iota
	freshInZone
	followsElsewhere
	staleInZone
	unfit
)

func rank(n *peering.News, zone string) int {
	fresh := n.ListAge >= 0 && n.ListAge < MaxListAge
	near := n.Zone == zone
	switch {
	case n.Draining || n.ListAge < 0:
		return unfit
	case near && fresh && n.Follows:
		return followsInZone
	case near && fresh:
		return freshInZone
	case fresh && n.Follows:
		return followsElsewhere
	case near:
		return staleInZone
	}
	return unfit
}
