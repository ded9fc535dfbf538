// Package quarantine detects requests that crash the upstreams that run them.
//
// When an upstream crashes, each request in flight there becomes a suspect. The
// next attempt of a suspect runs where no other suspect runs, so that a second
// crash identifies the cause: the request and all copies of it are quarantined,
// that is refused, for [Duration].
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

const (
	// Duration is how long a request is quarantined after its last crash.
	Duration = 10 * time.Minute
	// SuspicionTTL is how long a request is suspected after its last crash.
	SuspicionTTL = 2 * time.Minute
	// DefaultCrashLimit is the number of crashes after which a request is
	// quarantined.
	DefaultCrashLimit = 2
	// ShareTime is how long a suspicion with a single crash is sent to peers,
	// which forward it. All requests in flight on a crashed upstream are suspects;
	// sent for as long as they last, they would dominate the messages.
	ShareTime = 5 * time.Second
	// SameCrashWindow is the time within which two reports of a crash of the same
	// upstream count as one crash.
	SameCrashWindow = 5 * time.Second
)

// Fingerprint returns an identifier of a request's account, pool and content.
// Copies of a request have the same fingerprint.
func Fingerprint(account, pool string, body []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q\n", account, pool)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// Crash is the crash of an upstream.
type Crash struct {
	Upstream string
	At       time.Time
}

// Suspicion lists the crashes during which a request was in flight.
type Suspicion struct {
	Fingerprint string
	Crashes     []Crash

	// learnedAt is when the latest crash became known here.
	learnedAt time.Time
}

// expiry returns when the suspicion or quarantine ends, given the number of
// crashes that leads to quarantine.
func (s *Suspicion) expiry(limit int) time.Time {
	var last time.Time
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	if len(s.Crashes) >= limit {
		return last.Add(Duration)
	}
	return last.Add(SuspicionTTL)
}

// includes reports whether the suspicion already counts a crash.
func (s *Suspicion) includes(c Crash) bool {
	for _, known := range s.Crashes {
		if known.Upstream == c.Upstream && c.At.Sub(known.At).Abs() < SameCrashWindow {
			return true
		}
	}
	return false
}

// Tracker holds suspicions by fingerprint. Its zero value holds none. It is not
// safe for concurrent use.
type Tracker struct {
	// CrashLimit is the number of crashes after which a request is quarantined;
	// DefaultCrashLimit if 0. It must be higher if suspects run together, since
	// a crash then doesn't tell which of them caused it.
	CrashLimit int

	suspicions map[string]Suspicion
}

func (t *Tracker) crashLimit() int {
	if t.CrashLimit > 0 {
		return t.CrashLimit
	}
	return DefaultCrashLimit
}

// Empty reports whether there are no suspicions.
func (t *Tracker) Empty() bool { return len(t.suspicions) == 0 }

// Add records crashes during which a request was in flight, seen here or by a
// peer. It reports whether a crash was new and recent enough to count.
func (t *Tracker) Add(fingerprint string, crashes []Crash, now time.Time) bool {
	s := t.current(fingerprint, now)
	s.Fingerprint = fingerprint
	added := false
	for _, c := range crashes {
		if s.includes(c) {
			continue
		}
		s.Crashes = append(s.Crashes[:len(s.Crashes):len(s.Crashes)], c)
		added = true
	}
	if !added || now.After(s.expiry(t.crashLimit())) {
		return false
	}
	if t.suspicions == nil {
		t.suspicions = make(map[string]Suspicion)
	}
	s.learnedAt = now
	t.suspicions[fingerprint] = s
	return true
}

// current returns the suspicion of a fingerprint, zero if there is none or it has
// expired.
func (t *Tracker) current(fingerprint string, now time.Time) Suspicion {
	s := t.suspicions[fingerprint]
	if now.After(s.expiry(t.crashLimit())) {
		return Suspicion{}
	}
	return s
}

// IsSuspect reports whether a request is suspected and must therefore run apart
// from other suspects.
func (t *Tracker) IsSuspect(fingerprint string, now time.Time) bool {
	return len(t.current(fingerprint, now).Crashes) > 0
}

// Remaining returns the remaining time of a request's quarantine, 0 if it is not
// quarantined.
func (t *Tracker) Remaining(fingerprint string, now time.Time) time.Duration {
	s := t.current(fingerprint, now)
	if len(s.Crashes) < t.crashLimit() {
		return 0
	}
	return s.expiry(t.crashLimit()).Sub(now)
}

// ForPeers returns the suspicions to send to peers, at most limit: those with the
// most crashes first, then the newest.
func (t *Tracker) ForPeers(now time.Time, limit int) []Suspicion {
	shared := slices.DeleteFunc(t.All(now), func(s Suspicion) bool {
		return len(s.Crashes) < 2 && now.Sub(s.learnedAt) >= ShareTime
	})
	slices.SortFunc(shared, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), b.learnedAt.Compare(a.learnedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return shared[:min(len(shared), limit)]
}

// All returns the suspicions that have not expired, in no particular order, and
// drops the others.
func (t *Tracker) All(now time.Time) []Suspicion {
	var all []Suspicion
	for f, s := range t.suspicions {
		if now.After(s.expiry(t.crashLimit())) {
			delete(t.suspicions, f)
			continue
		}
		all = append(all, s)
	}
	return all
}
