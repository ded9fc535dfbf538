package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"lovageport.example/internal/transport/dial"
)

// setMuted makes the kernel drop all that arrives on a connection, or no longer.
func setMuted(t *testing.T, conn net.Conn, muted bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	qt.Check(t, err, qt.IsNil)
	var set error
	qt.Check(t, raw.Control(func(fd uintptr) {
		if !muted {
			set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}), qt.IsNil)
	qt.Check(t, set, qt.IsNil)
}

// TestExchangeOutlivesLostProbe guards against ending an exchange with a sound upstream
// that is quiet for long, because one keep-alive probe of its connection was lost.
func TestExchangeOutlivesLostProbe(t *testing.T) {
	// The first probe follows five seconds after the last data.
	const quietBefore, muted, quietAfter = 4500 * time.Millisecond, time.Second, 3 * time.Second
	for _, x := range []struct {
		name string
		// early is how many bytes of the response are sent before the quiet time.
		early int
	}{
		{"before the header", 0},
		{"within the body", len(okResponse) - 1},
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reused=%t", x.name, reused), func(t *testing.T) {
				t.Parallel()
				s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
					if reused {
						s.read(reader)
						io.WriteString(conn, okResponse)
					}
					s.read(reader)
					io.WriteString(conn, okResponse[:x.early])
					time.Sleep(quietBefore)
					setMuted(t, conn, true)
					time.Sleep(muted)
					setMuted(t, conn, false)
					time.Sleep(quietAfter)
					io.WriteString(conn, okResponse[x.early:])
				})
				pool := &Pool{Dial: dial.New(time.Second, 1500*time.Millisecond)}
				defer pool.Close()
				if reused {
					_, err := get(t.Context(), pool, s.address)
					qt.Assert(t, err, qt.IsNil)
				}
				body, err := get(t.Context(), pool, s.address)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, "ok")
				qt.Check(t, s.accepted.Load(), qt.Equals, int32(1))
			})
		}
	}
}

// TestIdleConnectionIsProbed checks that a connection whose upstream no longer answers
// is found to have ended while it is idle.
func TestIdleConnectionIsProbed(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		s.read(reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Second)
		setMuted(t, conn, true)
		time.Sleep(20 * time.Second)
	})
	pool := &Pool{Dial: dial.New(time.Second, 1500*time.Millisecond)}
	defer pool.Close()
	resp, err := pool.Do(t.Context(), &Request{Address: s.address, Method: "GET", URI: "/x", Host: "h"})
	qt.Assert(t, err, qt.IsNil)
	_, err = resp.ReadAll(t.Context(), 100)
	qt.Assert(t, err, qt.IsNil)
	resp.SetKeepAlive(time.Minute)
	resp.Close()
	time.Sleep(9 * time.Second)
	c, _ := pool.pop(s.address, time.Now())
	qt.Assert(t, c, qt.IsNotNil)
	defer c.Close()
	qt.Check(t, c.quiet(), qt.IsFalse)
}
