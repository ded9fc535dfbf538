// Package relay defines the requests that the gateway receives from callers, the
// calls that it makes to upstreams and the heads of their responses,
// independently of their encoding. Package platform encodes and decodes them.
package relay

import (
	"net/http"
	"time"

	"lovageport.example/internal/state/fleet"
)

// Request holds the parameters that a caller has sent in the headers of its
// request.
type Request struct {
	// ID identifies this attempt of the caller. It is forwarded unchanged.
	ID string
	// Key is the API key; empty if the caller sent none.
	Key string
	// Timeout is how long the caller waits for the response; 0 if not stated.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, and MaxOutputTokens bounds the
	// length of the answer; 0 if not stated.
	PromptTokens, MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the length of the
	// answer; 0 if not stated.
	ExpectedOutputTokens int
	// SharedParts are the IDs of the parts of the prompt that other requests may
	// share, in order. The last part is the request's own and not one of them.
	SharedParts []string
	// Prefix holds the leading ones of these parts with their lengths, up to the
	// first one that has no ID or no valid length.
	Prefix []PromptPart
	// ResumeAfter is the ID of the last event that the caller has received;
	// empty if the stream starts at the beginning.
	ResumeAfter string
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Stage is one stage of a chain: a range of layers and the upstream that runs
// them.
type Stage struct {
	Upstream *fleet.Upstream
	Layers   fleet.Range
}

// Call is one HTTP request to an upstream.
type Call struct {
	// Upstream receives the call. A response of another instance at its address
	// is a failure.
	Upstream *fleet.Upstream
	// Request is the ID of the caller's request, which Header holds too and the
	// response states; empty for a call of the gateway's own and for a request
	// without ID.
	Request string
	// Fresh requires a connection that has carried no other call.
	Fresh bool
	// Chain is the stages of a generation, the first of which is Upstream's;
	// nil for a plain service.
	Chain []Stage
	// Method, URI and Host are those of the HTTP request.
	Method, URI, Host string
	// Header holds the caller's headers. Those that the gateway sets itself
	// are replaced.
	Header http.Header
	Body   []byte
	// Account is the name of the client account; empty for requests without an
	// API key.
	Account string
	// Timeout is the remaining time for which the caller waits.
	Timeout time.Duration
	// Priority is the priority at the engine, from 0, which is served first,
	// to 9.
	Priority int
	// ResumeAfter is the ID of the last event that the caller has received;
	// empty if the stream starts at the beginning.
	ResumeAfter string
}

// ResponseHead is what the status and the headers of an upstream's response
// state.
type ResponseHead struct {
	Status int
	// Request is the ID of the request that the response belongs to; empty if
	// not stated.
	Request string
	// Instance is the instance that answers a health probe; empty if not stated.
	Instance string
	// FromUpstream reports that the response was made by an upstream and not
	// by an intermediary, so that it may be forwarded to the caller.
	FromUpstream bool
	// NotRun reports that the upstream has not run the request and will not.
	NotRun bool
	// FaultAddress is the address of the upstream that caused a refusal; empty
	// if it is the one that responded.
	FaultAddress string
	// WrongInstance reports that another instance than the expected one has
	// the address.
	WrongInstance bool
	// Leaving reports that the upstream is about to shut down and should
	// receive no new requests.
	Leaving bool
	// RetryAfter is how long an upstream that refused asks this VM to send it no
	// requests; 0 if not stated.
	RetryAfter time.Duration
	// Limit is the rate of requests that the upstream takes.
	Limit RateLimit
	// IdleTimeout is how long the connection may stay idle; 0 if not stated.
	IdleTimeout time.Duration
	// EventStream reports that the body is a stream of server-sent events.
	EventStream bool
	// ContentEncoded reports that the body has a content encoding. It is an
	// error, since none was requested.
	ContentEncoded bool
}

// RateLimit is what a response states of the rate of requests that the upstream takes from
// all gateways together.
type RateLimit struct {
	// Stated reports whether the response states a rate, valid or not, and Valid
	// whether it states one that can be used. One that cannot is no sign that the
	// upstream takes requests without limit.
	Stated, Valid bool
	// PerSecond is the rate in requests per second, if Valid is set.
	PerSecond float64
}

// Report is the state that an engine reports.
type Report struct {
	// Started and Held are as in [fleet.Upstream].
	Started int64
	Held    fleet.Range
	// Orders is the number of orders that the engine has accepted since its
	// start.
	Orders int64
	// Busy reports that an order is being executed.
	Busy bool
	// Pace is the factor by which the engine runs slower than normal; 1 is
	// normal.
	Pace float64
	// Stalled are the requests that wait for a stage that does not respond.
	Stalled []StalledRequest
}

// StalledRequest is a request that waits for a stage that does not respond.
type StalledRequest struct {
	Request string
	// Address is the address of that stage.
	Address string
}

// Placement is an order to an engine to load a range of layers and to release all
// others.
type Placement struct {
	Layers fleet.Range
	// Abort terminates the requests that use the released layers; otherwise
	// they may finish first.
	Abort bool
	// IfOrders is the number of orders that the engine must have accepted
	// before. Otherwise it refuses this one, since it has received another
	// order in the meantime.
	IfOrders int64
}
