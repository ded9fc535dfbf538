// Package relay holds what the gateway takes from callers, sends to upstreams
// and gets back, in the project's own terms. The folder platform encodes and
// decodes them.
package relay

import (
	"net/http"
	"time"

	"lovageport.example/internal/state/fleet"
)

// Request is what a caller says about its request.
type Request struct {
	// ID names this attempt of the caller; it is passed on as it is.
	ID string
	// Key is the API key; empty if there is none.
	Key string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// PromptTokens and MaxAnswerTokens bound a generation; 0 if not stated.
	PromptTokens, MaxAnswerTokens int
	// AnswerHint is the caller's guess at the answer's tokens; 0 if none.
	AnswerHint int
	// ResumeAfter is the ID of the last event that the caller has; empty if
	// it starts anew.
	ResumeAfter string
}

// Stage is a range of layers and the upstream that runs it.
type Stage struct {
	Upstream *fleet.Upstream
	Layers   fleet.Range
}

// Call is one attempt to have a request run.
type Call struct {
	// Upstream is the one that the request is sent to, and must be the one
	// that answers.
	Upstream *fleet.Upstream
	// Chain is the stages of a generation, Upstream's first; nil for a request
	// to a plain service.
	Chain []Stage
	// Method, URI and Host are the caller's.
	Method, URI, Host string
	// Header is what the caller sent.
	Header http.Header
	Body   []byte
	// Account names the client account; empty for requests without key.
	Account string
	// Left is the time that the caller still waits.
	Left time.Duration
	// Rank is the priority at the engine, 0 to 9, 0 first.
	Rank int
	// ResumeAfter is the ID of the last event that the caller has; empty for
	// a call that starts at the beginning.
	ResumeAfter string
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	Status int
	// Request is the ID that the upstream answers; empty if it names none.
	Request string
	// Signed says that the answer is an upstream's own, to be passed on.
	Signed bool
	// NotRun says that the upstream did not run the request and will not.
	NotRun bool
	// AtFault is the address of the upstream that a refusal blames; empty for
	// the one that answered.
	AtFault string
	// WrongInstance says that another upstream has the address.
	WrongInstance bool
	// Leaving says that the upstream is about to end and should get nothing
	// new.
	Leaving bool
	// HoldOff is how long an upstream that refused wants no requests from this
	// VM; 0 if it does not say.
	HoldOff time.Duration
	// KeepAlive is how long the connection may stay idle; 0 if not stated.
	KeepAlive time.Duration
	// Events says that the body is a series of events.
	Events bool
	// Encoded says that the body is in an encoding that nobody asked for.
	Encoded bool
}

// Report is what an engine says of itself.
type Report struct {
	// Started is as in [fleet.Upstream].
	Started int64
	Held    fleet.Range
	// Orders is how many orders the engine has taken since its start.
	Orders int64
	// Busy says that an order is being carried out.
	Busy bool
	// Pace is how much slower than usual the engine works; 1 is usual.
	Pace float64
	// Stalled are the requests that wait for a stage that does not answer.
	Stalled []Stall
}

// Stall is a request that waits for a stage.
type Stall struct {
	Request string
	// Address is that of the stage that does not answer.
	Address string
}

// Placement orders an engine to hold a range of layers.
type Placement struct {
	Layers fleet.Range
	// Abort cuts what passes through the layers that are given up; otherwise
	// it may end first.
	Abort bool
	// IfOrders is the count of orders that the engine must have taken; an
	// engine that was ordered otherwise meanwhile refuses.
	IfOrders int64
}
