package buffer

import (
	"bytes"
	"errors"
	"io"
)

// ErrTooLarge is returned for a message above its own limit.
var ErrTooLarge = errors.New("buffer: message too large")

// BlockBytes is the size of the blocks that are allocated for a message.
const BlockBytes = 32 << 10

// ReadAll reads a message to its end, which may have at most max bytes; stated is the
// length that it states, or negative. It allocates memory as data arrives rather than by
// that length, which a sender may state without sending as much, and in blocks, because
// a buffer that grows by doubling leaves as much garbage as it holds. The message counts
// for share, which the caller must release, also after an error: [ErrTooLarge],
// [ErrExhausted] or that of source.
func ReadAll(source io.Reader, stated, max int64, share *Share) ([]byte, error) {
	if stated > max {
		return nil, ErrTooLarge
	}
	var blocks [][]byte
	block := make([]byte, 0, firstBlockSize(stated))
	for size := int64(0); ; {
		if len(block) == cap(block) {
			if err := share.Resize(size + BlockBytes); err != nil {
				return nil, err
			}
			blocks = append(blocks, block)
			block = make([]byte, 0, BlockBytes)
		}
		n, err := source.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		size += int64(n)
		switch {
		case size > max:
			return nil, ErrTooLarge
		case err == io.EOF:
			return join(blocks, block, size, share)
		case err != nil:
			return nil, err
		}
	}
}

// firstBlockSize returns the size of the first block. One byte more than the
// stated length leaves room to read the end of the message without another block.
func firstBlockSize(stated int64) int64 {
	if stated < 0 {
		return bytes.MinRead
	}
	return min(stated, BlockBytes-1) + 1
}

// join returns the blocks in one piece. Meanwhile the message takes its size twice.
func join(blocks [][]byte, last []byte, size int64, share *Share) ([]byte, error) {
	if len(blocks) == 0 {
		return last, nil
	}
	if err := share.Resize(2 * size); err != nil {
		return nil, err
	}
	whole := bytes.Join(append(blocks, last), nil)
	return whole, share.Resize(size)
}
