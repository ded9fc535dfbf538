package history_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/history"
	"lovageport.example/pkg/verdict"
)

var update = flag.Bool("update", false, "write the expected timelines to testdata")

// readTestdata reads the logs of three gateways. They are from a run in which engines
// crashed and restarted.
func readTestdata(t *testing.T, request string) *history.RequestLog {
	t.Helper()
	files, err := filepath.Glob("testdata/*.log")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 3)
	log := &history.RequestLog{Request: request}
	for _, file := range files {
		f, err := os.Open(file)
		qt.Assert(t, err, qt.IsNil)
		err = log.Read(f, file)
		f.Close()
		qt.Assert(t, err, qt.IsNil)
	}
	return log
}

// TestTimelines compares printed timelines with golden files and checks the order of
// their most important parts.
func TestTimelines(t *testing.T) {
	for _, x := range []struct {
		name, request string
		// order lists texts that the output must contain in this order.
		order []string
	}{
		{
			name: "late", request: "e80d1c31738f107f",
			order: []string{
				"upstream left alone", "upstream=i-696cf65ec8 zone=graz fault=full",
				"front-graz-2 +1  upstream left alone",
				"stream silent", "at_fault=i-696cf65ec8",
				"attempt=2", "request answered", "longest pause 1.55",
			},
		},
		{
			name: "unfinished", request: "f0c5bd3db9966912",
			order: []string{"attempt=1", "stream broke", "upstream crashed", "attempt=2", "attempt failed", "attempt=3", "no line says how it ended"},
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			timeline, err := readTestdata(t, x.request).Timeline(5*time.Second, time.Second)
			qt.Assert(t, err, qt.IsNil)
			var out bytes.Buffer
			qt.Assert(t, timeline.Print(&out), qt.IsNil)
			rest := out.String()
			for _, part := range x.order {
				_, after, found := strings.Cut(rest, part)
				qt.Assert(t, found, qt.IsTrue, qt.Commentf("%q missing or too early in\n%s", part, out.String()))
				rest = after
			}
			golden := filepath.Join("testdata", x.name+".txt")
			if *update {
				qt.Assert(t, os.WriteFile(golden, out.Bytes(), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, out.String(), qt.Equals, string(want))
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	_, err := readTestdata(t, "nobody").Timeline(time.Second, time.Second)
	qt.Check(t, err, qt.ErrorIs, history.ErrRequestNotFound)
}

// TestLinesThatAreNotEvents checks that lines which are not events are counted and
// skipped, and that text before an event is taken as the name of its process.
func TestLinesThatAreNotEvents(t *testing.T) {
	text := strings.Join([]string{
		"panic: something else",
		`12.5 front-1 | time=2026-01-01T00:00:01Z level=info event="place given" request=r1 upstream=u1`,
		`time=2026-01-01T00:00:02Z level=info event="request failed" request=r1 reason=upstream_lost verdict=may-have-run status=502 took=1s`,
		"time=yesterday event=x",
		"time=2026-01-01T00:00:0",
		`time=2026-01-01T00:00:03Z event="torn" text="no end`,
	}, "\n")
	log := &history.RequestLog{Request: "r1"}
	qt.Assert(t, log.Read(strings.NewReader(text), "a.log"), qt.IsNil)
	qt.Check(t, log.SkippedLines, qt.Equals, 4)
	timeline, err := log.Timeline(0, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, timeline.Events, qt.HasLen, 2)
	qt.Check(t, timeline.Events[0].Gateway, qt.Equals, "12.5 front-1")
	qt.Check(t, timeline.Events[1].Gateway, qt.Equals, "a.log")
	qt.Check(t, timeline.Ended(), qt.IsTrue)
	qt.Check(t, timeline.Outcome(), qt.Contains, history.Hint(verdict.UpstreamLost))
}

// TestOutcomeShowsExpectedFirstEvent checks that the outcome shows the expected time
// to the first event: the time until the placement plus the time predicted then.
func TestOutcomeShowsExpectedFirstEvent(t *testing.T) {
	text := `time=2026-01-01T00:00:01.1Z level=info event="place given" request=r1 upstream=u1 predicted_first=60ms
time=2026-01-01T00:00:03Z level=info event="request answered" request=r1 status=200 took=2s first_event=900ms longest_pause=40ms attempts=1
`
	log := &history.RequestLog{Request: "r1"}
	qt.Assert(t, log.Read(strings.NewReader(text), "a.log"), qt.IsNil)
	timeline, err := log.Timeline(0, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, timeline.Outcome(), qt.Contains, "first event after 900ms (expected after 160ms)")
}
