// Package verdict defines the verdict of every response and refusal: whether the
// request may have run on an upstream.
//
// A caller that receives [NotRun] may send the same request again without risk of
// a second side effect. [MayHaveRun] is the zero value, so that a verdict that was
// never set does not allow an unsafe retry.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Run is the verdict on whether a request ran.
type Run uint8

// The values of Run.
const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Run = iota
	// NotRun means that no upstream acted on the request.
	NotRun
	// Ran means that an upstream ran the request to its end.
	Ran
)

var runNames = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the wire name of r.
func (r Run) String() string {
	if int(r) < len(runNames) {
		return runNames[r]
	}
	return runNames[MayHaveRun]
}

// MarshalText returns the wire name of r.
func (r Run) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses a wire name.
func (r *Run) UnmarshalText(text []byte) error {
	for i, name := range runNames {
		if name == string(text) {
			*r = Run(i)
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}

// Reason is why a request was refused, failed or retried. Its values are label
// values of metrics.
type Reason string

// All values of Reason.
const (
	BadRequest         Reason = "bad_request"
	BodyTooLarge       Reason = "body_too_large"
	BodyTooSlow        Reason = "body_too_slow"
	Unauthenticated    Reason = "unauthenticated"
	Forbidden          Reason = "forbidden"
	UnknownModel       Reason = "unknown_model"
	UnknownRoute       Reason = "unknown_route"
	KeyMissing         Reason = "idempotency_key_missing"
	KeyReused          Reason = "idempotency_key_reused"
	ClaimHeld          Reason = "claim_held"
	ClaimLapsed        Reason = "claim_lapsed"
	ClaimOutcomeLost   Reason = "claim_outcome_lost"
	ClaimAnswered      Reason = "claim_answered"
	AnswerTooLarge     Reason = "answer_too_large"
	PlatformDown       Reason = "platform_down"
	RateLimited        Reason = "rate_limited"
	QueueFull          Reason = "queue_full"
	DeadlineUnmeetable Reason = "deadline_unmeetable"
	DeadlineExceeded   Reason = "deadline_exceeded"
	NoChain            Reason = "no_chain"
	NoUpstream         Reason = "no_upstream"
	UpstreamRefused    Reason = "upstream_refused"
	ConnectTimeout     Reason = "connect_timeout"
	ConnectFailed      Reason = "connect_failed"
	UpstreamWithdrawn  Reason = "upstream_withdrawn"
	UpstreamBusy       Reason = "upstream_busy"
	HeldOff            Reason = "held_off"
	UpstreamLimited    Reason = "upstream_limited"
	UpstreamLost       Reason = "upstream_lost"
	UpstreamSilent     Reason = "upstream_silent"
	UpstreamProtocol   Reason = "upstream_protocol"
	ConnectionSilent   Reason = "connection_silent"
	RetryBudget        Reason = "retry_budget"
	RetryLimit         Reason = "retry_limit"
	Quarantined        Reason = "quarantined"
	CallerGone         Reason = "caller_gone"
	Draining           Reason = "draining"
	NotReady           Reason = "not_ready"
	BodyMemoryFull     Reason = "body_memory_full"
	AnswerMemoryFull   Reason = "answer_memory_full"
	Internal           Reason = "internal"
)

// Error is a refusal or failure with its verdict.
type Error struct {
	// Run is whether the request may have run.
	Run Run
	// Reason is why the request got no response.
	Reason Reason
	// Upstream is the name of the upstream at fault; empty if none is known.
	Upstream string
	// Message describes the error to the operator of the caller.
	Message string
	// RetryAfter is the time after which a retry may succeed; 0 means never.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

// Error returns the message, the verdict and the cause.
func (e *Error) Error() string {
	message := e.Message
	if message == "" {
		message = string(e.Reason)
	}
	if e.Err != nil {
		return fmt.Sprintf("%s (%s): %v", message, e.Run, e.Err)
	}
	return fmt.Sprintf("%s (%s)", message, e.Run)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refuse returns an error for a request that did not run.
func Refuse(reason Reason, format string, args ...any) *Error {
	return &Error{Run: NotRun, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// RefuseUntil returns an error for a request that did not run and may be retried
// after wait.
func RefuseUntil(wait time.Duration, reason Reason, format string, args ...any) *Error {
	e := Refuse(reason, format, args...)
	e.RetryAfter = wait
	return e
}

// Of returns the [Error] that err wraps. For any other error it returns an Error
// with [MayHaveRun] and [Internal].
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Run: MayHaveRun, Reason: Internal, Message: "internal error", Err: err}
}
