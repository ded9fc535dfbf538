package http1

import "lovageport.example/internal/transport/socket"

// HasUnread reports whether data of the response has arrived that was not read
// from the socket yet. It may be called while another goroutine reads the body.
func (r *Response) HasUnread() bool { return socket.HasUnread(r.conn.Conn) }

// hasDataBefore reports whether data that can be read has arrived before the peer
// had any of the message of size bytes that was just written: a response to it
// would come with the acknowledgement of a part of it. It is false if that cannot
// be told any more, because the peer has acknowledged some of the message meanwhile.
func (c *connection) hasDataBefore(size int) bool {
	if !socket.HasUnread(c.Conn) {
		return false
	}
	unacknowledged, ok := socket.Unacknowledged(c.Conn)
	return ok && unacknowledged >= size
}
