package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// pairs is the number of seeds that the tests of pairs of faults run.
var pairs = flag.Int("pairs", 60, "seeds that tests of pairs of faults run")

// faultPair holds two faults and the step at which each is injected. The second
// fault is injected delay after its step if delay is at most one second, otherwise
// immediately.
type faultPair struct {
	faults [2]fault
	steps  [2]step
	delay  time.Duration
	stream bool
}

// randomFaultPair returns the pair of faults determined by seed.
func randomFaultPair(seed uint64, faults []fault, steps []step) faultPair {
	random := rand.New(rand.NewPCG(seed, 11))
	p := faultPair{
		delay:  time.Duration(random.IntN(3000)) * time.Millisecond,
		stream: random.IntN(2) == 0,
	}
	for i := range p.faults {
		p.faults[i] = faults[random.IntN(len(faults))]
		p.steps[i] = steps[random.IntN(len(steps))]
	}
	return p
}

func (p *faultPair) name(seed uint64) string {
	return fmt.Sprintf("seed=%d/%s at %s/%s at %s after %s", seed, p.faults[0].name, p.steps[0], p.faults[1].name, p.steps[1], p.delay)
}

// inject arranges for both faults to be injected at their steps.
func (p *faultPair) inject(f *fleet, s *injector) {
	first := &injection{at: p.steps[0], inject: func(address string) { p.faults[0].inject(f, address) }}
	second := &injection{at: p.steps[1], inject: func(address string) {
		if p.delay > time.Second {
			p.faults[1].inject(f, address)
			return
		}
		time.AfterFunc(p.delay, func() { p.faults[1].inject(f, address) })
	}}
	s.setInjections(first, second)
	for _, k := range []*injection{first, second} {
		if k.at == stepBefore {
			k.trigger("")
		}
	}
}

// TestGenerationUnderFaultPairs guards against wrong or silently truncated answers
// under two faults: the caller must get the correct answer or a distinguishable
// error.
func TestGenerationUnderFaultPairs(t *testing.T) {
	for seed := range uint64(*pairs) {
		p := randomFaultPair(seed, generationFaults(), generationSteps)
		t.Run(p.name(seed), func(t *testing.T) {
			t.Parallel()
			s := &injector{}
			withFleet(t, func(t *testing.T, f *fleet) {
				p.inject(f, s)
				a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: p.stream, timeout: "20s"}
				f.checkResult(a, f.generate(a))
				for _, x := range p.faults {
					x.heal(f)
				}
				time.Sleep(2 * time.Second)
				f.checkResult(a, f.generate(a))
			}, withInjector(s))
		})
	}
}

// TestBookingUnderFaultPairs guards against repeated side effects and false
// not-run verdicts under two faults, for a booking that is repeated through every
// entry.
func TestBookingUnderFaultPairs(t *testing.T) {
	for seed := range uint64(*pairs) {
		p := randomFaultPair(seed, serviceFaults(), serviceSteps)
		t.Run(p.name(seed), func(t *testing.T) {
			t.Parallel()
			s := &injector{}
			withFleet(t, func(t *testing.T, f *fleet) {
				p.inject(f, s)
				results := make(chan callResult, 1)
				go func() { results <- f.book("wien-entry", "k1", "roses") }()
				time.Sleep(50 * time.Millisecond)
				f.checkBooking(f.book("graz-entry", "k1", "roses"))
				f.checkBooking(<-results)
				for _, x := range p.faults {
					x.heal(f)
				}
				synctest.Wait()
				for _, name := range []string{"linz-entry", "graz-entry"} {
					f.checkBooking(f.book(name, "k1", "roses"))
					time.Sleep(time.Second)
				}
				time.Sleep(p.faults[0].duration + p.faults[1].duration + p.delay)
				f.checkBooking(f.book("linz-entry", "k1", "roses"))
			}, withInjector(s))
		})
	}
}
