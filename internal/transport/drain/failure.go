package drain

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"lovageport.example/internal/transport/intake"
)

// Failure is the first failure of a read or write on a connection. It ends the context
// of the request that is at work.
type Failure struct {
	// Op is "read" or "write".
	Op string
	// Err is the error; nil if a drain has ended a quiet connection.
	Err error
	// Took is how long the failed call took. For a read that is mostly the wait for data.
	Took time.Duration
	// Reason is why the listener has closed the connection; empty if it has not.
	Reason intake.Reason
}

// ByCaller reports whether the caller or the network has ended the connection, rather
// than this process.
func (f Failure) ByCaller() bool {
	return f.Err != nil && f.Reason == "" && !errors.Is(f.Err, os.ErrDeadlineExceeded) && !errors.Is(f.Err, net.ErrClosed)
}

type connKey struct{}

// WithConn returns a context from which [FailureOf] learns of the failure of a
// connection. It is meant for [http.Server.ConnContext].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if _, ok := c.(*conn); !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, c)
}

// FailureOf returns the failure of the connection of a request with a context, if there
// was one.
func FailureOf(ctx context.Context) (Failure, bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return Failure{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure, c.failure.Op != ""
}

// recordFailure records a failed read or write that began at a time, unless one is
// recorded. A read that the server has aborted, by a deadline long ago, is no failure.
func (c *conn) recordFailure(op string, err error, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	aborted := op == opRead && c.reason == "" && c.deadline.Unix() == 1 && errors.Is(err, os.ErrDeadlineExceeded)
	if c.failure.Op == "" && !aborted {
		c.failure = Failure{Op: op, Err: err, Took: time.Since(began), Reason: c.reason}
	}
}

// Operations of a [Failure].
const (
	opRead  = "read"
	opWrite = "write"
)
