package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/generation"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/caller"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/verdict"
)

// generate serves a request for generated text, over as many attempts as needed.
func (e *Entry) generate(ctx context.Context, request *caller.GenerateRequest, sink caller.Sink) (caller.GenerateResult, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	model, pool, ok := e.control.view.Load().catalog.Model(request.Body.Model)
	if !ok {
		return caller.GenerateResult{}, verdict.Refuse(verdict.UnknownModel, "no model %q", request.Body.Model)
	}
	maxTokens := min(request.MaxTokens, model.MaxOutputTokens)
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	// The engine client reads the rest of a complete response's body in the
	// background, so the context must outlive this call.
	defer time.AfterFunc(upstream.SilenceTimeout, cancel)
	content := fmt.Appendf(nil, "%d %s", maxTokens, request.Prompt)
	gen := &generator{
		entry:     e,
		request:   request,
		sink:      sink,
		timer:     e.metrics.newTokenTimer(request.Body.Model),
		assembler: generation.Assembler{Request: request.RequestID, Layers: model.Layers, MaxTokens: maxTokens},
		placements: e.newPlacementClient(&dispatch.Request{
			ID:          request.RequestID,
			Pool:        pool.Name,
			Account:     request.Account,
			Fingerprint: quarantine.Fingerprint(request.Account.Name, pool.Name, content),
			Cost:        maxTokens,
		}, request.Timeout),
	}
	if err := gen.placements.openAndSubmit(); err != nil {
		return caller.GenerateResult{}, err
	}
	defer gen.placements.close()
	defer func() { e.metrics.lateFrames.Add(float64(gen.assembler.Dropped)) }()
	return gen.run(ctx)
}

// generator streams one answer from chains of engines to its caller, and resumes
// it on another chain when an attempt fails.
type generator struct {
	entry      *Entry
	request    *caller.GenerateRequest
	sink       caller.Sink
	timer      *tokenTimer
	assembler  generation.Assembler
	placements *placementClient
	// mayHaveRun reports whether a failed attempt may have been executed.
	mayHaveRun bool
}

// run makes attempts until the answer is complete or a failure is final.
func (g *generator) run(ctx context.Context) (caller.GenerateResult, error) {
	for {
		placement, err := g.placements.acquire(ctx)
		if err != nil {
			return caller.GenerateResult{}, g.finalError(err)
		}
		outcome, err := g.attempt(ctx, placement)
		g.placements.finish(ctx, placement, outcome)
		if err == nil {
			return caller.GenerateResult{Tokens: len(g.assembler.Tokens()), FinishReason: string(g.assembler.FinishReason)}, nil
		}
		e := verdict.Of(err)
		g.mayHaveRun = g.mayHaveRun || e.Run != verdict.NotRun
		g.placements.logFailure(placement, e, zap.Int("tokens", len(g.assembler.Tokens())))
		switch e.Reason {
		case verdict.CallerGone, verdict.DeadlineExceeded, verdict.Internal:
			return caller.GenerateResult{}, g.finalError(e)
		}
		g.entry.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
		g.preferSurvivors(placement.Chain, outcome)
	}
}

// finalError returns err with the verdict over all attempts.
func (g *generator) finalError(err error) error {
	e := *verdict.Of(err)
	if g.mayHaveRun {
		e.Run = verdict.MayHaveRun
	}
	return &e
}

// preferSurvivors makes the next attempt prefer the stages of chain that did not
// fail, since they still hold the request's KV cache.
func (g *generator) preferSurvivors(chain route.Chain, outcome dispatch.Outcome) {
	prefer := make(map[string]bool, len(chain))
	for _, s := range chain {
		prefer[s.Upstream.Name] = s.Upstream.Name != outcome.Upstream
	}
	g.placements.request.Prefer = prefer
}

// attempt runs one attempt. If the error is nil, the answer is complete.
func (g *generator) attempt(ctx context.Context, placement dispatch.Placement) (dispatch.Outcome, error) {
	abandoned := dispatch.Outcome{Fault: dispatch.Abandoned}
	run := g.newRunRequest(ctx, placement)
	if err := g.assembler.StartAttempt(run.Attempt, spans(run.Route)); err != nil {
		return abandoned, verdict.Refuse(verdict.Internal, "%v", err)
	}
	if placement.Suspect {
		if outcome, err := g.probeChain(ctx, placement); err != nil {
			return outcome, err
		}
	}
	// Checked last, immediately before the first byte is sent.
	if !g.entry.chainAvailable(placement.Chain) {
		return abandoned, verdict.Refuse(verdict.UpstreamWithdrawn, "an upstream was withdrawn")
	}
	stream, err := g.entry.engineClient.Run(ctx, run)
	if err != nil {
		return g.classifyFailure(ctx, placement, err, false)
	}
	outcome, err := g.readFrames(ctx, placement, stream)
	if err != nil {
		stream.Close()
		return outcome, err
	}
	stream.Finish()
	return outcome, nil
}

// newRunRequest returns the request to the first engine of the chain. It resumes
// after the tokens received so far.
func (g *generator) newRunRequest(ctx context.Context, placement dispatch.Placement) *engine.RunRequest {
	run := &engine.RunRequest{
		Request:   g.request.RequestID,
		Attempt:   fmt.Sprintf("%s-%d", g.request.RequestID, g.placements.request.Attempts),
		Model:     g.placements.request.Pool,
		Prompt:    g.request.Prompt,
		Resume:    g.assembler.Tokens(),
		MaxTokens: g.assembler.MaxTokens,
		Priority:  g.request.Account.Priority,
	}
	if deadline, ok := ctx.Deadline(); ok {
		run.TimeoutMillis = time.Until(deadline).Milliseconds()
	}
	for _, s := range placement.Chain {
		run.Route = append(run.Route, engine.Stage{
			Span:    engine.Span{Upstream: s.Upstream.Name, From: s.Range.From, To: s.Range.To},
			Address: s.Upstream.Address,
		})
	}
	return run
}

func spans(stages []engine.Stage) []engine.Span {
	all := make([]engine.Span, len(stages))
	for i, s := range stages {
		all[i] = s.Span
	}
	return all
}

// readFrames processes the frames of an attempt until it ends.
func (g *generator) readFrames(ctx context.Context, placement dispatch.Placement, stream *upstream.Stream) (dispatch.Outcome, error) {
	received := false
	for {
		frame, err := stream.Next()
		if err != nil {
			return g.classifyFailure(ctx, placement, err, received)
		}
		received = true
		event, err := g.assembler.Accept(&frame)
		if err != nil {
			return protocolOutcome(err), err
		}
		switch {
		case event == generation.Finished:
			return dispatch.Outcome{Fault: dispatch.None}, nil
		case event == generation.Accepted:
			g.timer.recordToken(len(g.assembler.Tokens()))
			if err := g.sink(frame.Text, stream.HasBuffered()); err != nil {
				return dispatch.Outcome{Fault: dispatch.Abandoned}, &verdict.Error{Reason: verdict.CallerGone, Err: err}
			}
		case event == generation.Reported && frame.Kind == engine.Heartbeat && frame.Load != nil:
			g.entry.reportLoad(frame.Upstream, frame.Load)
		case event == generation.Reported && frame.Kind == engine.Failed:
			return g.classifyFailure(ctx, placement, stageError(&frame), received)
		}
	}
}

// protocolOutcome attributes a protocol violation to the upstream that err names.
// If it names none, any stage of the chain may be at fault, since each stage
// forwards the frames of the stages after it.
func protocolOutcome(err error) dispatch.Outcome {
	name := verdict.Of(err).Upstream
	if name == "" {
		return dispatch.Outcome{Fault: dispatch.Unattributed}
	}
	return dispatch.Outcome{Fault: dispatch.Protocol, Upstream: name}
}

func (e *Entry) reportLoad(name string, load *engine.Load) {
	e.control.Send(func(s *state) {
		s.dispatcher.ReportLoad(name, load.Running, load.Leaving, time.Now())
	})
}

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
		outcome.Fault = dispatch.Unreachable
	case verdict.UpstreamLost:
		outcome.Fault = g.diagnoseLoss(ctx, placement, e.Upstream, received)
	case verdict.UpstreamSilent:
		outcome.Fault, outcome.Upstream = g.findUnresponsiveStage(ctx, placement, e.Upstream)
		e.Upstream = outcome.Upstream
		if outcome.Fault == dispatch.ConnectionSilent {
			e.Reason = verdict.ConnectionSilent
		}
	default:
		outcome.Fault = dispatch.Rejected
	}
	return outcome, e
}

// contextError returns the error to report if ctx, the context of a request,
// has ended: the deadline passed or the caller disconnected. It returns nil if
// ctx has not ended. The verdict and the cause are those of e.
func contextError(ctx context.Context, e *verdict.Error) error {
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
	for _, s := range placement.Chain {
		if s.Upstream.Name != name {
			continue
		}
		fault := g.probeStage(ctx, s)
		switch {
		case fault != dispatch.ConnectionSilent:
			return fault
		case received:
			return dispatch.ConnectionLost
		}
		// An idle connection may have been closed just as it was reused.
		return dispatch.Unattributed
	}
	return dispatch.Unattributed
}

// probeStage probes one upstream. It returns ConnectionSilent if the upstream
// responds.
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
		group.Go(func() { faults[i] = g.probeStage(ctx, s) })
	}
	group.Wait()
	for i, fault := range faults {
		if fault != dispatch.ConnectionSilent {
			return fault, placement.Chain[i].Upstream.Name
		}
	}
	return dispatch.ConnectionSilent, name
}
