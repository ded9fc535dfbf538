// Package quarantine finds requests that crash the upstreams that run them.
//
// When an upstream crashes, each request in flight there is a suspect. A
// suspect's next try runs where no other suspect runs, so that a second crash
// names the culprit: it and every copy of it are refused for [Time].
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// Times and limits of quarantines.
const (
	// Time is how long a culprit is refused.
	Time = 10 * time.Minute
	// SuspectTime is how long a suspicion lasts.
	SuspectTime = 2 * time.Minute
	// DefaultLimit is the count of crashes that makes a suspect a culprit.
	DefaultLimit = 2
	// TellTime is how long a suspicion by one crash is told to peers, who tell
	// it on. All requests in flight at an upstream are suspects: told for as
	// long as they last, they would be most of what is told.
	TellTime = 5 * time.Second
	// SameCrash is the time within which two reports of an upstream's crash
	// mean the same one.
	SameCrash = 5 * time.Second
)

// Fingerprint names a request of a client account by its content, so that a
// copy sent again has the same one.
func Fingerprint(account, pool string, body []byte) string {
	sum := sha256.New()
	fmt.Fprintf(sum, "%q %q\n", account, pool)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// Crash is the loss of an upstream.
type Crash struct {
	Upstream string
	At       time.Time
}

// Suspicion lists the crashes with a request in flight.
type Suspicion struct {
	Fingerprint string
	Crashes     []Crash

	// newsAt is when the last crash became known.
	newsAt time.Time
}

// until returns when the suspicion ends.
func (s *Suspicion) until(limit int) time.Time {
	var last time.Time
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	if len(s.Crashes) >= limit {
		return last.Add(Time)
	}
	return last.Add(SuspectTime)
}

// has says whether the suspicion counts a crash already.
func (s *Suspicion) has(c Crash) bool {
	for _, known := range s.Crashes {
		if known.Upstream == c.Upstream && c.At.Sub(known.At).Abs() < SameCrash {
			return true
		}
	}
	return false
}

// Register holds suspicions. Its zero value holds none.
type Register struct {
	// Limit is the count of crashes that makes a suspect a culprit;
	// DefaultLimit if 0. Where suspects are not kept apart it must be higher.
	Limit int

	suspicions map[string]Suspicion
}

func (r *Register) limit() int {
	if r.Limit > 0 {
		return r.Limit
	}
	return DefaultLimit
}

// Empty says whether there are no suspicions.
func (r *Register) Empty() bool { return len(r.suspicions) == 0 }

// Add notes crashes with a request in flight, from here or from a peer. It
// says whether one of them was news.
func (r *Register) Add(fingerprint string, crashes []Crash, now time.Time) bool {
	s := r.current(fingerprint, now)
	s.Fingerprint = fingerprint
	news := false
	for _, c := range crashes {
		if s.has(c) {
			continue
		}
		s.Crashes = append(s.Crashes[:len(s.Crashes):len(s.Crashes)], c)
		news = true
	}
	if !news || now.After(s.until(r.limit())) {
		return false
	}
	if r.suspicions == nil {
		r.suspicions = make(map[string]Suspicion)
	}
	s.newsAt = now
	r.suspicions[fingerprint] = s
	return true
}

// current returns the suspicion of a fingerprint that still lasts.
func (r *Register) current(fingerprint string, now time.Time) Suspicion {
	s := r.suspicions[fingerprint]
	if now.After(s.until(r.limit())) {
		return Suspicion{}
	}
	return s
}

// Suspect says whether a request must run apart from other suspects.
func (r *Register) Suspect(fingerprint string, now time.Time) bool {
	return len(r.current(fingerprint, now).Crashes) > 0
}

// Quarantined returns how long a request is refused; 0 if it is not.
func (r *Register) Quarantined(fingerprint string, now time.Time) time.Duration {
	s := r.current(fingerprint, now)
	if len(s.Crashes) < r.limit() {
		return 0
	}
	return s.until(r.limit()).Sub(now)
}

// Told returns the suspicions to tell peers, at most so many: those by most
// crashes first, then the newest.
func (r *Register) Told(now time.Time, most int) []Suspicion {
	told := slices.DeleteFunc(r.All(now), func(s Suspicion) bool {
		return len(s.Crashes) < 2 && now.Sub(s.newsAt) >= TellTime
	})
	slices.SortFunc(told, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), b.newsAt.Compare(a.newsAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return told[:min(len(told), most)]
}

// All returns the suspicions that last.
func (r *Register) All(now time.Time) []Suspicion {
	var all []Suspicion
	for f, s := range r.suspicions {
		if now.After(s.until(r.limit())) {
			delete(r.suspicions, f)
			continue
		}
		all = append(all, s)
	}
	return all
}
