package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/guard"
	"lovageport.example/internal/protocol/peering"
)

// TestPanicFailsOneCall guards against a process that ends because the call of a peer
// panics: that call fails, and the next one is answered.
func TestPanicFailsOneCall(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	calls, reported := 0, 0
	h := &Handler{
		Guard: guard.Guard{OnPanic: func(string, *guard.PanicError) { reported++ }},
		Heartbeat: func(_ context.Context, in *peering.Heartbeat) (*peering.Heartbeat, error) {
			if calls++; calls == 1 {
				panic("broken")
			}
			return in, nil
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var serving sync.WaitGroup
	serving.Go(func() { _ = Serve(ctx, listener, h, func(error) {}) })
	defer serving.Wait()
	defer cancel()
	client := &Client{Timeout: 5 * time.Second}
	defer client.Close()
	message := &peering.Heartbeat{Version: peering.Version, Entry: "e", Zone: "z", Address: "10.0.0.1:3"}
	_, err = client.Heartbeat(ctx, listener.Addr().String(), message)
	c.Check(err, qt.ErrorMatches, ".*the call failed here.*")
	c.Check(reported, qt.Equals, 1)
	answer, err := client.Heartbeat(ctx, listener.Addr().String(), message)
	c.Assert(err, qt.IsNil)
	c.Check(answer.Entry, qt.Equals, "e")
}
