package entry_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/engine"
)

// unopenedTime is how long connections cannot be opened. It exceeds the time that
// an entry waits for one.
const unopenedTime = 1500 * time.Millisecond

// onlyService leaves the plain service of one availability zone.
func onlyService(zone string) option {
	return func(f *fleet) { f.set.Services[0].Upstreams = []string{zone + "-service"} }
}

// TestConnectionNotOpenedInTimeIsNoRefusal guards against a request that is refused,
// as if its upstreams had ended, because a connection could not be opened in time.
func TestConnectionNotOpenedInTimeIsNoRefusal(t *testing.T) {
	for _, x := range []struct {
		upstream string
		only     option
		send     func(f *fleet) callResult
	}{
		{"wien-engine-0", onlyZone("wien"), func(f *fleet) callResult {
			return f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: true})
		}},
		{"wien-service", onlyService("wien"), func(f *fleet) callResult { return f.stock("wien-entry", "") }},
	} {
		t.Run(x.upstream, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				f.net.SetFrozen(f.addressOf(x.upstream), true)
				time.AfterFunc(unopenedTime, func() { f.net.SetFrozen(f.addressOf(x.upstream), false) })
				got := x.send(f)
				qt.Check(t, got.complete && got.status == 200, qt.IsTrue, qt.Commentf("%+v", got))
			}, x.only)
		})
	}
}

// TestOwnFailureToConnectBlamesNobody guards against upstreams that are taken out of
// use because this process has no descriptors left.
func TestOwnFailureToConnectBlamesNobody(t *testing.T) {
	var exhausted atomic.Bool
	withFleet(t, func(t *testing.T, f *fleet) {
		exhausted.Store(true)
		for n := range 8 {
			f.generate(generateRequest{entry: "wien-entry", prompt: fmt.Sprint("a card ", n), tokens: 3})
			f.stock("wien-entry", "")
		}
		exhausted.Store(false)
		for _, u := range f.set.Upstreams {
			qt.Check(t, f.upstreamState("wien-entry", u.Name), qt.Equals, "in_service", qt.Commentf("%s", u.Name))
		}
		got := f.generate(generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens})
		qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
	}, func(f *fleet) {
		f.dial = func(next func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, network, address string) (net.Conn, error) {
				if exhausted.Load() && isUpstream(address) {
					return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.EMFILE}
				}
				return next(ctx, network, address)
			}
		}
	})
}

// TestReportedUnreachableStageIsProbed guards against a stage that is taken to have
// ended because another stage could not open a connection to it.
func TestReportedUnreachableStageIsProbed(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		first := func(run *engine.RunRequest) string {
			if strings.HasSuffix(run.Attempt, "-1") {
				return run.Attempt
			}
			return ""
		}
		f.engines["wien-engine-0"].SetFaults(strayAt(engine.Frame{Kind: engine.Failed, Upstream: "wien-engine-1", Fault: engine.FaultUnreachable}, first))
		a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: true}
		got := f.generate(a)
		f.checkResult(a, got)
		qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
		qt.Check(t, f.upstreamState("wien-entry", "wien-engine-1"), qt.Equals, "in_service")
	}, onlyZone("wien"))
}
