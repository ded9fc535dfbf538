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

// ErrRequestNotFound says that no line names the request.
var ErrRequestNotFound = errors.New("history: no line about this request")

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// RequestLog holds the lines of the logs of several processes that may matter to one
// request. Set Request, and Read each log.
type RequestLog struct {
	// Request is the ID of the request asked for.
	Request string
	// SkippedLines counts the lines that are not events.
	SkippedLines int

	// own are the events about the request, others those about no request.
	own, others []*Event
}

// Read takes in the log of a process; source names it where its lines don't.
func (l *RequestLog) Read(r io.Reader, source string) error { return readLines(r, source, l.take) }

// take takes in a line; e is nil if it is no event.
func (l *RequestLog) take(e *Event) {
	if e == nil {
		l.SkippedLines++
		return
	}
	switch e.Request() {
	case l.Request:
		l.own = append(l.own, e)
	case "":
		l.others = append(l.others, e)
	}
}

// readLines gives the events of a log to take, nil for a line that is none;
// source names the process where its lines don't.
func readLines(r io.Reader, source string, take func(e *Event)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		take(parse(lines.Text(), source))
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("history: %s: %w", source, err)
	}
	return nil
}

// Timeline is what happened to a request.
type Timeline struct {
	Request string
	// Events are in the order of their times.
	Events []*TimelineEvent
	// Start is when the request arrived, as far as can be told.
	Start time.Time
	// End is the last event about the request; it says how the request ended,
	// unless that line is missing.
	End *Event
}

// TimelineEvent is an event of a story.
type TimelineEvent struct {
	*Event
	// OtherObservers counts the further processes that saw the same shortly after.
	OtherObservers int
}

// Ended says whether the story has the line on how the request ended.
func (s *Timeline) Ended() bool { return s.End.Name == answeredEvent || s.End.Name == failedEvent }

// Timeline returns the events about the request, and the changes from before its
// start to after its end that bear on it. It fails with [ErrRequestNotFound] if there
// is no line about the request.
func (l *RequestLog) Timeline(before, after time.Duration) (*Timeline, error) {
	if len(l.own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrRequestNotFound, l.Request)
	}
	slices.SortStableFunc(l.own, byTime)
	s := &Timeline{Request: l.Request, Start: startOf(l.own), End: l.own[len(l.own)-1]}
	m := l.met()
	events := slices.Clone(l.own)
	for _, e := range l.others {
		if e.Time.Before(s.Start.Add(-before)) || e.Time.After(s.End.Time.Add(after)) {
			continue
		}
		if m.bears(e) {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, byTime)
	for _, e := range events {
		s.add(e, &m)
	}
	return s, nil
}

func byTime(a, b *Event) int { return a.Time.Compare(b.Time) }

// echoTime is how long after an event others may see the same: about the time
// that a change takes to reach every process.
const echoTime = 2 * time.Second

// add adds the next event. What the process that served the request saw always
// stands by itself; what others saw stands once.
func (s *Timeline) add(e *Event, m *met) {
	if !m.gateways[e.Gateway] {
		if first := s.find(e); first != nil {
			first.OtherObservers++
			return
		}
	}
	s.Events = append(s.Events, &TimelineEvent{Event: e})
}

// find returns the moment of another process at which it saw the same as e.
func (s *Timeline) find(e *Event) *TimelineEvent {
	for _, m := range slices.Backward(s.Events) {
		if e.Time.Sub(m.Time) > echoTime {
			return nil
		}
		if m.Gateway != e.Gateway && m.same(e) {
			return m
		}
	}
	return nil
}

// startOf returns when the request arrived.
func startOf(own []*Event) time.Time {
	start := own[0].Time
	last := own[len(own)-1]
	if arrived := last.arrived(); arrived.Before(start) {
		return arrived
	}
	return start
}

// met is what a request met on its way.
type met struct {
	gateways, upstreams map[string]bool
}

// met returns what the request met.
func (l *RequestLog) met() met {
	m := met{gateways: make(map[string]bool), upstreams: make(map[string]bool)}
	for _, e := range l.own {
		m.gateways[e.Gateway] = true
		for _, key := range upstreamKeys {
			for name := range strings.SplitSeq(e.Value(key), ",") {
				m.upstreams[name] = true
			}
		}
	}
	return m
}

// bears says whether an event about no request may explain what happened to
// this one: any change of one of its upstreams, whoever saw it, and any change
// of the process that served it that is not about an upstream.
func (m *met) bears(e *Event) bool {
	upstream := e.Value(upstreamKey)
	if upstream != "" {
		return m.upstreams[upstream]
	}
	return m.gateways[e.Gateway]
}
