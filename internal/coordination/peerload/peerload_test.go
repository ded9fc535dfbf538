package peerload_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/coordination/peerload"
	"lovageport.example/internal/protocol/peering"
)

// TestTotalsMatchLatestReports guards against sums that drift from the latest
// reports. It compares them with the sums over all reports after each of many
// updates and after peers were dropped.
func TestTotalsMatchLatestReports(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var sums peerload.Totals
			last := make(map[string]*peering.News)
			for range 500 {
				peer := fmt.Sprint("p", random.IntN(12))
				if random.IntN(10) == 0 {
					delete(last, peer)
					sums.Retain(func(address string) bool { return last[address] != nil })
				} else {
					last[peer] = randomNews(random)
					sums.Set(peer, last[peer])
				}
				check(t, &sums, last)
			}
			clear(last)
			sums.Retain(func(string) bool { return false })
			check(t, &sums, last)
		})
	}
}

func randomNews(random *rand.Rand) *peering.News {
	n := &peering.News{}
	for i := range 5 {
		if random.IntN(2) == 0 {
			n.Loads = append(n.Loads, peering.UpstreamLoad{Upstream: fmt.Sprint("u", i), Requests: 1 + random.IntN(9), TokenLayers: random.Float32() * 1e6})
		}
	}
	return n
}

func check(t *testing.T, sums *peerload.Totals, last map[string]*peering.News) {
	t.Helper()
	loads := make(map[string]pathfinding.Load)
	for n := range maps.Values(last) {
		for _, l := range n.Loads {
			sum := loads[l.Upstream]
			sum.Requests += float64(l.Requests)
			sum.TokenLayers += float64(l.TokenLayers)
			loads[l.Upstream] = sum
		}
	}
	qt.Assert(t, sums.Len(), qt.Equals, len(last))
	for i := range 5 {
		got, want := sums.Load(fmt.Sprint("u", i)), loads[fmt.Sprint("u", i)]
		qt.Assert(t, got.Requests, qt.Equals, want.Requests)
		near(t, got.TokenLayers, want.TokenLayers)
	}
}

// near checks that got equals want up to rounding errors.
func near(t *testing.T, got, want float64) {
	t.Helper()
	qt.Assert(t, got-want < 1e-6 && want-got < 1e-6, qt.IsTrue, qt.Commentf("%v, not %v", got, want))
}
