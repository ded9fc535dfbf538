package tunnel_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/dial"
	"lovageport.example/internal/transport/socket"
	"lovageport.example/internal/transport/tunnel"
)

// upstream is a server that serves one connection.
func upstream(t *testing.T, serve func(conn *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var served sync.WaitGroup
	served.Go(func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn.(*net.TCPConn))
	})
	t.Cleanup(func() {
		l.Close()
		served.Wait()
	})
	return l.Addr().String()
}

// startPeer starts a peer that opens tunnels. It ends with stop.
func startPeer(t *testing.T) (address string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	dialUpstream := dial.New(time.Second, 300*time.Millisecond)
	s := &tunnel.Server{Connect: func(ctx context.Context, r *peering.TunnelRequest) (net.Conn, peering.TunnelOutcome) {
		conn, err := dialUpstream(ctx, "tcp", r.Address)
		if err != nil {
			return nil, peering.TunnelRefused
		}
		return conn, peering.TunnelOpened
	}}
	tunnels, _, run := tunnel.Split(l)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = run(ctx) })
	group.Go(func() { qt.Check(t, s.Serve(ctx, tunnels), qt.IsNil) })
	stop = sync.OnceFunc(func() {
		cancel()
		group.Wait()
	})
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

func open(t *testing.T, peer, address string) *tunnel.Conn {
	conn, err := tunnel.Open(t.Context(), (&net.Dialer{}).DialContext, peer, request(address))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	return conn
}

func request(address string) *peering.TunnelRequest {
	return &peering.TunnelRequest{Version: peering.Version, Gateway: "g", Address: address}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestTunnelCarriesBothWays checks that all bytes arrive, of messages larger than a frame
// too, and that the end of the upstream is the end of the tunnel.
func TestTunnelCarriesBothWays(t *testing.T) {
	message := bytes.Repeat([]byte("0123456789"), 20_000)
	peer, _ := startPeer(t)
	conn := open(t, peer, upstream(t, func(conn *net.TCPConn) {
		got := make([]byte, len(message))
		_, err := io.ReadFull(conn, got)
		qt.Check(t, err, qt.IsNil)
		_, err = conn.Write(got)
		qt.Check(t, err, qt.IsNil)
	}))
	go conn.Write(message)
	got, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, message), qt.IsTrue)
}

// TestCutTunnelIsNoEnd guards against a response that ends with its connection and looks
// complete because the tunnel ended before it.
func TestCutTunnelIsNoEnd(t *testing.T) {
	for _, x := range []struct {
		name string
		// end ends the tunnel while the upstream is still sending.
		end func(upstream *net.TCPConn, stopPeer func())
	}{
		{"peer ends", func(_ *net.TCPConn, stopPeer func()) { stopPeer() }},
		{"upstream resets", func(conn *net.TCPConn, _ func()) {
			conn.SetLinger(0)
			conn.Close()
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			peer, stop := startPeer(t)
			read, ended := make(chan struct{}), make(chan struct{})
			conn := open(t, peer, upstream(t, func(conn *net.TCPConn) {
				_, err := io.WriteString(conn, "half")
				qt.Check(t, err, qt.IsNil)
				<-read
				x.end(conn, stop)
				<-ended
			}))
			_, err := io.ReadFull(conn, make([]byte, 4))
			qt.Check(t, err, qt.IsNil)
			close(read)
			_, err = conn.Read(make([]byte, 1))
			close(ended)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, err, qt.Not(qt.Equals), io.EOF)
		})
	}
}

// TestEndBesideWaitingBody guards against a part of a response that looks complete because
// the peer's write of the request's body got the reset of the upstream, and against a
// response that is cut off although the upstream ended it, while the body waits.
func TestEndBesideWaitingBody(t *testing.T) {
	response := bytes.Repeat([]byte("0123456789"), 100_000)
	for _, x := range []struct {
		name  string
		whole bool
		end   func(upstream *net.TCPConn)
	}{
		{"reset", false, func(conn *net.TCPConn) { conn.SetLinger(0) }},
		{"closed with the body unread", false, func(*net.TCPConn) {}},
		{"ended", true, func(conn *net.TCPConn) { conn.CloseWrite() }},
		{"ended, then reset", true, func(conn *net.TCPConn) {
			conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			conn.SetLinger(0)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			for range 5 {
				peer, _ := startPeer(t)
				read := make(chan struct{})
				conn := open(t, peer, upstream(t, func(conn *net.TCPConn) {
					conn.SetReadBuffer(64 << 10)
					for !socket.HasUnread(conn) {
						time.Sleep(time.Millisecond)
					}
					_, err := conn.Write(response)
					qt.Check(t, err, qt.IsNil)
					if !x.whole {
						<-read
					}
					x.end(conn)
					if x.whole {
						<-read
					}
				}))
				written := make(chan struct{})
				go func() {
					defer close(written)
					conn.Write(make([]byte, 8<<20))
				}()
				got := make([]byte, len(response))
				_, err := io.ReadFull(conn, got)
				qt.Check(t, err, qt.IsNil)
				if !x.whole {
					close(read)
				}
				_, err = conn.Read(make([]byte, 1))
				qt.Check(t, err == io.EOF, qt.Equals, x.whole, qt.Commentf("%v", err))
				if x.whole {
					close(read)
				}
				conn.Close()
				<-written
			}
		})
	}
}

// TestKilledPeerIsNoEnd guards against the same if the connection to the peer is closed
// as the kernel closes that of a process that is killed.
func TestKilledPeerIsNoEnd(t *testing.T) {
	near, far := pair(t)
	qt.Assert(t, write(far, "\x00\x04ha"), qt.IsNil)
	far.Close()
	conn := &tunnel.Conn{TCPConn: near}
	_, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.Equals, tunnel.ErrCut)
}

// TestDeadlineWithinHeaderLosesNothing guards against bytes that a read takes before its
// deadline and the next one misses.
func TestDeadlineWithinHeaderLosesNothing(t *testing.T) {
	near, far := pair(t)
	conn := &tunnel.Conn{TCPConn: near}
	qt.Assert(t, write(far, "\x00"), qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	qt.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue)
	qt.Assert(t, conn.SetReadDeadline(time.Time{}), qt.IsNil)
	qt.Assert(t, write(far, "\x02ab\x00\x00"), qt.IsNil)
	got, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "ab")
}

// TestUpstreamHearsOfTheEnd guards against an upstream that works on for a caller that
// has gone.
func TestUpstreamHearsOfTheEnd(t *testing.T) {
	for _, reset := range []bool{false, true} {
		peer, _ := startPeer(t)
		heard := make(chan error, 1)
		conn := open(t, peer, upstream(t, func(conn *net.TCPConn) {
			_, err := io.Copy(io.Discard, conn)
			heard <- err
		}))
		if reset {
			qt.Assert(t, conn.SetLinger(0), qt.IsNil)
		}
		conn.Close()
		select {
		case err := <-heard:
			qt.Check(t, err != nil, qt.Equals, reset)
		case <-time.After(time.Second):
			t.Error("the upstream has not heard of the end")
		}
	}
}

// TestPauseDoesNotCutTunnel guards against a tunnel that fails because one of its ends does
// not read for a while, as if that had died.
func TestPauseDoesNotCutTunnel(t *testing.T) {
	const pause = time.Second
	message := bytes.Repeat([]byte("0123456789"), 2_000_000)
	peer, _ := startPeer(t)
	conn := open(t, peer, upstream(t, func(conn *net.TCPConn) {
		time.Sleep(pause)
		got := make([]byte, len(message))
		_, err := io.ReadFull(conn, got)
		qt.Check(t, err, qt.IsNil)
		_, err = conn.Write(got)
		qt.Check(t, err, qt.IsNil)
	}))
	_, err := conn.Write(message)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(pause)
	got, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, message), qt.IsTrue)
}

// TestPeerStopsWhileUpstreamDoesNotRead guards against a process whose end waits for an
// upstream to read what a peer sends.
func TestPeerStopsWhileUpstreamDoesNotRead(t *testing.T) {
	peer, stop := startPeer(t)
	ended := make(chan struct{})
	conn := open(t, peer, upstream(t, func(*net.TCPConn) { <-ended }))
	defer close(ended)
	qt.Assert(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	for {
		if _, err := conn.Write(make([]byte, 1<<20)); err != nil {
			break
		}
	}
	began := time.Now()
	stop()
	qt.Check(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// TestCopyReadsFrames guards against a copy that takes the frames for what the upstream sent.
func TestCopyReadsFrames(t *testing.T) {
	peer, _ := startPeer(t)
	conn := open(t, peer, upstream(t, func(conn *net.TCPConn) { qt.Check(t, write(conn, "text"), qt.IsNil) }))
	var got bytes.Buffer
	_, err := io.Copy(&got, conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.String(), qt.Equals, "text")
}

// scarceListener lacks descriptors for the first connection.
type scarceListener struct {
	net.Listener
	once sync.Once
}

func (l *scarceListener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() { err = &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)} })
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// TestLackOfDescriptorsEndsNoListener guards against a process that ends because it lacked
// descriptors for a moment.
func TestLackOfDescriptorsEndsNoListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	tunnels, _, run := tunnel.Split(&scarceListener{Listener: l})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { qt.Check(t, run(ctx), qt.IsNil) })
	defer running.Wait()
	defer cancel()
	conn, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, write(conn, tunnel.Prefix), qt.IsNil)
	accepted, err := tunnels.Accept()
	qt.Assert(t, err, qt.IsNil)
	accepted.Close()
}

func TestOutcomes(t *testing.T) {
	peer, _ := startPeer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l.Close()
	_, err = tunnel.Open(t.Context(), (&net.Dialer{}).DialContext, peer, request(l.Addr().String()))
	var refusal *tunnel.OutcomeError
	qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
	qt.Assert(t, refusal.Outcome, qt.Equals, peering.TunnelRefused)
}

// TestPeerWithoutTunnels checks that a process that does not know tunnels, or none that
// answers, is an error in time.
func TestPeerWithoutTunnels(t *testing.T) {
	for _, serve := range []func(conn *net.TCPConn){
		func(conn *net.TCPConn) { conn.Read(make([]byte, 8)) },
		func(conn *net.TCPConn) { io.Copy(io.Discard, conn) },
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := tunnel.Open(ctx, (&net.Dialer{}).DialContext, upstream(t, serve), request("127.0.0.1:1"))
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, time.Since(began) < time.Second, qt.IsTrue)
	}
}

// pair returns the two ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	ends := make(chan *net.TCPConn, 1)
	closed := make(chan struct{})
	address := upstream(t, func(conn *net.TCPConn) {
		ends <- conn
		<-closed
	})
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		close(closed)
		conn.Close()
	})
	return conn.(*net.TCPConn), <-ends
}

func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}
