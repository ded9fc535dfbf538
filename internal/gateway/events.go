package gateway

import (
	"bytes"
	"errors"
	"io"
)

// errTorn says that a stream ended within an event.
var errTorn = errors.New("gateway: stream ended within an event")

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// eventReader cuts a stream into whole events.
type eventReader struct {
	from io.Reader
	// buffer holds what has been read but not returned.
	buffer []byte
	// taken is how much of buffer the last call has returned.
	taken int
	ended error
}

// next returns the next whole events, as many as have arrived, as they are,
// and the ID of the last one. The bytes are valid until the next call. It
// returns io.EOF at the end of the stream, and [errTorn] if that is within an
// event.
func (r *eventReader) next() (events []byte, lastID string, err error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.taken:]...)
	r.taken = 0
	for {
		if end := eventsEnd(r.buffer); end > 0 {
			r.taken = end
			return r.buffer[:end], lastEventID(r.buffer[:end]), nil
		}
		if r.ended != nil {
			return nil, "", r.end()
		}
		r.read()
	}
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
		r.ended = errTorn
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
