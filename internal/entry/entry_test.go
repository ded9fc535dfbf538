package entry_test

import (
	"flag"
	"io"
	"log"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"lovageport.example/pkg/verdict"
)

// discardLog keeps the errors of stand-ins that simulate faults out of the test
// output.
var discardLog = log.New(io.Discard, "", 0)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// withFleet runs a test with a new fleet, in virtual time.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet), options ...option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, options...)
		test(t, f)
	})
}

func TestAnswerMatchesEngineOutput(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, stream := range []bool{false, true} {
			a := generateRequest{entry: "wien-entry", prompt: "a card for Mother", tokens: 20, stream: stream}
			got := f.generate(a)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Check(t, got.complete, qt.IsTrue)
			qt.Check(t, got.tokens, qt.Equals, 20)
			f.checkResult(a, got)
		}
	})
}

func TestBookingRunsOnceAndIsReplayed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := f.book("wien-entry", "k1", "roses")
		qt.Assert(t, first.status, qt.Equals, 200)
		again := f.book("graz-entry", "k1", "roses")
		qt.Check(t, again.status, qt.Equals, 200)
		qt.Check(t, again.replayed, qt.IsTrue)
		qt.Check(t, again.text, qt.Equals, first.text)
		other := f.book("graz-entry", "k1", "tulips")
		qt.Check(t, other.reason, qt.Equals, verdict.KeyReused)
		qt.Check(t, f.effects("k1"), qt.Equals, 1)
	})
}

// seeds is the number of seeds that tests with random faults run.
var seeds = flag.Int("seeds", 3, "seeds that tests with random faults run")
