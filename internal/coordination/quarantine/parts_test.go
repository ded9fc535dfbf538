package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// attemptTime is how long an attempt runs before it crashes its engine.
const attemptTime = 100 * time.Millisecond

// crashAt returns an attempt that ends at a time.
func crashAt(at time.Time) PartCrash {
	return PartCrash{Attempt: fmt.Sprint(at.UnixNano()), Began: at.Add(-attemptTime), At: at}
}

// newParts returns a tracker under which attempts without parts have got through.
func newParts(now time.Time) *Parts {
	p := &Parts{}
	for range minOtherSuccesses {
		p.Answered(nil, now)
	}
	return p
}

// crashInSeries records a number of crashes, one after the other, under parts, and
// returns the time after the last.
func crashInSeries(p *Parts, count int, at time.Time, parts ...string) time.Time {
	for range count {
		at = at.Add(2 * attemptTime)
		p.Crashed(parts, crashAt(at), at)
	}
	return at
}

// TestPartIsBlamedThatOnlyCrashes covers which of the parts of the prompts of crashed
// attempts is quarantined.
func TestPartIsBlamedThatOnlyCrashes(t *testing.T) {
	for _, x := range []struct {
		name string
		run  func(p *Parts) time.Time
		want bool
	}{
		{"fewer crashes than the limit", func(p *Parts) time.Time { return crashInSeries(p, PartCrashLimit-1, noon, "bad") }, false},
		{"crashes in series", func(p *Parts) time.Time { return crashInSeries(p, PartCrashLimit, noon, "common", "bad") }, true},
		{"a success between", func(p *Parts) time.Time {
			now := crashInSeries(p, PartCrashLimit-1, noon, "bad").Add(time.Millisecond)
			p.Answered([]string{"bad"}, now)
			return crashInSeries(p, PartCrashLimit-1, now, "bad")
		}, false},
		{"crashes at the same time", func(p *Parts) time.Time {
			for i := range 10 {
				c := crashAt(noon.Add(time.Duration(i) * time.Millisecond))
				p.Crashed([]string{"bad"}, c, c.At)
			}
			return noon.Add(time.Second)
		}, false},
		{"one crash reported often", func(p *Parts) time.Time {
			for range 10 {
				p.Crashed([]string{"bad"}, crashAt(noon), noon)
			}
			return noon
		}, false},
		{"an attempt that began before a success", func(p *Parts) time.Time {
			now := crashInSeries(p, PartCrashLimit-1, noon, "bad")
			p.Answered([]string{"bad"}, now.Add(attemptTime))
			p.Crashed([]string{"bad"}, crashAt(now.Add(attemptTime+time.Millisecond)), now.Add(attemptTime+time.Millisecond))
			return now.Add(2 * attemptTime)
		}, false},
		{"all attempts fail", func(p *Parts) time.Time {
			*p = Parts{}
			for i := range 30 {
				p.Crashed([]string{fmt.Sprint("other", i)}, crashAt(noon), noon)
			}
			return crashInSeries(p, PartCrashLimit, noon, "bad")
		}, false},
		{"half of the others fail", func(p *Parts) time.Time {
			for i := range 10 {
				p.Answered([]string{fmt.Sprint("sound", i)}, noon)
				p.Crashed([]string{fmt.Sprint("other", i)}, crashAt(noon), noon)
			}
			return crashInSeries(p, PartCrashLimit, noon, "bad")
		}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := newParts(noon)
			now := x.run(p)
			qt.Check(t, p.Remaining([]string{"bad"}, true, now) > 0, qt.Equals, x.want)
			qt.Check(t, p.Remaining([]string{"unknown"}, true, now) > 0, qt.IsFalse)
		})
	}
}

// TestCommonPartIsCleared guards against quarantining a part that the bad requests share
// with sound ones: the next success of a sound one ends it, here and at peers.
func TestCommonPartIsCleared(t *testing.T) {
	p, peer := newParts(noon), newParts(noon)
	now := crashInSeries(p, PartCrashLimit, noon, "common", "bad")
	exchange(p, peer, now)
	qt.Check(t, peer.Remaining([]string{"common"}, true, now) > 0, qt.IsTrue)
	now = now.Add(time.Millisecond)
	peer.Answered([]string{"common"}, now)
	exchange(peer, p, now)
	for _, parts := range []*Parts{p, peer} {
		qt.Check(t, parts.Remaining([]string{"common"}, true, now) > 0, qt.IsFalse)
		qt.Check(t, parts.Remaining([]string{"common", "bad"}, true, now) > 0, qt.IsTrue)
	}
}

// exchange sends what one process suspects to another.
func exchange(from, to *Parts, now time.Time) {
	for _, s := range from.ForPeers(100, now) {
		to.Merge(s, now)
	}
}

// TestCrashesOfAllProcessesCount checks that crashes seen by different processes add
// up, each once, and that one without traffic learns of the quarantine.
func TestCrashesOfAllProcessesCount(t *testing.T) {
	processes := []*Parts{newParts(noon), newParts(noon), {}}
	now := noon
	for i := range PartCrashLimit {
		now = crashInSeries(processes[i%2], 1, now, "bad")
		for _, from := range processes {
			for _, to := range processes {
				exchange(from, to, now)
			}
		}
	}
	for _, p := range processes {
		qt.Check(t, p.Remaining([]string{"bad"}, true, now) > 0, qt.IsTrue)
		qt.Check(t, p.suspects["bad"].count(), qt.Equals, PartCrashLimit)
	}
}

// TestQuarantinedPartIsTriedAgain checks that a part is quarantined for a bounded time,
// then tried by one request at a time of one process, and for longer after each crash.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	p := newParts(noon)
	bad := []string{"bad"}
	now := crashInSeries(p, PartCrashLimit, noon, bad...)
	for _, length := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute} {
		left := p.Remaining(bad, true, now)
		qt.Check(t, left, qt.Equals, length)
		now = now.Add(left)
		qt.Check(t, p.Remaining(bad, false, now) > 0, qt.IsTrue, qt.Commentf("of another process"))
		qt.Check(t, p.Remaining(bad, true, now) > 0, qt.IsFalse)
		p.Try(bad, now)
		qt.Check(t, p.Remaining(bad, true, now) > 0, qt.IsTrue, qt.Commentf("beside the trial"))
		now = crashInSeries(p, 1, now, bad...)
	}
	now = now.Add(p.Remaining(bad, true, now) + time.Second)
	p.Answered(bad, now)
	qt.Check(t, p.Remaining(bad, false, now) > 0, qt.IsFalse)
	qt.Check(t, p.Remaining(bad, true, now) > 0, qt.IsFalse)
}

// TestSuspectPartsAreBounded checks that what many parts cost is bounded, and that the
// records of parts that crash no more are dropped.
func TestSuspectPartsAreBounded(t *testing.T) {
	p := newParts(noon)
	for i := range 3 * maxParts {
		part := []string{fmt.Sprint("part", i)}
		p.Crashed(part, crashAt(noon), noon)
		p.Answered([]string{fmt.Sprint("sound", i)}, noon)
	}
	qt.Check(t, len(p.suspects) <= maxParts, qt.IsTrue)
	qt.Check(t, len(p.cleared) <= maxParts, qt.IsTrue)
	qt.Check(t, p.ForPeers(16, noon), qt.HasLen, 16)
	qt.Check(t, p.ForPeers(16, noon.Add(Duration+SuspicionTTL)), qt.HasLen, 0)
	qt.Check(t, p.suspects, qt.HasLen, 0)
}
