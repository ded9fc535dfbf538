package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/http1"
)

// errTruncated is returned if a stream ends within an event.
var errTruncated = errors.New("gateway: stream ended within an event")

// Limits of a stream.
const (
	// maxEventBytes bounds one event, and the events in a row that have no ID.
	maxEventBytes = 256 << 10
	// maxEventIDBytes bounds the ID of an event, a decimal number, so that it fits
	// 64 bits.
	maxEventIDBytes = 18
)

// eventReader splits a stream of server-sent events after complete events, and
// checks that it consists of the events that follow in its sequence.
type eventReader struct {
	source io.Reader
	// share is what buffer takes of the memory for answers.
	share buffer.Share
	// sequence is the place of the stream; next moves it.
	sequence *eventSequence
	// buffer holds the data that was read but not returned, after the part that
	// the last call returned.
	buffer []byte
	// consumed is the length of the part of buffer that the last call returned.
	consumed int
	// checked is the length of the part of buffer whose lines have been checked,
	// and scanned that of the part that was searched for the end of a line.
	checked, scanned int
	// start is where the event that is not complete yet begins in buffer, and
	// passable the length of the part whose events may be returned.
	start, passable int
	// event holds the checked lines of the event that is not complete yet.
	event eventFields
	// version is the version of the weights that was stated last; 0 if none was.
	version uint64
	// sinceID is the number of bytes since the last event with an ID.
	sinceID int
	// invalid is why the data after the checked lines is not passed on, and readErr
	// the error of source. Each ends the stream once the complete events before it
	// have been returned.
	invalid, readErr error
}

// next returns all complete events that have arrived and count, unchanged. They are
// valid until the next call. The error is io.EOF at the end of the stream,
// [errTruncated] if the stream ends within an event, and wraps
// [http1.ErrMalformed] if what follows is no event, is not the next one of the
// sequence, or exceeds a limit. After [errLargerStep] the caller may call acceptHeld and go
// on.
func (r *eventReader) next() ([]byte, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.consumed:]...)
	r.checked -= r.consumed
	r.scanned -= r.consumed
	r.start -= r.consumed
	r.consumed = 0
	for {
		r.check()
		if r.passable > 0 {
			r.consumed, r.passable = r.passable, 0
			return r.buffer[:r.consumed], nil
		}
		switch {
		case r.invalid != nil:
			return nil, r.invalid
		case r.readErr == io.EOF && r.sequence.holds && r.start == len(r.buffer):
			r.acceptHeld()
		case r.readErr != nil:
			return nil, r.streamError()
		default:
			r.read()
		}
	}
}

// acceptHeld accepts the event that is held by the sequence, so that next returns it
// and continues.
func (r *eventReader) acceptHeld() {
	r.sequence.accept()
	r.passable, r.invalid = r.start, nil
}

// breakOff ends the run that is read, after an error other than io.EOF.
func (r *eventReader) breakOff() {
	begun := eventFields{}
	if r.invalid == nil {
		begun = r.event
		begun.addPart(r.buffer[r.checked:])
	}
	r.sequence.breakOff(begun)
}

// check checks the lines that have arrived, and sets passable. It sets invalid at the
// first invalid line.
func (r *eventReader) check() {
	for r.invalid == nil {
		i := bytes.IndexByte(r.buffer[r.scanned:], '\n')
		if i < 0 {
			r.scanned = len(r.buffer)
			break
		}
		line := bytes.TrimSuffix(r.buffer[r.checked:r.scanned+i], []byte("\r"))
		size := r.scanned + i + 1 - r.checked
		r.scanned += i + 1
		r.checked = r.scanned
		r.invalid = r.checkLine(line, size)
	}
}

// checkLine checks a line of a number of bytes with its line end. An empty line
// completes an event.
func (r *eventReader) checkLine(line []byte, size int) error {
	r.sinceID += size
	if len(line) > 0 {
		return r.event.add(line)
	}
	event, start := r.event, r.start
	if event.version > 0 {
		r.version = event.version
	}
	r.event, r.start = eventFields{}, r.checked
	switch {
	case event.hasID:
		r.sinceID = 0
		if err := r.sequence.advance(event.id); err != nil {
			return err
		}
		r.passable = start
	case event.hasData:
		return malformedEvent("event without ID")
	case r.sinceID > maxEventBytes:
		return malformedEvent("events without ID above %d bytes", maxEventBytes)
	}
	if !r.sequence.holds {
		r.passable = r.checked
	}
	return nil
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
	if len(r.buffer)-r.start > maxEventBytes {
		r.readErr = fmt.Errorf("%w: event above %d bytes", http1.ErrMalformed, maxEventBytes)
		return
	}
	start := len(r.buffer)
	if cap(r.buffer)-start < readSize {
		size := 2*cap(r.buffer) + readSize
		if r.readErr = r.share.Resize(int64(size)); r.readErr != nil {
			return
		}
		r.buffer = append(make([]byte, 0, size), r.buffer...)
	}
	n, err := r.source.Read(r.buffer[start : start+readSize])
	r.buffer = r.buffer[:start+n]
	r.readErr = err
}
