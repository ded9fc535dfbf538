package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/dial"
	"lovageport.example/pkg/verdict"
)

// peer answers the n-th request of each connection with raw text; after the
// last text it closes the connection.
type peer struct {
	address  string
	accepted atomic.Int32
	requests atomic.Int32
}

func newPeer(t *testing.T, serve func(p *peer, conn net.Conn, reader *bufio.Reader)) *peer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	p := &peer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go func() {
				defer conn.Close()
				serve(p, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return p
}

// read reads one request with its body.
func (p *peer) read(reader *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	p.requests.Add(1)
	return r, err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newPool() *Pool { return &Pool{Dial: dial.New(time.Second, time.Second)} }

func get(ctx context.Context, p *Pool, address string) (string, error) {
	a, err := p.Do(ctx, &Request{Address: address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll(ctx, 1<<20)
	return string(body), err
}

// answerAll answers each request on a connection with a whole answer.
func answerAll(p *peer, conn net.Conn, reader *bufio.Reader) {
	for {
		if _, err := p.read(reader); err != nil {
			return
		}
		io.WriteString(conn, whole)
	}
}

func TestConnectionIsKept(t *testing.T) {
	c := qt.New(t)
	p := newPeer(t, answerAll)
	pool := newPool()
	defer pool.Close()
	for range 5 {
		body, err := get(context.Background(), pool, p.address)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert(p.accepted.Load(), qt.Equals, int32(1))
}

// TestRequestIsNeverSentTwice closes kept connections just as the next request
// comes: net/http would send an idempotent one again by itself.
func TestRequestIsNeverSentTwice(t *testing.T) {
	c := qt.New(t)
	p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		if _, err := p.read(reader); err != nil {
			return
		}
		io.WriteString(conn, whole)
		p.read(reader)
	})
	pool := newPool()
	defer pool.Close()
	_, err := get(context.Background(), pool, p.address)
	c.Assert(err, qt.IsNil)
	_, err = get(context.Background(), pool, p.address)
	c.Assert(verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
	c.Assert(p.requests.Load(), qt.Equals, int32(2))
}

// TestSecondAnswerReachesNobody sends bytes after a whole answer: the
// connection is not used again.
func TestSecondAnswerReachesNobody(t *testing.T) {
	for _, late := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			c := qt.New(t)
			p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
				for {
					if _, err := p.read(reader); err != nil {
						return
					}
					io.WriteString(conn, whole)
					time.Sleep(late)
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
				}
			})
			pool := newPool()
			defer pool.Close()
			for range 3 {
				body, err := get(context.Background(), pool, p.address)
				c.Assert(err, qt.IsNil)
				c.Assert(body, qt.Equals, "ok")
				time.Sleep(late + 20*time.Millisecond)
			}
		})
	}
}

func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		run    verdict.Run
		reason verdict.Reason
	}{
		{"closed without answer", "", verdict.MayHaveRun, verdict.UpstreamLost},
		{"not HTTP", "garbage\r\n\r\n", verdict.MayHaveRun, verdict.UpstreamLost},
		{"cut within the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", verdict.MayHaveRun, verdict.UpstreamLost},
		{"cut within chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", verdict.MayHaveRun, verdict.UpstreamLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
				p.read(reader)
				io.WriteString(conn, test.answer)
			})
			_, err := get(context.Background(), newPool(), p.address)
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
		p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
			p.read(reader)
			p.read(reader)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err := get(ctx, newPool(), p.address)
		qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UpstreamSilent)
		qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
	})
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	c := qt.New(t)
	p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		p.read(reader)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
	})
	pool := newPool()
	body, err := get(context.Background(), pool, p.address)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "ok")
	c.Assert(pool.idle, qt.HasLen, 0)
}

// TestEarlyAnswerToALongBody answers before the body is read and reads on
// later: the connection is given up, so that nothing else is read as the rest
// of that body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	c := qt.New(t)
	const size = 8 << 20
	rest := make(chan int64, 1)
	p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, reader)
		rest <- n
	})
	pool := newPool()
	a, err := pool.Do(context.Background(), &Request{Address: p.address, Method: "POST", URI: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", size))})
	c.Assert(err, qt.IsNil)
	c.Assert(a.Status, qt.Equals, 413)
	_, err = a.ReadAll(context.Background(), 10)
	c.Assert(err, qt.IsNil)
	a.Close()
	c.Assert(pool.idle, qt.HasLen, 0)
	c.Assert(<-rest <= size, qt.IsTrue)
}

func TestIdleConnectionIsGivenUpBeforeTheUpstreamDoes(t *testing.T) {
	c := qt.New(t)
	p := newPeer(t, answerAll)
	pool := newPool()
	a, err := pool.Do(context.Background(), &Request{Address: p.address, Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	c.Assert(err, qt.IsNil)
	a.SetKeepAlive(time.Second)
	_, err = a.ReadAll(context.Background(), 10)
	c.Assert(err, qt.IsNil)
	a.Close()
	pool.Sweep(time.Now().Add(400 * time.Millisecond))
	c.Assert(pool.idle, qt.HasLen, 1)
	pool.Sweep(time.Now().Add(600 * time.Millisecond))
	c.Assert(pool.idle, qt.HasLen, 0)
}

func TestAnswerAboveTheLimit(t *testing.T) {
	p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		p.read(reader)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n%s", strings.Repeat("x", 100))
	})
	a, err := newPool().Do(context.Background(), &Request{Address: p.address, Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	qt.Assert(t, err, qt.IsNil)
	defer a.Close()
	_, err = a.ReadAll(context.Background(), 99)
	var e *verdict.Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue)
	qt.Assert(t, e.Reason, qt.Equals, verdict.UpstreamProtocol)
}

// TestGivenUpRequestIsReset: a connection that is closed in the ordinary way
// would still deliver what the network has held up.
func TestGivenUpRequestIsReset(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		p.read(reader)
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := get(ctx, newPool(), p.address)
	c.Assert(verdict.Of(err).Reason, qt.Equals, verdict.UpstreamSilent)
	c.Assert(errors.Is(<-ended, syscall.ECONNRESET), qt.IsTrue)
}

// TestForgottenConnections: an upstream that forgets connections that rest,
// without notice, costs one request; later ones use connections that rested
// for less, or new ones.
func TestForgottenConnections(t *testing.T) {
	const forgets = 200 * time.Millisecond
	p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		for {
			conn.SetReadDeadline(time.Now().Add(forgets))
			if _, err := reader.Peek(1); err != nil {
				// Whatever comes now is reset.
				conn.SetReadDeadline(time.Time{})
				reader.Peek(1)
				conn.(*net.TCPConn).SetLinger(0)
				return
			}
			conn.SetReadDeadline(time.Time{})
			if _, err := p.read(reader); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := &Pool{Dial: dial.New(time.Second, time.Second)}
	defer pool.Close()
	ask := func() error {
		a, err := pool.Do(t.Context(), &Request{Address: p.address, Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("x")})
		if err != nil {
			return err
		}
		defer a.Close()
		_, err = a.ReadAll(t.Context(), 10)
		return err
	}
	qt.Assert(t, ask(), qt.IsNil)
	time.Sleep(2 * forgets)
	qt.Check(t, verdict.Of(ask()).Reason, qt.Equals, verdict.UpstreamLost)
	for range 2 {
		qt.Assert(t, ask(), qt.IsNil)
		time.Sleep(2 * forgets)
	}
	qt.Check(t, p.accepted.Load(), qt.Equals, int32(3))
	qt.Assert(t, ask(), qt.IsNil)
	qt.Assert(t, ask(), qt.IsNil, qt.Commentf("right after the last"))
	qt.Check(t, p.accepted.Load(), qt.Equals, int32(4))
}
