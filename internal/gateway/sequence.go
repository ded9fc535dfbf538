package gateway

import (
	"bytes"
	"fmt"
	"strconv"

	"lovageport.example/internal/transport/http1"
	"lovageport.example/platform"
)

// eventSequence is the place that a stream has reached. Event IDs are decimal
// numbers that increase. A step above all steps before it means that events are
// missing.
type eventSequence struct {
	// last is the ID of the last event; valid if known is set.
	last  uint64
	known bool
	// step is the largest difference so far between the IDs of two events in a
	// row; 0 if unknown.
	step uint64
}

// resumeAfter sets the ID after which the caller resumes its stream. An ID that
// is no number is forwarded, but no event can be compared with it.
func (s *eventSequence) resumeAfter(id string) { s.last, s.known = parseDecimal([]byte(id)) }

// advance moves to the event with the given ID.
func (s *eventSequence) advance(id uint64) error {
	switch {
	case !s.known:
	case id <= s.last:
		return malformedEvent("event %d after event %d", id, s.last)
	case s.step > 0 && id-s.last > s.step:
		return malformedEvent("event %d after event %d, in steps of up to %d", id, s.last, s.step)
	default:
		s.step = max(s.step, id-s.last)
	}
	s.last, s.known = id, true
	return nil
}

// lastID returns the ID of the last event, or other if none is known.
func (s *eventSequence) lastID(other string) string {
	if !s.known {
		return other
	}
	return strconv.FormatUint(s.last, 10)
}

func malformedEvent(format string, args ...any) error {
	return fmt.Errorf("%w: %s", http1.ErrMalformed, fmt.Sprintf(format, args...))
}

// eventFields is what the lines of an event hold that have been read so far.
type eventFields struct {
	lines          int
	hasID, hasData bool
	id             uint64
}

// add takes the next line, which is not empty, without its line end.
func (f *eventFields) add(line []byte) error {
	f.lines++
	if bytes.IndexByte(line, '\r') >= 0 {
		// Callers take it for the end of a line.
		return malformedEvent("carriage return within a line")
	}
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	valid := true
	switch string(name) {
	case "":
		// The line is a comment.
		valid = hasValue
	case "data":
		f.hasData = true
	case "event":
	case "retry":
		_, valid = parseDecimal(value)
	case "id":
		first := !f.hasID
		f.id, f.hasID = parseDecimal(value)
		valid = first && f.hasID
	case platform.VersionField:
		_, valid = parseDecimal(value)
		valid = valid && f.lines == 1
	default:
		valid = false
	}
	if !valid {
		return malformedEvent("line %d of an event is none: %.40q", f.lines, line)
	}
	return nil
}

// parseDecimal parses a decimal number without sign and leading zeros. The bool is
// false if b is none.
func parseDecimal(b []byte) (uint64, bool) {
	if len(b) == 0 || len(b) > maxEventIDBytes || b[0] == '0' && len(b) > 1 {
		return 0, false
	}
	var n uint64
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}
