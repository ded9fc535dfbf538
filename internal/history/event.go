package history

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Keys common to all events; requestKey is present if the event is about a request.
const (
	timeKey    = "time"
	levelKey   = "level"
	eventKey   = "event"
	gatewayKey = "gateway"
	requestKey = "request"
)

// Event is a line of a log.
type Event struct {
	// Time is the timestamp of the line.
	Time time.Time
	// Gateway is the name of the process that wrote the line. If the line has no
	// such field, it is the text before the event on the line, or else the source
	// of the log.
	Gateway string
	// Name is the name of the event.
	Name string
	// Fields are the remaining fields, in the order of the line.
	Fields []Field
}

// Field is a key-value pair.
type Field struct{ Key, Value string }

// Value returns the value of a key; empty if there is none.
func (e *Event) Value(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns the value of a key as a duration; 0 if it is not one.
func (e *Event) duration(key string) time.Duration {
	d, err := time.ParseDuration(e.Value(key))
	if err != nil {
		return 0
	}
	return d
}

// arrival returns when a request arrived, if e is the event of its end: that event
// has the time that the request took.
func (e *Event) arrival() time.Time { return e.Time.Add(-e.duration(tookKey)) }

// Request returns the ID of the request that the event is about; empty if it is
// about none.
func (e *Event) Request() string { return e.Value(requestKey) }

// ageSuffix is the suffix of the keys of ages. Ages differ between processes that
// log the same change.
const ageSuffix = "_age"

// sameChange reports whether both events are about the same change.
func (e *Event) sameChange(other *Event) bool {
	if e.Name != other.Name || len(e.Fields) != len(other.Fields) {
		return false
	}
	for i, f := range e.Fields {
		if f != other.Fields[i] && !strings.HasSuffix(f.Key, ageSuffix) {
			return false
		}
	}
	return true
}

// parseEvent parses a line. It returns nil for a line that is not an event, such as
// output of another program or a truncated line.
func parseEvent(line, source string) *Event {
	start := strings.Index(line, timeKey+"=")
	if start < 0 {
		return nil
	}
	if before := strings.Trim(line[:start], " \t|:"); before != "" {
		source = before
	}
	e := &Event{Gateway: source}
	d := logfmt.NewDecoder(strings.NewReader(line[start:]))
	if !d.ScanRecord() {
		return nil
	}
	for d.ScanKeyval() {
		e.set(string(d.Key()), string(d.Value()))
	}
	if d.Err() != nil || e.Name == "" || e.Time.IsZero() {
		return nil
	}
	return e
}

// set sets the field of e for one key-value pair of a line.
func (e *Event) set(key, value string) {
	switch key {
	case timeKey:
		// If the time is invalid, Time stays zero and parseEvent rejects the line.
		e.Time, _ = time.Parse(time.RFC3339Nano, value)
	case levelKey:
	case eventKey:
		e.Name = value
	case gatewayKey:
		e.Gateway = value
	default:
		e.Fields = append(e.Fields, Field{key, value})
	}
}
