package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovageport.example/internal/state/fleet"
)

const (
	// never is later than any boot time.
	never = time.Duration(math.MaxInt64)
	// maxWait is the longest wait that is told from never.
	maxWait = 24 * time.Hour
	// lapseTime is the time after which a limit that no answer and no peer has confirmed
	// lapses: only answers tell that it still holds, and nothing may ask for them.
	lapseTime = 30 * time.Second
)

// entry is a limit with this gateway's part of it.
type entry struct {
	Limit
	zone string
	// changedAt is when what is known last changed, and refreshedAt when it was last sent
	// for another reason.
	changedAt, refreshedAt time.Duration
	bucket                 bucket
	usage                  usage
	// isHolder reports whether this gateway holds a part among a number of holders, if
	// holdsKnown is set.
	isHolder, holdsKnown bool
	holders              int
	// ownLast reports whether the last call was one of the gateway's own.
	ownLast bool
	// rampFrom is when the rate began to rise if the limit is lifted.
	rampFrom time.Duration
}

// Limits holds the limits of upstreams and this gateway's part of each. In its zero value no
// upstream has one. It is not safe for concurrent use.
type Limits struct {
	// Use returns the use of an upstream; nil if nothing is known.
	Use func(instance string) Use
	// Random returns a number in [0, 1), with which gateways spread their first calls
	// under a new limit. If nil, they wait for a whole token.
	Random func() float64

	self    Gateway
	alive   []Gateway
	heard   int
	entries map[string]*entry
}

// Empty reports whether no limit is known.
func (l *Limits) Empty() bool { return len(l.entries) == 0 }

// RecordLimit records that an upstream has stated a rate in an answer that arrives now. It
// reports whether that changes what is known.
func (l *Limits) RecordLimit(u *fleet.Upstream, rate float64, now time.Duration) bool {
	if math.IsNaN(rate) {
		return false
	}
	return l.set(&Limit{Upstream: u.Incarnation(), Rate: min(max(rate, 0), maxRate), At: now}, u.Zone, now)
}

// RecordNoLimit records that an upstream has stated no rate in an answer to a call that began
// at a boot time. An answer that was given before that with a limit is overtaken by it only if
// it had arrived by then. It reports whether that changes what is known.
func (l *Limits) RecordNoLimit(u *fleet.Upstream, began, now time.Duration) bool {
	e := l.entries[u.Instance]
	if e == nil || e.Lifted {
		return false
	}
	return l.set(&Limit{Upstream: u.Incarnation(), Rate: e.Rate, Lifted: true, At: began}, u.Zone, now)
}

// Merge records what a peer knows of an upstream in a zone. It reports whether that changes what
// is known.
func (l *Limits) Merge(known Limit, zone string, now time.Duration) bool {
	known.At = min(known.At, now)
	switch {
	case math.IsNaN(known.Rate), now-known.At > lapseTime:
		return false
	case known.Lifted && (l.entries[known.Upstream.Instance] == nil || now-known.At >= rampTime && l.entries[known.Upstream.Instance].Lifted):
		return false
	}
	known.Rate = min(max(known.Rate, 0), maxRate)
	return l.set(&known, zone, now)
}

// set records a limit that is newer than what is known. It reports whether it says something
// else.
func (l *Limits) set(latest *Limit, zone string, now time.Duration) bool {
	e := l.entries[latest.Upstream.Instance]
	if e != nil && !latest.replaces(&e.Limit) {
		return false
	}
	if e == nil || e.Upstream != latest.Upstream {
		e = &entry{zone: zone, bucket: bucket{filledAt: now}}
		if l.Random != nil {
			e.bucket.tokens = l.Random()
		}
		if l.entries == nil {
			l.entries = make(map[string]*entry)
		}
		l.entries[latest.Upstream.Instance] = e
	}
	l.fill(e, now)
	same := latest.says(&e.Limit)
	if latest.Lifted && !e.Lifted {
		e.rampFrom = latest.At
	}
	e.Limit = *latest
	if !same {
		e.changedAt, e.holdsKnown = now, false
	}
	return !same
}

// Prune drops limits that have lapsed, those that were lifted a while ago, and those of
// upstreams that have been restarted. It must be called every second or so. Lifted limits are
// kept while a peer may still report the limit from before, and those of upstreams whose
// entry has lapsed, which may be created again, until they lapse.
func (l *Limits) Prune(restarted func(fleet.Incarnation) bool, now time.Duration) {
	for instance, e := range l.entries {
		switch {
		case restarted(e.Upstream):
			delete(l.entries, instance)
		case !e.Lifted && now-e.At > lapseTime:
			// The age stays what it is: gateways that have heard of the limit since know
			// better.
			e.Lifted, e.rampFrom = true, now
		case e.Lifted && now-e.At > lapseTime && now-e.rampFrom > rampTime:
			delete(l.entries, instance)
		}
	}
}

// MayCall reports whether this gateway may send a request to an upstream now.
func (l *Limits) MayCall(instance string, now time.Duration) bool {
	e := l.entries[instance]
	if e == nil {
		return true
	}
	return !l.fill(e, now) || e.bucket.tokens >= 1
}

// Take counts a request that is sent to an upstream.
func (l *Limits) Take(instance string, now time.Duration) {
	if e := l.entries[instance]; e != nil && l.fill(e, now) {
		e.bucket.tokens--
		e.ownLast = false
	}
}

// Return takes back a request that was counted and not sent.
func (l *Limits) Return(instance string, now time.Duration) {
	if e := l.entries[instance]; e != nil && l.fill(e, now) {
		e.bucket.tokens++
	}
}

// TakeOwn counts a call of the gateway's own, such as a probe or an order, and reports whether
// it may be sent. A gateway that holds no part sends none. One that does may overdraw it for
// such a call if the last call was a request.
func (l *Limits) TakeOwn(instance string, now time.Duration) bool {
	e := l.entries[instance]
	if e == nil || !l.fill(e, now) {
		return true
	}
	need := 1 - ownDebt
	if e.ownLast {
		need = ownAfterOwn
	}
	if !e.isHolder || e.bucket.tokens < need {
		return false
	}
	e.bucket.tokens--
	e.ownLast = true
	return true
}

// NextAt returns the boot time from which this gateway may send a request to an upstream.
func (l *Limits) NextAt(instance string, now time.Duration) time.Duration {
	e := l.entries[instance]
	if e == nil || !l.fill(e, now) {
		return now
	}
	rate, _ := l.partOf(e, now)
	return e.bucket.nextAt(1, rate, now)
}

// Part returns the limit of an upstream and this gateway's part of it, in requests per second.
// The bool is false if there is none.
func (l *Limits) Part(instance string, now time.Duration) (limit Limit, own float64, ok bool) {
	e := l.entries[instance]
	if e == nil {
		return Limit{}, 0, false
	}
	own, ok = l.partOf(e, now)
	return e.Limit, own, ok
}

// fill adds to the bucket of an entry. It reports whether there is a limit now.
func (l *Limits) fill(e *entry, now time.Duration) bool {
	rate, limited := l.partOf(e, now)
	if limited {
		e.bucket.fill(rate, now)
	}
	return limited
}

// partOf returns this gateway's part of a limit, in requests per second. The bool is false if
// there is no limit now.
func (l *Limits) partOf(e *entry, now time.Duration) (float64, bool) {
	rate, limited := e.rateAt(now)
	if !limited {
		return 0, false
	}
	rate *= l.aliveShare()
	holders := holderCount(rate, max(1, len(l.alive)))
	if !e.holdsKnown || e.holders != holders {
		e.isHolder = holds(l.self, l.alive, e.Upstream.Instance, e.zone, holders)
		e.holders, e.holdsKnown = holders, true
	}
	if !e.isHolder {
		return 0, true
	}
	if l.Use != nil {
		e.usage.record(l.Use(e.Upstream.Instance), now)
	}
	return part(rate, e.usage.cautious(), holders), true
}

const (
	// newsTime is for how long a change is sent to peers.
	newsTime = 4 * time.Second
	// maxRefreshed is how many limits that have not changed are sent in one message, so that a
	// peer that has missed a change learns of it.
	maxRefreshed = 4
)

// News returns the limits to send to a peer, at most most: those that have changed, and some
// of the others in turn. If all is set, none is left out for not having changed.
func (l *Limits) News(most int, all bool, now time.Duration) []Limit {
	if len(l.entries) == 0 {
		return nil
	}
	entries := make([]*entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	recent := func(e *entry) bool { return all || now-e.changedAt < newsTime }
	slices.SortFunc(entries, func(a, b *entry) int {
		if x, y := recent(a), recent(b); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.refreshedAt, b.refreshedAt), cmp.Compare(a.Upstream.Instance, b.Upstream.Instance))
	})
	var out []Limit
	refreshed := 0
	for _, e := range entries {
		if len(out) == most {
			break
		}
		if !recent(e) {
			if refreshed == maxRefreshed {
				break
			}
			refreshed++
		}
		e.refreshedAt = now
		out = append(out, e.Limit)
	}
	return out
}
