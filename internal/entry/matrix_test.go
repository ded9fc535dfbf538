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

type faultsOfPlatform = standinplatform.Faults

// Bounds that follow from the targets: the next token after a fault comes
// within 1 s and the time to compute again, which is well below 0.5 s here.
const (
	silenceBound = 1500 * time.Millisecond
	matrixTokens = 12
	// pauseTime is how long a paused entry stands still.
	pauseTime = 30 * time.Second
	// lapseTime is longer than a claim lasts, its call's timeout included.
	lapseTime = 15 * time.Second
)

func textFaults() []fault {
	faults := stageFaults(0, "first stage")
	faults = append(faults, stageFaults(1, "middle stage")...)
	faults = append(faults, stageFaults(2, "last stage")...)
	faults = append(faults, platformFaults()...)
	faults = append(faults, zoneFaults()...)
	withdraw := func(f *fleet, a string) {
		name := f.stageOf(a, 1)
		go f.withdraw("wien-entry", name)
	}
	return append(faults,
		fault{"middle stage withdrawn", withdraw, nothing, 0, true},
		fault{"middle stage leaving", func(f *fleet, a string) { f.listVMs(f.stageOf(a, 1)) }, nothing, 0, true},
		fault{"peer killed", func(f *fleet, _ string) {
			f.entries["graz-entry"].cancel()
			f.net.Kill("graz-entry")
		}, nothing, 0, true},
	)
}

// TestTextFaultMatrix strikes a streamed and a whole answer with every fault
// at every step.
func TestTextFaultMatrix(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, x := range textFaults() {
			for _, at := range textSteps {
				t.Run(fmt.Sprintf("%s/%s/stream=%t", x.name, at, stream), func(t *testing.T) {
					textUnderFault(t, x, at, stream)
				})
			}
		}
	}
}

func textUnderFault(t *testing.T, x fault, at step, stream bool) {
	t.Parallel()
	s := &strikes{}
	inFleet(t, func(t *testing.T, f *fleet) {
		k := &strike{at: at, fire: func(address string) { x.strike(f, address) }}
		s.arm(k)
		if at == stepBefore {
			k.do("")
		}
		a := ask{entry: "wien-entry", prompt: "a card for Mother", tokens: matrixTokens, stream: stream}
		got := f.chat(a)
		f.check(a, got)
		qt.Check(t, k.fired.Load(), qt.IsTrue)
		if x.recovers {
			qt.Check(t, got.whole, qt.IsTrue, qt.Commentf("%+v", got))
			for i, gap := range got.gaps {
				qt.Check(t, gap < silenceBound, qt.IsTrue, qt.Commentf("token %d after %s", i, gap))
			}
		}
	}, withStrikes(s))
}

// serviceFaults are those that a call of a plain service can meet.
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
		}, nothing, 0, false},
		{"all services killed", func(f *fleet, _ string) {
			for name := range f.services {
				f.net.Kill(name)
			}
		}, nothing, 0, false},
		{"service connections silent", func(f *fleet, a string) { f.net.Blackhole(a) }, nothing, 0, false},
		{"service connections reset", func(f *fleet, a string) { f.net.ResetConnections(a) }, nothing, 0, false},
		{"service withdrawn", func(f *fleet, a string) {
			if name := f.upstreamAt(a); name != "" {
				go f.withdraw("wien-entry", name)
			}
		}, nothing, 0, false},
		{"entry killed", func(f *fleet, _ string) {
			f.entries["wien-entry"].cancel()
			f.net.Kill("wien-entry")
		}, nothing, 0, false},
		{"entry paused", func(f *fleet, _ string) { time.Sleep(pauseTime) }, nothing, pauseTime, false},
	}
	faults = append(faults, platformFaults()...)
	return append(faults, zoneFaults()...)
}

// TestServiceFaultMatrix strikes a booking with every fault at every step, and
// sends it again through every entry, during the fault and after.
func TestServiceFaultMatrix(t *testing.T) {
	for _, x := range serviceFaults() {
		for _, at := range serviceSteps {
			t.Run(fmt.Sprintf("%s/%s", x.name, at), func(t *testing.T) { bookingUnderFault(t, x, at) })
		}
	}
}

func bookingUnderFault(t *testing.T, x fault, at step) {
	t.Parallel()
	s := &strikes{}
	inFleet(t, func(t *testing.T, f *fleet) {
		k := &strike{at: at, fire: func(address string) { x.strike(f, address) }}
		s.arm(k)
		if at == stepBefore {
			k.do("")
		}
		results := make(chan answer, 1)
		go func() { results <- f.book("wien-entry", "k1", "roses") }()
		time.Sleep(50 * time.Millisecond)
		// The caller is impatient and tries another entry at once.
		f.checkBooking(f.book("graz-entry", "k1", "roses"))
		// And once more when the claim has lapsed, which a paused entry does not
		// know.
		time.Sleep(lapseTime)
		f.checkBooking(f.book("linz-entry", "k1", "roses"))
		f.checkBooking(<-results)
		x.heal(f)
		synctest.Wait()
		for _, name := range []string{"graz-entry", "linz-entry", "graz-entry"} {
			f.checkBooking(f.book(name, "k1", "roses"))
			time.Sleep(time.Second)
		}
		// An entry that was paused has woken by now.
		time.Sleep(x.lasts)
		f.checkBooking(f.book("linz-entry", "k1", "roses"))
	}, withStrikes(s))
}

// checkBooking asserts what must hold after any answer to the booking k1.
func (f *fleet) checkBooking(got answer) {
	f.t.Helper()
	ran := f.effects("k1")
	qt.Check(f.t, ran <= 1, qt.IsTrue, qt.Commentf("booking ran %d times", ran))
	if got.verdict == verdict.NotRun.String() {
		qt.Check(f.t, f.ranAnywhere(got.request), qt.IsFalse, qt.Commentf("refused as not run: %+v", got))
	}
	if got.status == 200 && got.err == nil {
		qt.Check(f.t, ran, qt.Equals, 1)
		qt.Check(f.t, strings.Contains(got.text, `"Body":"roses"`), qt.IsTrue, qt.Commentf("%+v", got))
	}
}

// withdraw takes an upstream out of service through an entry.
func (f *fleet) withdraw(entry string, names ...string) *withdrawResult {
	ctx, cancel := context.WithTimeout(f.ctx, 10*time.Second)
	defer cancel()
	answer, err := f.operator(entry).Withdraw(ctx, call(testOperator, withdrawRequest(names)))
	if err != nil {
		return &withdrawResult{err: err}
	}
	return &withdrawResult{inForce: answer.Msg.InForceAt, notReached: answer.Msg.NotReached, stored: answer.Msg.Stored}
}

// TestCallerGoesAtAnyStep: whenever a caller goes, the engines stop working
// for it, and nothing of it stays open.
func TestCallerGoesAtAnyStep(t *testing.T) {
	for _, at := range textSteps {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", at, stream), func(t *testing.T) {
				t.Parallel()
				s := &strikes{}
				inFleet(t, func(t *testing.T, f *fleet) {
					ctx, cancel := context.WithCancel(f.ctx)
					k := &strike{at: at, fire: func(string) { cancel() }}
					s.arm(k)
					if at == stepBefore {
						k.do("")
					}
					f.chat(ask{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: stream, ctx: ctx})
					time.Sleep(time.Second)
					qt.Check(t, k.fired.Load(), qt.IsTrue)
					qt.Check(t, f.status("wien-entry").InFlight, qt.Equals, int32(0))
					for _, e := range f.engines {
						qt.Check(t, e.RunningRequests(), qt.Equals, 0)
					}
				}, withStrikes(s))
			})
		}
	}
}
