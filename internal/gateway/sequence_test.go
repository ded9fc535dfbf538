package gateway

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// TestBrokenRunsJoin joins random streams, whose IDs rise evenly or not, from runs that
// break at random bytes: whatever the protocol allows must arrive whole, each event
// once and in order, whether or not another run may be made for an event in doubt.
func TestBrokenRunsJoin(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 0))
		ids, events := randomEvents(r)
		var sequence eventSequence
		var got strings.Builder
		runs, doubts := 0, 0
		for end := error(nil); end != io.EOF; runs++ {
			qt.Assert(t, runs <= 40, qt.IsTrue, qt.Commentf("seed %d: %v", seed, end))
			due := ""
			for i, id := range ids {
				if !sequence.known || id > sequence.last {
					due = strings.Join(events[i:], "")
					break
				}
			}
			source := io.Reader(strings.NewReader(due))
			if r.IntN(3) > 0 && runs < 20 {
				source = io.MultiReader(strings.NewReader(due[:r.IntN(len(due)+1)]), iotest.ErrReader(errors.New("broken")))
			}
			if r.IntN(2) > 0 {
				source = iotest.OneByteReader(source)
			}
			end = joinRun(&sequence, source, &got, func() bool { doubts++; return r.IntN(2) > 0 })
		}
		// A comment may come once more with the event after it.
		uncommented := strings.NewReplacer(comment, "")
		qt.Assert(t, uncommented.Replace(got.String()), qt.Equals, uncommented.Replace(strings.Join(events, "")), qt.Commentf("seed %d, %v", seed, ids))
		qt.Assert(t, sequence.checkEnd(), qt.IsNil, qt.Commentf("seed %d", seed))
		qt.Assert(t, doubts <= runs, qt.IsTrue)
	}
}

const comment = ": alive\n\n"

// randomEvents returns the IDs and the text of the events of a stream.
func randomEvents(r *rand.Rand) (ids []uint64, events []string) {
	id, largest := uint64(r.IntN(3)), 1+r.IntN(2)*r.IntN(20)
	for range 1 + r.IntN(12) {
		ids = append(ids, id)
		events = append(events, fmt.Sprintf("%sid: %d\ndata: token-%d\n\n", strings.Repeat(comment, r.IntN(4)/3), id, id))
		id += 1 + uint64(r.IntN(largest))
	}
	return ids, events
}

// joinRun appends the events of a run that count. If the run is in doubt, otherRun
// says whether another one is made instead. The error is io.EOF at the end of a run
// that is whole.
func joinRun(sequence *eventSequence, source io.Reader, out *strings.Builder, otherRun func() bool) error {
	sequence.beginRun()
	reader := eventReader{source: source, sequence: sequence}
	for {
		events, err := reader.next()
		switch {
		case errors.Is(err, errLargerStep) && !otherRun():
			reader.acceptHeld()
		case err == io.EOF:
			return io.EOF
		case err != nil:
			reader.breakOff()
			return err
		}
		out.Write(events)
	}
}
