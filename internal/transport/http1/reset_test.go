package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/socket"
)

// awaitState waits until a TCP connection is in a state, which leaves its error.
func awaitState(t *testing.T, conn net.Conn, state socket.TCPState) {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if now, ok := socket.State(conn); ok && now == state {
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
	state := socket.CloseWait
	if reset {
		state = socket.Closed
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

// TestResetBesideBodyIsNotWhole guards against a response without length that ends as
// whole although its connection was reset: the write of the long request body, which the
// upstream has not read yet, took the error. One that ends while the body is written is whole.
func TestResetBesideBodyIsNotWhole(t *testing.T) {
	for _, x := range []struct {
		name  string
		whole bool
		// end ends the connection once the first half of the response has been read.
		end func(conn *net.TCPConn, body io.Reader)
	}{
		{"reset", false, func(conn *net.TCPConn, _ io.Reader) { conn.SetLinger(0) }},
		{"closed with the body unread", false, func(*net.TCPConn, io.Reader) {}},
		{"ended while the body waits", true, func(conn *net.TCPConn, _ io.Reader) {
			io.WriteString(conn, "half")
			conn.CloseWrite()
			// The client aborts the exchange.
			io.Copy(io.Discard, conn)
		}},
		{"ended after the body", true, func(conn *net.TCPConn, body io.Reader) {
			io.WriteString(conn, "half")
			io.Copy(io.Discard, body)
		}},
	} {
		for _, reader := range readers {
			t.Run(x.name+"/"+reader.name, func(t *testing.T) {
				for range 10 {
					answered := make(chan bool)
					s := newTestServer(t, func(s *testServer, conn net.Conn, from *bufio.Reader) {
						c := conn.(*net.TCPConn)
						c.SetReadBuffer(64 << 10)
						r, err := http.ReadRequest(from)
						qt.Check(t, err, qt.IsNil)
						io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
						<-answered
						for !socket.HasUnread(c) {
							time.Sleep(time.Millisecond)
						}
						x.end(c, r.Body)
					})
					pool := newPool()
					resp, err := pool.Do(t.Context(), &Request{Address: s.address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, longBody)})
					qt.Assert(t, err, qt.IsNil)
					close(answered)
					body, err := reader.read(resp)
					qt.Check(t, err == nil, qt.Equals, x.whole, qt.Commentf("%q, %v", body, err))
					if x.whole {
						qt.Check(t, body, qt.Equals, "halfhalf")
					}
					resp.Close()
					pool.Close()
				}
			})
		}
	}
}

// longBody is the size in bytes of a body that does not fit the buffers of a connection.
const longBody = 4 << 20
