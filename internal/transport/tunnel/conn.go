package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// maxFrame is the largest payload of a frame in bytes. An empty frame is the end of what
// the upstream sends.
const maxFrame = 16 << 10

// ErrCut is returned by [Conn.Read] if the tunnel ended before the upstream did.
var ErrCut = errors.New("tunnel: cut before the end")

// Conn is a connection to an upstream through a peer.
type Conn struct {
	*net.TCPConn
	// Peer is the address of the peer.
	Peer string

	// left is the number of bytes of the present frame that were not read yet.
	left int
	// header holds the first bytes of a frame's header, of which headerLen were read.
	header    [frameHeaderLen]byte
	headerLen int
	ended     bool
}

// frameHeaderLen is the length of a frame's header in bytes: the length of its payload,
// big-endian.
const frameHeaderLen = 2

// Read implements [io.Reader]. It returns [io.EOF] only if the upstream has closed its
// connection.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := c.nextFrame(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, cutError(err)
}

// WriteTo implements [io.WriterTo]. That of the TCP connection would copy the frames as they
// are.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, plainReader{c}) }

// nextFrame reads the header of the next frame unless the present one has bytes left. A
// read that a deadline ends within a header may be continued.
func (c *Conn) nextFrame() error {
	for c.left == 0 {
		if c.ended {
			return io.EOF
		}
		n, err := c.TCPConn.Read(c.header[c.headerLen:])
		c.headerLen += n
		if err != nil {
			return cutError(err)
		}
		if c.headerLen < frameHeaderLen {
			continue
		}
		c.headerLen = 0
		c.left = int(binary.BigEndian.Uint16(c.header[:]))
		c.ended = c.left == 0
	}
	return nil
}

// cutError returns the error of a tunnel whose connection has ended with err.
func cutError(err error) error {
	if err == io.EOF {
		return ErrCut
	}
	return err
}

// frameWriter writes what an upstream sends in frames.
type frameWriter struct {
	net.Conn
	buffer [frameHeaderLen + maxFrame]byte
}

// copyFrom writes all that r reads, and its end. The error is that of the reading or of
// the writing.
func (w *frameWriter) copyFrom(r io.Reader) error {
	for {
		n, err := r.Read(w.buffer[frameHeaderLen:])
		if n > 0 || err == io.EOF {
			if err := w.writeFrame(n); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && n > 0:
			return w.writeFrame(0)
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("tunnel: %w", err)
		}
	}
}

// writeFrame writes the first n bytes of the buffer's payload as a frame.
func (w *frameWriter) writeFrame(n int) error {
	binary.BigEndian.PutUint16(w.buffer[:], uint16(n))
	if _, err := w.Write(w.buffer[:frameHeaderLen+n]); err != nil {
		return fmt.Errorf("tunnel: %w", err)
	}
	return nil
}
