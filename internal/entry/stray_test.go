package entry_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/engine"
	standinengine "lovageport.example/internal/standin/engine"
	"lovageport.example/pkg/verdict"
)

// strayToken is the token before which the engines of TestStrayFrames send frames
// that are not to be believed.
const strayToken = 3

// strayAt returns faults with which an engine sends a frame before strayToken. The
// frame carries the IDs of the request, unless it names others.
func strayAt(f engine.Frame, attempt func(*engine.RunRequest) string) standinengine.Faults {
	return standinengine.Faults{Stray: func(run *engine.RunRequest, index int) []engine.Frame {
		id := attempt(run)
		if index != strayToken || id == "" {
			return nil
		}
		f.Request, f.Attempt = run.Request, id
		return []engine.Frame{f}
	}}
}

func ownAttempt(run *engine.RunRequest) string { return run.Attempt }

// TestStrayFrames guards against belief in frames that belong to an earlier attempt,
// speak of upstreams outside the chain, contradict earlier frames, or end an answer
// before its end. Other engines must serve the request.
func TestStrayFrames(t *testing.T) {
	const outsider = "graz-engine-1"
	for _, x := range []struct {
		name  string
		frame engine.Frame
	}{
		{"failure of an upstream outside the chain", engine.Frame{Kind: engine.Failed, Upstream: outsider, Fault: engine.FaultLeaving}},
		{"load of an upstream outside the chain", engine.Frame{Kind: engine.Heartbeat, Upstream: outsider, Load: &engine.Load{Leaving: true}}},
		{"not run after tokens", engine.Frame{Kind: engine.Failed, Upstream: "wien-engine-0", Fault: engine.FaultRejected, NotRun: true}},
		{"end without a reason", engine.Frame{Kind: engine.Done, Tokens: strayToken}},
		{"end at a length that is not the limit", engine.Frame{Kind: engine.Done, Tokens: strayToken, FinishReason: "length"}},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", x.name, stream), func(t *testing.T) {
				t.Parallel()
				withFleet(t, func(t *testing.T, f *fleet) {
					f.engines["wien-engine-0"].SetFaults(strayAt(x.frame, ownAttempt))
					a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: stream}
					got := f.generate(a)
					f.checkResult(a, got)
					qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
					qt.Check(t, f.upstreamState("wien-entry", outsider), qt.Equals, "in_service")
				})
			})
		}
	}
}

// TestNotRunAfterTokens guards against the verdict not-run for a request of which
// tokens were received.
func TestNotRunAfterTokens(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for name, e := range f.engines {
			if strings.HasSuffix(name, "-0") {
				e.SetFaults(strayAt(engine.Frame{Kind: engine.Failed, Upstream: name, Fault: engine.FaultRejected, NotRun: true}, ownAttempt))
			}
		}
		a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: true}
		got := f.generate(a)
		f.checkResult(a, got)
		qt.Check(t, got.verdict, qt.Equals, verdict.MayHaveRun.String())
	})
}

// TestLateFailureIsNotBelieved guards against an attempt that ends because of a
// failure of an earlier one.
func TestLateFailureIsNotBelieved(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		earlier := func(run *engine.RunRequest) string {
			if strings.HasSuffix(run.Attempt, "-1") {
				return ""
			}
			return run.Request + "-1"
		}
		for name, e := range f.engines {
			if strings.HasSuffix(name, "-0") {
				e.SetFaults(strayAt(engine.Frame{Kind: engine.Failed, Upstream: name, Fault: engine.FaultRejected}, earlier))
			}
		}
		f.engines["wien-engine-2"].SetFaults(standinengine.Faults{DisconnectBeforeToken: 1})
		a := generateRequest{entry: "wien-entry", prompt: "a card", tokens: matrixTokens, stream: true}
		got := f.generate(a)
		f.checkResult(a, got)
		qt.Check(t, got.complete, qt.IsTrue, qt.Commentf("%+v", got))
		for _, e := range f.engines {
			for _, attempt := range e.AcceptedAttempts() {
				qt.Check(t, strings.HasSuffix(attempt, "-3"), qt.IsFalse, qt.Commentf("%s", attempt))
			}
		}
	})
}
