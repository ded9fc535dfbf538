package http1

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether data of the response has arrived that was not read
// from the socket yet. It may be called while another goroutine reads the body, which
// still gets the error of the connection.
func (r *Response) HasUnread() bool {
	unread := false
	inspect(r.conn.Conn, func(fd int) { unread = hasUnread(fd) })
	return unread
}

// hasDataBefore reports whether data that can be read has arrived before the peer
// had any of the message of size bytes that was just written: a response to it
// would come with the acknowledgement of a part of it. It is false if that cannot
// be told any more, because the peer has acknowledged some of the message meanwhile.
func (c *connection) hasDataBefore(size int) bool {
	before := false
	inspect(c.Conn, func(fd int) {
		if !hasUnread(fd) {
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

// hasUnread reports whether data can be read from a socket without waiting. It receives
// nothing: the kernel reports the error of a socket to one receiving call only, also to one
// that peeks, and the read after that would find the end of the data.
func hasUnread(fd int) bool {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	return err == nil && n > 0
}
