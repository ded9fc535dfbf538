package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/generation"
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
	ctx, end := e.requests.Context(ctx)
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	// The engine client reads the rest of a complete response's body in the
	// background, so the context must outlive this call.
	defer time.AfterFunc(upstream.SilenceTimeout, func() {
		cancel()
		end()
	})
	content := fmt.Appendf(nil, "%d %s", maxTokens, request.Prompt)
	gen := &generator{
		entry:      e,
		request:    request,
		sink:       sink,
		timer:      e.metrics.newTokenTimer(request.Body.Model),
		assembler:  generation.Assembler{Request: request.RequestID, Layers: model.Layers, MaxTokens: maxTokens},
		placements: e.newPlacementClient(request.RequestID, request.Account, pool, content, maxTokens, request.Timeout),
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
	var next *attempt
	for {
		if next == nil {
			placement, err := g.placements.acquire(ctx)
			if err != nil {
				return caller.GenerateResult{}, g.finalError(err)
			}
			next = g.newAttempt(ctx, placement, g.assembler.Tokens())
		}
		current := next
		outcome, successor, err := g.runAttempt(ctx, current)
		g.placements.finish(ctx, current.placement, outcome)
		if err == nil {
			return caller.GenerateResult{Tokens: len(g.assembler.Tokens()), FinishReason: string(g.assembler.FinishReason)}, nil
		}
		e := verdict.Of(err)
		g.mayHaveRun = g.mayHaveRun || e.Run != verdict.NotRun
		g.placements.logFailure(current.placement, e, zap.Int("tokens", len(g.assembler.Tokens())))
		switch e.Reason {
		case verdict.CallerGone, verdict.DeadlineExceeded, verdict.Internal:
			return caller.GenerateResult{}, g.finalError(e)
		}
		g.entry.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
		g.preferSurvivors(current.placement.Chain, outcome)
		next = successor
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

// attempt is one placement of a request and the stream that runs on it.
type attempt struct {
	placement dispatch.Placement
	run       *engine.RunRequest
	stream    *upstream.Stream
	// opened is set once the response has begun.
	opened bool
}

// newAttempt returns an attempt that resumes after the given tokens.
func (g *generator) newAttempt(ctx context.Context, placement dispatch.Placement, resume []string) *attempt {
	a := &attempt{placement: placement, run: g.newRunRequest(ctx, placement, resume)}
	a.stream = g.entry.engineClient.NewStream(ctx, a.run)
	return a
}

// runAttempt runs one attempt. If the error is nil, the answer is complete;
// otherwise an attempt that has taken over may be returned.
func (g *generator) runAttempt(ctx context.Context, a *attempt) (dispatch.Outcome, *attempt, error) {
	if err := g.assembler.StartAttempt(a.run.Attempt, spans(a.run.Route)); err != nil {
		a.stream.Close()
		return dispatch.Outcome{Fault: dispatch.Abandoned}, nil, verdict.Refuse(verdict.Internal, "%v", err)
	}
	h := g.startHandover(ctx, a)
	outcome, err := g.forward(ctx, a, h)
	end := h.stop()
	switch {
	case err == nil:
		a.stream.Finish()
		g.discard(ctx, end.successor)
		return outcome, nil, nil
	case end.gaveUp:
		outcome, err = end.outcome, end.err
	}
	a.stream.Close()
	return outcome, end.successor, err
}

// discard ends an attempt that has begun and is not needed.
func (g *generator) discard(ctx context.Context, a *attempt) {
	if a == nil {
		return
	}
	a.stream.Close()
	g.mayHaveRun = true
	g.placements.finish(ctx, a.placement, dispatch.Outcome{Fault: dispatch.Abandoned})
}

// open begins an attempt.
func (g *generator) open(ctx context.Context, a *attempt) (dispatch.Outcome, error) {
	if a.placement.Suspect {
		if outcome, err := g.probeChain(ctx, a.placement); err != nil {
			return outcome, err
		}
	}
	// Checked last, immediately before the first byte is sent.
	if !g.entry.chainAvailable(a.placement.Chain) {
		return dispatch.Outcome{Fault: dispatch.Abandoned}, verdict.Refuse(verdict.UpstreamWithdrawn, "an upstream was withdrawn")
	}
	if err := a.stream.Open(); err != nil {
		return g.classifyFailure(ctx, a.placement, err, false)
	}
	a.opened = true
	return dispatch.Outcome{}, nil
}

// newRunRequest returns the request to the first engine of the chain.
func (g *generator) newRunRequest(ctx context.Context, placement dispatch.Placement, resume []string) *engine.RunRequest {
	run := &engine.RunRequest{
		Request:   g.request.RequestID,
		Attempt:   fmt.Sprintf("%s-%d", g.request.RequestID, g.placements.request.Attempts),
		Model:     g.placements.request.Pool,
		Prompt:    g.request.Prompt,
		Resume:    resume,
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

// forward begins an attempt, unless it has begun, and processes its frames until it
// ends. The result does not count if h has given the attempt up.
func (g *generator) forward(ctx context.Context, a *attempt, h *handover) (dispatch.Outcome, error) {
	if !a.opened {
		if outcome, err := g.open(ctx, a); err != nil {
			return outcome, err
		}
	}
	received := false
	for {
		frame, err := a.stream.Next()
		if err != nil {
			return g.classifyFailure(ctx, a.placement, err, received)
		}
		received = true
		event, err := h.accept(&frame)
		if err != nil {
			return protocolOutcome(err), err
		}
		switch {
		case event == generation.Finished:
			return dispatch.Outcome{Fault: dispatch.None}, nil
		case event == generation.Accepted:
			g.timer.recordToken(len(g.assembler.Tokens()))
			if err := g.sink(frame.Text, a.stream.HasBuffered()); err != nil {
				return dispatch.Outcome{Fault: dispatch.Abandoned}, &verdict.Error{Reason: verdict.CallerGone, Err: err}
			}
		case event == generation.Reported && frame.Kind == engine.Heartbeat && frame.Load != nil:
			g.entry.reportLoad(frame.Upstream, frame.Load)
		case event == generation.Reported && frame.Kind == engine.Failed:
			return g.classifyFailure(ctx, a.placement, stageError(&frame), received)
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
