package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
)

// ErrMalformed says that an upstream sent bytes that are no answer, or more of
// them than an answer may have.
var ErrMalformed = errors.New("exchange: malformed answer")

// boundedReader passes on what another reader has, up to a limit where one is
// set.
type boundedReader struct {
	from io.Reader
	// left is how many bytes may still be read if limited is set.
	left    int
	limited bool
}

func (r *boundedReader) limit(n int) { r.left, r.limited = n, true }

func (r *boundedReader) unlimit() { r.limited = false }

// reached says whether the limit has been reached.
func (r *boundedReader) reached() bool { return r.limited && r.left <= 0 }

// Read reads from the other reader. It fails with [ErrMalformed] at the limit.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.from.Read(p)
	}
	if r.reached() {
		return 0, ErrMalformed
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// bodyError tells errors in the framing of a body, such as a chunk that states
// no length, from those of the connection. The HTTP library bounds the lines of
// chunks and the trailer by itself.
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
