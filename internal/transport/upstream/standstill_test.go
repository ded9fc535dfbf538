package upstream_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/verdict"
)

// pendingDial opens no connection until its context ends.
func pendingDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestOwnStandstillBlamesNobody guards against an upstream that is at fault for a
// timeout in a part of which this process did not run.
func TestOwnStandstillBlamesNobody(t *testing.T) {
	for _, x := range []struct {
		name    string
		running func(from, to time.Time) time.Duration
		reason  verdict.Reason
		probe   upstream.ProbeResult
		silent  string
	}{
		{"ran", nil, verdict.ConnectTimeout, upstream.ProbeUnanswered, "a"},
		{"stood still", func(from, to time.Time) time.Duration { return to.Sub(from) / 2 }, verdict.ConnectFailed, upstream.ProbeUnknown, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := context.Background()
				e := upstream.NewEngineClient(pendingDial)
				e.Running = x.running
				stream := e.NewStream(ctx, testRun)
				defer stream.Close()
				qt.Check(t, verdict.Of(stream.Open()).Reason, qt.Equals, x.reason)
				qt.Check(t, e.Probe(ctx, "10.0.0.1:80"), qt.Equals, x.probe)
				silent, _ := stream.SilentStage()
				qt.Check(t, silent, qt.Equals, x.silent)
				s := upstream.NewServiceClient(pendingDial)
				s.Running = x.running
				_, err := s.Do(ctx, readCall("10.0.0.1:80", "a1", true))
				qt.Check(t, verdict.Of(err).Reason, qt.Equals, x.reason)
				qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.NotRun)
			})
		})
	}
}
