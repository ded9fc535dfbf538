package entry_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	standinengine "lovageport.example/internal/standin/engine"
)

// stillTime is how long the engines of TestQuietStreamIsNotCutWithoutSuccessor
// stand still. It is several times the silence after which a stage is suspected.
const stillTime = 3 * time.Second

// onlyZone leaves the engines of one availability zone in the pool.
func onlyZone(zone string) option {
	return func(f *fleet) {
		for i := range f.set.Loans {
			f.set.Loans[i].Accepted = f.set.Loans[i].Name == zone
		}
	}
}

// freezeDuring makes an engine stand still for stillTime from a moment on.
func (f *fleet) freezeDuring(name string, from time.Duration) {
	time.AfterFunc(from, func() { f.freeze(name, true) })
	time.AfterFunc(from+stillTime, func() { f.freeze(name, false) })
}

// TestQuietStreamIsNotCutWithoutSuccessor guards against a stream that is cut
// because one of its engines stood still for a time, although it goes on
// afterwards, when no other attempt can take over.
func TestQuietStreamIsNotCutWithoutSuccessor(t *testing.T) {
	for _, x := range []struct {
		name string
		// prevent makes sure that no other chain can serve the stream.
		prevent func(f *fleet)
		option  option
	}{
		{"no other engines", func(*fleet) {}, onlyZone("wien")},
		{"others withdrawn", func(f *fleet) { f.withdraw("wien-entry", "graz-engine-0", "linz-engine-0") }, func(*fleet) {}},
		{"others busy", func(f *fleet) {
			f.engines["graz-engine-0"].SetFaults(standinengine.Faults{Busy: true})
			f.engines["linz-engine-0"].SetFaults(standinengine.Faults{Busy: true})
		}, func(*fleet) {}},
		{"others break off", func(f *fleet) {
			for name, e := range f.engines {
				if !strings.HasPrefix(name, "wien") {
					e.SetFaults(standinengine.Faults{Reset: true})
				}
			}
		}, func(*fleet) {}},
	} {
		for _, stage := range []string{"wien-engine-0", "wien-engine-2"} {
			t.Run(x.name+"/"+stage, func(t *testing.T) {
				t.Parallel()
				withFleet(t, func(t *testing.T, f *fleet) {
					x.prevent(f)
					if x.name != "no other engines" && stage == "wien-engine-2" {
						// Stages of other zones could complete the chain.
						f.withdraw("wien-entry", "graz-engine-2", "linz-engine-2")
					}
					f.freezeDuring(stage, 100*time.Millisecond)
					a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: 40, stream: true}
					got := f.generate(a)
					f.checkResult(a, got)
					qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
				}, x.option)
			})
		}
	}
}
