package http1

import "syscall"

// HasUnread reports whether data of the response has arrived that was not read
// from the socket yet. It may be called while another goroutine reads the body.
func (r *Response) HasUnread() bool {
	conn, ok := r.conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control, unlike Read, does not wait for the goroutine that reads the body.
	err = raw.Control(func(fd uintptr) {
		n, recvErr := peek(fd)
		unread = recvErr == nil && n > 0
	})
	return err == nil && unread
}

// peek returns the number of bytes, at most one, that can be read from a socket
// without waiting. It leaves them there.
func peek(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
