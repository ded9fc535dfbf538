package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"lovageport.example/internal/transport/dial"
	"lovageport.example/pkg/verdict"
)

// hookedConn is a connection that calls beforeWrite before the second write: the pool
// has then looked for unsolicited data, and the request is not sent yet.
type hookedConn struct {
	*net.TCPConn
	writes      int
	beforeWrite func()
}

func (c *hookedConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 2 {
		c.beforeWrite()
	}
	return c.TCPConn.Write(p)
}

// delayAcknowledgements makes the peer of a client acknowledge what it receives
// some 40 ms later, if it sends nothing meanwhile. It stands for the round trip of a
// network, which loopback does not have.
func delayAcknowledgements(t *testing.T, conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	qt.Check(t, err, qt.IsNil)
	err = raw.Control(func(fd uintptr) {
		qt.Check(t, unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_QUICKACK, 0), qt.IsNil)
	})
	qt.Check(t, err, qt.IsNil)
}

// TestDataBeforeRequestIsNoResponse guards against taking data that arrives after
// the pool has looked for it, and before the request is sent, for the response.
func TestDataBeforeRequestIsNoResponse(t *testing.T) {
	for _, x := range []struct{ name, text string }{
		{"response", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{"a byte", "H"},
		{"no response", "bad"},
	} {
		t.Run(x.name, func(t *testing.T) {
			write, written := make(chan bool), make(chan bool)
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				s.read(reader)
				delayAcknowledgements(t, conn)
				io.WriteString(conn, okResponse)
				<-write
				io.WriteString(conn, x.text)
				close(written)
				<-t.Context().Done()
			})
			open := dial.New(time.Second, time.Second)
			pool := &Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := open(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &hookedConn{TCPConn: conn.(*net.TCPConn), beforeWrite: func() { close(write); <-written }}, nil
			}}
			defer pool.Close()
			body, err := get(t.Context(), pool, s.address)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, "ok")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			resp, err := pool.Do(ctx, &Request{Address: s.address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
			if err == nil {
				resp.Close()
				t.Fatalf("status %d", resp.Status)
			}
			qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
			qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UpstreamProtocol)
		})
	}
}
