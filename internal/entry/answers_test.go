package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/setting"
	standinengine "lovageport.example/internal/standin/engine"
	standinservice "lovageport.example/internal/standin/service"
	"lovageport.example/pkg/verdict"
)

// withSeed returns a function that makes the entry called name the only seed peer
// in the settings.
func withSeed(name, zone string) func(*setting.Entry) {
	return func(s *setting.Entry) {
		s.Peers.Seeds = []setting.Seed{{Name: name, Zone: zone, Address: address(name, 3)}}
	}
}

// TestStageLostAtAnyToken guards against wrong answers after a resume. Each stage
// is lost at each token in turn, and the resumed answer must equal the answer
// without a fault.
func TestStageLostAtAnyToken(t *testing.T) {
	for stage := range 3 {
		for at := 1; at < matrixTokens; at++ {
			for _, faults := range []standinengine.Faults{{CrashBeforeToken: at}, {DisconnectBeforeToken: at}} {
				t.Run(fmt.Sprintf("stage %d token %d crash %t", stage, at, faults.CrashBeforeToken > 0), func(t *testing.T) {
					t.Parallel()
					withFleet(t, func(t *testing.T, f *fleet) {
						f.engines[fmt.Sprintf("wien-engine-%d", stage)].SetFaults(faults)
						a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: true}
						got := f.generate(a)
						f.checkResult(a, got)
						qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
					})
				})
			}
		}
	}
}

// TestEngineViolatesProtocol guards against answers corrupted by an engine that
// violates the protocol: the request must be served by other engines.
func TestEngineViolatesProtocol(t *testing.T) {
	faults := map[string]standinengine.Faults{
		"another request's ID": {WrongRequest: true},
		"skipped layers":       {SkipTrace: true},
		"repeated token":       {RepeatToken: true},
		"ends early":           {EndEarly: true},
		"reset after request":  {Reset: true},
		"busy":                 {Busy: true},
	}
	for name, x := range faults {
		for stage := range 3 {
			for _, stream := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/stream=%t", name, stage, stream), func(t *testing.T) {
					t.Parallel()
					withFleet(t, func(t *testing.T, f *fleet) {
						f.engines[fmt.Sprintf("wien-engine-%d", stage)].SetFaults(x)
						a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: stream}
						got := f.generate(a)
						f.checkResult(a, got)
						qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
					})
				})
			}
		}
	}
}

// TestAllEnginesViolateProtocol checks that the caller gets a distinguishable
// error, with a time to retry, when no engine can serve the request.
func TestAllEnginesViolateProtocol(t *testing.T) {
	for name, x := range map[string]standinengine.Faults{
		"another request's ID": {WrongRequest: true},
		"skipped layers":       {SkipTrace: true},
		"repeated token":       {RepeatToken: true},
		"ends early":           {EndEarly: true},
		"cut at 6":             {DisconnectBeforeToken: 6},
		"busy":                 {Busy: true},
		"leaving":              {Leaving: true},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				t.Parallel()
				withFleet(t, func(t *testing.T, f *fleet) {
					for _, e := range f.engines {
						e.SetFaults(x)
					}
					a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: stream}
					got := f.generate(a)
					f.checkResult(a, got)
					qt.Check(t, got.complete, qt.IsFalse, qt.Commentf("%+v", got))
					qt.Check(t, got.reason, qt.Not(qt.Equals), verdict.Reason(""))
					qt.Check(t, got.retryAfter > 0, qt.IsTrue, qt.Commentf("%+v", got))
					qt.Check(t, got.duration < 10*time.Second, qt.IsTrue, qt.Commentf("took %s", got.duration))
					if x.Busy || x.Leaving {
						qt.Check(t, got.verdict, qt.Equals, "not-run")
					}
				})
			})
		}
	}
}

// TestAnswersNotMixedUpUnderFaults guards against answers that reach the wrong
// caller while connections break or go silent and engines freeze or fail.
func TestAnswersNotMixedUpUnderFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(t *testing.T, f *fleet) {
				random := rand.New(rand.NewPCG(seed, 7))
				stop := f.startLoad(4, 15)
				for range 250 {
					time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
					f.injectRandomFault(random)
				}
				complete, all := 0, stop()
				for _, a := range all {
					if a.complete && a.status == 200 {
						complete++
					}
				}
				t.Logf("%d of %d answers complete", complete, len(all))
				qt.Check(t, len(all) > 1000, qt.IsTrue)
			})
		})
	}
}

// injectRandomFault causes a random temporary fault at a random engine.
func (f *fleet) injectRandomFault(random *rand.Rand) {
	name := fmt.Sprintf("%s-engine-%d", testZones[random.IntN(3)], random.IntN(3))
	switch random.IntN(6) {
	case 0:
		f.net.ResetConnections(f.addressOf(name))
	case 1:
		f.net.Blackhole(f.addressOf(name))
	case 2:
		f.freeze(name, true)
		time.AfterFunc(2*time.Second, func() { f.freeze(name, false) })
	case 3:
		f.engines[name].SetFaults(standinengine.Faults{WrongRequest: true})
		time.AfterFunc(time.Second, func() { f.engines[name].SetFaults(standinengine.Faults{}) })
	case 4:
		f.engines[name].SetFaults(standinengine.Faults{DisconnectBeforeToken: 5})
		time.AfterFunc(time.Second, func() { f.engines[name].SetFaults(standinengine.Faults{}) })
	case 5:
		f.engines[name].SetFaults(standinengine.Faults{Busy: true})
		time.AfterFunc(time.Second, func() { f.engines[name].SetFaults(standinengine.Faults{}) })
	}
}

// TestCallerDisconnects checks that the engines stop generating for a caller that
// has disconnected.
func TestCallerDisconnects(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithCancel(f.ctx)
		time.AfterFunc(200*time.Millisecond, cancel)
		got := f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: 1000, stream: true, ctx: ctx})
		qt.Check(t, got.complete, qt.IsFalse)
		time.Sleep(time.Second)
		for _, e := range f.engines {
			qt.Check(t, e.RunningRequests(), qt.Equals, 0)
		}
		qt.Check(t, f.status("wien-entry").InFlight, qt.Equals, int32(0))
	})
}

// TestDeadline checks that a request that can't be completed in time fails at its
// deadline, with a time to retry.
func TestDeadline(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		got := f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: 1000, timeout: "500ms"})
		qt.Check(t, got.reason, qt.Equals, verdict.DeadlineExceeded)
		qt.Check(t, got.verdict, qt.Equals, "may-have-run")
		qt.Check(t, got.duration < 600*time.Millisecond, qt.IsTrue)
		qt.Check(t, got.retryAfter > 0, qt.IsTrue)
	})
}

// TestConcurrentBookingsWithSameKey guards against repeated side effects when
// copies of one booking are sent through all entries concurrently.
func TestConcurrentBookingsWithSameKey(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var group sync.WaitGroup
		for i := range 30 {
			key := fmt.Sprintf("k%d", i%5)
			group.Go(func() { f.book(testZones[i%3]+"-entry", key, "roses") })
		}
		group.Wait()
		for i := range 5 {
			key := fmt.Sprintf("k%d", i)
			qt.Check(t, f.effects(key), qt.Equals, 1)
			got := f.book("linz-entry", key, "roses")
			qt.Check(t, got.status, qt.Equals, 200)
			qt.Check(t, got.replayed, qt.IsTrue)
		}
	})
}

// TestKeyedCallNotResentOnBrokenConnection guards against a call that runs twice
// because an HTTP client resent it after a kept-alive connection broke. Calls
// with an idempotency key must use a connection of their own.
func TestKeyedCallNotResentOnBrokenConnection(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for i := range 5 {
			for _, s := range f.services {
				s.SetFaults(standinservice.Faults{})
			}
			first := fmt.Sprintf("ok%d", i)
			qt.Check(t, f.book("wien-entry", first, "roses").status, qt.Equals, 200)
			for _, s := range f.services {
				s.SetFaults(standinservice.Faults{ResetAfter: true})
			}
			key := fmt.Sprintf("k%d", i)
			got := f.book("wien-entry", key, "roses")
			qt.Check(t, got.verdict, qt.Equals, "may-have-run")
			qt.Check(t, f.effects(key), qt.Equals, 1)
		}
	})
}

// TestKeyMissing checks that a call that may not be repeated is refused without an
// idempotency key.
func TestKeyMissing(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		got := f.book("wien-entry", "", "roses")
		qt.Check(t, got.reason, qt.Equals, verdict.KeyMissing)
		qt.Check(t, got.verdict, qt.Equals, "not-run")
	})
}

// TestServiceAnswersAnotherAttempt guards against delivering a service's answer to
// another attempt. A call that may be repeated must be served by another service.
func TestServiceAnswersAnotherAttempt(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.services["wien-service"].SetFaults(standinservice.Faults{WrongAttempt: true})
		got := f.book("wien-entry", "k1", "roses")
		qt.Check(t, got.reason, qt.Equals, verdict.UpstreamProtocol)
		qt.Check(t, got.verdict, qt.Equals, "may-have-run")
		// The service is ejected for one second; afterwards it is used again.
		time.Sleep(2 * time.Second)
		request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+address("wien-entry", 1)+"/services/"+testService+"/stock/roses", nil)
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+testKey)
		got = f.send(request, false)
		qt.Check(t, got.status, qt.Equals, 200)
		qt.Check(t, strings.Contains(got.text, `"Service":"wien-service"`), qt.IsFalse)
	})
}
