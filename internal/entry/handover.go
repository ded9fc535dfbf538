package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/generation"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/verdict"
)

// errGivenUp is returned for frames of an attempt that has been given up.
var errGivenUp = errors.New("entry: the attempt was given up")

// errContinued is returned if a silent attempt has continued before another one
// could take over.
var errContinued = errors.New("entry: the attempt has continued")

// handover watches an attempt for silence and has another one take over. Silence
// shows a lost stage only if its process has ended; otherwise the attempt is given
// up only once the response of another one has begun.
type handover struct {
	generator *generator
	attempt   *attempt
	cancel    context.CancelFunc
	done      chan struct{}

	// mu guards the fields below and the generator's assembler while the handover
	// runs. The generator's mayHaveRun is the handover's for that time.
	mu  sync.Mutex
	end handoverEnd
	// cancelSearch ends the search for a successor; nil if there is none.
	cancelSearch context.CancelFunc
}

// handoverEnd is the result of a handover.
type handoverEnd struct {
	// gaveUp is set if the attempt was given up, with the outcome and error.
	gaveUp  bool
	outcome dispatch.Outcome
	err     error
	// successor is the attempt that has taken over, if any.
	successor *attempt
}

// startHandover watches an attempt until stop is called.
func (g *generator) startHandover(ctx context.Context, a *attempt) *handover {
	h := &handover{generator: g, attempt: a, done: make(chan struct{})}
	watch, cancel := context.WithCancel(ctx)
	h.cancel = cancel
	go func() {
		defer close(h.done)
		if !g.entry.contain(g.request.RequestID, func() { h.run(ctx, watch) }) {
			a.stream.GiveUp()
		}
	}()
	return h
}

// stop ends the handover and returns its result.
func (h *handover) stop() handoverEnd {
	h.cancel()
	<-h.done
	return h.end
}

// accept passes a frame of the attempt to the assembler, unless the attempt was
// given up. A search for a successor ends if all stages are heard again.
func (h *handover) accept(f *engine.Frame) (generation.Event, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.end.gaveUp {
		return generation.Ignored, errGivenUp
	}
	if h.cancelSearch != nil && !h.silent() {
		h.cancelSearch()
	}
	return h.generator.assembler.Accept(f)
}

// silent reports whether a stage of the attempt is silent.
func (h *handover) silent() bool {
	stage, _ := h.attempt.stream.SilentStage()
	return stage != ""
}

// run hands the attempt over once it is silent, as often as needed, until watch
// ends. ctx is the context of the request.
func (h *handover) run(ctx, watch context.Context) {
	for {
		stage, wait := h.attempt.stream.SilentStage()
		if stage != "" {
			err := h.handOver(ctx, watch, stage)
			if err == nil {
				return
			}
			h.logKept(watch, stage, err)
			wait = upstream.SilenceTimeout
		}
		if !loop.Sleep(watch, wait) {
			return
		}
	}
}

// logKept logs that a silent attempt goes on.
func (h *handover) logKept(watch context.Context, stage string, err error) {
	if watch.Err() != nil {
		return
	}
	h.generator.entry.Log.Info("silent attempt kept", zap.String("request", h.generator.request.RequestID),
		zap.String("attempt", h.attempt.run.Attempt), zap.String("upstream", stage), zap.Error(err))
}

// handOver gives the attempt up if a stage has ended or another attempt takes
// over. It returns why not otherwise.
func (h *handover) handOver(ctx, watch context.Context, stage string) error {
	e := &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamSilent, Upstream: stage}
	outcome, err := h.generator.classifySilence(watch, h.attempt.placement, e)
	if watch.Err() != nil {
		return watch.Err()
	}
	if !h.silent() {
		return errContinued
	}
	if outcome.Fault == dispatch.Silent {
		// Other requests must not wait for this one to find an upstream for them.
		h.generator.entry.reportSilence(outcome.Upstream)
	}
	end := handoverEnd{gaveUp: true, outcome: outcome, err: err}
	if outcome.Fault == dispatch.Crashed {
		h.giveUp(end)
		return nil
	}
	search, cancel := context.WithCancel(watch)
	defer cancel()
	resume := h.beginSearch(cancel)
	end.successor, err = h.generator.openSuccessor(ctx, search, outcome, resume)
	if err != nil {
		return err
	}
	if !h.takeOver(end, len(resume)) {
		h.generator.discard(ctx, end.successor)
		return errContinued
	}
	return nil
}

// beginSearch records what ends the search for a successor, and returns the tokens after
// which that one resumes.
func (h *handover) beginSearch(cancel context.CancelFunc) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelSearch = cancel
	return h.generator.assembler.Tokens()
}

// giveUp ends the attempt with a result.
func (h *handover) giveUp(end handoverEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end = end
	h.attempt.stream.GiveUp()
}

// takeOver ends the attempt with a result, unless it has continued after the given
// number of tokens.
func (h *handover) takeOver(end handoverEnd, tokens int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.silent() || len(h.generator.assembler.Tokens()) != tokens {
		return false
	}
	h.end = end
	h.attempt.stream.GiveUp()
	return true
}

// reportSilence takes an upstream that answers on no connection out of use for a
// time.
func (e *Entry) reportSilence(name string) {
	e.control.Send(func(s *state) { s.dispatcher.Ejections.RecordFailure(name, time.Now()) })
}

// openSuccessor begins another attempt beside one that is silent, for which fault
// was found. It ends with an error if search ends first.
func (g *generator) openSuccessor(ctx, search context.Context, fault dispatch.Outcome, resume []string) (*attempt, error) {
	silent := ""
	if fault.Fault == dispatch.Silent {
		silent = fault.Upstream
	}
	placement, err := g.placements.acquireBeside(search, silent)
	if err != nil {
		return nil, err
	}
	a := g.newAttempt(ctx, placement, resume)
	defer context.AfterFunc(search, a.stream.GiveUp)()
	defer time.AfterFunc(upstream.SilenceTimeout, a.stream.GiveUp).Stop()
	outcome, err := g.open(search, a)
	if err == nil {
		return a, nil
	}
	a.stream.Close()
	g.mayHaveRun = g.mayHaveRun || verdict.Of(err).Run != verdict.NotRun
	g.placements.finish(ctx, placement, outcome)
	return nil, err
}
