package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/dial"
	"lovageport.example/pkg/verdict"
)

// TestUnacknowledgedRequestFailsSoon guards against waiting long for the answer to a
// request that has not arrived, since its connection was silent for good: another
// attempt must follow before its caller leaves, and later requests must not use
// connections that were idle for as long.
func TestUnacknowledgedRequestFailsSoon(t *testing.T) {
	for _, reused := range []bool{false, true} {
		t.Run(map[bool]string{false: "new", true: "reused"}[reused], func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				if reused {
					s.read(reader)
					io.WriteString(conn, okResponse)
				}
				setMuted(t, conn, true)
				time.Sleep(14 * time.Second)
			})
			open := dial.New(time.Second, 1500*time.Millisecond)
			pool := &Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := open(ctx, network, address)
				// The server has muted the connection then.
				time.Sleep(100 * time.Millisecond)
				return conn, err
			}}
			defer pool.Close()
			if reused {
				_, err := get(t.Context(), pool, s.address)
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(200 * time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 13*time.Second)
			defer cancel()
			began := time.Now()
			_, err := get(ctx, pool, s.address)
			took := time.Since(began)
			t.Log(took, err)
			qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UpstreamLost)
			qt.Check(t, took < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", took))
			pool.mu.Lock()
			defer pool.mu.Unlock()
			qt.Check(t, len(pool.idleLimits) == 1, qt.Equals, reused)
		})
	}
}

// TestClosedWindowIsNoSilence guards against ending an exchange whose upstream is sound
// and does not read a large body for a while.
func TestClosedWindowIsNoSilence(t *testing.T) {
	t.Parallel()
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		time.Sleep(5 * time.Second)
		s.read(reader)
		io.WriteString(conn, okResponse)
	})
	pool := &Pool{Dial: dial.New(time.Second, 1500*time.Millisecond)}
	defer pool.Close()
	began := time.Now()
	resp, err := pool.Do(t.Context(), &Request{Address: s.address, Method: "POST", URI: "/x", Host: "h", Body: make([]byte, 16<<20)})
	t.Log(time.Since(began), err)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Close()
	_, err = resp.ReadAll(t.Context(), 10)
	qt.Check(t, err, qt.IsNil)
}
