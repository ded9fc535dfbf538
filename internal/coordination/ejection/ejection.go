// Package ejection takes upstreams that fail out of service for a time and
// lets them return slowly.
package ejection

import "time"

// Times and limits of ejections.
const (
	// BaseTime is how long the first ejection lasts; each one that follows
	// soon lasts twice as long.
	BaseTime = time.Second
	// MaxTime bounds an ejection.
	MaxTime = 30 * time.Second
	// ForgetAfter is how long without failure an upstream's past counts.
	ForgetAfter = time.Minute
	// maxDoubts is how many attempts in a row may fail by a fault that may be
	// an upstream's or another's, before it counts as the upstream's.
	maxDoubts = 3
	// firstRoom is how many requests a returning upstream gets at first; each
	// success adds as much again.
	firstRoom = 1
)

// record is what is known of an upstream that has failed.
type record struct {
	until    time.Time
	failedAt time.Time
	failures int
	// doubts counts the faults since the last success that may be another's.
	doubts int
	// room bounds the requests in flight on return.
	room int
	// returning says that room counts.
	returning bool
}

// Register holds the failures of upstreams. Its zero value knows none.
type Register struct {
	records map[string]*record
}

// record returns what is known of an upstream that counts still.
func (r *Register) record(upstream string, now time.Time) *record {
	if r.records == nil {
		r.records = make(map[string]*record)
	}
	rec := r.records[upstream]
	if rec == nil || now.Sub(rec.failedAt) > ForgetAfter {
		rec = &record{failedAt: now}
		r.records[upstream] = rec
	}
	return rec
}

// Doubt notes a fault that may be the upstream's or another's.
func (r *Register) Doubt(upstream string, now time.Time) {
	rec := r.record(upstream, now)
	rec.doubts++
	if rec.doubts < maxDoubts {
		return
	}
	rec.doubts = 0
	r.Fail(upstream, now)
}

// Fail ejects an upstream that failed at now.
func (r *Register) Fail(upstream string, now time.Time) {
	rec := r.record(upstream, now)
	if now.Before(rec.until) {
		rec.failedAt = now
		return
	}
	span := BaseTime << min(rec.failures, 10)
	rec.failures++
	rec.failedAt = now
	rec.until = now.Add(min(span, MaxTime))
	rec.returning = true
	rec.room = firstRoom
}

// Hear takes a peer's word that an upstream failed age ago. It says whether
// that was news.
func (r *Register) Hear(upstream string, age time.Duration, now time.Time) bool {
	at := now.Add(-age)
	if age > BaseTime {
		return false
	}
	if rec := r.records[upstream]; rec != nil && rec.failures > 0 && !rec.failedAt.Before(at) {
		return false
	}
	if r.Ejected(upstream, now) {
		return false
	}
	r.Fail(upstream, at)
	return true
}

// Succeed notes that an upstream served a request to its end.
func (r *Register) Succeed(upstream string, slots int) {
	rec := r.records[upstream]
	if rec == nil {
		return
	}
	rec.doubts = 0
	if !rec.returning {
		return
	}
	rec.room *= 2
	if rec.room >= slots {
		rec.returning = false
	}
}

// Ejected says whether an upstream is out of service.
func (r *Register) Ejected(upstream string, now time.Time) bool {
	rec := r.records[upstream]
	return rec != nil && now.Before(rec.until)
}

// Room returns how many requests an upstream may have in flight, out of its
// slots.
func (r *Register) Room(upstream string, slots int, now time.Time) int {
	rec := r.records[upstream]
	switch {
	case rec == nil:
		return slots
	case now.Before(rec.until):
		return 0
	case rec.returning:
		return min(rec.room, slots)
	}
	return slots
}

// Failure is an upstream that failed lately.
type Failure struct {
	Upstream string
	At       time.Time
}

// Recent returns the failures since a time.
func (r *Register) Recent(since time.Time) []Failure {
	var recent []Failure
	for name, rec := range r.records {
		if rec.failures > 0 && rec.failedAt.After(since) {
			recent = append(recent, Failure{name, rec.failedAt})
		}
	}
	return recent
}

// Prune forgets failures of long ago.
func (r *Register) Prune(now time.Time) {
	for name, rec := range r.records {
		if now.Sub(rec.failedAt) > ForgetAfter && now.After(rec.until) {
			delete(r.records, name)
		}
	}
}
