// Package restoration decides what a gateway may conclude from the platform's
// store after the store was restored from a copy.
//
// The copy lacks the changes of the last seconds: keys that were revoked,
// upstreams that drain or are gone. Their owners write them again, but not at
// once. Until then the absence of a change in the store proves nothing, and what
// was known before holds.
//
// Times are durations since boot.
package restoration

import "time"

// Durations after a restoration.
const (
	// RewriteTime is the time within which operators and upstreams write again
	// what was lost.
	RewriteTime = 2 * time.Second
	// abandonTime is the time after which operators have had no reason to write
	// again a configuration that the gateways know.
	abandonTime = 15 * time.Second
	// ReentryTime is the time after which an entry that is still listed belongs to
	// a living upstream: it takes the store three heartbeats to remove the entry
	// of one that is silent, and an upstream that drains has reported so again.
	ReentryTime = 6 * time.Second
)

// Tracker follows the eras of the store. The zero value knows none. It is not
// safe for concurrent use.
type Tracker struct {
	era int64
	// restored is set if an earlier era was known, here or to a peer, and
	// restoredAt is when the present one was first seen.
	restored   bool
	restoredAt time.Duration
}

// Era returns the latest known era; 0 if the store has reported none.
func (t *Tracker) Era() int64 { return t.era }

// Restored reports whether the store is known to have been restored.
func (t *Tracker) Restored() bool { return t.restored }

// Observe records an era that the store reports. It returns true if the store
// was restored since the last call.
func (t *Tracker) Observe(era int64, now time.Duration) bool {
	if era <= t.era {
		return false
	}
	restored := t.era > 0
	t.era = era
	if restored {
		t.restored, t.restoredAt = true, now
	}
	return restored
}

// ObservePeer records an era that a peer knows. age is the time since the peer
// first saw it after an earlier one, or negative if it has seen no earlier one.
// ObservePeer returns true if the store was restored since the last call.
func (t *Tracker) ObservePeer(era int64, age, now time.Duration) bool {
	if era <= 0 || era < t.era {
		return false
	}
	news := t.Observe(era, now)
	if age < 0 {
		return news
	}
	at := max(0, now-age)
	if !t.restored || at < t.restoredAt {
		t.restored, t.restoredAt = true, at
	}
	return news
}

// Age returns the time since the present era was first seen after an earlier
// one, or a negative duration if no earlier one was known.
func (t *Tracker) Age(now time.Duration) time.Duration {
	if !t.restored {
		return -1
	}
	return max(0, now-t.restoredAt)
}

// Reentering reports whether an upstream that was seen draining or removed
// before the restoration may still be listed as if it served.
func (t *Tracker) Reentering(now time.Duration) bool {
	return t.restored && now-t.restoredAt < ReentryTime
}

// Confirms reports whether an answer of the store, to a call made at sent, proves
// that there is no newer configuration than the version held, given the version
// that is stored.
func (t *Tracker) Confirms(stored, held int64, sent time.Duration) bool {
	if !t.restored {
		return true
	}
	wait := RewriteTime
	if stored < held {
		wait = abandonTime
	}
	return sent-t.restoredAt >= wait
}
