package history_test

import (
	"os"
	"strings"
	"time"

	"lovageport.example/internal/history"
)

// In this log, request a is answered in time, e has not ended, and the others are late
// or fail.
func ExampleCauseCounter() {
	log := `time=2026-12-04T10:00:00Z level=info event="place given" gateway=g1 request=a attempt=1
time=2026-12-04T10:00:01Z level=info event="request answered" gateway=g1 request=a status=200 took=1s first_event=60ms longest_pause=40ms
time=2026-12-04T10:00:01Z level=info event="place given" gateway=g1 request=b attempt=1
time=2026-12-04T10:00:02Z level=info event="stage lost" gateway=g1 request=b at_fault=e2 outcome=replaced
time=2026-12-04T10:00:03Z level=info event="request answered" gateway=g1 request=b status=200 took=2s first_event=60ms longest_pause=310ms
time=2026-12-04T10:00:03Z level=info event="place given" gateway=g1 request=c attempt=1
time=2026-12-04T10:00:04Z level=info event="request answered" gateway=g1 request=c status=200 took=1.8s first_event=900ms longest_pause=40ms
time=2026-12-04T10:00:04Z level=info event="request failed" gateway=g1 request=d status=503 took=1.2s reason=deadline_unmeetable
time=2026-12-04T10:00:05Z level=info event="place given" gateway=g1 request=e attempt=1
time=2026-12-04T10:00:06Z level=info event="place given" gateway=g1 request=f attempt=1 predicted_first=40ms
time=2026-12-04T10:00:07Z level=info event="request answered" gateway=g1 request=f status=200 took=1s first_event=700ms longest_pause=40ms
time=2026-12-04T10:00:08Z level=info event="place given" gateway=g1 request=g attempt=1 predicted_first=600ms
time=2026-12-04T10:00:09Z level=info event="request answered" gateway=g1 request=g status=200 took=1s first_event=700ms longest_pause=40ms
`
	c := history.CauseCounter{Thresholds: history.Thresholds{FirstEvent: 500 * time.Millisecond, Pause: 200 * time.Millisecond}}
	if err := c.Read(strings.NewReader(log), "g1.log"); err != nil {
		panic(err)
	}
	if err := c.Print(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// 6 requests ended, the end of 1 is not logged
	//
	// 1  failed: deadline_unmeetable  it was not placed                     d
	// 1  first event late             it waited to be placed                c
	// 1  first event late             upstreams were slow                   g
	// 1  first event late             upstreams were slower than predicted  f
	// 1  pause too long               a stage was lost: replaced            b
}
