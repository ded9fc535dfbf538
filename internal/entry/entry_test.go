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

// quietLog keeps the errors of stand-ins that are told to fail out of the
// tests' output.
var quietLog = log.New(io.Discard, "", 0)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inFleet runs a test over a fresh fleet, in virtual time.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet), options ...option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, options...)
		test(t, f)
	})
}

func TestAnswers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for _, stream := range []bool{false, true} {
			a := ask{entry: "wien-entry", prompt: "a card for Mother", tokens: 20, stream: stream}
			got := f.chat(a)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Check(t, got.whole, qt.IsTrue)
			qt.Check(t, got.tokens, qt.Equals, 20)
			f.check(a, got)
		}
	})
}

func TestBookingRunsOnceAndIsReplayed(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
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

// seeds is how many seeds the tests with random faults run.
var seeds = flag.Int("seeds", 3, "seeds that tests with random faults run")
