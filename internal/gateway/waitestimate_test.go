package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBegunStreamIsNotCutByEstimate guards against a stream that is cut, although it
// might wait for another engine, because a few requests were slow to leave the queue.
func TestBegunStreamIsNotCutByEstimate(t *testing.T) {
	for _, begun := range []bool{false, true} {
		c := qt.New(t)
		s := newState(t)
		now := 10 * time.Second
		s.dispatchRate("llm").Record(bootTime(now - time.Second))
		s.dispatchRate("llm").Record(bootTime(now))
		s.loadOf("e").tokenLayers = 1e9
		s.admit(newWaiting("first", s.table.Services["llm"], now), now)
		w := newWaiting("w", s.table.Services["llm"], now)
		if begun {
			w.q.attemptHistory.recordEvent(now)
		}
		s.admit(w, now)
		c.Assert(s.queue.Len("llm") == 2, qt.Equals, begun)
		if !begun {
			continue
		}
		s.loadOf("e").tokenLayers = 0
		s.dispatch(now + testStep)
		c.Check((<-w.reply).err, qt.IsNil)
	}
}
