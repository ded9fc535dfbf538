// Package ejection ejects failing upstreams from service for a while. On return
// they start with few concurrent requests (slow start).
package ejection

import "time"

const (
	// BaseDuration is the duration of an upstream's first ejection. It doubles
	// with each further one within ForgetAfter, unless no upstream has answered
	// in between.
	BaseDuration = time.Second
	// MaxDuration bounds the duration of an ejection.
	MaxDuration = 30 * time.Second
	// ForgetAfter is the time without failures after which the record of an
	// upstream is dropped.
	ForgetAfter = time.Minute
	// maxUnattributed is the number of consecutive faults of unclear origin after
	// which an upstream counts as failed.
	maxUnattributed = 3
	// initialConcurrency is the number of concurrent requests an upstream may have
	// when it returns. Each success doubles the number.
	initialConcurrency = 1
)

// record is the failure history of an upstream.
type record struct {
	ejectedUntil time.Time
	failedAt     time.Time
	failures     int
	// unattributed counts the faults of unclear origin since the last success.
	unattributed int
	// concurrency bounds the requests in flight during slow start.
	concurrency int
	// slowStart is set from an ejection until concurrency reaches the upstream's
	// slots.
	slowStart bool
}

// Tracker tracks the failures of upstreams by name. Its zero value holds none.
// It is not safe for concurrent use.
type Tracker struct {
	records map[string]*record
	// contacts holds when each upstream last answered here or a probe of it began.
	contacts map[string]time.Time
	// answeredAt is when any upstream last answered here.
	answeredAt time.Time
}

// record returns the record of an upstream. It starts a new one if there is none
// or the last failure is too old.
func (t *Tracker) record(upstream string, now time.Time) *record {
	if t.records == nil {
		t.records = make(map[string]*record)
	}
	rec := t.records[upstream]
	if rec == nil || now.Sub(rec.failedAt) > ForgetAfter {
		rec = &record{failedAt: now}
		t.records[upstream] = rec
	}
	return rec
}

// RecordUnattributed records a fault that this upstream or another one may have
// caused. Several in a row eject the upstream.
func (t *Tracker) RecordUnattributed(upstream string, now time.Time) {
	rec := t.record(upstream, now)
	rec.unattributed++
	if rec.unattributed < maxUnattributed {
		return
	}
	rec.unattributed = 0
	t.RecordFailure(upstream, now)
}

// RecordFailure records a failure of an upstream at now and ejects the upstream
// unless it is ejected already.
func (t *Tracker) RecordFailure(upstream string, now time.Time) {
	rec := t.record(upstream, now)
	if now.Before(rec.ejectedUntil) {
		rec.failedAt = now
		return
	}
	if t.repeated(rec) {
		rec.failures++
	}
	duration := BaseDuration << min(rec.failures-1, 10)
	rec.failedAt = now
	rec.ejectedUntil = now.Add(min(duration, MaxDuration))
	rec.slowStart = true
	rec.concurrency = initialConcurrency
}

// RecordAnswer records that an upstream has answered this process at now.
func (t *Tracker) RecordAnswer(upstream string, now time.Time) {
	t.answeredAt = now
	t.recordContact(upstream, now)
}

// repeated reports whether a further failure of an upstream says more of it than its
// last one did: while nothing has answered since, the links of this process may be at
// fault.
func (t *Tracker) repeated(rec *record) bool {
	return rec.failures == 0 || t.answeredAt.IsZero() || t.answeredAt.After(rec.failedAt)
}

// recordContact records that an upstream answered, or that a probe of it began, at now.
func (t *Tracker) recordContact(upstream string, now time.Time) {
	if t.contacts == nil {
		t.contacts = make(map[string]time.Time)
	}
	t.contacts[upstream] = now
}

// RecordPeerFailure records a peer's report that an upstream failed age ago. It
// reports whether to probe the upstream. The peer may have lost its own link, so that
// its report ejects nothing, and an upstream that has answered or been probed here
// since the failure is not in doubt.
func (t *Tracker) RecordPeerFailure(upstream string, age time.Duration, now time.Time) bool {
	at := now.Add(-age)
	if age > BaseDuration || t.Ejected(upstream, now) {
		return false
	}
	if rec := t.records[upstream]; rec != nil && rec.failures > 0 && !rec.failedAt.Before(at) {
		return false
	}
	if contact, ok := t.contacts[upstream]; ok && !contact.Before(at) {
		return false
	}
	t.recordContact(upstream, now)
	return true
}

// RecordSuccess records that an upstream with the given number of slots has
// completed a request.
func (t *Tracker) RecordSuccess(upstream string, slots int) {
	rec := t.records[upstream]
	if rec == nil {
		return
	}
	rec.unattributed = 0
	if !rec.slowStart {
		return
	}
	rec.concurrency *= 2
	if rec.concurrency >= slots {
		rec.slowStart = false
	}
}

// Ejected reports whether an upstream is ejected.
func (t *Tracker) Ejected(upstream string, now time.Time) bool {
	rec := t.records[upstream]
	return rec != nil && now.Before(rec.ejectedUntil)
}

// ConcurrencyLimit returns how many requests an upstream with the given number of
// slots may have in flight.
func (t *Tracker) ConcurrencyLimit(upstream string, slots int, now time.Time) int {
	rec := t.records[upstream]
	switch {
	case rec == nil:
		return slots
	case now.Before(rec.ejectedUntil):
		return 0
	case rec.slowStart:
		return min(rec.concurrency, slots)
	}
	return slots
}

// Failure is the latest failure of an upstream.
type Failure struct {
	Upstream string
	At       time.Time
}

// RecentFailures returns the failures after since, in no particular order.
func (t *Tracker) RecentFailures(since time.Time) []Failure {
	var recent []Failure
	for name, rec := range t.records {
		if rec.failures > 0 && rec.failedAt.After(since) {
			recent = append(recent, Failure{name, rec.failedAt})
		}
	}
	return recent
}

// Prune drops the records of upstreams whose last failure is too old to count, and
// the answers that are older than any report.
func (t *Tracker) Prune(now time.Time) {
	for name, rec := range t.records {
		if now.Sub(rec.failedAt) > ForgetAfter && now.After(rec.ejectedUntil) {
			delete(t.records, name)
		}
	}
	for name, at := range t.contacts {
		if now.Sub(at) > ForgetAfter {
			delete(t.contacts, name)
		}
	}
}
