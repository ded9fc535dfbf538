// Package engine defines the messages between an entry and a chain of engines.
//
// An entry sends a [RunRequest] to the engine of the first stage of a route,
// which forwards it to the next. The answer is a stream of [Frame] values, one
// JSON object per line: tokens with the spans of layers that computed them,
// heartbeats of all stages, and one [Done] or [Failed] frame at the end. An
// engine that refuses the request answers with status 503 and a [Refusal].
package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Paths and limits of the protocol.
const (
	RunPath    = "/v1/run"
	HealthPath = "/v1/health"
	// MaxFrameBytes bounds the length of one line of an answer.
	MaxFrameBytes = 64 << 10
	// MaxRouteStages bounds the number of stages of a route.
	MaxRouteStages = 64
)

// Span is the layers [From, To) that an upstream runs or has run.
type Span struct {
	Upstream string
	From     int
	To       int
}

// Stage is one stage of a route: an engine, its layers and its address.
type Stage struct {
	Span
	Address string
}

// RunRequest asks a chain of engines to generate the tokens that follow Resume.
type RunRequest struct {
	// Request is the ID of the caller's request, and Attempt that of this
	// attempt to run it.
	Request string
	Attempt string
	Model   string
	Route   []Stage
	// Position is the index in Route of the engine that receives the request.
	Position int
	Prompt   string
	// Resume holds the tokens that earlier attempts generated.
	Resume []string
	// MaxTokens bounds the number of tokens of the answer, including Resume.
	MaxTokens int
	Priority  int
	// TimeoutMillis is the time until the caller's deadline in milliseconds.
	TimeoutMillis int64
}

// Check returns an error if an ID is missing or a value is out of range.
func (r *RunRequest) Check() error {
	switch {
	case r.Request == "" || r.Attempt == "":
		return errors.New("engine: request or attempt ID is missing")
	case len(r.Route) == 0 || len(r.Route) > MaxRouteStages:
		return fmt.Errorf("engine: route of %d stages is empty or too long", len(r.Route))
	case r.Position < 0 || r.Position >= len(r.Route):
		return fmt.Errorf("engine: position %d is outside the route", r.Position)
	case r.MaxTokens < 1:
		return errors.New("engine: MaxTokens must be at least 1")
	}
	return nil
}

// Kind is the kind of a frame.
type Kind string

// The kinds of frames.
const (
	// Token carries one token.
	Token Kind = "token"
	// Heartbeat reports that the stage named in Upstream is working.
	Heartbeat Kind = "heartbeat"
	// Done ends a complete answer.
	Done Kind = "done"
	// Failed ends an answer that a stage failed to complete.
	Failed Kind = "failed"
)

// FinishReason is why a complete answer ends.
type FinishReason string

// The finish reasons.
const (
	// Stop means that the model ended the answer.
	Stop FinishReason = "stop"
	// Length means that the answer has RunRequest.MaxTokens tokens.
	Length FinishReason = "length"
)

// Load is the load that an engine reports. It may be out of date.
type Load struct {
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// Leaving reports that the engine accepts no new requests.
	Leaving bool `json:",omitempty"`
}

// Frame is one line of an answer.
type Frame struct {
	Kind    Kind
	Request string
	Attempt string
	// Index is the position of the token in the answer, counted from 0.
	Index int `json:",omitempty"`
	// Text is the text of the token.
	Text string `json:",omitempty"`
	// Trace lists the spans that computed the token, in order.
	Trace []Span `json:",omitempty"`
	// Tokens is the number of tokens of a complete answer.
	Tokens int `json:",omitempty"`
	// FinishReason is set in a Done frame.
	FinishReason FinishReason `json:",omitempty"`
	// Upstream is the name of the stage that sent a heartbeat or failed.
	Upstream string `json:",omitempty"`
	Load     *Load  `json:",omitempty"`
	// NotRun reports that no stage has started to run this attempt.
	NotRun bool `json:",omitempty"`
	// Fault is the reason why the stage failed.
	Fault Fault `json:",omitempty"`
}

// Fault is the reason why a stage failed or refused a request.
type Fault string

// The faults.
const (
	// FaultBusy means that the engine has no free slot.
	FaultBusy Fault = "busy"
	// FaultLeaving means that the engine accepts no new requests.
	FaultLeaving Fault = "leaving"
	// FaultLost means that the connection to the stage was lost.
	FaultLost Fault = "lost"
	// FaultUnreachable means that no connection to the stage could be made.
	FaultUnreachable Fault = "unreachable"
	// FaultRejected means that the stage can't serve this kind of request.
	FaultRejected Fault = "rejected"
)

// Refusal is the body of an answer with status 503, which means that the engine
// did not run the attempt.
type Refusal struct {
	Request  string
	Attempt  string
	Upstream string
	Fault    Fault
}

// DecodeFrame decodes and checks one line of an answer.
func DecodeFrame(line []byte) (Frame, error) {
	var f Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return f, fmt.Errorf("engine: frame: %w", err)
	}
	return f, f.check()
}

func (f *Frame) check() error {
	switch {
	case f.Request == "" || f.Attempt == "":
		return errors.New("engine: frame has no request or attempt ID")
	case f.Index < 0 || f.Tokens < 0:
		return errors.New("engine: frame has a negative index or token count")
	case len(f.Trace) > MaxRouteStages:
		return errors.New("engine: trace has more spans than a route may have stages")
	}
	switch f.Kind {
	case Token:
		return nil
	case Done:
		if f.FinishReason != Stop && f.FinishReason != Length {
			return fmt.Errorf("engine: unknown finish reason %q", f.FinishReason)
		}
		return nil
	case Heartbeat, Failed:
		if f.Upstream == "" {
			return fmt.Errorf("engine: %s frame has no upstream", f.Kind)
		}
		return nil
	}
	return fmt.Errorf("engine: unknown frame kind %q", f.Kind)
}

// Includes reports whether an upstream is a stage of a route.
func Includes(route []Stage, upstream string) bool {
	return slices.ContainsFunc(route, func(s Stage) bool { return s.Upstream == upstream })
}

// CoversLayers reports whether the spans of trace cover each of the layers
// [0, layers) exactly once and in order.
func CoversLayers(trace []Span, layers int) bool {
	next := 0
	for _, s := range trace {
		if s.From != next || s.To <= s.From {
			return false
		}
		next = s.To
	}
	return next == layers && layers > 0
}
