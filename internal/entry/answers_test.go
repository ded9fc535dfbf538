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

// seedWith names a peer in the settings.
func seedWith(name, zone string) func(*setting.Settings) {
	return func(s *setting.Settings) {
		s.Peers.Seeds = []setting.Seed{{Name: name, Zone: zone, Address: address(name, 3)}}
	}
}

// TestStageDiesAtAnyToken: each stage is lost at each token in turn; the
// resumed answer is the undisturbed one.
func TestStageDiesAtAnyToken(t *testing.T) {
	for stage := range 3 {
		for at := 1; at < matrixTokens; at++ {
			for _, faults := range []standinengine.Faults{{CrashBeforeToken: at}, {DisconnectBeforeToken: at}} {
				t.Run(fmt.Sprintf("stage %d token %d crash %t", stage, at, faults.CrashBeforeToken > 0), func(t *testing.T) {
					t.Parallel()
					inFleet(t, func(t *testing.T, f *fleet) {
						f.engines[fmt.Sprintf("wien-engine-%d", stage)].SetFaults(faults)
						a := ask{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: true}
						got := f.chat(a)
						f.check(a, got)
						qt.Check(t, got.whole, qt.IsTrue, qt.Commentf("%+v", got))
					})
				})
			}
		}
	}
}

// TestEngineBreaksProtocol: an engine that answers against the protocol never
// spoils an answer; the request is served elsewhere.
func TestEngineBreaksProtocol(t *testing.T) {
	faults := map[string]standinengine.Faults{
		"another's ID":        {WrongRequest: true},
		"layers left out":     {SkipTrace: true},
		"tokens twice":        {RepeatToken: true},
		"ends early":          {EndEarly: true},
		"reset after request": {Reset: true},
		"busy":                {Busy: true},
	}
	for name, x := range faults {
		for stage := range 3 {
			for _, stream := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%d/stream=%t", name, stage, stream), func(t *testing.T) {
					t.Parallel()
					inFleet(t, func(t *testing.T, f *fleet) {
						f.engines[fmt.Sprintf("wien-engine-%d", stage)].SetFaults(x)
						a := ask{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: stream}
						got := f.chat(a)
						f.check(a, got)
						qt.Check(t, got.whole, qt.IsTrue, qt.Commentf("%+v", got))
					})
				})
			}
		}
	}
}

// TestEveryEngineBreaksProtocol: with nowhere else to go, the caller gets an
// error that can't be taken for an answer.
func TestEveryEngineBreaksProtocol(t *testing.T) {
	for name, x := range map[string]standinengine.Faults{
		"another's ID":    {WrongRequest: true},
		"layers left out": {SkipTrace: true},
		"tokens twice":    {RepeatToken: true},
		"ends early":      {EndEarly: true},
		"cut at 6":        {DisconnectBeforeToken: 6},
		"busy":            {Busy: true},
		"leaving":         {Leaving: true},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				t.Parallel()
				inFleet(t, func(t *testing.T, f *fleet) {
					for _, e := range f.engines {
						e.SetFaults(x)
					}
					a := ask{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: stream}
					got := f.chat(a)
					f.check(a, got)
					qt.Check(t, got.whole, qt.IsFalse, qt.Commentf("%+v", got))
					qt.Check(t, got.reason, qt.Not(qt.Equals), verdict.Reason(""))
					qt.Check(t, got.retry > 0, qt.IsTrue, qt.Commentf("%+v", got))
					qt.Check(t, got.took < 10*time.Second, qt.IsTrue, qt.Commentf("took %s", got.took))
					if x.Busy || x.Leaving {
						qt.Check(t, got.verdict, qt.Equals, "not-run")
					}
				})
			})
		}
	}
}

// TestThousandsOfAnswersUnderFaults: answers never get mixed up while
// connections break, go silent and engines come and go.
func TestThousandsOfAnswersUnderFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(t *testing.T, f *fleet) {
				random := rand.New(rand.NewPCG(seed, 7))
				stop := f.load(4, 15)
				for range 250 {
					time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
					f.disturb(random)
				}
				whole, all := 0, stop()
				for _, a := range all {
					if a.whole && a.status == 200 {
						whole++
					}
				}
				t.Logf("%d of %d answers whole", whole, len(all))
				qt.Check(t, len(all) > 1000, qt.IsTrue)
			})
		})
	}
}

// disturb does a random thing to a random engine that it may recover from.
func (f *fleet) disturb(random *rand.Rand) {
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

// TestCallerGoes: the engines stop working for a caller that has gone.
func TestCallerGoes(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithCancel(f.ctx)
		time.AfterFunc(200*time.Millisecond, cancel)
		got := f.chat(ask{entry: "wien-entry", prompt: "a card", tokens: 1000, stream: true, ctx: ctx})
		qt.Check(t, got.whole, qt.IsFalse)
		time.Sleep(time.Second)
		for _, e := range f.engines {
			qt.Check(t, e.RunningRequests(), qt.Equals, 0)
		}
		qt.Check(t, f.status("wien-entry").InFlight, qt.Equals, int32(0))
	})
}

// TestDeadline: a request that can't be done in time ends at its deadline, and
// says when to come back.
func TestDeadline(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		got := f.chat(ask{entry: "wien-entry", prompt: "a card", tokens: 1000, timeout: "500ms"})
		qt.Check(t, got.reason, qt.Equals, verdict.DeadlineExceeded)
		qt.Check(t, got.verdict, qt.Equals, "may-have-run")
		qt.Check(t, got.took < 600*time.Millisecond, qt.IsTrue)
		qt.Check(t, got.retry > 0, qt.IsTrue)
	})
}

// TestSameKeyThroughAllEntriesAtOnce: many copies of one booking at the same
// moment have one side effect.
func TestSameKeyThroughAllEntriesAtOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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

// TestServiceThatClosesIdleConnections: a library that resends a call whose
// kept connection broke would run it twice; calls with a key use a connection
// of their own.
func TestServiceThatClosesIdleConnections(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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

// TestKeyMissing: a call that may not be repeated needs a key.
func TestKeyMissing(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		got := f.book("wien-entry", "", "roses")
		qt.Check(t, got.reason, qt.Equals, verdict.KeyMissing)
		qt.Check(t, got.verdict, qt.Equals, "not-run")
	})
}

// TestCrossedServiceAnswer: an answer to another attempt never reaches a
// caller, and a call that may be repeated is served elsewhere.
func TestCrossedServiceAnswer(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.services["wien-service"].SetFaults(standinservice.Faults{WrongAttempt: true})
		got := f.book("wien-entry", "k1", "roses")
		qt.Check(t, got.reason, qt.Equals, verdict.UpstreamProtocol)
		qt.Check(t, got.verdict, qt.Equals, "may-have-run")
		// The service is ejected for a second; then it is asked again.
		time.Sleep(2 * time.Second)
		request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+address("wien-entry", 1)+"/services/"+testService+"/stock/roses", nil)
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set("Authorization", "Bearer "+testKey)
		got = f.send(request, false)
		qt.Check(t, got.status, qt.Equals, 200)
		qt.Check(t, strings.Contains(got.text, `"Service":"wien-service"`), qt.IsFalse)
	})
}
