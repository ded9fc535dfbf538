package entry_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	standinservice "lovageport.example/internal/standin/service"
	"lovageport.example/pkg/declaration"
)

// newTerms are changes of the configuration that meet a running stream. None may
// end it.
var newTerms = map[string]func(set *declaration.Set){
	"model removed": func(set *declaration.Set) {
		const other = "another"
		set.Models[0].Name, set.Pipelines[0].Model = other, other
		for i := range set.Upstreams {
			for j := range set.Upstreams[i].Held {
				set.Upstreams[i].Held[j].Model = other
			}
		}
	},
	"model with other layers": func(set *declaration.Set) {
		set.Models[0].Layers *= 2
		for i := range set.Upstreams {
			for j := range set.Upstreams[i].Held {
				set.Upstreams[i].Held[j].From *= 2
				set.Upstreams[i].Held[j].To *= 2
			}
		}
	},
	"shorter answers": func(set *declaration.Set) { set.Models[0].MaxOutputTokens = 1 },
	"account removed": func(set *declaration.Set) { set.Accounts = nil },
	"key revoked":     func(set *declaration.Set) { set.Accounts[0].KeyHashes = set.Accounts[1].KeyHashes[:0] },
	"upstreams removed": func(set *declaration.Set) {
		set.Loans = slices.DeleteFunc(set.Loans, func(l declaration.Loan) bool { return l.Name == "wien" })
		set.Upstreams = slices.DeleteFunc(set.Upstreams, func(u declaration.Upstream) bool { return strings.HasPrefix(u.Name, "wien-engine") })
	},
	"loan ended": func(set *declaration.Set) { set.Loans[0].Accepted = false },
}

// TestRunningStreamKeepsItsTerms guards against a stream that ends because the
// configuration has changed since it was accepted, also when it has to be resumed.
func TestRunningStreamKeepsItsTerms(t *testing.T) {
	for name, change := range newTerms {
		for _, lost := range []bool{false, true} {
			t.Run(name+map[bool]string{true: "/stage lost", false: ""}[lost], func(t *testing.T) {
				t.Parallel()
				withFleet(t, func(t *testing.T, f *fleet) {
					time.AfterFunc(200*time.Millisecond, func() {
						change(&f.set)
						f.apply("wien-entry", "new terms", 1)
						if lost {
							time.Sleep(500 * time.Millisecond)
							f.net.Kill("wien-engine-1")
						}
					})
					a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: 200, stream: true}
					got := f.generate(a)
					f.checkResult(a, got)
					qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
					qt.Check(t, f.status("wien-entry").Generation, qt.Equals, int64(2))
				})
			})
		}
	}
}

// TestRunningCallKeepsItsTerms guards against a call that is not tried again because
// its service was removed while the first attempt ran.
func TestRunningCallKeepsItsTerms(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.services["wien-service"].SetFaults(standinservice.Faults{Delay: time.Second, ResetAfter: true})
		time.AfterFunc(200*time.Millisecond, func() {
			f.set.Services = nil
			f.apply("wien-entry", "new terms", 1)
		})
		got := f.stock("wien-entry", "")
		qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
		qt.Check(t, f.status("wien-entry").Generation, qt.Equals, int64(2))
		qt.Check(t, f.stock("wien-entry", "").status, qt.Equals, 404)
	})
}

// TestEndedTermsGiveNoNewWork guards against the use of an upstream under the terms
// of a running stream after its owner has withdrawn it or it was removed.
func TestEndedTermsGiveNoNewWork(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		time.AfterFunc(200*time.Millisecond, func() {
			newTerms["model removed"](&f.set)
			isGone := func(name string) bool { return name == "graz-engine-1" }
			f.set.Upstreams = slices.DeleteFunc(f.set.Upstreams, func(u declaration.Upstream) bool { return isGone(u.Name) })
			for i := range f.set.Loans {
				f.set.Loans[i].Upstreams = slices.DeleteFunc(f.set.Loans[i].Upstreams, isGone)
			}
			f.apply("wien-entry", "new terms", 1)
			f.withdraw("wien-entry", "linz-engine-1")
			f.net.Kill("wien-engine-1")
		})
		a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: 200, stream: true}
		got := f.generate(a)
		f.checkResult(a, got)
		qt.Check(t, got.complete, qt.IsFalse)
		for _, name := range []string{"graz-engine-1", "linz-engine-1"} {
			qt.Check(t, f.engines[name].AcceptedAttempts(), qt.HasLen, 0)
		}
	})
}
