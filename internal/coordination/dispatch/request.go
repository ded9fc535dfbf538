package dispatch

import (
	"time"

	"lovageport.example/internal/coordination/route"
	"lovageport.example/pkg/declaration"
)

// Request is a caller's request while it is open at this entry.
type Request struct {
	// ID is unlike any other request's.
	ID string
	// Pool names the upstreams to route within, as in catalog.Pool.
	Pool string
	// Account is the client account.
	Account *declaration.Account
	// Fingerprint names the request's content.
	Fingerprint string
	// Cost is the tokens that the request asks for.
	Cost int
	// Deadline is when the request makes no sense any more.
	Deadline time.Time
	// QueueDeadline is when waiting for a place makes no sense any more.
	QueueDeadline time.Time
	// Reply is called once for each submission. It must not block.
	Reply func(Placement, error)

	// Avoid names the upstreams that failed this request.
	Avoid map[string]bool
	// Shun names the upstreams that may have failed this request; they are
	// used only where no others cover the layers.
	Shun map[string]bool
	// CrashZone is the availability zone in which an upstream crashed under the
	// request. Others are tried first: the whole zone may be going.
	CrashZone string
	// Prefer names the upstreams that hold its KV cache.
	Prefer map[string]bool
	// Attempts is how many placements it has had.
	Attempts int
	// Failures is how many of them failed, which does not count those that
	// were refused before they ran or that reached nobody.
	Failures int
	// Repeated says that the next submission adds to the retries.
	Repeated bool
}

// avoid adds an upstream to Avoid.
func (r *Request) avoid(upstream string) {
	if r.Avoid == nil {
		r.Avoid = make(map[string]bool)
	}
	r.Avoid[upstream] = true
}

// shun adds an upstream to Shun.
func (r *Request) shun(upstream string) {
	if r.Shun == nil {
		r.Shun = make(map[string]bool)
	}
	r.Shun[upstream] = true
}

// Placement is the place of one attempt.
type Placement struct {
	// Ticket names the placement when it ends.
	Ticket uint64
	Chain  route.Chain
	// Generation is that of the configuration that the chain was chosen by.
	Generation int64
	// Suspect says that the request was in flight where an upstream crashed.
	Suspect bool
}

// Fault is what went wrong with an attempt.
type Fault uint8

// The faults.
const (
	// None says that the attempt succeeded.
	None Fault = iota
	// Abandoned says that nothing is known to be wrong with an upstream: the
	// caller has gone, or the time is up.
	Abandoned
	// Busy says that an upstream had no free slot.
	Busy
	// Leaving says that an upstream takes no new requests.
	Leaving
	// Unreachable says that no connection could be made.
	Unreachable
	// Lost says that the connection broke and the upstream may still live.
	Lost
	// Crashed says that the connection broke and the upstream is gone.
	Crashed
	// Silent says that the upstream answers on no connection.
	Silent
	// ConnectionSilent says that a connection went silent while the upstream
	// answers on others.
	ConnectionSilent
	// Protocol says that the upstream answered against the protocol.
	Protocol
	// Doubtful says that the attempt failed by a fault of one of several
	// upstreams, all alive: the one named, or any of the chain if none is.
	Doubtful
	// Rejected says that the upstream can't serve such a request.
	Rejected
)

// Harmless says whether an attempt that ended so has cost nothing and proves
// nothing: sent again, it adds no load.
func (f Fault) Harmless() bool {
	return f == Abandoned || f == Busy || f == Leaving
}

// Outcome is how an attempt ended.
type Outcome struct {
	Fault Fault
	// Upstream is the one at fault.
	Upstream string
}
