package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcwire"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/standin/endless"
)

// endlessMessage returns a frame that is not the last of its message. Sent
// repeatedly, it makes a message that never ends.
func endlessMessage(kind drpcwire.Kind) string {
	return string(drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, 4<<10), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind}))
}

// readCallStart reads the start of a call.
func readCallStart(conn net.Conn) error {
	_, err := io.ReadFull(conn, make([]byte, 16))
	return err
}

// TestEndlessReply guards against a reply without end filling memory: the call
// fails at the size limit, before its timeout.
func TestEndlessReply(t *testing.T) {
	for name, text := range map[string]string{"message": endlessMessage(drpcwire.KindMessage), "no message": string(make([]byte, 4<<10))} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer listener.Close()
			server := endless.Server{ReadRequest: readCallStart, Repeat: text}
			go server.Serve(listener)
			clients := &Client{Timeout: 5 * time.Second}
			defer clients.Close()
			began := time.Now()
			_, err = clients.News(t.Context(), listener.Addr().String(), &peering.News{Version: peering.Version})
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsFalse)
			qt.Check(t, time.Since(began) < 4*time.Second, qt.IsTrue)
		})
	}
}

// TestEndlessCall guards against a call without end filling the memory of the
// server: the connection is closed at the size limit.
func TestEndlessCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go Serve(t.Context(), listener, &Handler{}, func(error) {})
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	written := make(chan int, 1)
	go func() { written <- endless.WriteUntilError(conn, "", endlessMessage(drpcwire.KindInvoke)) }()
	select {
	case n := <-written:
		t.Logf("connection closed after %d bytes", n)
	case <-time.After(5 * time.Second):
		t.Fatal("the connection was not closed at the size limit")
	}
	runtime.ReadMemStats(&after)
	qt.Check(t, after.TotalAlloc-before.TotalAlloc < 8*maxCallBytes, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
}
