// Package dial opens TCP connections that notice a peer that has gone silent.
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

// New returns a Func that gives up connecting after connect, and a connection
// whose bytes stay unacknowledged for silence.
func New(connect, silence time.Duration) Func {
	dialer := &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, silence) },
	}
	return dialer.DialContext
}

// Times of TCP keep-alive probes: an idle connection whose peer is gone is
// found out within about ten seconds.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
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
