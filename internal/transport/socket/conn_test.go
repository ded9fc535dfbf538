package socket_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/socket"
)

// pair returns both ends of a connection, the near one with small buffers.
func pair(t *testing.T) (near *socket.Conn, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { accepted.Close() })
	far = accepted.(*net.TCPConn)
	qt.Assert(t, far.SetReadBuffer(4<<10), qt.IsNil)
	qt.Assert(t, conn.(*net.TCPConn).SetWriteBuffer(4<<10), qt.IsNil)
	return socket.Track(conn).(*socket.Conn), far
}

func await(t *testing.T, condition func() bool) {
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}

// awaitState waits until a connection is in a state.
func awaitState(t *testing.T, conn net.Conn, state socket.TCPState) {
	await(t, func() bool {
		now, ok := socket.State(conn)
		return ok && now == state
	})
}

// reset has the other end get a reset.
func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// TestEndOfData guards against data that look whole to their reader although the
// connection was reset, because another call got its error, and against data that were
// ended and look cut off.
func TestEndOfData(t *testing.T) {
	long := make([]byte, 4<<20)
	for _, x := range []struct {
		name string
		// end ends the connection after a part of the data was sent. It returns once that
		// has arrived, and may use the near end.
		end   func(t *testing.T, near *socket.Conn, far *net.TCPConn)
		whole bool
	}{
		{"closed", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			far.Close()
			awaitState(t, near, socket.CloseWait)
		}, true},
		{"reset", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			reset(far)
			awaitState(t, near, socket.Closed)
		}, false},
		{"reset, then looked at", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			reset(far)
			awaitState(t, near, socket.Closed)
			qt.Check(t, socket.HasUnread(near), qt.IsTrue)
			_, ok := socket.Unacknowledged(near)
			qt.Check(t, ok, qt.IsTrue)
		}, false},
		{"reset, then written", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			reset(far)
			awaitState(t, near, socket.Closed)
			_, err := near.Write(long)
			qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
		}, false},
		{"reset, then written twice", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			reset(far)
			awaitState(t, near, socket.Closed)
			_, err := near.Write(long)
			qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
			_, err = near.Write(long)
			qt.Check(t, err, qt.ErrorIs, syscall.EPIPE)
		}, false},
		{"reset, then copied to", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			reset(far)
			awaitState(t, near, socket.Closed)
			_, err := io.Copy(near, strings.NewReader("x"))
			qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
		}, false},
		{"reset while a write waits", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			go near.Write(long)
			await(t, func() bool { n, _ := socket.Unacknowledged(near); return n > 0 })
			reset(far)
			awaitState(t, near, socket.Closed)
		}, false},
		{"closed without having read", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			_, err := near.Write([]byte("x"))
			qt.Check(t, err, qt.IsNil)
			await(t, func() bool { return socket.HasUnread(far) })
			far.Close()
			awaitState(t, near, socket.Closed)
		}, false},
		{"ended while a write waits", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			go near.Write(long)
			await(t, func() bool { return socket.HasUnread(far) })
			far.CloseWrite()
			awaitState(t, near, socket.CloseWait)
		}, true},
		{"ended, then reset", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			far.CloseWrite()
			awaitState(t, near, socket.CloseWait)
			reset(far)
			awaitState(t, near, socket.Closed)
		}, true},
		{"ended, then reset while a write waits", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			far.CloseWrite()
			awaitState(t, near, socket.CloseWait)
			go near.Write(long)
			await(t, func() bool { return socket.HasUnread(far) })
			reset(far)
			awaitState(t, near, socket.Closed)
		}, true},
		{"ended, then reset, then written twice", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			far.CloseWrite()
			awaitState(t, near, socket.CloseWait)
			reset(far)
			awaitState(t, near, socket.Closed)
			for range 2 {
				_, err := near.Write(long)
				qt.Check(t, err, qt.ErrorIs, syscall.EPIPE)
			}
		}, true},
		{"closed, own write timed out", func(t *testing.T, near *socket.Conn, far *net.TCPConn) {
			qt.Check(t, near.SetWriteDeadline(time.Unix(1, 0)), qt.IsNil)
			_, err := near.Write(long)
			qt.Check(t, err, qt.IsNotNil)
			far.Close()
			awaitState(t, near, socket.CloseWait)
		}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			for range 20 {
				near, far := pair(t)
				_, err := io.WriteString(far, "data")
				qt.Assert(t, err, qt.IsNil)
				await(t, func() bool { return socket.HasUnread(near) })
				x.end(t, near, far)
				var got strings.Builder
				_, err = io.Copy(&got, near)
				qt.Check(t, got.String(), qt.Equals, "data")
				qt.Check(t, err == nil, qt.Equals, x.whole, qt.Commentf("%v", err))
				_, again := near.Read(make([]byte, 1))
				qt.Check(t, again == io.EOF, qt.Equals, x.whole, qt.Commentf("again: %v", again))
			}
		})
	}
}

// TestUnknownEndIsNoEnd guards against data that count as whole although what takes the
// error of their connection is not known to it, and against an error that does not look
// like one of a connection.
func TestUnknownEndIsNoEnd(t *testing.T) {
	near, far := pair(t)
	reset(far)
	awaitState(t, near, socket.Closed)
	// This write is not seen by near.
	_, err := near.TCPConn.Write([]byte("x"))
	qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET)
	_, err = near.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, socket.ErrUnknownEnd)
	var network net.Error
	qt.Check(t, errors.As(err, &network), qt.IsTrue)
}
