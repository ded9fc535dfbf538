package http1

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether data of the response has arrived that was not read
// from the socket yet. It may be called while another goroutine reads the body.
func (r *Response) HasUnread() bool {
	unread := false
	inspect(r.conn.Conn, func(fd int) { unread = isReadable(fd) })
	return unread
}

// hasDataBefore reports whether data that can be read has arrived before the peer
// had any of the message of size bytes that was just written: a response to it
// would come with the acknowledgement of a part of it. It is false if that cannot
// be told any more, because the peer has acknowledged some of the message meanwhile.
func (c *connection) hasDataBefore(size int) bool {
	before := false
	inspect(c.Conn, func(fd int) {
		if !isReadable(fd) {
			return
		}
		unacknowledged, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		before = err == nil && unacknowledged >= size
	})
	return before
}

// inspect calls look with the descriptor of a connection, if it has one.
func inspect(c net.Conn, look func(fd int)) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// Control, unlike Read, does not wait for a goroutine that reads. It fails only
	// if the connection is closed, and then has not called look.
	_ = raw.Control(func(fd uintptr) { look(int(fd)) })
}

// isReadable reports whether data can be read from a socket without waiting.
func isReadable(fd int) bool {
	n, err := peek(fd)
	return err == nil && n > 0
}

// peek returns the number of bytes, at most one, that can be read from a socket
// without waiting. It leaves them there.
func peek(fd int) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
