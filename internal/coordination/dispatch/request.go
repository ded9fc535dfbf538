package dispatch

import (
	"time"

	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
)

// Request is a caller's request that is open at this entry. The caller of the
// Dispatcher sets the fields up to Reply, and Prefer and IsRetry.
type Request struct {
	// ID uniquely identifies the request.
	ID string
	// Pool is the name of the catalog.Pool whose upstreams may serve the request.
	Pool string
	// Accepted is that pool in the configuration under which the request was
	// accepted.
	Accepted *catalog.Pool
	// Account is the client account.
	Account *declaration.Account
	// Fingerprint identifies the content of the request; see
	// quarantine.Fingerprint.
	Fingerprint string
	// Cost is the number of tokens that the request asks for.
	Cost int
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// QueueDeadline is the time until which the request may wait for a placement.
	QueueDeadline time.Time
	// Reply is called once for each submission that is not canceled. It must not
	// block.
	Reply func(Placement, error)

	// Exclude holds the names of upstreams that failed this request. They are
	// not used again.
	Exclude map[string]bool
	// Silent is the name of an upstream that is not used for the next attempt,
	// because it is silent in an attempt that still runs.
	Silent string
	// AvoidIfPossible holds the names of upstreams that may have failed this
	// request. They are used only if the others don't cover all layers.
	AvoidIfPossible map[string]bool
	// CrashZone is the availability zone in which an upstream crashed while it
	// ran this request. Other zones are tried first since the whole zone may be
	// failing.
	CrashZone string
	// Prefer holds the names of upstreams that have the request's KV cache.
	Prefer map[string]bool
	// Attempts counts the placements of the request.
	Attempts int
	// Failures counts the failed attempts. It leaves out those that were refused
	// before they ran and those that reached no upstream.
	Failures int
	// IsRetry is set if the next submission counts against the retry budget.
	IsRetry bool
}

// excludes reports whether the next attempt must not use an upstream.
func (r *Request) excludes(upstream string) bool {
	return r.Exclude[upstream] || r.Silent != "" && r.Silent == upstream
}

// exclude adds an upstream to Exclude.
func (r *Request) exclude(upstream string) {
	if r.Exclude == nil {
		r.Exclude = make(map[string]bool)
	}
	r.Exclude[upstream] = true
}

// avoidIfPossible adds an upstream to AvoidIfPossible.
func (r *Request) avoidIfPossible(upstream string) {
	if r.AvoidIfPossible == nil {
		r.AvoidIfPossible = make(map[string]bool)
	}
	r.AvoidIfPossible[upstream] = true
}

// Placement assigns one attempt of a request to a chain of upstreams.
type Placement struct {
	// ID identifies the placement to Finish.
	ID    uint64
	Chain route.Chain
	// Generation is the generation of the configuration used to choose Chain.
	Generation int64
	// Suspect is set if the request was in flight on an upstream that crashed.
	Suspect bool
}

// Fault classifies how an attempt failed.
type Fault uint8

const (
	// None means that the attempt succeeded.
	None Fault = iota
	// Abandoned means that the attempt ended without evidence of an upstream
	// fault: the caller disconnected or the deadline passed.
	Abandoned
	// Busy means that an upstream had no free slot.
	Busy
	// Leaving means that an upstream accepts no new requests.
	Leaving
	// Unreachable means that no connection could be made.
	Unreachable
	// ConnectionLost means that the connection broke but the upstream may still
	// be running.
	ConnectionLost
	// Crashed means that the connection broke and the upstream is gone.
	Crashed
	// Silent means that the upstream responds on no connection.
	Silent
	// ConnectionSilent means that the connection went silent while the upstream
	// responds on others.
	ConnectionSilent
	// Protocol means that the upstream violated the protocol.
	Protocol
	// Unattributed means that it is unclear which upstream is at fault: possibly
	// the named one, or any of the chain if none is named. All are running.
	Unattributed
	// Rejected means that the upstream can't serve this request.
	Rejected
	// ConnectTimeout means that no connection could be made in time. That is no
	// proof that the upstream has ended.
	ConnectTimeout
	// ConnectFailed means that this process could not make a connection, for which
	// no upstream is at fault.
	ConnectFailed
)

// Unsent reports whether an attempt that ended with f has reached no upstream, so
// that the next one is not charged to the retry budget.
func (f Fault) Unsent() bool {
	return f == Unreachable || f == ConnectTimeout || f == ConnectFailed
}

// Neutral reports whether an attempt that ended with f neither counts as a
// failure nor adds load: the next attempt is not charged to the retry budget.
func (f Fault) Neutral() bool {
	return f == Abandoned || f == Busy || f == Leaving
}

// Outcome describes how an attempt ended.
type Outcome struct {
	Fault Fault
	// Upstream is the name of the upstream at fault, if known.
	Upstream string
}
