package exchange

import (
	"bytes"
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

// blockBytes is how much memory is taken at a time for a body that is read
// whole.
const blockBytes = 32 << 10

// readWhole reads a body to its end. It takes memory as the bytes come, not by
// the length that is stated, and block by block: a buffer that grows by
// doubling leaves as much garbage as it holds. The error is [ErrMalformed] if
// there are more than max bytes, or are stated to be.
func readWhole(from io.Reader, stated, max int64) ([]byte, error) {
	if stated > max {
		return nil, tooLong(max)
	}
	var blocks [][]byte
	block := make([]byte, 0, firstBlock(stated))
	for left := max; ; {
		if len(block) == cap(block) {
			blocks = append(blocks, block)
			block = make([]byte, 0, blockBytes)
		}
		n, err := from.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		left -= int64(n)
		switch {
		case left < 0:
			return nil, tooLong(max)
		case err == io.EOF:
			return join(blocks, block), nil
		case err != nil:
			return nil, err
		}
	}
}

func tooLong(max int64) error { return fmt.Errorf("%w: answer above %d bytes", ErrMalformed, max) }

// firstBlock returns the size of the first block. One byte more than what is
// stated lets the end be read without another block.
func firstBlock(stated int64) int64 {
	if stated < 0 {
		return bytes.MinRead
	}
	return min(stated+1, blockBytes)
}

// join returns what the blocks hold in one piece.
func join(blocks [][]byte, last []byte) []byte {
	if len(blocks) == 0 {
		return last
	}
	return bytes.Join(append(blocks, last), nil)
}
