package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCPState is the state of a TCP connection, numbered as by the kernel.
type TCPState uint8

// States of connections on which the remote host may still send, on which it has ended its
// data, and which have failed.
const (
	Established TCPState = unix.BPF_TCP_ESTABLISHED
	Closed      TCPState = unix.BPF_TCP_CLOSE
	CloseWait   TCPState = unix.BPF_TCP_CLOSE_WAIT
)

// HasUnread reports whether a connection has data that can be read without waiting. It
// receives nothing, and may be called while another goroutine reads.
func HasUnread(conn net.Conn) bool {
	has := false
	inspect(conn, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
		has = err == nil && n > 0
	})
	return has
}

// Unacknowledged returns how many bytes that were written the remote host has not
// acknowledged. The bool is false if that is not known.
func Unacknowledged(conn net.Conn) (bytes int, ok bool) {
	inspect(conn, func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		bytes, ok = n, err == nil
	})
	return bytes, ok
}

// State returns the state of a TCP connection. The bool is false if that is not known.
func State(conn net.Conn) (state TCPState, ok bool) {
	inspect(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state, ok = TCPState(info.State), true
		}
	})
	return state, ok
}

// inspect calls look with the descriptor of a connection, if it has one.
func inspect(conn net.Conn, look func(fd int)) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// Control, unlike Read, does not wait for a goroutine that reads. It fails only
	// if the connection is closed, and then has not called look.
	_ = raw.Control(func(fd uintptr) { look(int(fd)) })
}
