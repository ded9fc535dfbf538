package entry_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

var (
	policySeeds = flag.Int("policy-seeds", 1, "seeds that the measurements of policies run")
	policyTime  = flag.Duration("policy-time", 4*time.Second, "virtual time that a measurement of policies runs")
)

// chooseFunc is a routing policy: it chooses a chain of engines.
type chooseFunc = func(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, prefer map[string]bool) route.Chain

// Sizes and latencies of the mixed fleet: 30 engines of 5 speeds, 10 for each
// third of the model, in three availability zones. The latency between zones is
// 100 times that within a zone.
const (
	mixedEngines     = 30
	mixedSlots       = 4
	sameZoneLatency  = 100 * time.Microsecond
	crossZoneLatency = 100 * sameZoneLatency
)

// acceleratorSpeeds holds the speeds of the accelerators in layers per second.
var acceleratorSpeeds = []float64{400, 600, 800, 1200, 2400}

func mixedFleet(f *fleet) {
	third := testLayers / 3
	f.set.Loans = nil
	f.set.Services = nil
	f.set.Upstreams = nil
	for _, zone := range testZones {
		f.set.Loans = append(f.set.Loans, declaration.Loan{Name: zone, Owner: zone, Pipelines: []string{"cards"}, Accepted: true})
	}
	for i := range mixedEngines {
		// Each third has two engines of each speed, and each zone the same speeds
		// for all thirds, so that the maximum token rate needs no link between
		// zones.
		const perThird = mixedEngines / 3
		z := i % perThird % len(testZones)
		from := i / perThird * third
		u := declaration.Upstream{
			Name: fmt.Sprintf("%s-engine-%d", testZones[z], i), Owner: testZones[z], Zone: testZones[z], Kind: declaration.Engine,
			Address: fmt.Sprintf("10.%d.1.%d:80", z+1, i+1), Slots: mixedSlots, LayersPerSecond: acceleratorSpeeds[i%perThird/2],
			Held: []declaration.Held{{Model: testModel, LayerRange: declaration.LayerRange{From: from, To: from + third}}},
		}
		f.set.Upstreams = append(f.set.Upstreams, u)
		f.set.Loans[z].Upstreams = append(f.set.Loans[z].Upstreams, u.Name)
	}
	for i := range f.set.Links {
		f.set.Links[i].Latency = declaration.Span(crossZoneLatency)
	}
	f.link = func(from, to string) time.Duration {
		a, _, _ := strings.Cut(from, "-")
		b, _, _ := strings.Cut(to, "-")
		if a == b {
			return sameZoneLatency
		}
		return crossZoneLatency
	}
}

// maxTokenRate returns an upper bound on the fleet's rate in tokens per second.
// Each stream occupies one slot of each third, and each of its tokens takes the
// sum of the stages' times. The total rate is highest if the fastest slots of all
// thirds are combined and links have no latency.
func (f *fleet) maxTokenRate() float64 {
	thirds := make(map[int][]time.Duration)
	for _, u := range f.set.Upstreams {
		held := u.Held[0]
		stage := time.Duration(float64(held.To-held.From) / u.LayersPerSecond * float64(time.Second))
		for range u.Slots {
			thirds[held.From] = append(thirds[held.From], stage)
		}
	}
	var all [][]time.Duration
	streams := 1 << 30
	for _, slots := range thirds {
		slices.Sort(slots)
		streams = min(streams, len(slots))
		all = append(all, slots)
	}
	rate := 0.0
	for i := range streams {
		var token time.Duration
		for _, slots := range all {
			token += slots[i]
		}
		rate += 1 / token.Seconds()
	}
	return rate
}

// baselines holds the routing policies to compare: the default policy, under
// "lovageport", and common alternatives. All skip upstreams without a free slot.
var baselines = map[string]func() chooseFunc{
	"lovageport": nil,
	"random": func() chooseFunc {
		random := rand.New(rand.NewPCG(3, 5))
		return baselineChooser(func([]availableCandidate) int { return random.IntN(1 << 30) })
	},
	"round robin": func() chooseFunc {
		turn := 0
		return baselineChooser(func([]availableCandidate) int { turn++; return turn })
	},
	"least in flight": func() chooseFunc {
		return baselineChooser(func(room []availableCandidate) int {
			best := 0
			for i := range room {
				if room[i].used < room[best].used {
					best = i
				}
			}
			return best
		})
	},
}

// availableCandidate is a candidate with a free slot.
type availableCandidate struct {
	candidate *catalog.Candidate
	used      float64
}

// baselineChooser returns a policy that builds a chain from the first layer on. At
// each stage boundary it uses the candidate with index pick(available), modulo
// their number, of the available candidates that start there.
func baselineChooser(pick func(available []availableCandidate) int) chooseFunc {
	return func(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, _ map[string]bool) route.Chain {
		var chain route.Chain
		for next := 0; next < pool.Layers; {
			var available []availableCandidate
			for i := range pool.Candidates {
				c := &pool.Candidates[i]
				if s := state(c); c.Range.From == next && s.Free > 0 {
					available = append(available, availableCandidate{c, s.Used})
				}
			}
			if len(available) == 0 {
				return nil
			}
			taken := available[pick(available)%len(available)].candidate
			chain = append(chain, route.Stage{Upstream: taken.Upstream, Range: taken.Range})
			next = taken.Range.To
		}
		return chain
	}
}

// measurement holds the results of one run under load.
type measurement struct {
	// share is the token rate of complete answers, as a fraction of the maximum
	// token rate.
	share float64
	// first and between are the 95th percentiles of the time to the first token
	// and of the time between tokens.
	first, between time.Duration
	answers        int
	refused        int
}

// measureLoad sends requests at random times through the entries in turn, for
// span. The requested tokens per second are load times the maximum token rate.
func (f *fleet) measureLoad(seed uint64, load float64, span time.Duration) measurement {
	const meanTokens = 60
	random := rand.New(rand.NewPCG(seed, 13))
	interval := meanTokens / (load * f.maxTokenRate())
	var (
		mu     sync.Mutex
		group  sync.WaitGroup
		out    measurement
		tokens int
		firsts []time.Duration
		gaps   []time.Duration
	)
	warm := time.Now().Add(span / 4)
	end := time.Now().Add(span)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * interval * float64(time.Second)))
		a := generateRequest{
			entry:  testZones[n%len(testZones)] + "-entry",
			prompt: fmt.Sprint("prompt ", seed, n), tokens: meanTokens/2 + random.IntN(meanTokens+1), stream: true,
		}
		group.Go(func() {
			begin := time.Now()
			got := f.generate(a)
			f.checkResult(a, got)
			mu.Lock()
			defer mu.Unlock()
			out.answers++
			if !got.complete || got.status != 200 {
				out.refused++
				return
			}
			// Only tokens that arrive within the measurement window count.
			at := begin
			for i, gap := range got.gaps {
				at = at.Add(gap)
				if at.Before(warm) || at.After(end) {
					continue
				}
				tokens++
				if i == 0 {
					firsts = append(firsts, gap)
				} else {
					gaps = append(gaps, gap)
				}
			}
		})
	}
	group.Wait()
	out.share = float64(tokens) / end.Sub(warm).Seconds() / f.maxTokenRate()
	out.first, out.between = percentile95(firsts), percentile95(gaps)
	return out
}

// percentile95 returns the 95th percentile. It sorts all.
func percentile95(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100]
}

// TestPolicies compares the default routing policy with the baselines at several
// loads. It logs the median and worst results over the seeds, and guards against a
// default policy that delivers fewer tokens than a baseline at full load.
func TestPolicies(t *testing.T) {
	if raceEnabled {
		t.Skip("measurement skipped: the race detector only slows it down")
	}
	for _, load := range []float64{0.85, 1, 2} {
		var mu sync.Mutex
		shares := make(map[string]float64)
		t.Run(fmt.Sprintf("load=%.2f", load), func(t *testing.T) {
			for name := range baselines {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					share := measurePolicy(t, load, name)
					mu.Lock()
					defer mu.Unlock()
					shares[name] = share
				})
			}
		})
		defaultShare, ok := shares["lovageport"]
		for name, share := range shares {
			qt.Check(t, !ok || load != 1 || defaultShare >= share, qt.IsTrue, qt.Commentf("%s has %.3f, the default policy %.3f", name, share, defaultShare))
		}
	}
}

// measurePolicy returns the median over the seeds of the share of the maximum
// token rate.
func measurePolicy(t *testing.T, load float64, name string) float64 {
	var runs []measurement
	for seed := range uint64(*policySeeds) {
		withFleet(t, func(t *testing.T, f *fleet) {
			runs = append(runs, f.measureLoad(seed, load, *policyTime))
		}, mixedFleet, func(f *fleet) { f.chooser = baselines[name] })
	}
	slices.SortFunc(runs, func(a, b measurement) int { return cmp.Compare(a.share, b.share) })
	median, worst := runs[len(runs)/2], runs[0]
	t.Logf("share of maximum token rate %.3f (worst %.3f) first p95 %s between p95 %s answers %d refused %d", median.share, worst.share,
		median.first.Round(time.Millisecond), median.between.Round(100*time.Microsecond), median.answers, median.refused)
	return median.share
}
