package history

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Thresholds says when an answer counts as late.
type Thresholds struct {
	// FirstEvent is the longest time to the first event, Pause the longest between
	// two.
	FirstEvent, Pause time.Duration
}

// CauseCounter counts why requests were late or failed. Set Late, and Read each log;
// a request's lines must all be in one of them.
type CauseCounter struct {
	Thresholds Thresholds
	// Completed counts the requests whose end is logged.
	Completed int

	// begun are the lines of requests that have not ended yet, by ID.
	begun  map[string][]*Event
	counts map[cause]int
	// examples are the first requests of each cause.
	examples map[cause]string
}

// cause is why requests had the same fate.
type cause struct {
	// fate is what became of them, such as a late first event.
	fate string
	// why is what they waited for, as far as the lines tell.
	why string
}

// Fates of requests; a failed one has its reason beside.
const (
	lateFirst  = "first event late"
	latePause  = "pause too long"
	failedFate = "failed: "
)

// Read takes in the log of a process; source names it where its lines don't.
func (c *CauseCounter) Read(r io.Reader, source string) error {
	if c.begun == nil {
		c.begun = make(map[string][]*Event)
		c.counts = make(map[cause]int)
		c.examples = make(map[cause]string)
	}
	return readLines(r, source, c.take)
}

// take takes in a line; those about no request count for nothing.
func (c *CauseCounter) take(e *Event) {
	if e == nil || e.Request() == "" {
		return
	}
	id := e.Request()
	if e.Name != answeredEvent && e.Name != failedEvent {
		c.begun[id] = append(c.begun[id], e)
		return
	}
	lines := c.begun[id]
	delete(c.begun, id)
	c.Completed++
	fate := c.fate(e)
	if fate == "" {
		return
	}
	k := cause{fate, why(lines, e)}
	c.counts[k]++
	if c.examples[k] == "" {
		c.examples[k] = id
	}
}

// fate returns what became of a request; empty if it was answered in time.
func (c *CauseCounter) fate(end *Event) string {
	switch {
	case end.Name == failedEvent:
		return failedFate + end.Value(reasonKey)
	case end.duration(firstKey) > c.Thresholds.FirstEvent:
		return lateFirst
	case end.duration(pauseKey) > c.Thresholds.Pause:
		return latePause
	}
	return ""
}

// longWait is the time that a request waits for a place from which the wait is a
// cause.
const longWait = 100 * time.Millisecond

// slowFactor is how many times later than predicted a first event comes for
// which the prediction was wrong.
const slowFactor = 3

// why returns what a request waited for: the last of what went wrong.
func why(lines []*Event, end *Event) string {
	found := ""
	for _, e := range lines {
		switch e.Name {
		case "stage lost":
			found = "a stage was lost: " + e.Value("outcome")
		case "upstream crashed":
			found = "the first stage crashed"
		case "stream silent":
			if e.Value("at_fault") != "" {
				found = "a stage was lost: new attempt"
			}
		case "attempt failed":
			found = "an attempt failed: " + e.Value(reasonKey)
		}
	}
	if found != "" {
		return found
	}
	if len(lines) == 0 {
		return "it got no place"
	}
	return whySlow(lines, end)
}

// whySlow returns what a request waited for of which nothing went wrong.
func whySlow(lines []*Event, end *Event) string {
	for _, e := range lines {
		if e.Name != placeEvent {
			continue
		}
		waited := e.Time.Sub(end.arrived())
		predicted := e.duration(predictedKey)
		switch {
		case waited > longWait:
			return "it waited for a place"
		case predicted > 0 && end.duration(firstKey) > slowFactor*(waited+predicted):
			return "upstreams were slower than predicted"
		}
	}
	return "upstreams were slow"
}

// Print writes the causes, the most frequent first, with a request as example.
func (c *CauseCounter) Print(w io.Writer) error {
	causes := make([]cause, 0, len(c.counts))
	for k := range c.counts {
		causes = append(causes, k)
	}
	slices.SortFunc(causes, func(a, b cause) int {
		return cmp.Or(cmp.Compare(c.counts[b], c.counts[a]), cmp.Compare(a.fate, b.fate), cmp.Compare(a.why, b.why))
	})
	fmt.Fprintf(w, "%d requests ended, %d have no line on their end\n\n", c.Completed, len(c.begun))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, k := range causes {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", c.counts[k], k.fate, k.why, c.examples[k])
	}
	return t.Flush()
}
