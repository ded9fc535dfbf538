package peer

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"lovageport.example/internal/protocol/peering"
)

// earlierBuild describes the calls of a build that does not know updateCall.
type earlierBuild struct{ rpcDescription }

// NumMethods returns the number of calls.
func (d earlierBuild) NumMethods() int { return d.rpcDescription.NumMethods() - 1 }

// TestNewsWithEarlierBuild covers news to peers that know Update and to those that
// don't, both ways.
func TestNewsWithEarlierBuild(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		received := make(chan *peering.News, 2)
		h := &Handler{News: func(_ context.Context, news *peering.News) (*peering.News, error) {
			received <- news
			return &peering.News{Version: peering.Version, Address: peering.Address{Gateway: "b", Address: "b:1"}, Store: peering.StoreNews{Era: 3}}, nil
		}}
		mux := drpcmux.New()
		if earlier {
			qt.Assert(t, mux.Register(h, earlierBuild{rpcDescription{messageCodec}}), qt.IsNil)
		} else {
			qt.Assert(t, mux.Register(h, rpcDescription{messageCodec}), qt.IsNil)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- drpcserver.New(mux).Serve(ctx, listener) }()

		c := Client{Timeout: time.Second}
		news := &peering.News{Version: peering.Version, Address: peering.Address{Gateway: "a", Address: "a:1"}, Store: peering.StoreNews{Era: 2}}
		for range 2 {
			reply, err := c.News(t.Context(), listener.Addr().String(), news)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, reply.Gateway, qt.Equals, "b")
			got := <-received
			qt.Check(t, got.Gateway, qt.Equals, "a")
			if earlier {
				qt.Check(t, reply.Store, qt.DeepEquals, peering.StoreNews{})
				qt.Check(t, got.Store, qt.DeepEquals, peering.StoreNews{})
			} else {
				qt.Check(t, reply.Store.Era, qt.Equals, int64(3))
				qt.Check(t, got.Store.Era, qt.Equals, int64(2))
			}
		}
		qt.Check(t, c.isOldBuild(listener.Addr().String()), qt.Equals, earlier)
		c.Close()
		cancel()
		<-ended
	}
}

// TestUpdateWhileEnding guards against a panic when a peer calls a process whose
// control loop has ended, so that it has no news to answer with.
func TestUpdateWhileEnding(t *testing.T) {
	h := &Handler{News: func(context.Context, *peering.News) (*peering.News, error) { return nil, nil }}
	out, err := h.update(t.Context(), &peering.Update{News: &peering.News{}})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, out, qt.IsNil)
}
