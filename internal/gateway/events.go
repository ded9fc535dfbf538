package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"lovageport.example/internal/transport/http1"
)

// errTorn says that a stream ended within an event.
var errTorn = errors.New("gateway: stream ended within an event")

// Bounds of what a stream may bring.
const (
	// maxEventBytes bounds one event, and what comes without an event that has
	// an ID.
	maxEventBytes = 256 << 10
	// maxEventIDBytes bounds the ID of an event, which is kept and sent on.
	maxEventIDBytes = 1 << 10
)

// eventReader cuts a stream into whole events.
type eventReader struct {
	from io.Reader
	// buffer holds what has been read but not returned.
	buffer []byte
	// taken is how much of buffer the last call has returned.
	taken int
	// unnamed counts the bytes returned since the last event with an ID.
	unnamed int
	ended   error
}

// next returns the next whole events, as many as have arrived, as they are,
// and the ID of the last one. The bytes are valid until the next call. It
// returns io.EOF at the end of the stream, [errTorn] if that is within an
// event, and [http1.ErrMalformed] for bytes that are no events.
func (r *eventReader) next() (events []byte, lastID string, err error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.taken:]...)
	r.taken = 0
	for {
		if end := eventsEnd(r.buffer); end > 0 {
			r.taken = end
			return r.named(r.buffer[:end])
		}
		if r.ended != nil {
			return nil, "", r.end()
		}
		r.read()
	}
}

// named returns whole events with the ID of the last one, if they are within
// bounds.
func (r *eventReader) named(events []byte) ([]byte, string, error) {
	id := lastEventID(events)
	if id != "" {
		r.unnamed = 0
	} else {
		r.unnamed += len(events)
	}
	switch {
	case len(id) > maxEventIDBytes:
		return nil, "", fmt.Errorf("%w: ID of an event above %d bytes", http1.ErrMalformed, maxEventIDBytes)
	case r.unnamed > maxEventBytes:
		return nil, "", fmt.Errorf("%w: events without ID above %d bytes", http1.ErrMalformed, maxEventBytes)
	}
	return events, id, nil
}

func (r *eventReader) end() error {
	if r.ended == io.EOF && len(r.buffer) > 0 {
		return errTorn
	}
	return r.ended
}

// readBytes is how much is read at once.
const readBytes = 2 << 10

func (r *eventReader) read() {
	if len(r.buffer) > maxEventBytes {
		r.ended = fmt.Errorf("%w: event above %d bytes", http1.ErrMalformed, maxEventBytes)
		return
	}
	start := len(r.buffer)
	if cap(r.buffer)-start < readBytes {
		r.buffer = append(make([]byte, 0, 2*cap(r.buffer)+readBytes), r.buffer...)
	}
	n, err := r.from.Read(r.buffer[start : start+readBytes])
	r.buffer = r.buffer[:start+n]
	r.ended = err
}

// eventsEnd returns the length of the whole events at the start of b.
func eventsEnd(b []byte) int {
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
	at := bytes.LastIndex(events, []byte("id:"))
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], []byte("id:"))
	}
	if at < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}
