package network_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/standin/network"
)

// TestShutdownEndsDials checks that Shutdown ends pending dials. An HTTP
// transport that is closed while a request waits for a frozen host leaves its
// dial pending forever.
func TestShutdownEndsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n network.Network
		const address = "frozen:1"
		_, err := n.Host("frozen", "wien").Listen(t.Context(), "tcp", address)
		qt.Assert(t, err, qt.IsNil)
		n.SetFrozen(address, true)

		transport := &http.Transport{DialContext: n.Host("caller", "wien").Dial}
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
		qt.Assert(t, err, qt.IsNil)
		answered := make(chan error)
		go func() {
			response, err := transport.RoundTrip(request)
			if err == nil {
				response.Body.Close()
			}
			answered <- err
		}()
		synctest.Wait()
		transport.CloseIdleConnections()
		cancel()
		qt.Check(t, <-answered, qt.ErrorIs, context.Canceled)
		n.Shutdown()
	})
}

// TestRefuseEndsAndPreventsConnections checks that Refuse concerns one direction between
// two hosts, and ends with Heal.
func TestRefuseEndsAndPreventsConnections(t *testing.T) {
	var n network.Network
	const address = "upstream:1"
	_, err := n.Host("upstream", "wien").Listen(t.Context(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)
	cut, other := n.Host("cut", "wien"), n.Host("other", "wien")
	open, err := cut.Dial(t.Context(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)
	kept, err := other.Dial(t.Context(), "tcp", address)
	qt.Assert(t, err, qt.IsNil)

	n.Refuse("cut", "upstream")
	_, err = open.Read(make([]byte, 1))
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
	_, err = cut.Dial(t.Context(), "tcp", address)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
	_, err = kept.Write([]byte("sent"))
	qt.Check(t, err, qt.IsNil)
	_, err = other.Dial(t.Context(), "tcp", address)
	qt.Check(t, err, qt.IsNil)

	n.Heal()
	_, err = cut.Dial(t.Context(), "tcp", address)
	qt.Check(t, err, qt.IsNil)
	n.Shutdown()
}
