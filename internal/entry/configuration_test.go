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

// adoptionBound is how long a reachable entry may take to put an accepted
// configuration in force.
const adoptionBound = 2 * time.Second

// addAccount changes the declared set.
func (f *fleet) addAccount(name string) {
	f.set.Accounts = append(f.set.Accounts, declaration.Account{Name: name, Priority: 1})
}

func TestAcceptedMeansInForceEverywhere(t *testing.T) {
	ways := map[string]func(f *fleet){
		"all in order":              func(*fleet) {},
		"watch silent":              func(f *fleet) { f.platform.SetFaults(faultsOfPlatform{HangWatches: true}) },
		"platform slow":             func(f *fleet) { f.platform.SetFaults(faultsOfPlatform{Delay: 200 * time.Millisecond}) },
		"one cut off from platform": func(f *fleet) { f.net.Partition("linz", "platform") },
		"one cut off from peers": func(f *fleet) {
			f.net.Partition("linz", "wien")
			f.net.Partition("linz", "graz")
		},
	}
	for way, fault := range ways {
		t.Run(way, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fleet) {
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

// TestSilentWatchAndNoPeers: the poll alone brings the configuration.
func TestSilentWatchAndNoPeers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(faultsOfPlatform{HangWatches: true})
		f.net.Partition("linz", "wien")
		f.net.Partition("linz", "graz")
		f.addAccount("new")
		f.apply("wien-entry", "second", 1)
		f.awaitGeneration("linz-entry", 2, adoptionBound)
	})
}

// TestNeverBack: reads that answer with an older version, and entries that
// restart during that, never take the configuration back.
func TestNeverBack(t *testing.T) {
	t.Parallel()
	inFleet(t, func(t *testing.T, f *fleet) {
		f.addAccount("new")
		f.apply("wien-entry", "second", 1)
		for name := range f.entries {
			f.awaitGeneration(name, 2, adoptionBound)
		}
		f.platform.SetFaults(faultsOfPlatform{StaleReads: true})
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

// TestStartDuringOutage: an entry that starts while the platform is down takes
// the configuration from its peers.
func TestStartDuringOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(faultsOfPlatform{Down: true})
		f.settings = seedWith("wien-entry", "wien")
		f.startEntry("late-entry", "graz")
		f.awaitReady()
		qt.Check(t, f.status("late-entry").Generation, qt.Equals, int64(1))
		a := ask{entry: "late-entry", prompt: "a card", tokens: 5}
		qt.Check(t, f.chat(a).whole, qt.IsTrue)
	})
}

// TestLostAnswerToApply: the answer of each write in turn is lost; sent again
// with the same ID, the change is accepted exactly once.
func TestLostAnswerToApply(t *testing.T) {
	for lost := range 4 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fleet) {
				n := 0
				f.platform.SetFaults(faultsOfPlatform{DropResponse: func(string, string) bool {
					n++
					return n == lost+1
				}})
				f.addAccount("new")
				var generation int64
				for range 5 {
					answer, err := f.tryApply("wien-entry", "second", 1)
					if err == nil {
						generation = answer.Generation
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

// TestAllAnswersLost: while every answer is lost, apply says that it does not
// know, or finds out; it never says that nothing has changed when it has.
func TestAllAnswersLost(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(faultsOfPlatform{DropResponse: func(string, string) bool { return true }})
		f.addAccount("new")
		_, err := f.tryApply("wien-entry", "second", 1)
		head, decodeErr := configuration.DecodeHead(f.platform.Objects()[configuration.HeadKey].Value)
		qt.Assert(t, decodeErr, qt.IsNil)
		if err != nil && head.Generation == 2 {
			qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeUnknown)
		}
		f.platform.SetFaults(faultsOfPlatform{})
		again := f.apply("graz-entry", "second", 1)
		qt.Check(t, again.Generation, qt.Equals, int64(2))
	})
}

func TestApplyDuringOutageIsRefused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.platform.SetFaults(faultsOfPlatform{Down: true})
		f.addAccount("new")
		_, err := f.tryApply("wien-entry", "second", 1)
		qt.Check(t, connect.CodeOf(err), qt.Equals, connect.CodeUnavailable)
		f.platform.SetFaults(faultsOfPlatform{})
		time.Sleep(5 * time.Second)
		for name := range f.entries {
			qt.Check(t, f.status(name).Generation, qt.Equals, int64(1))
		}
	})
}

// TestRacingOperators: of changes that build on the same generation, one wins
// and the others hear who; no accepted change is lost.
func TestRacingOperators(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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
					answer, err := f.tryApply(entry, id, expected)
					if err == nil {
						mu.Lock()
						accepted[id] = answer.Generation
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

// TestBadSetIsRefusedWhole: every fault is listed, with its line, and the
// configuration in force stays.
func TestBadSetIsRefusedWhole(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.addAccount("Bad Name")
		f.set.Models[0].Layers = 0
		answer, err := f.tryApply("wien-entry", "second", 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(answer.Faults) >= 2, qt.IsTrue)
		for _, fault := range answer.Faults {
			qt.Check(t, fault.Line > 0, qt.IsTrue, qt.Commentf("%v", fault))
		}
		time.Sleep(3 * time.Second)
		qt.Check(t, f.status("wien-entry").Generation, qt.Equals, int64(1))
	})
}

// TestHourWithoutPlatformOrPeers: a zone on its own goes on serving with its
// own upstreams.
func TestHourWithoutPlatformOrPeers(t *testing.T) {
	t.Parallel()
	inFleet(t, func(t *testing.T, f *fleet) {
		f.net.Partition("wien", "platform")
		f.net.Partition("wien", "graz")
		f.net.Partition("wien", "linz")
		for range 60 {
			time.Sleep(time.Minute)
			a := ask{entry: "wien-entry", prompt: "a card", tokens: 5, stream: true}
			got := f.chat(a)
			f.check(a, got)
			qt.Check(t, got.whole, qt.IsTrue, qt.Commentf("%+v", got))
			qt.Check(t, got.took < silenceBound, qt.IsTrue)
		}
		// A booking needs the platform; it is refused at once.
		got := f.book("wien-entry", "k1", "roses")
		qt.Check(t, got.verdict, qt.Equals, "not-run")
		qt.Check(t, got.retry > 0, qt.IsTrue)
		f.net.Heal()
		time.Sleep(10 * time.Second)
		qt.Check(t, f.book("wien-entry", "k1", "roses").status, qt.Equals, 200)
		qt.Check(t, f.status("wien-entry").PlatformReachable, qt.IsTrue)
	})
}

// TestPlatformRestoredFromBackup: the stored head is older than what is in
// force; the next change builds on what is in force all the same.
func TestPlatformRestoredFromBackup(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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
