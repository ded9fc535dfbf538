package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/standin/network"
	"lovageport.example/pkg/verdict"
)

// reachSpan is how long callers send before, during and after a cut. The race detector
// makes that several times as much work.
var reachSpan = map[bool]time.Duration{false: 6 * time.Second, true: 3 * time.Second}[raceEnabled]

const (
	// reachSettle is how long after the end of a cut the entries may take to serve as
	// before it.
	reachSettle = time.Second
	// reachInterval is the time between two calls, between two bookings and between
	// two streams of the callers of an entry.
	reachInterval = 100 * time.Millisecond
	// reachTimeout is how long a caller waits.
	reachTimeout = "2s"
	// reachTokens is the length of a stream.
	reachTokens = 20
	// reachShare is the share of what was served before a cut that entries whose own
	// links are whole must serve during it.
	reachShare = 0.9
	// sharedPrompts is how many streams use the same prompt as others, one of this
	// many.
	sharedPrompts = 2
)

// reachCuts are the ways in which an entry loses its links to an upstream.
var reachCuts = []struct {
	name string
	cut  func(n *network.Network, entry, upstream string)
}{
	{"hang", func(n *network.Network, entry, upstream string) { n.Partition(entry, upstream) }},
	{"reset", func(n *network.Network, entry, upstream string) { n.Refuse(entry, upstream) }},
}

// cutOff cuts an entry from all upstreams. Callers, peers and the platform reach it.
func (f *fleet) cutOff(entry string, cut func(n *network.Network, entry, upstream string)) {
	f.cutOffInTurn(entry, cut, 0)
}

// cutOffInTurn is like cutOff, with a pause after each link.
func (f *fleet) cutOffInTurn(entry string, cut func(n *network.Network, entry, upstream string), pause time.Duration) {
	for _, u := range f.set.Upstreams {
		cut(f.net, entry, u.Name)
		time.Sleep(pause)
	}
}

// served counts the requests of one entry and those that were answered whole.
type served struct {
	calls, bookings, streams, sent, quarantined int
}

func (s *served) add(o served) {
	s.calls += o.calls
	s.bookings += o.bookings
	s.streams += o.streams
	s.sent += o.sent
	s.quarantined += o.quarantined
}

// serveSpan sends calls, bookings and streams to each entry for a span, and returns what each
// served.
func (f *fleet) serveSpan(phase string, span time.Duration) map[string]served {
	var mu sync.Mutex
	var group sync.WaitGroup
	out := make(map[string]served)
	record := func(entry string, s served) {
		mu.Lock()
		defer mu.Unlock()
		all := out[entry]
		all.add(s)
		out[entry] = all
	}
	for i := range int(span / reachInterval) {
		for name := range f.entries {
			group.Go(func() { record(name, f.serveCall(name)) })
			group.Go(func() { record(name, f.serveBooking(name, fmt.Sprint(name, phase, i))) })
			group.Go(func() { record(name, f.serveStream(name, phase, i)) })
		}
		time.Sleep(reachInterval)
	}
	group.Wait()
	return out
}

func (f *fleet) serveCall(entry string) served {
	got := f.stock(entry, reachTimeout)
	out := served{sent: 1}
	if got.complete {
		out.calls = 1
	}
	if got.reason == verdict.Quarantined {
		out.quarantined = 1
	}
	return out
}

func (f *fleet) serveBooking(entry, key string) served {
	got := f.book(entry, key, "roses")
	out := served{sent: 1}
	if got.complete && got.status == http.StatusOK {
		out.bookings = 1
		qt.Check(f.t, f.effects(key), qt.Equals, 1)
	}
	if got.reason == verdict.Quarantined {
		out.quarantined = 1
	}
	return out
}

func (f *fleet) serveStream(entry, phase string, i int) served {
	prompt := "a card that many want"
	if i%sharedPrompts != 0 {
		prompt = fmt.Sprintf("card %d of %s, %s", i, entry, phase)
	}
	a := generateRequest{entry: entry, prompt: prompt, tokens: reachTokens, stream: true, timeout: reachTimeout}
	got := f.generate(a)
	f.checkResult(a, got)
	out := served{sent: 1}
	if got.complete && got.status == http.StatusOK {
		out.streams = 1
	}
	if got.reason == verdict.Quarantined {
		out.quarantined = 1
	}
	return out
}

// TestEntryWithoutLinksHarmsNoOther cuts one entry from all upstreams, twice, while
// its callers and peers reach it. The others must serve as before, no request is at
// fault, and all serve soon after the links are back.
func TestEntryWithoutLinksHarmsNoOther(t *testing.T) {
	for _, x := range reachCuts {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(t *testing.T, f *fleet) {
				before := f.serveSpan("before", reachSpan)
				for i := range 2 {
					f.cutOff("wien-entry", x.cut)
					during := f.serveSpan(fmt.Sprint("during ", i), reachSpan)
					f.net.Heal()
					time.Sleep(reachSettle)
					after := f.serveSpan(fmt.Sprint("after ", i), reachSpan)
					f.checkReach(before, during, after)
				}
			})
		})
	}
}

// checkReach checks what the entries served before, during and after a cut of
// wien-entry.
func (f *fleet) checkReach(before, during, after map[string]served) {
	for name := range f.entries {
		f.t.Logf("%s: before %+v, during %+v, after %+v", name, before[name], during[name], after[name])
		for phase, s := range map[string]served{"before": before[name], "during": during[name], "after": after[name]} {
			comment := qt.Commentf("%s, %s", name, phase)
			qt.Check(f.t, s.quarantined, qt.Equals, 0, comment)
			if name == "wien-entry" && phase == "during" {
				continue
			}
			qt.Check(f.t, float64(s.calls) >= reachShare*float64(before[name].calls), qt.IsTrue, comment)
			qt.Check(f.t, float64(s.bookings) >= reachShare*float64(before[name].bookings), qt.IsTrue, comment)
			qt.Check(f.t, float64(s.streams) >= reachShare*float64(before[name].streams), qt.IsTrue, comment)
		}
	}
}

// startCopies sends the same long streams to wien-entry at once, and returns once all
// are under way. The function that it returns waits for their results.
func (f *fleet) startCopies(n int) func() []callResult {
	a := generateRequest{entry: "wien-entry", prompt: "a card that many want", tokens: 200, stream: true, timeout: "10s"}
	results := make([]callResult, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { results[i] = f.generate(a) })
	}
	time.Sleep(time.Second)
	return func() []callResult {
		group.Wait()
		return results
	}
}

// TestLostLinksMakeNoRequestSuspect guards against the quarantine of a request that
// was in flight when an entry lost its links: a refused connection looks like a crash.
// Copies of it run on several chains, or it is sent again and cut off once more. The links
// of an entry are not lost at the same moment.
func TestLostLinksMakeNoRequestSuspect(t *testing.T) {
	for _, x := range []struct {
		name         string
		copies, cuts int
		// pause is the time between the losses of two links.
		pause time.Duration
	}{
		{"copies", 12, 1, 0},
		{"repeated", 1, 3, 0},
		{"copies, one link after the other", 12, 1, time.Millisecond},
		{"repeated, one link after the other", 1, 3, time.Millisecond},
	} {
		for _, c := range reachCuts {
			t.Run(x.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				withFleet(t, func(t *testing.T, f *fleet) {
					for range x.cuts {
						results := f.startCopies(x.copies)
						f.cutOffInTurn("wien-entry", c.cut, x.pause)
						for _, got := range results() {
							qt.Check(t, got.reason, qt.Not(qt.Equals), verdict.Quarantined)
						}
						f.net.Heal()
						// Two crashes in a shorter time count as one.
						time.Sleep(quarantine.SameCrashWindow + reachSettle)
					}
					for name := range f.entries {
						a := generateRequest{entry: name, prompt: "a card that many want", tokens: 200, stream: true}
						got := f.generate(a)
						f.checkResult(a, got)
						qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%s: %+v", name, got))
					}
				})
			})
		}
	}
}

// TestTwoEntriesWithoutLinksHarmNoThird cuts two of three entries from all upstreams.
func TestTwoEntriesWithoutLinksHarmNoThird(t *testing.T) {
	for _, x := range reachCuts {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(t *testing.T, f *fleet) {
				before := f.serveSpan("before", reachSpan)
				f.cutOff("wien-entry", x.cut)
				f.cutOff("linz-entry", x.cut)
				during := f.serveSpan("during", reachSpan)
				f.net.Heal()
				time.Sleep(reachSettle)
				after := f.serveSpan("after", reachSpan)
				for _, name := range []string{"wien-entry", "linz-entry"} {
					t.Logf("%s: during %+v", name, during[name])
					during[name] = before[name]
				}
				f.checkReach(before, during, after)
			})
		})
	}
}

// TestReportedDeathIsSeenByPeers checks that an entry which gets no requests stops
// using an upstream that has ended or stands still soon after a peer reports it.
func TestReportedDeathIsSeenByPeers(t *testing.T) {
	for _, x := range []struct {
		name, upstream string
		fail           func(f *fleet)
	}{
		{"engine ended", "wien-engine-0", func(f *fleet) { f.net.Kill("wien-engine-0") }},
		{"engine stands still", "wien-engine-0", func(f *fleet) { f.freeze("wien-engine-0", true) }},
		{"service ended", "wien-service", func(f *fleet) { f.net.Kill("wien-service") }},
		{"service not connecting", "wien-service", func(f *fleet) { f.net.SetFrozen(f.addressOf("wien-service"), true) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(t *testing.T, f *fleet) {
				x.fail(f)
				seen := map[string]bool{}
				for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					go f.serveCall("wien-entry")
					go f.serveStream("wien-entry", "failed", 1)
					for _, name := range []string{"graz-entry", "linz-entry"} {
						seen[name] = seen[name] || f.upstreamState(name, x.upstream) == "ejected"
					}
				}
				qt.Check(t, seen, qt.DeepEquals, map[string]bool{"graz-entry": true, "linz-entry": true})
				time.Sleep(5 * time.Second)
			})
		})
	}
}
