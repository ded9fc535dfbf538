package entry

import (
	"context"
	"sync"
	"time"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/drain"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/verdict"
)

// stageError converts a fault frame sent by a stage into an error.
func stageError(f *engine.Frame) error {
	e := &verdict.Error{Run: verdict.MayHaveRun, Reason: upstream.ReasonOf(f.Fault), Upstream: f.Upstream}
	if f.NotRun {
		e.Run = verdict.NotRun
	}
	return e
}

// classifyFailure determines which upstream, if any, is at fault for a failed
// attempt. Where a connection broke or went silent, it probes on a new connection
// to distinguish a lost connection from a lost upstream. received reports whether
// the attempt had delivered frames.
func (g *generator) classifyFailure(ctx context.Context, placement dispatch.Placement, err error, received bool) (dispatch.Outcome, error) {
	e := verdict.Of(err)
	if ended := contextError(ctx, e); ended != nil {
		return dispatch.Outcome{Fault: dispatch.Abandoned}, ended
	}
	outcome := dispatch.Outcome{Upstream: e.Upstream}
	switch e.Reason {
	case verdict.UpstreamBusy:
		outcome.Fault = dispatch.Busy
	case verdict.UpstreamWithdrawn:
		outcome.Fault = dispatch.Leaving
	case verdict.UpstreamProtocol:
		outcome = protocolOutcome(e)
	case verdict.UpstreamRefused:
		outcome.Fault = g.diagnoseRefusal(ctx, placement, e.Upstream)
	case verdict.ConnectTimeout:
		outcome.Fault = dispatch.ConnectTimeout
	case verdict.ConnectFailed:
		outcome.Fault = dispatch.ConnectFailed
	case verdict.UpstreamLost:
		outcome.Fault = g.diagnoseLoss(ctx, placement, e.Upstream, received)
	case verdict.UpstreamSilent:
		return g.classifySilence(ctx, placement, e)
	default:
		outcome.Fault = dispatch.Rejected
	}
	return outcome, e
}

// classifySilence determines which upstream, if any, is at fault for the silence of
// an attempt.
func (g *generator) classifySilence(ctx context.Context, placement dispatch.Placement, e *verdict.Error) (dispatch.Outcome, error) {
	fault, name := g.findUnresponsiveStage(ctx, placement, e.Upstream)
	fault = g.confirmCrash(ctx, fault, name)
	e.Upstream = name
	if fault == dispatch.ConnectionSilent {
		e.Reason = verdict.ConnectionSilent
	}
	return dispatch.Outcome{Fault: fault, Upstream: name}, e
}

// contextError returns the error to report if ctx, the context of a request,
// has ended: the deadline passed, the caller disconnected or the process ends. It
// returns nil if ctx has not ended. The verdict and the cause are those of e.
func contextError(ctx context.Context, e *verdict.Error) error {
	if context.Cause(ctx) == drain.ErrEnded {
		return endedError(e)
	}
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return &verdict.Error{Run: e.Run, Reason: verdict.DeadlineExceeded, Message: "deadline exceeded", RetryAfter: time.Second, Err: e.Err}
	}
	return &verdict.Error{Run: e.Run, Reason: verdict.CallerGone, Message: "caller has gone", Err: e.Err}
}

// diagnoseLoss probes an upstream on a new connection to find out why an existing
// connection to it broke.
func (g *generator) diagnoseLoss(ctx context.Context, placement dispatch.Placement, name string, received bool) dispatch.Fault {
	fault, ok := g.probeNamed(ctx, placement, name)
	fault = g.confirmCrash(ctx, fault, name)
	switch {
	case !ok:
		return dispatch.Unattributed
	case fault != dispatch.ConnectionSilent:
		return fault
	case received:
		return dispatch.ConnectionLost
	}
	// An idle connection may have been closed just as it was reused.
	return dispatch.Unattributed
}

// diagnoseRefusal returns the fault of an upstream that is said to have refused a
// connection. If another stage says so, the upstream is probed.
func (g *generator) diagnoseRefusal(ctx context.Context, placement dispatch.Placement, name string) dispatch.Fault {
	if placement.Chain[0].Upstream.Name == name {
		return dispatch.Unreachable
	}
	switch fault, _ := g.probeNamed(ctx, placement, name); fault {
	case dispatch.Crashed:
		return dispatch.Unreachable
	case dispatch.Silent:
		return dispatch.ConnectTimeout
	}
	return dispatch.Unattributed
}

// probeNamed probes the stage of an upstream. It reports false if the chain has no
// such stage.
func (g *generator) probeNamed(ctx context.Context, placement dispatch.Placement, name string) (dispatch.Fault, bool) {
	for _, s := range placement.Chain {
		if s.Upstream.Name == name {
			return g.probeStage(ctx, s), true
		}
	}
	return dispatch.Unattributed, false
}

// probeStage probes one upstream. It returns ConnectionSilent unless the probe
// shows that the upstream does not respond.
func (g *generator) probeStage(ctx context.Context, s route.Stage) dispatch.Fault {
	switch g.entry.engineClient.Probe(ctx, s.Upstream.Address) {
	case upstream.ProbeRefused:
		return dispatch.Crashed
	case upstream.ProbeUnanswered:
		return dispatch.Silent
	}
	return dispatch.ConnectionSilent
}

// probeChain probes all stages before a request that is suspected of crashing
// upstreams is sent to them. Otherwise an upstream that was lost earlier, for
// example with its whole availability zone, would be counted as crashed by the
// request.
func (g *generator) probeChain(ctx context.Context, placement dispatch.Placement) (dispatch.Outcome, error) {
	fault, name := g.findUnresponsiveStage(ctx, placement, "")
	switch fault {
	case dispatch.ConnectionSilent:
		return dispatch.Outcome{}, nil
	case dispatch.Crashed:
		fault = dispatch.Unreachable
	}
	return dispatch.Outcome{Fault: fault, Upstream: name}, &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamRefused, Upstream: name}
}

// findUnresponsiveStage returns the stage at fault after the upstream called name
// went silent. That need not be the one called name: a stage that waits for a
// later one sends nothing either. All stages are probed concurrently, and the
// first one in chain order that does not respond is at fault. If all respond,
// the connection failed rather than an upstream, and the fault is
// ConnectionSilent.
func (g *generator) findUnresponsiveStage(ctx context.Context, placement dispatch.Placement, name string) (dispatch.Fault, string) {
	faults := make([]dispatch.Fault, len(placement.Chain))
	var group sync.WaitGroup
	for i, s := range placement.Chain {
		group.Go(func() {
			faults[i] = dispatch.ConnectionSilent
			g.entry.contain(g.request.RequestID, func() { faults[i] = g.probeStage(ctx, s) })
		})
	}
	group.Wait()
	for i, fault := range faults {
		if fault != dispatch.ConnectionSilent {
			return fault, placement.Chain[i].Upstream.Name
		}
	}
	return dispatch.ConnectionSilent, name
}

// endedError returns the error of a request with which the process ends.
func endedError(e *verdict.Error) error {
	out := &verdict.Error{Run: e.Run, Reason: verdict.Draining, Message: "the process ends", RetryAfter: time.Second, Err: e.Err}
	if e.Run != verdict.NotRun {
		// Callers take the status of a drain for a promise that nothing ran.
		out.Reason = verdict.DeadlineExceeded
	}
	return out
}
