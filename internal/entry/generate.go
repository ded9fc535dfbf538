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

// generate makes an answer, over as many attempts as it takes.
func (e *Entry) generate(ctx context.Context, g *caller.GenerateRequest, sink caller.Sink) (caller.GenerateResult, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	model, pool, ok := e.control.view.Load().catalog.Model(g.Body.Model)
	if !ok {
		return caller.GenerateResult{}, verdict.Refuse(verdict.UnknownModel, "no model %q", g.Body.Model)
	}
	maxTokens := min(g.MaxTokens, model.MaxOutputTokens)
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	// The end of a finished answer's body is still read after the return.
	defer time.AfterFunc(upstream.SilenceTimeout, cancel)
	content := fmt.Appendf(nil, "%d %s", maxTokens, g.Prompt)
	r := &relay{
		entry:  e,
		caller: g,
		sink:   sink,
		watch:  e.metrics.startWatch(g.Body.Model),
		ledger: generation.Ledger{Request: g.RequestID, Layers: model.Layers, MaxTokens: maxTokens},
		placer: e.newPlacer(&dispatch.Request{
			ID:          g.RequestID,
			Pool:        pool.Name,
			Account:     g.Account,
			Fingerprint: quarantine.Fingerprint(g.Account.Name, pool.Name, content),
			Cost:        maxTokens,
		}, g.Timeout),
	}
	if err := r.placer.openAndSubmit(); err != nil {
		return caller.GenerateResult{}, err
	}
	defer r.placer.close()
	defer func() { e.metrics.dropped.Add(float64(r.ledger.Dropped)) }()
	return r.run(ctx)
}

// relay carries one answer from chains of engines to its caller.
type relay struct {
	entry  *Entry
	caller *caller.GenerateRequest
	sink   caller.Sink
	watch  *stopwatch
	ledger generation.Ledger
	placer *placer
	// mayHaveRun says that an attempt that failed may have run.
	mayHaveRun bool
}

// run makes attempts until the answer is whole or can't become so.
func (r *relay) run(ctx context.Context) (caller.GenerateResult, error) {
	for {
		place, err := r.placer.place(ctx)
		if err != nil {
			return caller.GenerateResult{}, r.final(err)
		}
		outcome, err := r.attempt(ctx, place)
		r.placer.finish(ctx, place, outcome)
		if err == nil {
			return caller.GenerateResult{Tokens: len(r.ledger.Tokens()), FinishReason: r.ledger.FinishReason}, nil
		}
		e := verdict.Of(err)
		r.mayHaveRun = r.mayHaveRun || e.Run != verdict.NotRun
		r.placer.logFailure(place, e, zap.Int("tokens", len(r.ledger.Tokens())))
		switch e.Reason {
		case verdict.CallerGone, verdict.DeadlineExceeded, verdict.Internal:
			return caller.GenerateResult{}, r.final(e)
		}
		r.entry.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
		r.preferSurvivors(place.Chain, outcome)
	}
}

// final gives a refusal the verdict over all attempts.
func (r *relay) final(err error) error {
	e := *verdict.Of(err)
	if r.mayHaveRun {
		e.Run = verdict.MayHaveRun
	}
	return &e
}

// preferSurvivors has the next attempt resume where the KV cache still is.
func (r *relay) preferSurvivors(chain route.Chain, outcome dispatch.Outcome) {
	prefer := make(map[string]bool, len(chain))
	for _, s := range chain {
		prefer[s.Upstream.Name] = s.Upstream.Name != outcome.Upstream
	}
	r.placer.request.Prefer = prefer
}

// attempt runs one attempt. Without an error the answer is whole.
func (r *relay) attempt(ctx context.Context, place dispatch.Placement) (dispatch.Outcome, error) {
	abandoned := dispatch.Outcome{Fault: dispatch.Abandoned}
	run := r.runRequest(ctx, place)
	if err := r.ledger.Begin(run.Attempt, spans(run.Route)); err != nil {
		return abandoned, verdict.Refuse(verdict.Internal, "%v", err)
	}
	if place.Suspect {
		if outcome, err := r.probeBefore(ctx, place); err != nil {
			return outcome, err
		}
	}
	// Asked last, right before the first byte.
	if !r.entry.mayUse(place.Chain) {
		return abandoned, verdict.Refuse(verdict.UpstreamWithdrawn, "an upstream was withdrawn")
	}
	stream, err := r.entry.engines.Run(ctx, run)
	if err != nil {
		return r.explain(ctx, place, err, false)
	}
	outcome, err := r.read(ctx, place, stream)
	if err != nil {
		stream.Close()
		return outcome, err
	}
	stream.Finish()
	return outcome, nil
}

func (r *relay) runRequest(ctx context.Context, place dispatch.Placement) *engine.RunRequest {
	run := &engine.RunRequest{
		Request:   r.caller.RequestID,
		Attempt:   fmt.Sprintf("%s-%d", r.caller.RequestID, r.placer.request.Attempts),
		Model:     r.placer.request.Pool,
		Prompt:    r.caller.Prompt,
		Resume:    r.ledger.Tokens(),
		MaxTokens: r.ledger.MaxTokens,
		Priority:  r.caller.Account.Priority,
	}
	if deadline, ok := ctx.Deadline(); ok {
		run.TimeoutMillis = time.Until(deadline).Milliseconds()
	}
	for _, s := range place.Chain {
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

// read takes the frames of an attempt until its end.
func (r *relay) read(ctx context.Context, place dispatch.Placement, stream *upstream.Stream) (dispatch.Outcome, error) {
	heard := false
	for {
		frame, err := stream.Next()
		if err != nil {
			return r.explain(ctx, place, err, heard)
		}
		heard = true
		event, err := r.ledger.Accept(&frame)
		if err != nil {
			return protocolOutcome(err), err
		}
		switch {
		case event == generation.Finished:
			return dispatch.Outcome{Fault: dispatch.None}, nil
		case event == generation.Accepted:
			r.watch.token(len(r.ledger.Tokens()))
			if err := r.sink(frame.Text, stream.HasBuffered()); err != nil {
				return dispatch.Outcome{Fault: dispatch.Abandoned}, &verdict.Error{Reason: verdict.CallerGone, Err: err}
			}
		case frame.Kind == engine.Heartbeat && frame.Load != nil:
			r.entry.report(frame.Upstream, frame.Load)
		case frame.Kind == engine.Failed:
			return r.explain(ctx, place, failure(&frame), heard)
		}
	}
}

// protocolOutcome blames the upstream that an error names, or else the whole
// chain: every stage passes on the frames of those behind it.
func protocolOutcome(err error) dispatch.Outcome {
	name := verdict.Of(err).Upstream
	if name == "" {
		return dispatch.Outcome{Fault: dispatch.Unattributed}
	}
	return dispatch.Outcome{Fault: dispatch.Protocol, Upstream: name}
}

func (e *Entry) report(name string, load *engine.Load) {
	e.control.Send(func(s *state) {
		s.dispatcher.ReportLoad(name, load.Running, load.Leaving, time.Now())
	})
}

// failure turns a stage's report of a fault into an error.
func failure(f *engine.Frame) error {
	e := &verdict.Error{Run: verdict.MayHaveRun, Reason: upstream.ReasonOf(f.Fault), Upstream: f.Upstream}
	if f.NotRun {
		e.Run = verdict.NotRun
	}
	return e
}

// explain finds out whose fault a failed attempt is. A fresh connection tells
// a lost connection from a lost upstream. heard says that the attempt had
// brought frames.
func (r *relay) explain(ctx context.Context, place dispatch.Placement, err error, heard bool) (dispatch.Outcome, error) {
	e := verdict.Of(err)
	if gone := goneError(ctx, e); gone != nil {
		return dispatch.Outcome{Fault: dispatch.Abandoned}, gone
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
		outcome.Fault = r.probe(ctx, place, e.Upstream, heard)
	case verdict.UpstreamSilent:
		outcome.Fault, outcome.Upstream = r.blameSilence(ctx, place, e.Upstream)
		e.Upstream = outcome.Upstream
		if outcome.Fault == dispatch.ConnectionSilent {
			e.Reason = verdict.ConnectionSilent
		}
	default:
		outcome.Fault = dispatch.Rejected
	}
	return outcome, e
}

// goneError says whether an attempt ended because its request did.
func goneError(ctx context.Context, e *verdict.Error) error {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return &verdict.Error{Run: e.Run, Reason: verdict.DeadlineExceeded, Message: "deadline exceeded", RetryAfter: time.Second, Err: e.Err}
	}
	return &verdict.Error{Run: e.Run, Reason: verdict.CallerGone, Message: "caller has gone", Err: e.Err}
}

// probe asks an upstream on a fresh connection why another one broke.
func (r *relay) probe(ctx context.Context, place dispatch.Placement, name string, heard bool) dispatch.Fault {
	for _, s := range place.Chain {
		if s.Upstream.Name != name {
			continue
		}
		fault := r.probeStage(ctx, s)
		switch {
		case fault != dispatch.ConnectionSilent:
			return fault
		case heard:
			return dispatch.ConnectionLost
		}
		// A kept connection may have ended just when it was used.
		return dispatch.Unattributed
	}
	return dispatch.Unattributed
}

// probeStage returns ConnectionSilent for an upstream that answers.
func (r *relay) probeStage(ctx context.Context, s route.Stage) dispatch.Fault {
	switch r.entry.engines.Probe(ctx, s.Upstream.Address) {
	case upstream.ProbeRefused:
		return dispatch.Crashed
	case upstream.ProbeUnanswered:
		return dispatch.Silent
	}
	return dispatch.ConnectionSilent
}

// probeBefore asks all stages whether they live before a suspect is sent
// there: an upstream that has gone already, such as with its whole zone, must
// not count as crashed by the request.
func (r *relay) probeBefore(ctx context.Context, place dispatch.Placement) (dispatch.Outcome, error) {
	fault, name := r.blameSilence(ctx, place, "")
	switch fault {
	case dispatch.ConnectionSilent:
		return dispatch.Outcome{}, nil
	case dispatch.Crashed:
		fault = dispatch.Unreachable
	}
	return dispatch.Outcome{Fault: fault, Upstream: name}, &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamRefused, Upstream: name}
}

// blameSilence finds out which stage of a chain is behind the silence of one:
// a stage that waits for a later one may have nothing to say itself. All are
// asked at once, and the first in order that does not answer is to blame; if
// all answer, a connection has gone silent, and no upstream is.
func (r *relay) blameSilence(ctx context.Context, place dispatch.Placement, name string) (dispatch.Fault, string) {
	faults := make([]dispatch.Fault, len(place.Chain))
	var group sync.WaitGroup
	for i, s := range place.Chain {
		group.Go(func() { faults[i] = r.probeStage(ctx, s) })
	}
	group.Wait()
	for i, fault := range faults {
		if fault != dispatch.ConnectionSilent {
			return fault, place.Chain[i].Upstream.Name
		}
	}
	return dispatch.ConnectionSilent, name
}
