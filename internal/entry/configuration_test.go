package entry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/configuration"
	"lovageport.example/pkg/declaration"
)

// adoptionBound is the maximum time for a reachable entry to put an accepted
// configuration in force.
const adoptionBound = 2 * time.Second

// addAccount adds a client account to the declared set.
func (f *fleet) addAccount(name string) {
	f.set.Accounts = append(f.set.Accounts, declaration.Account{Name: name, Priority: 1})
}

// TestAcceptedConfigurationTakesEffectEverywhere guards against entries that miss
// an accepted configuration while one of the ways to learn of it fails.
func TestAcceptedConfigurationTakesEffectEverywhere(t *testing.T) {
	ways := map[string]func(f *fleet){
		"no fault":                  func(*fleet) {},
		"watch silent":              func(f *fleet) { f.platform.SetFaults(platformFaultConfig{HideChanges: true}) },
		"platform slow":             func(f *fleet) { f.platform.SetFaults(platformFaultConfig{Delay: 200 * time.Millisecond}) },
		"one cut off from platform": func(f *fleet) { f.net.Partition("linz", "platform") },
		"one cut off from peers": func(f *fleet) {
			f.net.Partition("linz", "wien")
			f.net.Partition("linz", "graz")
		},
	}
	for way, fault := range ways {
		t.Run(way, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				time.Sleep(3 * time.Second)
				fault(f)
				f.addAccount("new")
				f.apply("wien-entry", "second", 1)
				for name := range f.entries {
					f.awaitGeneration(name, 2, adoptionBound)
				}
			})
		})
	}
}

// TestPollReplacesSilentWatch checks that an entry whose watch is silent and that
// is cut off from its peers still learns of a new configuration by polling.
func TestPollReplacesSilentWatch(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(platformFaultConfig{HideChanges: true})
		f.net.Partition("linz", "wien")
		f.net.Partition("linz", "graz")
		f.addAccount("new")
		f.apply("wien-entry", "second", 1)
		f.awaitGeneration("linz-entry", 2, adoptionBound)
	})
}

// TestConfigurationNeverRollsBack guards against entries that put an older
// configuration in force when the platform returns stale reads, including entries
// that start during that time.
func TestConfigurationNeverRollsBack(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		f.addAccount("new")
		f.apply("wien-entry", "second", 1)
		for name := range f.entries {
			f.awaitGeneration(name, 2, adoptionBound)
		}
		f.platform.SetFaults(platformFaultConfig{StaleReads: true})
		f.killEntry("graz-entry")
		f.startEntry("graz-entry-2", "graz")
		f.startEntry("linz-entry-2", "linz")
		for range 100 {
			for name := range f.entries {
				s := f.status(name)
				qt.Check(t, !s.Ready || s.Generation == 2, qt.IsTrue, qt.Commentf("%s ready with generation %d", name, s.Generation))
			}
			time.Sleep(100 * time.Millisecond)
		}
		qt.Check(t, f.status("graz-entry-2").Ready, qt.IsTrue)
	})
}

// TestEntryStartsDuringPlatformOutage checks that an entry that starts while the
// platform is down fetches the configuration from its peers.
func TestEntryStartsDuringPlatformOutage(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(platformFaultConfig{Down: true})
		f.settings = withSeed("wien-entry", "wien")
		f.startEntry("late-entry", "graz")
		f.awaitReady()
		qt.Check(t, f.status("late-entry").Generation, qt.Equals, int64(1))
		a := generateRequest{entry: "late-entry", prompt: "a card", tokens: 5}
		qt.Check(t, f.generate(a).complete, qt.IsTrue)
	})
}

// TestApplyWithLostResponse guards against changes that are lost or applied twice
// when the platform's response to a write is lost. Each write of the change loses
// its response in turn; repeated with the same ID, the change must be accepted
// exactly once.
func TestApplyWithLostResponse(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				n := 0
				f.platform.SetFaults(platformFaultConfig{DropResponse: func(string, string) bool {
					n++
					return n == lost+1
				}})
				f.addAccount("new")
				var generation int64
				for range 5 {
					response, err := f.tryApply("wien-entry", "second", 1)
					if err == nil {
						generation = response.Generation
						break
					}
					qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeUnknown)
				}
				qt.Check(t, generation, qt.Equals, int64(2))
				again := f.apply("graz-entry", "second", 1)
				qt.Check(t, again.Repeated, qt.IsTrue)
				qt.Check(t, again.Generation, qt.Equals, int64(2))
			})
		})
	}
}

// TestApplyWithAllResponsesLost guards against an apply that reports no change
// although the change was stored. While the platform's responses are lost, an
// apply must succeed or report that the outcome is unknown.
func TestApplyWithAllResponsesLost(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(platformFaultConfig{DropResponse: func(string, string) bool { return true }})
		f.addAccount("new")
		_, err := f.tryApply("wien-entry", "second", 1)
		head, decodeErr := configuration.DecodeHead(f.platform.Objects()[configuration.HeadKey].Value)
		qt.Assert(t, decodeErr, qt.IsNil)
		if err != nil && head.Generation == 2 {
			qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeUnknown)
		}
		f.platform.SetFaults(platformFaultConfig{})
		again := f.apply("graz-entry", "second", 1)
		qt.Check(t, again.Generation, qt.Equals, int64(2))
	})
}

func TestApplyDuringOutageIsRefused(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(platformFaultConfig{Down: true})
		f.addAccount("new")
		_, err := f.tryApply("wien-entry", "second", 1)
		qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeUnavailable)
		f.platform.SetFaults(platformFaultConfig{})
		time.Sleep(5 * time.Second)
		for name := range f.entries {
			qt.Check(t, f.status(name).Generation, qt.Equals, int64(1))
		}
	})
}

// TestConcurrentApplies guards against lost updates: of concurrent changes based
// on the same generation, one is accepted and the others are aborted. Every
// accepted change must remain in the stored history.
func TestConcurrentApplies(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var (
			mu       sync.Mutex
			group    sync.WaitGroup
			accepted = make(map[string]int64)
		)
		for i := range 9 {
			entry := testZones[i%3] + "-entry"
			id := fmt.Sprintf("change-%d", i)
			group.Go(func() {
				for range 20 {
					expected := f.status(entry).Generation
					response, err := f.tryApply(entry, id, expected)
					if err == nil {
						mu.Lock()
						accepted[id] = response.Generation
						mu.Unlock()
						return
					}
					qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeAborted)
					time.Sleep(time.Duration(i+1) * 50 * time.Millisecond)
				}
			})
		}
		group.Wait()
		qt.Check(t, accepted, qt.HasLen, 9)
		head, err := configuration.DecodeHead(f.platform.Objects()[configuration.HeadKey].Value)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, head.Generation, qt.Equals, int64(10))
		for id, generation := range accepted {
			change, ok := head.FindChange(id)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, change.Generation, qt.Equals, generation)
		}
	})
}

// TestInvalidSetIsRejected checks that an invalid set is rejected with every
// fault and its line, and that the configuration in force stays.
func TestInvalidSetIsRejected(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.addAccount("Bad Name")
		f.set.Models[0].Layers = 0
		response, err := f.tryApply("wien-entry", "second", 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(response.Faults) >= 2, qt.IsTrue)
		for _, fault := range response.Faults {
			qt.Check(t, fault.Line > 0, qt.IsTrue, qt.Commentf("%v", fault))
		}
		time.Sleep(3 * time.Second)
		qt.Check(t, f.status("wien-entry").Generation, qt.Equals, int64(1))
	})
}

// TestIsolatedZoneKeepsServing checks that an availability zone that is cut off
// from the platform and all peers for an hour continues to serve with its own
// upstreams.
func TestIsolatedZoneKeepsServing(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		f.net.Partition("wien", "platform")
		f.net.Partition("wien", "graz")
		f.net.Partition("wien", "linz")
		for range 60 {
			time.Sleep(time.Minute)
			a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: 5, stream: true}
			got := f.generate(a)
			f.checkResult(a, got)
			qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
			qt.Check(t, got.duration < tokenGapBound, qt.IsTrue)
		}
		// A booking needs the platform and is refused.
		got := f.book("wien-entry", "k1", "roses")
		qt.Check(t, got.verdict, qt.Equals, "not-run")
		qt.Check(t, got.retryAfter > 0, qt.IsTrue)
		f.net.Heal()
		time.Sleep(10 * time.Second)
		qt.Check(t, f.book("wien-entry", "k1", "roses").status, qt.Equals, 200)
		qt.Check(t, f.status("wien-entry").PlatformReachable, qt.IsTrue)
	})
}

// TestPlatformRestoredFromBackup guards against a rollback when the platform is
// restored from a backup whose head is older than the configuration in force. The
// next change must build on the configuration in force.
func TestPlatformRestoredFromBackup(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		backup := f.platform.Objects()
		for i, id := range []string{"second", "third"} {
			f.addAccount(id)
			f.apply("wien-entry", id, int64(i+1))
		}
		f.platform.Restore(backup)
		time.Sleep(5 * time.Second)
		qt.Check(t, f.status("graz-entry").Generation, qt.Equals, int64(3))
		f.addAccount("fourth")
		qt.Check(t, f.apply("graz-entry", "fourth", 3).Generation, qt.Equals, int64(4))
		for name := range f.entries {
			f.awaitGeneration(name, 4, adoptionBound)
		}
	})
}

// TestChangeIDWithAnotherSetIsRefused guards against an operator who is told that a
// change is accepted although it was taken for an earlier one with the same ID.
func TestChangeIDWithAnotherSetIsRefused(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.addAccount("one")
		f.apply("wien-entry", "second", 1)
		f.addAccount("two")
		_, err := f.tryApply("graz-entry", "second", 1)
		qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeInvalidArgument)
		qt.Check(t, f.apply("graz-entry", "third", 2).Generation, qt.Equals, int64(3))
	})
}
