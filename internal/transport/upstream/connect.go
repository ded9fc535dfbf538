package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"lovageport.example/pkg/verdict"
)

// RunningFunc returns how much of a span this process ran. If it is nil, the
// process ran all of it.
type RunningFunc func(from, to time.Time) time.Duration

func (f RunningFunc) of(from, to time.Time) time.Duration {
	if f == nil {
		return to.Sub(from)
	}
	return f(from, to)
}

// connectError is a failure to connect, which means that no byte was sent.
type connectError struct {
	err error
	// own is set if this process did not run all the time or lacked a resource.
	own bool
}

func (e *connectError) Error() string { return "upstream: cannot connect: " + e.err.Error() }
func (e *connectError) Unwrap() error { return e.err }

// verdict returns the error for a call of an upstream that failed with err because
// of e. Only a refused connection shows that the upstream has ended.
func (e *connectError) verdict(upstream string, err error) *verdict.Error {
	out := &verdict.Error{Run: verdict.NotRun, Reason: verdict.ConnectTimeout, Upstream: upstream, Err: err}
	switch {
	case errors.Is(e.err, syscall.ECONNREFUSED):
		out.Reason = verdict.UpstreamRefused
	case e.own:
		out.Reason, out.Upstream = verdict.ConnectFailed, ""
	}
	return out
}

// localErrors are the errors of a dial for which this VM lacks a resource.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

func isLocal(err error) bool {
	return slices.ContainsFunc(localErrors, func(local error) bool { return errors.Is(err, local) })
}

// limitDial limits the time to connect to [ConnectTimeout] and wraps failures in
// [connectError]. running may be set after the call.
func limitDial(dial DialFunc, running *RunningFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
		defer cancel()
		begin := time.Now()
		conn, err := dial(ctx, network, address)
		if err != nil {
			missed := ctx.Err() != nil && running.of(begin, time.Now()) < ConnectTimeout
			return nil, &connectError{err, missed || isLocal(err)}
		}
		return conn, nil
	}
}
