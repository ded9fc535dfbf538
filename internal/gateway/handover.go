package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"lovageport.example/pkg/verdict"
)

// errAttemptContinues is returned by a search for the next target that is not
// needed any more.
var errAttemptContinues = errors.New("gateway: the attempt continues or has ended")

// errRunsThere is why a request is not sent to an upstream that runs it already.
var errRunsThere = verdict.Refuse(verdict.RetryLimit, "the request already runs on the upstream that was found")

// handover looks for the target of a request's next attempt while one runs. An
// attempt that is only silent may still succeed, so that it must not end before
// the next one has its target: the retry allowance, the limit of upstreams or a
// lack of capacity may refuse that. Nor must it, if both can run at once, before the
// next one has begun to answer.
type handover struct {
	g *Gateway
	q *request
	// parent ends with the request. If nil, it does not end.
	parent context.Context

	mu sync.Mutex
	// cancel ends the search that is under way, or the next attempt while it is made
	// beside the one that runs; nil if there is neither. opening is set during the
	// latter. Guarded by mu.
	cancel           context.CancelFunc
	opening, stopped bool
	// searches counts what cancel ends, at most one.
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
	parent := h.parent
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithCancel(parent)
	h.cancel = cancel
	h.searches.Add(1)
	return ctx, true
}

// beginOpen begins an attempt beside the one that runs, which
// [handover.endOpen] and then searches.Done must follow.
func (h *handover) beginOpen() (context.Context, bool) {
	ctx, ok := h.begin()
	if ok {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.opening = true
	}
	return ctx, ok
}

// endOpen records that the attempt beside the one that runs has begun to answer or
// has failed.
func (h *handover) endOpen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.opening = false
	h.cancel = nil
}

// find returns the target of the next attempt, for which it may wait in the
// queue. The error is a [verdict.Error], or errAttemptContinues.
func (h *handover) find(ctx context.Context) (target, error) {
	defer h.searches.Done()
	h.q.setQueueDeadline(h.g.Now())
	h.q.setHandingOver(true)
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

// drop ends the search or the next attempt that is under way, if any, because the
// attempt continues.
func (h *handover) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancel != nil {
		h.cancel()
	}
}

// stop ends what is under way, waits for it, and permits nothing else, because the
// attempt has ended. If keep is set, the next attempt goes on if it has been sent.
func (h *handover) stop(keep bool) {
	h.mu.Lock()
	h.stopped = true
	if h.cancel != nil && !(keep && h.opening) {
		h.cancel()
	}
	h.mu.Unlock()
	h.searches.Wait()
}

// handOver ends the attempt because of stage i once the next attempt has begun to
// answer. The caller holds mu, which is released meanwhile.
func (d *stallDetector) handOver(to target, i int, lastEventAt time.Duration) {
	ctx, ok := d.handover.begin()
	if !ok {
		d.schedule(d.checks + 1)
		return
	}
	var found target
	var err error
	d.unlocked(func() { found, err = d.handover.find(ctx) })
	switch {
	case err == errAttemptContinues:
		// An event or the end of the attempt has ended the search.
	case err != nil:
		d.logKept(to, i, err)
		d.schedule(d.checks + 1)
	case found.upstream.Instance == to.upstream.Instance:
		// No upstream gets a request again while it still runs it.
		d.accept(newStreamAttempt(d.g, d.q, found), to, i, lastEventAt)
	case d.q.runsOn(found.upstream.Instance):
		d.g.control.Send(func(s *state) { s.returnTarget(d.q, found) })
		d.logKept(to, i, errRunsThere)
		d.schedule(d.checks + 1)
	default:
		d.open(newStreamAttempt(d.g, d.q, found), to, i, lastEventAt)
	}
}

// open makes the next attempt beside this one, which ends because of stage i once
// the next one has begun to answer. The caller holds mu, which is released
// meanwhile.
func (d *stallDetector) open(next *streamAttempt, to target, i int, lastEventAt time.Duration) {
	if d.stopped || d.continues(lastEventAt) {
		next.discard()
		return
	}
	ctx, ok := d.handover.beginOpen()
	if !ok {
		next.discard()
		return
	}
	defer d.handover.searches.Done()
	place, resumeAfter := d.place, d.place.lastID(d.resumeAfter)
	var opened *streamAttempt
	var err error
	d.unlocked(func() { opened, err = openNext(ctx, next, resumeAfter, place) })
	d.handover.endOpen()
	switch {
	case err == nil && ctx.Err() == nil:
		d.accept(opened, to, i, lastEventAt)
	case err == nil:
		opened.discard()
	case ctx.Err() == nil:
		d.logKept(to, i, err)
		d.schedule(d.checks + 1)
	}
}

// openNext makes an attempt, and those that succeed it, until one of them has begun
// to answer. The error is that of the last one. None is left behind by a panic.
func openNext(ctx context.Context, next *streamAttempt, resumeAfter string, after eventSequence) (*streamAttempt, error) {
	// opening is the attempt that a panic would leave behind.
	var opening *streamAttempt
	defer func() {
		if opening != nil {
			opening.discard()
		}
	}()
	for {
		opening = next
		next.begin(ctx, resumeAfter, after)
		err := next.open()
		opening = nil
		if err == nil {
			return next, nil
		}
		if next = next.end(err); next == nil {
			return nil, err
		}
		if next.begun() {
			return next, nil
		}
	}
}

// accept ends the attempt because of stage i in favour of the next one, which is
// discarded if the attempt continues or is over. The caller holds mu.
func (d *stallDetector) accept(next *streamAttempt, to target, i int, lastEventAt time.Duration) {
	if d.stopped || d.continues(lastEventAt) {
		next.discard()
		return
	}
	d.successor = next
	if !d.ended {
		d.abort(to, i)
	}
}
