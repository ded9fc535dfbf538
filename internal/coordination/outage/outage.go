package outage

import "time"

// MaxSilence is the longest time without an answer of the store in which it is not taken
// to be away. Each zone has a reader whose calls are answered about once a second, and
// which tells its peers.
const MaxSilence = 2200 * time.Millisecond

// Tracker dates outages. In its zero value there was none. It is not safe for concurrent
// use.
type Tracker struct {
	// failing is set from the first failed call until the next answer to this gateway.
	failing bool
	// suspected is set from the first failed call, which ended at suspectedAt, until the
	// store has answered anybody.
	suspected   bool
	suspectedAt time.Duration
	// answeredAt is when this gateway last learned of an answer.
	answeredAt time.Duration
	// endedAt is when the last outage ended; 0 if there was none.
	endedAt time.Duration
}

// RecordFailure records that a call of this gateway has failed.
func (t *Tracker) RecordFailure(now time.Duration) {
	if t.failing {
		return
	}
	t.failing, t.suspected, t.suspectedAt = true, true, now
}

// RecordAnswer records that the store has answered a call of this gateway.
func (t *Tracker) RecordAnswer(now time.Duration) {
	t.recordContact(now)
	t.failing = false
}

// RecordPeerAnswer records that a peer has told of an answer of the store to a call that
// was sent at the boot time sent.
func (t *Tracker) RecordPeerAnswer(sent, now time.Duration) {
	if t.suspected && sent <= t.suspectedAt {
		return
	}
	t.recordContact(now)
}

// recordContact records an answer of the store, which ends an outage. While calls of
// this gateway fail, one that only peers have seen shows by the time without an answer.
func (t *Tracker) recordContact(now time.Duration) {
	if t.suspected || t.failing && now-t.answeredAt > MaxSilence {
		t.endedAt = now
	}
	t.suspected = false
	t.answeredAt = now
}

// RecordRestoration records that the store was restored from a copy, which lacks entries
// as after an outage.
func (t *Tracker) RecordRestoration(now time.Duration) { t.endedAt = now }

// Ended returns when the last outage ended, and whether there was one.
func (t *Tracker) Ended() (time.Duration, bool) { return t.endedAt, t.endedAt > 0 }

// Silent reports whether nobody has told of an answer of the store for so long that it
// may have been away.
func (t *Tracker) Silent(now time.Duration) bool { return now-t.answeredAt > MaxSilence }
