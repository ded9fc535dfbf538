package gateway

import (
	"bytes"
	"fmt"
	"strconv"

	"lovageport.example/internal/transport/http1"
	"lovageport.example/platform"
)

// eventSequence is the place that a stream has reached, over all runs of its
// request. Event IDs are decimal numbers that increase, by how much is not promised:
// an event that makes a larger step than any before it may carry more tokens, or may
// not be the next one of this stream. Within a run it counts once a higher one, or
// the end, follows; the first one of a resumed run if another run has shown it, too.
type eventSequence struct {
	// last is the ID of the last event; valid if known is set.
	last  uint64
	known bool
	// step is the largest difference so far between the IDs of two events in a
	// row; 0 if unknown.
	step uint64
	// held is the ID of an event after a larger step that does not count yet; valid
	// if holds is set.
	held  uint64
	holds bool
	// resumed is set until the first event of a run that resumes the stream.
	resumed bool
	// shown is the ID with which an earlier run has continued after last, or began
	// to; 0 if unknown.
	shown uint64
	// least is the lowest ID of a last event: a run has begun an event from there on.
	least uint64
}

// errLargerStep is returned for the first event of a resumed run that makes a larger
// step than any before it.
var errLargerStep = malformedEvent("event after a larger step than any before")

// resumeAfter sets the ID after which the caller resumes its stream. An ID that
// is no number is forwarded, but no event can be compared with it.
func (s *eventSequence) resumeAfter(id string) { s.last, s.known = parseDecimal([]byte(id)) }

// beginRun begins the events of a run.
func (s *eventSequence) beginRun() {
	// The run before may still wait for what follows its last event.
	s.breakOff(eventFields{})
	s.resumed = s.known
}

// advance moves to the event with the given ID, or holds it. If it returns
// errLargerStep the event is held, until accept is called or the run is broken off.
func (s *eventSequence) advance(id uint64) error {
	if last := max(s.last, s.held); s.holds && id <= last || s.known && id <= s.last {
		return malformedEvent("event %d after event %d", id, last)
	}
	if s.holds {
		s.accept()
	}
	resumed := s.resumed
	s.held, s.resumed = id, false
	switch {
	case s.step == 0, id-s.last <= s.step, resumed && id == s.shown:
		s.accept()
	case resumed:
		s.holds = true
		return fmt.Errorf("%w: %d after %d, in steps of up to %d", errLargerStep, id, s.last, s.step)
	default:
		s.holds = true
	}
	return nil
}

// accept moves to the held event.
func (s *eventSequence) accept() {
	if s.known {
		s.step = max(s.step, s.held-s.last)
	}
	s.last, s.known = s.held, true
	s.holds, s.held, s.shown = false, 0, 0
}

// breakOff ends a run within or between events; begun is the event that it has begun.
func (s *eventSequence) breakOff(begun eventFields) {
	if s.holds {
		s.holds, s.shown, s.held = false, s.held, 0
		return
	}
	if begun.hasID && begun.id <= s.last && s.known || !begun.hasID && !begun.hasData {
		return
	}
	s.shown = begun.id
	if s.known {
		s.least = max(s.least, s.last+1)
	}
}

// checkEnd returns an error if a run ends although another one has begun a further
// event.
func (s *eventSequence) checkEnd() error {
	if s.last >= s.least {
		return nil
	}
	return malformedEvent("end after event %d, after which an earlier run had begun another", s.last)
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
	// version is the version of the weights that the event states; 0 for none.
	version uint64
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
		f.version, valid = parseDecimal(value)
		valid = valid && f.lines == 1
	default:
		valid = false
	}
	if !valid {
		return malformedEvent("line %d of an event is none: %.40q", f.lines, line)
	}
	return nil
}

// addPart takes the part of a line that has arrived when a run ends.
func (f *eventFields) addPart(line []byte) {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		return
	}
	// An ID that is not complete is not known, but shows that an event was begun.
	f.hasData = f.hasData || string(name) == "id" || string(name) == "data" || string(name) == platform.VersionField
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
