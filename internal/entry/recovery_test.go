package entry_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Bounds of recovery after the loss of an availability zone.
const (
	zoneLossBound = 2 * time.Second
	zoneLossShare = 0.9
)

// TestZoneLost: an availability zone goes, entry and engines, with the load at
// half of what the fleet can do, so that what is left can carry it. Two
// seconds later, tokens come at 90% of the rate before, and no stream through
// the other entries is lost.
func TestZoneLost(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		var (
			mu     sync.Mutex
			tokens []time.Time
			group  sync.WaitGroup
		)
		lost := time.Now().Add(4 * time.Second)
		end := lost.Add(zoneLossBound + 3*time.Second)
		time.AfterFunc(time.Until(lost), func() {
			for name := range f.engines {
				if strings.HasPrefix(name, "wien-") {
					f.net.Kill(name)
				}
			}
			f.entries["wien-entry"].cancel()
			f.net.Kill("wien-entry")
		})
		const meanTokens = 40
		// Evenly spaced, so that the rate before is the one that is asked for.
		interval := time.Duration(meanTokens / (0.5 * f.bound()) * float64(time.Second))
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(interval)
			a := ask{entry: []string{"graz-entry", "linz-entry"}[n%2], prompt: fmt.Sprint(n), tokens: meanTokens, stream: true}
			group.Go(func() {
				at := time.Now()
				got := f.chat(a)
				f.check(a, got)
				qt.Check(t, got.whole, qt.IsTrue, qt.Commentf("%+v", got))
				mu.Lock()
				defer mu.Unlock()
				for _, gap := range got.gaps {
					at = at.Add(gap)
					tokens = append(tokens, at)
				}
			})
		}
		group.Wait()
		rate := func(from, to time.Time) float64 {
			n := 0
			for _, at := range tokens {
				if !at.Before(from) && at.Before(to) {
					n++
				}
			}
			return float64(n) / to.Sub(from).Seconds()
		}
		before := rate(lost.Add(-3*time.Second), lost)
		after := rate(lost.Add(zoneLossBound), end)
		t.Logf("tokens a second: %.0f before, %.0f in the first 2 s after, %.0f then", before, rate(lost, lost.Add(zoneLossBound)), after)
		qt.Check(t, after >= zoneLossShare*before, qt.IsTrue, qt.Commentf("%.0f before, %.0f after", before, after))
	}, mixed)
}
