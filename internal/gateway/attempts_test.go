package gateway

import (
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAttemptHistory checks what counts as sent and as a possible run.
func TestAttemptHistory(t *testing.T) {
	for _, x := range []struct {
		name       string
		record     func(*attemptHistory)
		sent       bool
		runs       []string
		ran        int
		firstStage string
	}{
		{"nothing sent", func(*attemptHistory) {}, false, nil, 0, ""},
		{"response awaited", func(h *attemptHistory) { h.beginSend("a") }, true, []string{"a"}, 0, ""},
		{"two responses awaited", func(h *attemptHistory) { h.beginSend("a"); h.beginSend("b") }, true, []string{"a", "b"}, 0, ""},
		{"not sent after all", func(h *attemptHistory) { h.beginSend("a"); h.endSend("a") }, false, nil, 0, ""},
		{"one of two not sent", func(h *attemptHistory) { h.beginSend("a"); h.beginSend("b"); h.endSend("a") }, true, []string{"b"}, 0, ""},
		{"refused", func(h *attemptHistory) { h.beginSend("a"); h.recordRefusal(); h.endSend("a") }, true, nil, 0, ""},
		{"may have run", func(h *attemptHistory) { h.beginSend("a"); h.recordRun("a"); h.endSend("a") }, true, []string{"a"}, 1, ""},
		{"answers", func(h *attemptHistory) { h.beginSend("a"); h.recordResponse("a"); h.endSend("a") }, true, []string{"a"}, 1, "a"},
		{"sent once more", func(h *attemptHistory) { h.recordRun("a"); h.beginSend("a"); h.beginSend("b") }, true, []string{"a", "b"}, 1, ""},
		{"end without begin", func(h *attemptHistory) { h.endSend("a") }, false, nil, 0, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			var h attemptHistory
			x.record(&h)
			qt.Check(t, h.history(), qt.Equals, history{sent: x.sent, firstStage: x.firstStage})
			runs := h.possibleRuns()
			slices.Sort(runs)
			qt.Check(t, runs, qt.DeepEquals, x.runs)
			qt.Check(t, h.upstreamsRun(), qt.Equals, x.ran)
			qt.Check(t, h.mayHaveRun(), qt.Equals, x.ran > 0)
		})
	}
}

// TestRecordEvent checks the pauses between events.
func TestRecordEvent(t *testing.T) {
	q := &request{arrived: time.Second}
	for i, at := range []time.Duration{3 * time.Second, 4 * time.Second, 7 * time.Second, 8 * time.Second} {
		qt.Check(t, q.recordEvent(at), qt.Equals, []time.Duration{0, time.Second, 3 * time.Second, time.Second}[i])
	}
	qt.Check(t, q.firstEvent, qt.Equals, 2*time.Second)
	qt.Check(t, q.longestPause, qt.Equals, 3*time.Second)
	qt.Check(t, q.history().lastEvent, qt.Equals, 8*time.Second)
}

// TestAttemptHistoryIsShared lets the race detector see an attempt and the control
// loop use a history at once.
func TestAttemptHistoryIsShared(t *testing.T) {
	var h attemptHistory
	var both sync.WaitGroup
	both.Go(func() {
		for range 100 {
			h.beginSend("a")
			h.recordResponse("a")
			h.recordEvent(time.Second)
			h.endSend("a")
		}
	})
	both.Go(func() {
		for range 100 {
			h.countAttempt()
			_, _ = h.history(), h.possibleRuns()
			h.discountAttempt()
		}
	})
	both.Wait()
	qt.Check(t, h.history(), qt.Equals, history{sent: true, firstStage: "a", lastEvent: time.Second})
}

// TestHistoryIsCheap guards against copies of the history of each request, which the
// control loop makes for each target that it assigns.
func TestHistoryIsCheap(t *testing.T) {
	var h attemptHistory
	h.recordRun("a")
	var fresh attemptHistory
	allocations := testing.AllocsPerRun(100, func() {
		_ = h.history()
		_ = fresh.possibleRuns()
	})
	qt.Check(t, allocations, qt.Equals, 0.0)
}
