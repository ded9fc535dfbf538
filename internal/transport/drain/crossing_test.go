package drain_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestServedRequestsAreAnswered checks that callers which go on sending while a drain
// ends their connections get an answer to each request that the handler has had.
func TestServedRequestsAreAnswered(t *testing.T) {
	for _, x := range []struct {
		name string
		// kept is set if callers keep a connection until it ends.
		kept bool
	}{
		{"new connections", false},
		{"kept connections", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			var served, answered, unanswered atomic.Int64
			var draining atomic.Bool
			s := serve(t, func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				if draining.Load() {
					w.Header().Set("Connection", "close")
				}
			})
			// call sends one request and reports whether it got an answer.
			call := func(c *client) bool {
				if _, err := c.Write([]byte(get)); err != nil || c.answer() != http.StatusOK {
					unanswered.Add(1)
					return false
				}
				answered.Add(1)
				return true
			}
			var callers sync.WaitGroup
			for range 16 {
				callers.Go(func() {
					for {
						conn, err := net.Dial("tcp", s.Addr().String())
						if err != nil {
							return
						}
						c := newClient(t, conn)
						for call(c) && x.kept {
							time.Sleep(time.Millisecond)
						}
						conn.Close()
					}
				})
			}
			time.Sleep(200 * time.Millisecond)
			draining.Store(true)
			qt.Check(t, s.Drain(t.Context()), qt.IsNil)
			callers.Wait()
			t.Logf("%d served, %d without an answer", served.Load(), unanswered.Load())
			qt.Check(t, answered.Load(), qt.Equals, served.Load())
		})
	}
}
