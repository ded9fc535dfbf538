// Package generation decides which tokens of which attempt make up an answer.
package generation

import (
	"fmt"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/pkg/verdict"
)

// Event is what a frame means for the answer.
type Event uint8

// The events.
const (
	// Ignored says that the frame adds nothing: a heartbeat, or a frame of an
	// attempt that has been given up.
	Ignored Event = iota
	// Accepted says that the frame's token is the next of the answer.
	Accepted
	// Finished says that the answer is whole.
	Finished
)

// Assembler holds an answer while attempts add to it. It takes a token only from
// the current attempt, only if it is the next one, and only if the spans that
// made it are those of the attempt's route, which tile all layers in order.
type Assembler struct {
	// Request is the ID that every frame must echo.
	Request string
	// Layers is the count of the model's layers.
	Layers int
	// MaxTokens bounds the answer.
	MaxTokens int
	// Dropped counts the late frames of earlier attempts.
	Dropped int
	// FinishReason is set once the answer is whole.
	FinishReason string

	tokens   []string
	attempt  string
	route    []engine.Span
	past     map[string]bool
	finished bool
}

// Tokens returns the answer so far.
func (l *Assembler) Tokens() []string { return l.tokens }

// Finished says whether the answer is whole.
func (l *Assembler) Finished() bool { return l.finished }

// StartAttempt starts an attempt over a route; earlier attempts are over.
func (l *Assembler) StartAttempt(attempt string, route []engine.Span) error {
	if !engine.CoversLayers(route, l.Layers) {
		return fmt.Errorf("generation: route does not tile %d layers", l.Layers)
	}
	if l.past == nil {
		l.past = make(map[string]bool)
	}
	if l.attempt != "" {
		l.past[l.attempt] = true
	}
	l.attempt = attempt
	l.route = route
	return nil
}

// Accept decides on a frame. An error means that the stream can't be trusted
// any more; it carries a verdict, and names the upstream at fault where that
// can be told.
func (l *Assembler) Accept(f *engine.Frame) (Event, error) {
	if f.Request != l.Request {
		return Ignored, l.fault("frame of another request")
	}
	if f.Attempt != l.attempt {
		if l.past[f.Attempt] {
			l.Dropped++
			return Ignored, nil
		}
		return Ignored, l.fault("frame of an unknown attempt")
	}
	if l.finished {
		return Ignored, l.fault("frame after the end of the answer")
	}
	switch f.Kind {
	case engine.Token:
		return l.acceptToken(f)
	case engine.Done:
		return l.acceptDone(f)
	}
	return Ignored, nil
}

func (l *Assembler) acceptToken(f *engine.Frame) (Event, error) {
	if f.Index != len(l.tokens) {
		return Ignored, l.fault(fmt.Sprintf("token %d instead of %d", f.Index, len(l.tokens)))
	}
	if len(l.tokens) >= l.MaxTokens {
		return Ignored, l.fault("more tokens than asked for")
	}
	if culprit, ok := l.departure(f.Trace); ok {
		err := l.fault(fmt.Sprintf("token %d was not made by the layers of its route", f.Index))
		err.Upstream = culprit
		return Ignored, err
	}
	l.tokens = append(l.tokens, f.Text)
	return Accepted, nil
}

// departure returns the first stage of the route that a trace leaves out or
// changes. It says whether there is one; a trace that goes on behind the route
// departs at the last stage.
func (l *Assembler) departure(trace []engine.Span) (string, bool) {
	for i, s := range l.route {
		if i >= len(trace) || trace[i] != s {
			return s.Upstream, true
		}
	}
	if len(trace) > len(l.route) {
		return l.route[len(l.route)-1].Upstream, true
	}
	return "", false
}

func (l *Assembler) acceptDone(f *engine.Frame) (Event, error) {
	if f.Tokens != len(l.tokens) {
		return Ignored, l.fault(fmt.Sprintf("answer ends at %d of %d tokens", len(l.tokens), f.Tokens))
	}
	l.finished = true
	l.FinishReason = f.FinishReason
	return Finished, nil
}

func (l *Assembler) fault(message string) *verdict.Error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamProtocol, Message: message}
}
