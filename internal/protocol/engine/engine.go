// Package engine holds the messages between an entry and a chain of engines.
//
// An entry sends a [RunRequest] to the first stage of a route, which passes it
// on to the next. The answer is a stream of [Frame] values, one JSON object a
// line: tokens with the spans of layers that made them, heartbeats of every
// stage, and one [Done] or [Failed] frame at the end. An engine that does not
// take the request answers with status 503 and a [Refusal].
package engine

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Paths and bounds of the protocol.
const (
	RunPath    = "/v1/run"
	HealthPath = "/v1/health"
	// MaxFrameBytes bounds one line of an answer.
	MaxFrameBytes = 64 << 10
	// MaxRoute bounds the stages of a route.
	MaxRoute = 64
)

// Span says that an upstream ran the layers [From, To).
type Span struct {
	Upstream string
	From     int
	To       int
}

// Stage is one step of a route.
type Stage struct {
	Span
	Address string
}

// RunRequest asks a chain for the tokens after Resume.
type RunRequest struct {
	// Request names the caller's request, Attempt this try at it.
	Request string
	Attempt string
	Model   string
	Route   []Stage
	// Position is the index in Route of the engine that reads this.
	Position int
	Prompt   string
	// Resume holds the tokens that an earlier attempt made.
	Resume []string
	// MaxTokens bounds the answer, the tokens of Resume included.
	MaxTokens int
	Priority  int
	// TimeoutMillis is what is left until the caller's deadline.
	TimeoutMillis int64
}

// Check says whether r makes sense by itself.
func (r *RunRequest) Check() error {
	switch {
	case r.Request == "" || r.Attempt == "":
		return errors.New("engine: request without IDs")
	case len(r.Route) == 0 || len(r.Route) > MaxRoute:
		return fmt.Errorf("engine: route of %d stages", len(r.Route))
	case r.Position < 0 || r.Position >= len(r.Route):
		return fmt.Errorf("engine: position %d outside the route", r.Position)
	case r.MaxTokens < 1:
		return errors.New("engine: no tokens asked for")
	}
	return nil
}

// Kind tells frames apart.
type Kind string

// The kinds of frames.
const (
	// Token carries one token.
	Token Kind = "token"
	// Heartbeat says that the stage named in Upstream is at work.
	Heartbeat Kind = "heartbeat"
	// Done ends a whole answer.
	Done Kind = "done"
	// Failed ends an answer that one stage could not finish.
	Failed Kind = "failed"
)

// Load is an engine's report of itself; it lags.
type Load struct {
	Running int
	Queued  int
	// Leaving says that the engine takes no new requests.
	Leaving bool `json:",omitempty"`
}

// Frame is one line of an answer.
type Frame struct {
	Kind    Kind
	Request string
	Attempt string
	// Index is the place of a token in the answer, from 0.
	Index int `json:",omitempty"`
	// Text is the token.
	Text string `json:",omitempty"`
	// Trace lists the spans that made the token, in the order they ran.
	Trace []Span `json:",omitempty"`
	// Tokens is the length of a whole answer.
	Tokens int `json:",omitempty"`
	// FinishReason is "stop" or "length".
	FinishReason string `json:",omitempty"`
	// Upstream names the stage that sent a heartbeat or that failed.
	Upstream string `json:",omitempty"`
	Load     *Load  `json:",omitempty"`
	// NotRun says that no stage has acted on this attempt.
	NotRun bool `json:",omitempty"`
	// Fault is why the stage failed.
	Fault Fault `json:",omitempty"`
}

// Fault is why a stage failed or refused.
type Fault string

// The faults.
const (
	// FaultBusy says that the engine has no free slot.
	FaultBusy Fault = "busy"
	// FaultLeaving says that the engine takes no new requests.
	FaultLeaving Fault = "leaving"
	// FaultLost says that the connection to the stage broke.
	FaultLost Fault = "lost"
	// FaultUnreachable says that no connection to the stage could be made.
	FaultUnreachable Fault = "unreachable"
	// FaultRejected says that the stage can't serve such a request.
	FaultRejected Fault = "rejected"
)

// Refusal is the body of status 503: the engine did not run the attempt.
type Refusal struct {
	Request  string
	Attempt  string
	Upstream string
	Fault    Fault
}

// DecodeFrame decodes and checks one line.
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
		return errors.New("engine: frame without IDs")
	case f.Index < 0 || f.Tokens < 0:
		return errors.New("engine: frame with a negative count")
	case len(f.Trace) > MaxRoute:
		return errors.New("engine: trace too long")
	}
	switch f.Kind {
	case Token, Done:
		return nil
	case Heartbeat, Failed:
		if f.Upstream == "" {
			return fmt.Errorf("engine: %s frame without upstream", f.Kind)
		}
		return nil
	}
	return fmt.Errorf("engine: unknown frame kind %q", f.Kind)
}

// Tiles says whether trace covers the layers [0, layers) once each, in order.
func Tiles(trace []Span, layers int) bool {
	next := 0
	for _, s := range trace {
		if s.From != next || s.To <= s.From {
			return false
		}
		next = s.To
	}
	return next == layers && layers > 0
}
