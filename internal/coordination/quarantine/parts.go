package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PartCrashLimit is the number of crashes, one after the other and without a
	// success between, after which a part of a prompt is quarantined.
	PartCrashLimit = 3
	// firstPartQuarantine is how long a part is quarantined after the crash that
	// reaches the limit. The time doubles with each further crash, up to Duration.
	firstPartQuarantine = time.Minute
	// trialTimeout is how long after a trial of a part the next one may be made if
	// the result of the first is not known.
	trialTimeout = 30 * time.Second
	// maxPartCrashes bounds the crashes that are kept for a part.
	maxPartCrashes = 8
	// maxParts bounds the parts for which crashes, and successes, are kept.
	maxParts = 4096
	// outcomeWindow is the time over which attempts count in the failure rate.
	outcomeWindow = 10 * time.Second
	// maxOtherFailures is the share of failures among the attempts without a part
	// up to which crashes are blamed on the part.
	maxOtherFailures = 0.25
	// minOtherSuccesses is the least number of attempts without a part that must
	// have got through meanwhile.
	minOtherSuccesses = 3
)

// PartCrash is an attempt that ended, with the engine that ran it, before it had
// answered anything.
type PartCrash struct {
	// Attempt identifies the attempt among those of all processes.
	Attempt string
	// Began and At are when the attempt was sent and when it ended.
	Began, At time.Time
}

// SuspectPart is what is known of a part of prompts that may crash engines.
type SuspectPart struct {
	Part string
	// Crashes are those since the part's last success, in the order of their end.
	Crashes []PartCrash
	// ClearedAt is the last success of an attempt with the part; zero if none is
	// known.
	ClearedAt time.Time
	// Blamed reports whether attempts without the part have got through where its
	// crashes were seen.
	Blamed bool

	// trialAt is when the last attempt was allowed during the quarantine.
	trialAt time.Time
	// learnedAt is when the record last changed.
	learnedAt time.Time
}

// count returns the number of crashes that followed each other: attempts that ran at the
// same time may have ended for one cause that is not the part.
func (s *SuspectPart) count() int {
	n := 0
	var last time.Time
	for _, c := range s.Crashes {
		if n == 0 || !c.Began.Before(last) {
			n++
			last = c.At
		}
	}
	return n
}

// quarantineEnd returns when the quarantine ends; the zero time if there is none.
func (s *SuspectPart) quarantineEnd() time.Time {
	n := s.count()
	if n < PartCrashLimit || !s.Blamed {
		return time.Time{}
	}
	d := firstPartQuarantine
	for range n - PartCrashLimit {
		d = min(2*d, Duration)
	}
	return s.Crashes[len(s.Crashes)-1].At.Add(d)
}

// expired reports whether the record no longer matters.
func (s *SuspectPart) expired(now time.Time) bool {
	if len(s.Crashes) == 0 {
		return now.Sub(s.learnedAt) >= ShareTime
	}
	last := s.Crashes[len(s.Crashes)-1].At
	if s.quarantineEnd().IsZero() {
		return now.Sub(last) >= SuspicionTTL
	}
	return now.Sub(last) >= Duration+SuspicionTTL
}

// Parts detects parts of prompts that crash the engines that answer them, whatever else
// the prompts hold. An attempt that ends without an answer counts against all parts
// that its prompt shares with others; one that is answered clears them. A part under which
// attempts have ended one after the other, while attempts without it got through, is
// quarantined. The zero value holds nothing. Parts is not safe for concurrent use.
type Parts struct {
	suspects map[string]*SuspectPart
	// cleared holds the time of the last success, by part.
	cleared map[string]time.Time
	// outcomes counts the attempts in the seconds of the outcome window.
	outcomes [int(outcomeWindow / time.Second)]outcomes
}

// outcomes counts the attempts that ended in a second.
type outcomes struct {
	second           int64
	answered, failed int
}

// record counts the outcome of an attempt.
func (p *Parts) record(answered bool, now time.Time) {
	second := now.Unix()
	o := &p.outcomes[second%int64(len(p.outcomes))]
	if o.second != second {
		*o = outcomes{second: second}
	}
	if answered {
		o.answered++
	} else {
		o.failed++
	}
}

// othersGetThrough reports whether attempts without a part have been answered lately,
// given how often the part has failed.
func (p *Parts) othersGetThrough(failures int, now time.Time) bool {
	answered, failed := 0, -failures
	for _, o := range p.outcomes {
		if now.Unix()-o.second < int64(len(p.outcomes)) {
			answered += o.answered
			failed += o.failed
		}
	}
	failed = max(0, failed)
	return answered >= minOtherSuccesses && float64(failed) <= maxOtherFailures*float64(answered+failed)
}

// Answered records that an attempt whose prompt has the given parts was answered.
func (p *Parts) Answered(parts []string, now time.Time) {
	p.record(true, now)
	for _, part := range parts {
		p.clear(part, now, now)
	}
}

// clear records a success of a part at a time. Earlier crashes no longer count.
func (p *Parts) clear(part string, at, now time.Time) {
	if p.cleared == nil {
		p.cleared = make(map[string]time.Time)
	}
	if !at.After(p.cleared[part]) {
		return
	}
	if len(p.cleared) >= maxParts {
		clear(p.cleared)
	}
	p.cleared[part] = at
	if s := p.suspects[part]; s != nil && (at.After(s.ClearedAt) || len(s.Crashes) > 0) {
		before := len(s.Crashes)
		s.ClearedAt = at
		s.Crashes = slices.DeleteFunc(s.Crashes, func(c PartCrash) bool { return c.Began.Before(at) })
		if len(s.Crashes) < before {
			s.Blamed, s.learnedAt = false, now
		}
	}
}

// Crashed records an attempt, whose prompt has the given parts, that ended before it had
// answered. It reports whether a part is suspected anew or more than before.
func (p *Parts) Crashed(parts []string, c PartCrash, now time.Time) bool {
	p.record(false, now)
	more := false
	for _, part := range parts {
		more = p.add(part, c, now) || more
	}
	return more
}

// add adds a crash to a part and reports whether that counts more than before.
func (p *Parts) add(part string, c PartCrash, now time.Time) bool {
	if c.Began.Before(p.cleared[part]) || now.Sub(c.At) >= Duration+SuspicionTTL {
		return false
	}
	s := p.suspects[part]
	if s == nil {
		if p.suspects == nil {
			p.suspects = make(map[string]*SuspectPart)
		}
		if len(p.suspects) >= maxParts {
			return false
		}
		s = &SuspectPart{Part: part, ClearedAt: p.cleared[part]}
		p.suspects[part] = s
	}
	if slices.ContainsFunc(s.Crashes, func(known PartCrash) bool { return known.Attempt == c.Attempt }) {
		return false
	}
	before := s.count()
	i, _ := slices.BinarySearchFunc(s.Crashes, c, func(a, b PartCrash) int { return a.At.Compare(b.At) })
	s.Crashes = slices.Insert(s.Crashes, i, c)
	if len(s.Crashes) > maxPartCrashes {
		s.Crashes = slices.Delete(s.Crashes, 0, 1)
	}
	s.learnedAt = now
	s.Blamed = s.Blamed || p.othersGetThrough(len(s.Crashes), now)
	return s.count() > before
}

// Remaining returns how long a request whose prompt has the given parts is to be refused; 0
// if it may be sent. At the end of a quarantine one request is let through at a time. That is
// up to the process for which trials is true; the others wait for its result, or
// for Duration longer.
func (p *Parts) Remaining(parts []string, trials bool, now time.Time) time.Duration {
	var longest time.Duration
	for _, part := range parts {
		s := p.suspects[part]
		if s == nil {
			continue
		}
		end := s.quarantineEnd()
		if end.IsZero() {
			continue
		}
		if !trials {
			end = end.Add(Duration)
		}
		if next := s.trialAt.Add(trialTimeout); next.After(end) {
			end = next
		}
		longest = max(longest, end.Sub(now))
	}
	return longest
}

// Try records that a request whose prompt has the given parts is sent. If one of them is
// quarantined, it is the trial.
func (p *Parts) Try(parts []string, now time.Time) {
	for _, part := range parts {
		if s := p.suspects[part]; s != nil && !s.quarantineEnd().IsZero() {
			s.trialAt = now
		}
	}
}

// ForPeers returns at most limit of the records, those with the most crashes first, then
// those that changed last. It drops expired ones.
func (p *Parts) ForPeers(limit int, now time.Time) []SuspectPart {
	var out []SuspectPart
	for part, s := range p.suspects {
		if s.expired(now) {
			delete(p.suspects, part)
			continue
		}
		if s.count() >= 2 || now.Sub(s.learnedAt) < ShareTime {
			out = append(out, *s)
		}
	}
	slices.SortFunc(out, func(a, b SuspectPart) int {
		return cmp.Or(cmp.Compare(b.count(), a.count()), b.learnedAt.Compare(a.learnedAt), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(limit, len(out))]
}

// Merge merges a record of a peer. It reports whether the part is suspected more than
// before.
func (p *Parts) Merge(from SuspectPart, now time.Time) bool {
	if !from.ClearedAt.IsZero() && p.suspects[from.Part] != nil {
		p.clear(from.Part, from.ClearedAt, now)
	}
	more := false
	for _, c := range from.Crashes {
		more = p.add(from.Part, c, now) || more
	}
	if s := p.suspects[from.Part]; s != nil && from.Blamed && len(s.Crashes) > 0 && !s.Blamed {
		s.Blamed, s.learnedAt = true, now
		more = true
	}
	return more
}
