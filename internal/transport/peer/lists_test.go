package peer

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
)

// TestLargeListsTakeLongerThanNews guards against lists that a peer cannot send over a
// slow link within the time of the other calls, so that no peer ever gets them.
func TestLargeListsTakeLongerThanNews(t *testing.T) {
	const newsTimeout = 50 * time.Millisecond
	slow := func() { time.Sleep(3 * newsTimeout) }
	h := &Handler{
		Lists: func(context.Context, *peering.ListsRequest) (*peering.Lists, error) {
			slow()
			return &peering.Lists{Version: peering.Version}, nil
		},
		News: func(context.Context, *peering.News) (*peering.News, error) {
			slow()
			return &peering.News{Version: peering.Version, Address: peering.Address{Gateway: "b", Address: "b:1"}}, nil
		},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, h, func(error) {}) }()
	c := Client{Timeout: newsTimeout, ListsTimeout: time.Minute}
	_, err = c.Lists(t.Context(), listener.Addr().String(), &peering.ListsRequest{Version: peering.Version})
	qt.Check(t, err, qt.IsNil)
	_, err = c.News(t.Context(), listener.Addr().String(), &peering.News{Version: peering.Version, Address: peering.Address{Gateway: "a", Address: "a:1"}})
	qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
	c.Close()
	cancel()
	<-ended
}
