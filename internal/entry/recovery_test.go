package entry_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Limits of the recovery after the loss of an availability zone.
const (
	zoneLossBound = 2 * time.Second
	zoneLossShare = 0.9
)

// TestZoneLoss guards against slow recovery and lost streams when an availability
// zone fails with its entry and engines. The load is half of what the fleet can
// carry, so the rest can carry it. Two seconds after the failure, the token rate
// must be at least 90% of the rate before it, and every stream through the other
// entries must complete.
func TestZoneLoss(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
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
		// Requests are evenly spaced, so that the rate before the failure equals
		// the offered load.
		interval := time.Duration(meanTokens / (0.5 * f.maxTokenRate()) * float64(time.Second))
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(interval)
			a := generateRequest{entry: []string{"graz-entry", "linz-entry"}[n%2], prompt: fmt.Sprint(n), tokens: meanTokens, stream: true}
			group.Go(func() {
				at := time.Now()
				got := f.generate(a)
				f.checkResult(a, got)
				qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
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
		t.Logf("tokens per second: %.0f before, %.0f in the first 2 s after the failure, %.0f then", before, rate(lost, lost.Add(zoneLossBound)), after)
		qt.Check(t, after >= zoneLossShare*before, qt.IsTrue, qt.Commentf("%.0f before, %.0f after", before, after))
	}, mixedFleet)
}
