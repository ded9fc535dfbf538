package gateway

import (
	"context"
	"errors"
	"sync"
)

// errAttemptContinues is returned by a search for the next target that is not
// needed any more.
var errAttemptContinues = errors.New("gateway: the attempt continues or has ended")

// handover looks for the target of a request's next attempt while one runs. An
// attempt that is only silent may still succeed, so that it must not end before
// the next one has its target: the retry allowance, the limit of upstreams or a
// lack of capacity may refuse that.
type handover struct {
	g *Gateway
	q *request

	mu sync.Mutex
	// cancel ends the search that is under way; nil if there is none. Guarded by
	// mu.
	cancel  context.CancelFunc
	stopped bool
	// searches counts the searches under way, at most one.
	searches sync.WaitGroup
}

// begin begins a search, which [handover.find] must follow. It returns false if
// the attempt has ended, if a search is under way already, or if the request must
// not be sent twice.
func (h *handover) begin() (context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.cancel != nil || !h.q.route.Repeatable() {
		return nil, false
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.searches.Add(1)
	h.q.setQueueDeadline(h.g.Now())
	h.q.setHandingOver(true)
	return ctx, true
}

// find returns the target of the next attempt, for which it may wait in the
// queue. The error is a [verdict.Error], or errAttemptContinues.
func (h *handover) find(ctx context.Context) (target, error) {
	defer h.searches.Done()
	to, err := h.g.acquireTarget(ctx, h.q)
	h.q.setHandingOver(false)
	h.mu.Lock()
	defer h.mu.Unlock()
	unneeded := ctx.Err() != nil
	h.cancel()
	h.cancel = nil
	switch {
	case unneeded && err == nil:
		h.g.control.Send(func(s *state) { s.returnTarget(h.q, to) })
		return target{}, errAttemptContinues
	case unneeded:
		return target{}, errAttemptContinues
	}
	return to, err
}

// drop ends the search that is under way, if any, because the attempt continues.
func (h *handover) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancel != nil {
		h.cancel()
	}
}

// stop ends the search that is under way, waits for it, and permits no other,
// because the attempt has ended.
func (h *handover) stop() {
	h.mu.Lock()
	h.stopped = true
	if h.cancel != nil {
		h.cancel()
	}
	h.mu.Unlock()
	h.searches.Wait()
}
