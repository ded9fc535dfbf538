package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/drain"
)

// server is an HTTP server whose connections a drain ends.
type server struct {
	*drain.Listener
	served chan error
}

func serve(t *testing.T, handler http.HandlerFunc) *server {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &server{Listener: drain.NewListener(tcp), served: make(chan error, 1)}
	h := &http.Server{Handler: handler, ConnState: drain.Track, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	go func() { s.served <- h.Serve(s.Listener) }()
	t.Cleanup(func() { h.Close() })
	return s
}

// client is a connection of a caller.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	conn, err := net.Dial("tcp", s.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return newClient(t, conn)
}

func newClient(t *testing.T, conn net.Conn) *client { return &client{conn, t, bufio.NewReader(conn)} }

func (c *client) write(text string) {
	_, err := c.Write([]byte(text))
	qt.Assert(c.t, err, qt.IsNil)
}

// answer returns the status of the next answer, or 0 if the connection has ended.
func (c *client) answer() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

const (
	get       = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	postStart = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"
	// longIdle is longer than a drain keeps a connection without a request.
	longIdle = 400 * time.Millisecond
)

// TestDrain checks that a drain answers what arrives on connections that are in use
// or new, and ends the others.
func TestDrain(t *testing.T) {
	for _, x := range []struct {
		name string
		// first is what the caller sends and reads the answers to, begun what it
		// sends then. After idle the drain begins, and then the caller sends rest.
		first, begun string
		idle         time.Duration
		rest         string
		// answers is how many answers the drain must leave.
		answers int
	}{
		{name: "never used", idle: longIdle},
		{name: "kept", first: get, idle: longIdle},
		{name: "new", rest: get, answers: 1},
		{name: "just answered", first: get, rest: get, answers: 1},
		{name: "half a request", first: get, begun: get[:10], idle: longIdle, rest: get[10:], answers: 1},
		{name: "half a first request", begun: get[:20], idle: longIdle, rest: get[20:], answers: 1},
		{name: "half a body", begun: postStart, idle: longIdle, rest: "cd", answers: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			draining := make(chan struct{})
			s := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				qt.Check(t, err, qt.IsNil)
				select {
				case <-draining:
					w.Header().Set("Connection", "close")
				default:
				}
			})
			c := s.dial(t)
			if x.first != "" {
				c.write(x.first)
				qt.Assert(t, c.answer(), qt.Equals, http.StatusOK)
			}
			c.write(x.begun)
			time.Sleep(x.idle)
			close(draining)
			drained := make(chan error, 1)
			go func() { drained <- s.Drain(context.Background()) }()
			if x.rest != "" {
				time.Sleep(100 * time.Millisecond)
				c.write(x.rest)
			}
			answers := 0
			for c.answer() == http.StatusOK {
				answers++
			}
			qt.Check(t, answers, qt.Equals, x.answers)
			qt.Check(t, <-drained, qt.IsNil)
			qt.Check(t, <-s.served, qt.ErrorIs, http.ErrServerClosed)
			qt.Check(t, s.Open(), qt.Equals, 0)
		})
	}
}

// TestConnectionsThatWaitAreAccepted guards against resetting connections that
// callers have opened while the server did not accept any.
func TestConnectionsThatWaitAreAccepted(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &server{Listener: drain.NewListener(tcp), served: make(chan error, 1)}
	c := s.dial(t)
	c.write(get)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	h := &http.Server{Handler: http.NotFoundHandler(), ConnState: drain.Track}
	go func() { s.served <- h.Serve(s.Listener) }()
	qt.Check(t, c.answer(), qt.Equals, http.StatusNotFound)
	qt.Check(t, <-drained, qt.IsNil)
}

// TestDrainGivesUp checks that a drain ends with its context although a request is
// still at work.
func TestDrainGivesUp(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	s.dial(t).write(get)
	time.Sleep(longIdle)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	qt.Check(t, s.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	qt.Check(t, s.Open(), qt.Equals, 1)
}
