package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/dial"
	"lovageport.example/pkg/verdict"
)

// testServer is an upstream that handles each connection with a function and
// closes it afterwards. It counts connections and requests.
type testServer struct {
	address  string
	accepted atomic.Int32
	requests atomic.Int32
}

// newTestServer starts a server that handles each connection with serve.
func newTestServer(t *testing.T, serve func(s *testServer, conn net.Conn, reader *bufio.Reader)) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	s := &testServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer conn.Close()
				serve(s, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

// read reads one request including its body.
func (s *testServer) read(reader *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	return r, err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newPool() *Pool { return &Pool{Dial: dial.New(time.Second, time.Second)} }

func get(ctx context.Context, p *Pool, address string) (string, error) {
	resp, err := p.Do(ctx, &Request{Address: address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := resp.ReadAll(ctx, 1<<20)
	return string(body), err
}

// respondToAll sends a complete response to each request on a connection.
func respondToAll(s *testServer, conn net.Conn, reader *bufio.Reader) {
	for {
		if _, err := s.read(reader); err != nil {
			return
		}
		io.WriteString(conn, okResponse)
	}
}

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(t, respondToAll)
	pool := newPool()
	defer pool.Close()
	for range 5 {
		body, err := get(context.Background(), pool, s.address)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(s.accepted.Load(), qt.Equals, int32(1))
}

// TestRequestIsNeverSentTwice guards against resending a request when the
// upstream closes a reused connection as the request arrives. net/http would
// resend an idempotent one by itself.
func TestRequestIsNeverSentTwice(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		if _, err := s.read(reader); err != nil {
			return
		}
		io.WriteString(conn, okResponse)
		s.read(reader)
	})
	pool := newPool()
	defer pool.Close()
	_, err := get(context.Background(), pool, s.address)
	c.Assert(err, qt.IsNil)
	_, err = get(context.Background(), pool, s.address)
	c.Assert(verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
	c.Assert(s.requests.Load(), qt.Equals, int32(2))
}

// TestUnsolicitedResponseIsDiscarded guards against taking data that an upstream
// sends after a complete response for the response to the next request: the
// connection is not reused.
func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	const rounds = 5
	for _, x := range []struct {
		name string
		// together is set if the data follows the response at once, so that it may
		// be read together with it.
		together bool
	}{{"at once", true}, {"later", false}} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			read, written := make(chan bool), make(chan bool)
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				s.read(reader)
				io.WriteString(conn, okResponse)
				if !x.together {
					<-read
				}
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
				written <- true
				s.read(reader)
			})
			pool := newPool()
			defer pool.Close()
			for range rounds {
				body, err := get(context.Background(), pool, s.address)
				c.Assert(err, qt.IsNil)
				c.Assert(body, qt.Equals, "ok")
				if !x.together {
					read <- true
				}
				<-written
				awaitUnsolicitedData(t, pool, s.address)
			}
			c.Check(s.accepted.Load(), qt.Equals, int32(rounds))
			c.Check(s.requests.Load(), qt.Equals, int32(rounds))
		})
	}
}

// awaitUnsolicitedData waits until data has arrived on the idle connection to an
// address, unless that is closed already.
func awaitUnsolicitedData(t *testing.T, pool *Pool, address string) {
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		idle := pool.idle[address]
		if len(idle) == 0 || !idle[0].quiet() {
			return
		}
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}

func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		run    verdict.Run
		reason verdict.Reason
	}{
		{"closed without response", "", verdict.MayHaveRun, verdict.UpstreamLost},
		{"not HTTP", "garbage\r\n\r\n", verdict.MayHaveRun, verdict.UpstreamLost},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", verdict.MayHaveRun, verdict.UpstreamLost},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", verdict.MayHaveRun, verdict.UpstreamLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				s.read(reader)
				io.WriteString(conn, test.answer)
			})
			_, err := get(context.Background(), newPool(), s.address)
			e := verdict.Of(err)
			qt.Check(t, e.Run, qt.Equals, test.run)
			qt.Check(t, e.Reason, qt.Equals, test.reason)
		})
	}
	t.Run("no connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listener.Close()
		_, err = get(context.Background(), newPool(), listener.Addr().String())
		qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.NotRun)
	})
	t.Run("silence", func(t *testing.T) {
		s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
			s.read(reader)
			s.read(reader)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err := get(ctx, newPool(), s.address)
		qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UpstreamSilent)
		qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
	})
}

func TestCloseDelimitedResponse(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		s.read(reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
	})
	pool := newPool()
	body, err := get(context.Background(), pool, s.address)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "ok")
	c.Assert(pool.idle, qt.HasLen, 0)
}

// TestEarlyResponseToLargeBody guards against reusing a connection whose request
// body is not yet written when the response arrives: the upstream would read the
// next request as the rest of that body.
func TestEarlyResponseToLargeBody(t *testing.T) {
	c := qt.New(t)
	const size = 8 << 20
	rest := make(chan int64, 1)
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, reader)
		rest <- n
	})
	pool := newPool()
	resp, err := pool.Do(context.Background(), &Request{Address: s.address, Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", size))})
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Status, qt.Equals, 413)
	_, err = resp.ReadAll(context.Background(), 10)
	c.Assert(err, qt.IsNil)
	resp.Close()
	c.Assert(pool.idle, qt.HasLen, 0)
	c.Assert(<-rest <= size, qt.IsTrue)
}

func TestIdleConnectionIsClosedBeforeUpstreamClosesIt(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(t, respondToAll)
	pool := newPool()
	resp, err := pool.Do(context.Background(), &Request{Address: s.address, Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	c.Assert(err, qt.IsNil)
	resp.SetKeepAlive(time.Second)
	_, err = resp.ReadAll(context.Background(), 10)
	c.Assert(err, qt.IsNil)
	resp.Close()
	pool.CloseExpired(time.Now().Add(400 * time.Millisecond))
	c.Assert(pool.idle, qt.HasLen, 1)
	pool.CloseExpired(time.Now().Add(600 * time.Millisecond))
	c.Assert(pool.idle, qt.HasLen, 0)
}

func TestResponseAboveTheLimit(t *testing.T) {
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		s.read(reader)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n%s", strings.Repeat("x", 100))
	})
	resp, err := newPool().Do(context.Background(), &Request{Address: s.address, Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	qt.Assert(t, err, qt.IsNil)
	defer resp.Close()
	_, err = resp.ReadAll(context.Background(), 99)
	var e *verdict.Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Reason, qt.Equals, verdict.UpstreamProtocol)
}

// TestAbortedRequestIsReset guards against an orderly close after a timeout,
// which would still deliver data that the network has delayed.
func TestAbortedRequestIsReset(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		s.read(reader)
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := get(ctx, newPool(), s.address)
	c.Assert(verdict.Of(err).Reason, qt.Equals, verdict.UpstreamSilent)
	c.Assert(errors.Is(<-ended, syscall.ECONNRESET), qt.IsTrue)
}

// TestSilentlyDroppedConnections guards against losing more than one request to
// an upstream that drops idle connections without notice: later requests use
// connections that were idle for less time, or new ones.
func TestSilentlyDroppedConnections(t *testing.T) {
	const dropAfter = 200 * time.Millisecond
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		for {
			conn.SetReadDeadline(time.Now().Add(dropAfter))
			if _, err := reader.Peek(1); err != nil {
				// Respond to the next request with a reset.
				conn.SetReadDeadline(time.Time{})
				reader.Peek(1)
				conn.(*net.TCPConn).SetLinger(0)
				return
			}
			conn.SetReadDeadline(time.Time{})
			if _, err := s.read(reader); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := &Pool{Dial: dial.New(time.Second, time.Second)}
	defer pool.Close()
	send := func() error {
		resp, err := pool.Do(t.Context(), &Request{Address: s.address, Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("x")})
		if err != nil {
			return err
		}
		defer resp.Close()
		_, err = resp.ReadAll(t.Context(), 10)
		return err
	}
	qt.Assert(t, send(), qt.IsNil)
	time.Sleep(2 * dropAfter)
	qt.Check(t, verdict.Of(send()).Reason, qt.Equals, verdict.UpstreamLost)
	for range 2 {
		qt.Assert(t, send(), qt.IsNil)
		time.Sleep(2 * dropAfter)
	}
	qt.Check(t, s.accepted.Load(), qt.Equals, int32(3))
	qt.Assert(t, send(), qt.IsNil)
	qt.Assert(t, send(), qt.IsNil, qt.Commentf("request right after the previous one"))
	qt.Check(t, s.accepted.Load(), qt.Equals, int32(4))
}

// TestUnansweredConnectIsNoRefusal guards against taking an upstream that cannot
// be reached, or a caller that has gone, for an upstream that has ended.
func TestUnansweredConnectIsNoRefusal(t *testing.T) {
	gone, leave := context.WithCancel(context.Background())
	leave()
	late, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer cancel()
	for _, x := range []struct {
		name   string
		ctx    context.Context
		err    error
		reason verdict.Reason
	}{
		{"refused", context.Background(), &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, verdict.UpstreamRefused},
		{"no answer", context.Background(), &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, verdict.UpstreamSilent},
		{"no route", context.Background(), &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, verdict.UpstreamSilent},
		{"deadline", late, late.Err(), verdict.UpstreamSilent},
		{"caller gone", gone, gone.Err(), verdict.CallerGone},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := &Pool{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, x.err }}
			_, err := p.Do(x.ctx, &Request{Address: "e"})
			qt.Check(t, verdict.Of(err).Reason, qt.Equals, x.reason)
			qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.NotRun)
		})
	}
}
