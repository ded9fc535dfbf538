package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"lovageport.example/internal/transport/http1"
)

// errTruncated is returned if a stream ends within an event.
var errTruncated = errors.New("gateway: stream ended within an event")

// Limits of a stream.
const (
	// maxEventBytes bounds one event, and the events in a row that have no ID.
	maxEventBytes = 256 << 10
	// maxEventIDBytes bounds the ID of an event, which is kept to resume the
	// stream.
	maxEventIDBytes = 1 << 10
)

// eventReader splits a stream of server-sent events after complete events.
type eventReader struct {
	source io.Reader
	// buffer holds the data that was read but not returned, after the part that
	// the last call returned.
	buffer []byte
	// consumed is the length of the part of buffer that the last call returned.
	consumed int
	// sinceID is the number of bytes returned since the last event with an ID.
	sinceID int
	readErr error
}

// next returns all complete events that have arrived, unchanged, and the ID of
// the last one that has an ID. The events are valid until the next call. The
// error is io.EOF at the end of the stream, [errTruncated] if the stream ends
// within an event, and wraps [http1.ErrMalformed] if a limit is exceeded.
func (r *eventReader) next() (events []byte, lastID string, err error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.consumed:]...)
	r.consumed = 0
	for {
		if end := wholeEventsLen(r.buffer); end > 0 {
			r.consumed = end
			return r.checkID(r.buffer[:end])
		}
		if r.readErr != nil {
			return nil, "", r.streamError()
		}
		r.read()
	}
}

// checkID returns complete events and their last ID, if these are within the
// limits.
func (r *eventReader) checkID(events []byte) ([]byte, string, error) {
	id := lastEventID(events)
	if id != "" {
		r.sinceID = 0
	} else {
		r.sinceID += len(events)
	}
	switch {
	case len(id) > maxEventIDBytes:
		return nil, "", fmt.Errorf("%w: ID of an event above %d bytes", http1.ErrMalformed, maxEventIDBytes)
	case r.sinceID > maxEventBytes:
		return nil, "", fmt.Errorf("%w: events without ID above %d bytes", http1.ErrMalformed, maxEventBytes)
	}
	return events, id, nil
}

func (r *eventReader) streamError() error {
	if r.readErr == io.EOF && len(r.buffer) > 0 {
		return errTruncated
	}
	return r.readErr
}

// readSize is the most bytes read at a time.
const readSize = 2 << 10

func (r *eventReader) read() {
	if len(r.buffer) > maxEventBytes {
		r.readErr = fmt.Errorf("%w: event above %d bytes", http1.ErrMalformed, maxEventBytes)
		return
	}
	start := len(r.buffer)
	if cap(r.buffer)-start < readSize {
		r.buffer = append(make([]byte, 0, 2*cap(r.buffer)+readSize), r.buffer...)
	}
	n, err := r.source.Read(r.buffer[start : start+readSize])
	r.buffer = r.buffer[:start+n]
	r.readErr = err
}

// wholeEventsLen returns the length of the complete events at the start of b;
// negative if there are none.
func wholeEventsLen(b []byte) int {
	end := bytes.LastIndex(b, []byte("\n\n"))
	if end >= 0 {
		end += 2
	}
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 {
		end = max(end, crlf+4)
	}
	return end
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	i := bytes.LastIndex(events, []byte("id:"))
	for i > 0 && events[i-1] != '\n' {
		i = bytes.LastIndex(events[:i], []byte("id:"))
	}
	if i < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(events[i+len("id:"):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
