package entry_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/pkg/declaration"
)

// lateAnswer is how long TestConfirmationCountsFromTheCall leaves an answer of the
// platform unread. It is shorter than the timeout of a call.
const lateAnswer = 900 * time.Millisecond

// lateConn delays the first read after data can have arrived.
type lateConn struct {
	net.Conn
	once sync.Once
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.once.Do(func() { time.Sleep(lateAnswer) })
	return n, err
}

// TestConfirmationCountsFromTheCall guards against upstreams of another zone that are
// used for longer than their loan allows, because an answer that lay unread counted as
// fresh when it was read.
func TestConfirmationCountsFromTheCall(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		time.Sleep(5 * time.Second)
		for _, zone := range testZones {
			f.net.Partition(zone, "platform")
		}
		time.Sleep(declaration.DefaultUnconfirmedUse + 100*time.Millisecond)
		qt.Check(t, f.upstreamState("wien-entry", "graz-engine-0"), qt.Equals, "unconfirmed")
	}, func(f *fleet) {
		f.dial = func(next func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := next(ctx, network, address)
				if err != nil || address != "10.0.0.1:80" {
					return conn, err
				}
				return &lateConn{Conn: conn}, nil
			}
		}
	})
}
