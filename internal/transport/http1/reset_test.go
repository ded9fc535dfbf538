package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// awaitState waits until a TCP connection is in a state, which leaves its error.
func awaitState(t *testing.T, conn net.Conn, state uint8) {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		inspect(conn, func(fd int) { info, _ = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
		if info != nil && info.State == state {
			return
		}
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("state %d not reached", state))
	}
}

// doCut makes an exchange whose response has no length and is cut, by the reset or the
// close of the connection, before its second half. It returns the response once the cut
// has arrived.
func doCut(t *testing.T, reset bool) *Response {
	cut := make(chan bool)
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		s.read(reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
		<-cut
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
	})
	pool := newPool()
	t.Cleanup(pool.Close)
	resp, err := pool.Do(t.Context(), &Request{Address: s.address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(resp.Close)
	half := make([]byte, len("half"))
	_, err = io.ReadFull(resp, half)
	qt.Assert(t, err, qt.IsNil)
	close(cut)
	state := uint8(unix.BPF_TCP_CLOSE_WAIT)
	if reset {
		state = unix.BPF_TCP_CLOSE
	}
	awaitState(t, resp.conn.Conn, state)
	return resp
}

// TestLookingForDataLeavesReset guards against a response without length that ends as
// whole although its connection was reset: the look for unread data took the error.
func TestLookingForDataLeavesReset(t *testing.T) {
	for _, x := range []struct {
		name  string
		reset bool
	}{{"reset", true}, {"close", false}} {
		t.Run(x.name, func(t *testing.T) {
			resp := doCut(t, x.reset)
			qt.Check(t, resp.HasUnread(), qt.IsFalse)
			qt.Check(t, resp.conn.hasDataBefore(1), qt.IsFalse)
			_, err := resp.Read(make([]byte, 1))
			qt.Check(t, err == io.EOF, qt.Equals, !x.reset, qt.Commentf("%v", err))
		})
	}
}
