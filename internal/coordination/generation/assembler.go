// Package generation assembles the answer to a generation request from the
// frames of one or more attempts.
package generation

import (
	"fmt"
	"slices"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/pkg/verdict"
)

// Event is the effect of a frame on the answer.
type Event uint8

// The events.
const (
	// Ignored frames belong to an earlier attempt. Nothing in them counts.
	Ignored Event = iota
	// Reported frames are heartbeats or failures of a stage of the current
	// attempt.
	Reported
	// Accepted frames carry the next token of the answer.
	Accepted
	// Finished is the event of the frame that completes the answer.
	Finished
)

// Assembler assembles an answer from the frames of successive attempts. It
// accepts a token only from the current attempt, only in sequence, and only if
// the spans of layers that made it are those of the attempt's route, which covers
// every layer once and in order. It is not safe for concurrent use.
type Assembler struct {
	// Request is the request ID that every frame must carry.
	Request string
	// Layers is the number of the model's layers.
	Layers int
	// MaxTokens is the largest number of tokens in the answer.
	MaxTokens int
	// Dropped is the number of late frames of earlier attempts.
	Dropped int
	// FinishReason is set when the answer is complete.
	FinishReason engine.FinishReason

	tokens  []string
	attempt string
	// resumed is the number of tokens that earlier attempts delivered.
	resumed  int
	route    []engine.Span
	earlier  map[string]bool
	finished bool
}

// Tokens returns the tokens accepted so far. The caller must not modify them.
func (a *Assembler) Tokens() []string { return a.tokens }

// Finished reports whether the answer is complete.
func (a *Assembler) Finished() bool { return a.finished }

// StartAttempt makes attempt the current one, with the given route; frames of
// earlier attempts are ignored from then on. It returns an error if the route
// does not cover every layer once and in order.
func (a *Assembler) StartAttempt(attempt string, route []engine.Span) error {
	if !engine.CoversLayers(route, a.Layers) {
		return fmt.Errorf("generation: route does not tile %d layers", a.Layers)
	}
	if a.earlier == nil {
		a.earlier = make(map[string]bool)
	}
	if a.attempt != "" {
		a.earlier[a.attempt] = true
	}
	a.attempt = attempt
	a.resumed = len(a.tokens)
	a.route = route
	return nil
}

// Accept processes a frame. An error means that the stream can no longer be
// trusted; it is a [verdict.Error] that names the upstream at fault if that is
// known.
func (a *Assembler) Accept(f *engine.Frame) (Event, error) {
	if f.Request != a.Request {
		return Ignored, a.protocolError("frame of another request")
	}
	if f.Attempt != a.attempt {
		if a.earlier[f.Attempt] {
			a.Dropped++
			return Ignored, nil
		}
		return Ignored, a.protocolError("frame of an unknown attempt")
	}
	if a.finished {
		return Ignored, a.protocolError("frame after the end of the answer")
	}
	switch f.Kind {
	case engine.Token:
		return a.acceptToken(f)
	case engine.Done:
		return a.acceptDone(f)
	}
	return a.acceptReport(f)
}

// acceptReport checks a heartbeat or failure, whose sender need not be the stage
// that it names.
func (a *Assembler) acceptReport(f *engine.Frame) (Event, error) {
	if !slices.ContainsFunc(a.route, func(s engine.Span) bool { return s.Upstream == f.Upstream }) {
		return Ignored, a.protocolError(fmt.Sprintf("%s of %q, which is no stage of the route", f.Kind, f.Upstream))
	}
	if f.NotRun && len(a.tokens) > a.resumed {
		return Ignored, a.protocolError("attempt that delivered tokens is said not to have run")
	}
	return Reported, nil
}

func (a *Assembler) acceptToken(f *engine.Frame) (Event, error) {
	if f.Index != len(a.tokens) {
		return Ignored, a.protocolError(fmt.Sprintf("token %d instead of %d", f.Index, len(a.tokens)))
	}
	if len(a.tokens) >= a.MaxTokens {
		return Ignored, a.protocolError("more tokens than asked for")
	}
	if upstream, ok := a.findDeviation(f.Trace); ok {
		err := a.protocolError(fmt.Sprintf("token %d was not made by the layers of its route", f.Index))
		err.Upstream = upstream
		return Ignored, err
	}
	a.tokens = append(a.tokens, f.Text)
	return Accepted, nil
}

// findDeviation returns the upstream of the first stage of the route that a
// trace omits or changes, or the last one's if the trace continues beyond the
// route. It reports false if the trace follows the route.
func (a *Assembler) findDeviation(trace []engine.Span) (string, bool) {
	for i, s := range a.route {
		if i >= len(trace) || trace[i] != s {
			return s.Upstream, true
		}
	}
	if len(trace) > len(a.route) {
		return a.route[len(a.route)-1].Upstream, true
	}
	return "", false
}

func (a *Assembler) acceptDone(f *engine.Frame) (Event, error) {
	if f.Tokens != len(a.tokens) {
		return Ignored, a.protocolError(fmt.Sprintf("answer ends at %d of %d tokens", len(a.tokens), f.Tokens))
	}
	if f.FinishReason == engine.Length && f.Tokens != a.MaxTokens {
		return Ignored, a.protocolError(fmt.Sprintf("answer of %d tokens ends at the limit of %d", f.Tokens, a.MaxTokens))
	}
	a.finished = true
	a.FinishReason = f.FinishReason
	return Finished, nil
}

// protocolError returns an error for a frame that breaks the protocol. The
// engines may have run the request.
func (a *Assembler) protocolError(message string) *verdict.Error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamProtocol, Message: message}
}
