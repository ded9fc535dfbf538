package http1

import (
	"errors"
	"fmt"
	"io"
	"net"

	"lovageport.example/internal/transport/buffer"
)

// ErrMalformed is the error for a response that violates HTTP or exceeds a size
// limit. Its text, and the texts of the errors that wrap it, are part of the
// bodies that callers get and therefore stay as they are.
var ErrMalformed = errors.New("exchange: malformed answer")

// boundedReader reads from another reader, up to a limit while one is set.
type boundedReader struct {
	source io.Reader
	// left is how many bytes may still be read while limited is set.
	left    int64
	limited bool
	// read holds the bytes that were read while keeping was set and not taken.
	read    []byte
	keeping bool
}

func (r *boundedReader) limit(n int64) { r.left, r.limited = n, true }

func (r *boundedReader) unlimit() { r.limited = false }

// keep sets whether the bytes that are read are kept for take.
func (r *boundedReader) keep(on bool) { r.keeping, r.read = on, nil }

// take returns the bytes that were kept, but for the last rest bytes, which the
// next call returns. They are valid until the next read.
func (r *boundedReader) take(rest int) []byte {
	n := len(r.read) - rest
	taken := r.read[:n]
	r.read = r.read[n:]
	return taken
}

// reached reports whether a limit is set and has been reached.
func (r *boundedReader) reached() bool { return r.limited && r.left <= 0 }

// Read implements [io.Reader]. It fails with [ErrMalformed] at the limit.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.source.Read(p)
	}
	if r.reached() {
		return 0, ErrMalformed
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.keeping {
		r.read = append(r.read, p[:n]...)
	}
	return n, err
}

// bodyError wraps errors in the framing of a body, such as an invalid chunk size,
// in [ErrMalformed], and returns those of the connection unchanged. net/http
// itself limits the lines of chunks and the trailer.
func bodyError(err error) error {
	var network net.Error
	switch {
	case err == nil, err == io.EOF, errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return err
	case errors.Is(err, net.ErrClosed), errors.Is(err, ErrMalformed):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// readBody reads a body to its end, which counts for share. The error is [ErrMalformed]
// if the body, or its stated length, exceeds max bytes.
func readBody(source io.Reader, stated, max int64, share *buffer.Share) ([]byte, error) {
	body, err := buffer.ReadAll(source, stated, max, share)
	if errors.Is(err, buffer.ErrTooLarge) {
		return nil, fmt.Errorf("%w: answer above %d bytes", ErrMalformed, max)
	}
	return body, err
}
