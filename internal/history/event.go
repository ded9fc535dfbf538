package history

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Keys of a line that every event has.
const (
	timeKey    = "time"
	levelKey   = "level"
	eventKey   = "event"
	gatewayKey = "gateway"
	requestKey = "request"
)

// Event is one line of a log.
type Event struct {
	// Time is the time of day of the process that wrote the line.
	Time time.Time
	// Gateway wrote the line; if the line names none, it is the file or the
	// text that stood before the line.
	Gateway string
	// Name is the event itself.
	Name string
	// Fields are the others, in the order of the line.
	Fields []Field
}

// Field is a key and its value.
type Field struct{ Key, Value string }

// Value returns the value of a key, or nothing.
func (e *Event) Value(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// duration returns the value of a key as a time; 0 if it is none.
func (e *Event) duration(key string) time.Duration {
	d, err := time.ParseDuration(e.Value(key))
	if err != nil {
		return 0
	}
	return d
}

// arrived returns when a request arrived, if this is the line on its end: that
// says how long it took.
func (e *Event) arrived() time.Time { return e.Time.Add(-e.duration(tookKey)) }

// Request returns the ID of the request that the event is about, or nothing.
func (e *Event) Request() string { return e.Value(requestKey) }

// ageSuffix ends the keys of ages, which differ between processes that see the
// same.
const ageSuffix = "_age"

// same says whether both tell of the same change.
func (e *Event) same(other *Event) bool {
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

// parse reads a line. It returns nil for one that isn't an event: output of
// other programs, or a line that was cut off.
func parse(line, source string) *Event {
	at := strings.Index(line, timeKey+"=")
	if at < 0 {
		return nil
	}
	if before := strings.Trim(line[:at], " \t|:"); before != "" {
		source = before
	}
	e := &Event{Gateway: source}
	d := logfmt.NewDecoder(strings.NewReader(line[at:]))
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

// set takes in one key and value of a line.
func (e *Event) set(key, value string) {
	switch key {
	case timeKey:
		// A time that can't be read leaves the zero time, and the line out.
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
