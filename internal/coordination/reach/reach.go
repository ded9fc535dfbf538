package reach

import (
	"slices"
	"time"
)

const (
	// recheckInterval is the interval at which a direct connection to an upstream that
	// is called through peers is tried.
	recheckInterval = 400 * time.Millisecond
	// checkInterval is the shortest interval between two checks of the path to an
	// upstream that does not answer.
	checkInterval = 400 * time.Millisecond
	// suspicionWindow is the time within which the paths to minLostPaths upstreams must
	// fail for the gateway's own link to be suspected, and for which it is then.
	suspicionWindow = time.Second
	minLostPaths    = 2
)

// path is what is known of the path to one upstream.
type path struct {
	// relayed is set while the upstream is called through peers, since the time since.
	relayed bool
	since   time.Duration
	// nextCheckAt is when the path may be checked again: that of a relayed upstream is
	// then due.
	nextCheckAt time.Duration
}

// Tracker tracks the paths to upstreams by address. In its zero value all are called
// directly. It is not safe for concurrent use.
type Tracker struct {
	paths map[string]*path
	// lostAt holds when paths were lost, within suspicionWindow and oldest first.
	lostAt []time.Duration
}

func (t *Tracker) path(address string) *path {
	if t.paths == nil {
		t.paths = make(map[string]*path)
	}
	p := t.paths[address]
	if p == nil {
		p = &path{}
		t.paths[address] = p
	}
	return p
}

// RecordRelayed records that a connection to an upstream opened through a peer and not
// directly. It reports whether the upstream was called directly until now.
func (t *Tracker) RecordRelayed(address string, now time.Duration) bool {
	p := t.path(address)
	if p.relayed {
		return false
	}
	p.relayed, p.since, p.nextCheckAt = true, now, now+recheckInterval
	t.expire(now)
	t.lostAt = append(t.lostAt, now)
	return true
}

// RecordDirect records that a direct connection to an upstream opened. It reports
// whether the upstream was called through peers until now.
func (t *Tracker) RecordDirect(address string) bool {
	p := t.paths[address]
	if p == nil || !p.relayed {
		return false
	}
	delete(t.paths, address)
	return true
}

// OwnLinkSuspected reports whether the gateway's own link is probably at fault: the paths
// to several upstreams were lost just now.
func (t *Tracker) OwnLinkSuspected(now time.Duration) bool {
	t.expire(now)
	return len(t.lostAt) >= minLostPaths
}

func (t *Tracker) expire(now time.Duration) {
	t.lostAt = slices.DeleteFunc(t.lostAt, func(at time.Duration) bool { return now-at >= suspicionWindow })
}

// BeginCheck reports whether the path to an upstream that does not answer may be checked
// now, and if so counts the check as begun. Upstreams that are called through peers are
// left to DueChecks.
func (t *Tracker) BeginCheck(address string, now time.Duration) bool {
	p := t.path(address)
	if p.relayed || now < p.nextCheckAt {
		return false
	}
	p.nextCheckAt = now + checkInterval
	return true
}

// DueChecks returns, in order, the upstreams that are called through peers and whose
// direct path is to be tried now, and schedules the next try of each.
func (t *Tracker) DueChecks(now time.Duration) []string {
	var due []string
	for address, p := range t.paths {
		if p.relayed && now >= p.nextCheckAt {
			p.nextCheckAt = now + recheckInterval
			due = append(due, address)
		}
	}
	slices.Sort(due)
	return due
}

// Relayed returns since when the upstreams are called through peers that are, by address.
func (t *Tracker) Relayed() map[string]time.Duration {
	out := make(map[string]time.Duration)
	for address, p := range t.paths {
		if p.relayed {
			out[address] = p.since
		}
	}
	return out
}

// Unreached returns the number of upstreams that are called through peers.
func (t *Tracker) Unreached() int {
	n := 0
	for _, p := range t.paths {
		if p.relayed {
			n++
		}
	}
	return n
}

// Empty reports whether nothing is known of any path.
func (t *Tracker) Empty() bool { return len(t.paths) == 0 }

// Retain drops the state of all upstreams for which live returns false.
func (t *Tracker) Retain(live func(address string) bool) {
	for address := range t.paths {
		if !live(address) {
			delete(t.paths, address)
		}
	}
}
