package history

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrRequestNotFound is returned if no line is about the request.
var ErrRequestNotFound = errors.New("history: no line about this request")

// maxLineBytes is the maximum length of a line of a log.
const maxLineBytes = 1 << 20

// RequestLog collects from the logs of several processes the events that may explain
// what happened to one request. Set Request, then call Read for each log.
type RequestLog struct {
	// Request is the ID of the request.
	Request string
	// SkippedLines is the number of lines that are not events.
	SkippedLines int

	// requestEvents are the events about the request, otherEvents those about no
	// request.
	requestEvents, otherEvents []*Event
}

// Read reads the log of a process. source is the name of the process for lines that
// don't name it.
func (l *RequestLog) Read(r io.Reader, source string) error { return readLines(r, source, l.add) }

// add adds the event of a line; e is nil if the line is not an event.
func (l *RequestLog) add(e *Event) {
	if e == nil {
		l.SkippedLines++
		return
	}
	switch e.Request() {
	case l.Request:
		l.requestEvents = append(l.requestEvents, e)
	case "":
		l.otherEvents = append(l.otherEvents, e)
	}
}

// readLines calls add with the event of each line of a log, or nil for a line that
// is not an event. source is the name of the process for lines that don't name it.
func readLines(r io.Reader, source string, add func(e *Event)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		add(parseEvent(lines.Text(), source))
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("history: %s: %w", source, err)
	}
	return nil
}

// Timeline holds what happened to a request.
type Timeline struct {
	Request string
	// Events are ordered by time.
	Events []*TimelineEvent
	// Start is when the request arrived, or the time of its first event if the time
	// of arrival is unknown.
	Start time.Time
	// End is the last event about the request. Unless that line is missing, it
	// tells the outcome.
	End *Event
}

// TimelineEvent is an event of a timeline.
type TimelineEvent struct {
	*Event
	// OtherObservers is the number of further processes that logged the same change
	// shortly afterwards.
	OtherObservers int
}

// Ended reports whether the logs contain the outcome of the request.
func (t *Timeline) Ended() bool { return t.End.Name == answeredEvent || t.End.Name == failedEvent }

// Timeline returns the events about the request, and other events that may explain
// what happened to it. The durations before and after extend the period of the other
// events beyond the start and the end of the request. Timeline fails with
// [ErrRequestNotFound] if no line is about the request.
func (l *RequestLog) Timeline(before, after time.Duration) (*Timeline, error) {
	if len(l.requestEvents) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrRequestNotFound, l.Request)
	}
	slices.SortStableFunc(l.requestEvents, byTime)
	t := &Timeline{Request: l.Request, Start: startTime(l.requestEvents), End: l.requestEvents[len(l.requestEvents)-1]}
	p := l.participants()
	events := slices.Clone(l.requestEvents)
	for _, e := range l.otherEvents {
		if e.Time.Before(t.Start.Add(-before)) || e.Time.After(t.End.Time.Add(after)) {
			continue
		}
		if p.mayExplain(e) {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, byTime)
	for _, e := range events {
		t.add(e, &p)
	}
	return t, nil
}

func byTime(a, b *Event) int { return a.Time.Compare(b.Time) }

// duplicateWindow is how long after the first event on a change other processes may
// log the same: about the time that a change takes to reach every process.
const duplicateWindow = 2 * time.Second

// add adds the next event. Events of the processes that served the request are always
// added. An event of another process is only counted if one for the same change has
// been added already.
func (t *Timeline) add(e *Event, p *participants) {
	if !p.gateways[e.Gateway] {
		if first := t.findSame(e); first != nil {
			first.OtherObservers++
			return
		}
	}
	t.Events = append(t.Events, &TimelineEvent{Event: e})
}

// findSame returns the event of another process on the same change as e, or nil.
func (t *Timeline) findSame(e *Event) *TimelineEvent {
	for _, seen := range slices.Backward(t.Events) {
		if e.Time.Sub(seen.Time) > duplicateWindow {
			return nil
		}
		if seen.Gateway != e.Gateway && seen.sameChange(e) {
			return seen
		}
	}
	return nil
}

// startTime returns when the request arrived, or the time of its first event if that
// is unknown.
func startTime(events []*Event) time.Time {
	start := events[0].Time
	last := events[len(events)-1]
	if arrival := last.arrival(); arrival.Before(start) {
		return arrival
	}
	return start
}

// participants holds the names of the processes and upstreams that took part in a
// request.
type participants struct {
	gateways, upstreams map[string]bool
}

// participants returns the participants of the request.
func (l *RequestLog) participants() participants {
	p := participants{gateways: make(map[string]bool), upstreams: make(map[string]bool)}
	for _, e := range l.requestEvents {
		p.gateways[e.Gateway] = true
		for _, key := range upstreamKeys {
			for name := range strings.SplitSeq(e.Value(key), ",") {
				p.upstreams[name] = true
			}
		}
	}
	return p
}

// mayExplain reports whether an event that is about no request may explain what
// happened to this one. Such events are all events about its upstreams, whichever
// process logged them, and events of the processes that served it that are about no
// upstream.
func (p *participants) mayExplain(e *Event) bool {
	upstream := e.Value(upstreamKey)
	if upstream != "" {
		return p.upstreams[upstream]
	}
	return p.gateways[e.Gateway]
}
