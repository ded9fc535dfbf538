package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	standinplatform "lovageport.example/internal/standin/platform"
	standinservice "lovageport.example/internal/standin/service"
	"lovageport.example/pkg/verdict"
)

type platformFaultConfig = standinplatform.Faults

// Limits and durations of the fault matrices.
const (
	// tokenGapBound is the maximum time between tokens across a fault: the target
	// of 1 s plus the time to recompute the KV cache, which is well below 0.5 s
	// here.
	tokenGapBound = 1500 * time.Millisecond
	matrixTokens  = 12
	// pauseDuration is how long a paused entry is stopped.
	pauseDuration = 30 * time.Second
	// claimLapse is longer than a claim is valid, including the timeout of its
	// call.
	claimLapse = 15 * time.Second
)

// generationFaults returns the faults that can affect a request for generated text.
func generationFaults() []fault {
	faults := stageFaults(0, "first stage")
	faults = append(faults, stageFaults(1, "middle stage")...)
	faults = append(faults, stageFaults(2, "last stage")...)
	faults = append(faults, platformFaults()...)
	faults = append(faults, zoneFaults()...)
	withdraw := func(f *fleet, a string) {
		name := f.stageName(a, 1)
		go f.withdraw("wien-entry", name)
	}
	return append(faults,
		fault{"middle stage withdrawn", withdraw, noHeal, 0, true},
		fault{"middle stage leaving", func(f *fleet, a string) { f.listVMs(f.stageName(a, 1)) }, noHeal, 0, true},
		fault{"peer killed", func(f *fleet, _ string) {
			f.entries["graz-entry"].cancel()
			f.net.Kill("graz-entry")
		}, noHeal, 0, true},
	)
}

// TestGenerationFaultMatrix injects every fault at every step of a streamed and of
// a non-streamed answer.
func TestGenerationFaultMatrix(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, x := range generationFaults() {
			for _, at := range generationSteps {
				t.Run(fmt.Sprintf("%s/%s/stream=%t", x.name, at, stream), func(t *testing.T) {
					testGenerationUnderFault(t, x, at, stream)
				})
			}
		}
	}
}

func testGenerationUnderFault(t *testing.T, x fault, at step, stream bool) {
	t.Parallel()
	s := &injector{}
	withFleet(t, func(t *testing.T, f *fleet) {
		k := &injection{at: at, inject: func(address string) { x.inject(f, address) }}
		s.setInjections(k)
		if at == stepBefore {
			k.trigger("")
		}
		a := generateRequest{entry: "wien-entry", prompt: "a card for Mother", tokens: matrixTokens, stream: stream}
		got := f.generate(a)
		f.checkResult(a, got)
		qt.Check(t, k.reached.Load(), qt.IsTrue)
		if x.mustSucceed {
			qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
			for i, gap := range got.gaps {
				qt.Check(t, gap < tokenGapBound, qt.IsTrue, qt.Commentf("token %d after %s", i, gap))
			}
		}
	}, withInjector(s))
}

// serviceFaults returns the faults that can affect a call of a plain service.
func serviceFaults() []fault {
	service := func(name string, faults standinservice.Faults) fault {
		return fault{"service " + name,
			func(f *fleet, _ string) {
				for _, s := range f.services {
					s.SetFaults(faults)
				}
			},
			func(f *fleet) {
				for _, s := range f.services {
					s.SetFaults(standinservice.Faults{})
				}
			}, 0, false}
	}
	faults := []fault{
		service("resets before", standinservice.Faults{ResetBefore: true}),
		service("resets after", standinservice.Faults{ResetAfter: true}),
		service("cuts its answer", standinservice.Faults{TruncateResponse: true}),
		service("answers another attempt", standinservice.Faults{WrongAttempt: true}),
		service("hangs", standinservice.Faults{Hang: true}),
		service("is slow", standinservice.Faults{Delay: 2 * time.Second}),
		service("answers 503", standinservice.Faults{Status: 503}),
		{"service killed", func(f *fleet, a string) {
			if name := f.upstreamAt(a); strings.HasSuffix(name, "-service") {
				f.net.Kill(name)
			}
		}, noHeal, 0, false},
		{"all services killed", func(f *fleet, _ string) {
			for name := range f.services {
				f.net.Kill(name)
			}
		}, noHeal, 0, false},
		{"service connections silent", func(f *fleet, a string) { f.net.Blackhole(a) }, noHeal, 0, false},
		{"service connections reset", func(f *fleet, a string) { f.net.ResetConnections(a) }, noHeal, 0, false},
		{"service withdrawn", func(f *fleet, a string) {
			if name := f.upstreamAt(a); name != "" {
				go f.withdraw("wien-entry", name)
			}
		}, noHeal, 0, false},
		{"entry killed", func(f *fleet, _ string) {
			f.entries["wien-entry"].cancel()
			f.net.Kill("wien-entry")
		}, noHeal, 0, false},
		{"entry paused", func(f *fleet, _ string) { time.Sleep(pauseDuration) }, noHeal, pauseDuration, false},
	}
	faults = append(faults, platformFaults()...)
	return append(faults, zoneFaults()...)
}

// TestServiceFaultMatrix injects every fault at every step of a booking, and
// repeats the booking through every entry during the fault and afterwards.
func TestServiceFaultMatrix(t *testing.T) {
	for _, x := range serviceFaults() {
		for _, at := range serviceSteps {
			t.Run(fmt.Sprintf("%s/%s", x.name, at), func(t *testing.T) { testBookingUnderFault(t, x, at) })
		}
	}
}

func testBookingUnderFault(t *testing.T, x fault, at step) {
	t.Parallel()
	s := &injector{}
	withFleet(t, func(t *testing.T, f *fleet) {
		k := &injection{at: at, inject: func(address string) { x.inject(f, address) }}
		s.setInjections(k)
		if at == stepBefore {
			k.trigger("")
		}
		results := make(chan callResult, 1)
		go func() { results <- f.book("wien-entry", "k1", "roses") }()
		time.Sleep(50 * time.Millisecond)
		// The caller repeats the booking through another entry immediately.
		f.checkBooking(f.book("graz-entry", "k1", "roses"))
		// It repeats the booking once the claim has lapsed. A paused entry does
		// not know that yet.
		time.Sleep(claimLapse)
		f.checkBooking(f.book("linz-entry", "k1", "roses"))
		f.checkBooking(<-results)
		x.heal(f)
		synctest.Wait()
		for _, name := range []string{"graz-entry", "linz-entry", "graz-entry"} {
			f.checkBooking(f.book(name, "k1", "roses"))
			time.Sleep(time.Second)
		}
		// A paused entry has resumed after this time.
		time.Sleep(x.duration)
		f.checkBooking(f.book("linz-entry", "k1", "roses"))
	}, withInjector(s))
}

// checkBooking asserts what must hold after any result of the booking with key k1.
func (f *fleet) checkBooking(got callResult) {
	f.t.Helper()
	ran := f.effects("k1")
	qt.Check(f.t, ran <= 1, qt.IsTrue, qt.Commentf("booking ran %d times", ran))
	if got.verdict == verdict.NotRun.String() {
		qt.Check(f.t, f.executedAnywhere(got.request), qt.IsFalse, qt.Commentf("refused as not run: %+v", got))
	}
	if got.status == 200 && got.err == nil {
		qt.Check(f.t, ran, qt.Equals, 1)
		qt.Check(f.t, strings.Contains(got.text, `"Body":"roses"`), qt.IsTrue, qt.Commentf("%+v", got))
	}
}

// withdraw takes upstreams out of service through an entry.
func (f *fleet) withdraw(entry string, names ...string) *withdrawResult {
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	response, err := f.operator(entry).Withdraw(ctx, call(testOperator, withdrawRequest(names)))
	if err != nil {
		return &withdrawResult{err: err}
	}
	return &withdrawResult{inForce: response.Msg.InForceAt, notReached: response.Msg.NotReached, stored: response.Msg.Stored}
}

// TestCallerDisconnectsAtAnyStep guards against requests that remain open, or
// engines that continue to generate, after a caller disconnects at any step.
func TestCallerDisconnectsAtAnyStep(t *testing.T) {
	for _, at := range generationSteps {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", at, stream), func(t *testing.T) {
				t.Parallel()
				s := &injector{}
				withFleet(t, func(t *testing.T, f *fleet) {
					ctx, cancel := context.WithCancel(f.ctx)
					k := &injection{at: at, inject: func(string) { cancel() }}
					s.setInjections(k)
					if at == stepBefore {
						k.trigger("")
					}
					f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: stream, ctx: ctx})
					time.Sleep(time.Second)
					qt.Check(t, k.reached.Load(), qt.IsTrue)
					qt.Check(t, f.status("wien-entry").InFlight, qt.Equals, int32(0))
					for _, e := range f.engines {
						qt.Check(t, e.RunningRequests(), qt.Equals, 0)
					}
				}, withInjector(s))
			})
		}
	}
}
