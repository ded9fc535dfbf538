// Package dial opens TCP connections that fail soon after the remote host stops
// responding.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Func opens a connection.
type Func = func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Func that limits the time to connect to connect, and has a
// connection fail once sent data stays unacknowledged for silence.
func New(connect, silence time.Duration) Func {
	dialer := &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: keepAlive,
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, silence) },
	}
	return dialer.DialContext
}

// Parameters of TCP keep-alive probes.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// keepAlive is the configuration of the probes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// KeepAliveTime is how long a connection to a host that has died lives if all keep-alive
// probes are waited for.
const KeepAliveTime = keepAliveIdle + keepAliveCount*keepAliveInterval

// KeepAlive has a connection that was accepted fail once its peer has left all keep-alive
// probes, or sent data for as long, without an answer.
func KeepAlive(conn net.Conn) error {
	if c, ok := conn.(*net.TCPConn); ok {
		if err := c.SetKeepAliveConfig(keepAlive); err != nil {
			return err
		}
	}
	return LimitSilence(conn, KeepAliveTime)
}

// LimitSilence has a connection fail once sent data stays unacknowledged for silence. The
// kernel counts keep-alive probes as such data, whatever their number: one that is lost
// ends a connection that was quiet for longer than silence. It has no effect on what is no
// socket of the kernel.
func LimitSilence(conn net.Conn, silence time.Duration) error {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, silence)
}

// setUserTimeout sets the socket option TCP_USER_TIMEOUT, the time after which a
// connection with unacknowledged data fails.
func setUserTimeout(raw syscall.RawConn, silence time.Duration) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
