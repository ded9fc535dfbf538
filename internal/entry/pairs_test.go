package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// pairs is how many seeds the tests of pairs of faults run.
var pairs = flag.Int("pairs", 60, "seeds that tests of pairs of faults run")

// pair is two faults, each at a step of its own; the second may come some time
// after its step.
type pair struct {
	faults [2]fault
	steps  [2]step
	after  time.Duration
	stream bool
}

// drawPair draws a pair by seed.
func drawPair(seed uint64, faults []fault, steps []step) pair {
	random := rand.New(rand.NewPCG(seed, 11))
	p := pair{
		after:  time.Duration(random.IntN(3000)) * time.Millisecond,
		stream: random.IntN(2) == 0,
	}
	for i := range p.faults {
		p.faults[i] = faults[random.IntN(len(faults))]
		p.steps[i] = steps[random.IntN(len(steps))]
	}
	return p
}

func (p *pair) name(seed uint64) string {
	return fmt.Sprintf("seed=%d/%s at %s/%s at %s after %s", seed, p.faults[0].name, p.steps[0], p.faults[1].name, p.steps[1], p.after)
}

// arm has the faults strike.
func (p *pair) arm(f *fleet, s *strikes) {
	first := &strike{at: p.steps[0], fire: func(address string) { p.faults[0].strike(f, address) }}
	second := &strike{at: p.steps[1], fire: func(address string) {
		if p.after > time.Second {
			p.faults[1].strike(f, address)
			return
		}
		time.AfterFunc(p.after, func() { p.faults[1].strike(f, address) })
	}}
	s.arm(first, second)
	for _, k := range []*strike{first, second} {
		if k.at == stepBefore {
			k.do("")
		}
	}
}

// TestTextUnderPairsOfFaults: whatever two faults strike, an answer is whole
// and right, or an error that can't be taken for one.
func TestTextUnderPairsOfFaults(t *testing.T) {
	for seed := range uint64(*pairs) {
		p := drawPair(seed, textFaults(), textSteps)
		t.Run(p.name(seed), func(t *testing.T) {
			t.Parallel()
			s := &strikes{}
			inFleet(t, func(t *testing.T, f *fleet) {
				p.arm(f, s)
				a := ask{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: p.stream, timeout: "20s"}
				f.check(a, f.chat(a))
				for _, x := range p.faults {
					x.heal(f)
				}
				time.Sleep(2 * time.Second)
				f.check(a, f.chat(a))
			}, withStrikes(s))
		})
	}
}

// TestBookingUnderPairsOfFaults: whatever two faults strike, a booking sent
// again and again through every entry runs at most once, and no refusal as not
// run is wrong.
func TestBookingUnderPairsOfFaults(t *testing.T) {
	for seed := range uint64(*pairs) {
		p := drawPair(seed, serviceFaults(), serviceSteps)
		t.Run(p.name(seed), func(t *testing.T) {
			t.Parallel()
			s := &strikes{}
			inFleet(t, func(t *testing.T, f *fleet) {
				p.arm(f, s)
				results := make(chan answer, 1)
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
				time.Sleep(p.faults[0].lasts + p.faults[1].lasts + p.after)
				f.checkBooking(f.book("linz-entry", "k1", "roses"))
			}, withStrikes(s))
		})
	}
}
