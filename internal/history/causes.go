package history

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Thresholds defines when a response counts as late.
type Thresholds struct {
	// FirstEvent is the maximum time to the first event, Pause the maximum time
	// between two events.
	FirstEvent, Pause time.Duration
}

// CauseCounter counts the causes of late and failed requests. Set Thresholds, then
// call Read for each log. All lines about a request must be in the same log.
type CauseCounter struct {
	Thresholds Thresholds
	// Completed is the number of requests whose end is logged.
	Completed int

	// active holds the events of requests whose end has not been read, by ID.
	active map[string][]*Event
	counts map[cause]int
	// examples holds the ID of the first request of each cause.
	examples map[cause]string
}

// cause is a symptom of requests together with its explanation.
type cause struct {
	// symptom is what went wrong for the caller, such as a late first event.
	symptom string
	// explanation is the reason for the symptom, as far as the logs show it.
	explanation string
}

// Symptoms. failedPrefix is followed by the reason.
const (
	lateFirstEvent = "first event late"
	longPause      = "pause too long"
	failedPrefix   = "failed: "
)

// Read reads the log of a process. source is the name of the process for lines that
// don't name it.
func (c *CauseCounter) Read(r io.Reader, source string) error {
	if c.active == nil {
		c.active = make(map[string][]*Event)
		c.counts = make(map[cause]int)
		c.examples = make(map[cause]string)
	}
	return readLines(r, source, c.add)
}

// add adds the event of a line. It ignores events that are about no request; e is nil
// if the line is not an event.
func (c *CauseCounter) add(e *Event) {
	if e == nil || e.Request() == "" {
		return
	}
	id := e.Request()
	if e.Name != answeredEvent && e.Name != failedEvent {
		c.active[id] = append(c.active[id], e)
		return
	}
	events := c.active[id]
	delete(c.active, id)
	c.Completed++
	symptom := c.symptom(e)
	if symptom == "" {
		return
	}
	k := cause{symptom, explain(events, e)}
	c.counts[k]++
	if c.examples[k] == "" {
		c.examples[k] = id
	}
}

// symptom returns the symptom of a request; empty if it was answered in time.
func (c *CauseCounter) symptom(end *Event) string {
	switch {
	case end.Name == failedEvent:
		return failedPrefix + end.Value(reasonKey)
	case end.duration(firstKey) > c.Thresholds.FirstEvent:
		return lateFirstEvent
	case end.duration(pauseKey) > c.Thresholds.Pause:
		return longPause
	}
	return ""
}

// longWait is the wait for placement above which the wait counts as the cause of a
// delay.
const longWait = 100 * time.Millisecond

// slowFactor is the ratio of the actual to the predicted time to the first event
// above which upstreams count as slower than predicted.
const slowFactor = 3

// explain returns the explanation of a symptom: the last failure that the request met,
// or else the reason for its delay.
func explain(events []*Event, end *Event) string {
	explanation := ""
	for _, e := range events {
		switch e.Name {
		case "stage lost":
			explanation = "a stage was lost: " + e.Value("outcome")
		case "upstream crashed":
			explanation = "the first stage crashed"
		case "stream silent":
			if e.Value("at_fault") != "" {
				explanation = "a stage was lost: new attempt"
			}
		case "attempt failed":
			explanation = "an attempt failed: " + e.Value(reasonKey)
		}
	}
	if explanation != "" {
		return explanation
	}
	if len(events) == 0 {
		return "it was not placed"
	}
	return explainDelay(events, end)
}

// explainDelay returns why a request was slow that met no failure.
func explainDelay(events []*Event, end *Event) string {
	for _, e := range events {
		if e.Name != placementEvent {
			continue
		}
		waited := e.Time.Sub(end.arrival())
		predicted := e.duration(predictedKey)
		switch {
		case waited > longWait:
			return "it waited to be placed"
		case predicted > 0 && end.duration(firstKey) > slowFactor*(waited+predicted):
			return "upstreams were slower than predicted"
		}
	}
	return "upstreams were slow"
}

// Print writes the causes, the most frequent first, with their counts and the ID of a
// request as an example.
func (c *CauseCounter) Print(w io.Writer) error {
	causes := make([]cause, 0, len(c.counts))
	for k := range c.counts {
		causes = append(causes, k)
	}
	slices.SortFunc(causes, func(a, b cause) int {
		return cmp.Or(cmp.Compare(c.counts[b], c.counts[a]), cmp.Compare(a.symptom, b.symptom), cmp.Compare(a.explanation, b.explanation))
	})
	fmt.Fprintf(w, "%d requests ended, the end of %d is not logged\n\n", c.Completed, len(c.active))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, k := range causes {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", c.counts[k], k.symptom, k.explanation, c.examples[k])
	}
	return t.Flush()
}
