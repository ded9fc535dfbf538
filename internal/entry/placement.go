package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// placementClient registers one request with the dispatcher and obtains a
// placement for each of its attempts.
type placementClient struct {
	entry   *Entry
	request *dispatch.Request
	results chan placementResult
	// preSubmitted reports whether openAndSubmit has already made the next
	// submission.
	preSubmitted bool
}

// placementResult is the dispatcher's response to a submission.
type placementResult struct {
	placement dispatch.Placement
	err       error
}

// newPlacementClient returns a client for a request that is accepted now and asks
// for cost tokens.
func (e *Entry) newPlacementClient(id string, account *declaration.Account, pool *catalog.Pool, content []byte, cost int, timeout time.Duration) *placementClient {
	results := make(chan placementResult, 1)
	now := time.Now()
	return &placementClient{entry: e, results: results, request: &dispatch.Request{
		ID:            id,
		Pool:          pool.Name,
		Accepted:      pool,
		Account:       account,
		Fingerprint:   quarantine.Fingerprint(account.Name, pool.Name, content),
		Cost:          cost,
		Deadline:      now.Add(timeout),
		QueueDeadline: now.Add(min(timeout, e.Settings.Requests.QueueTimeout.Duration)),
		Reply:         func(placement dispatch.Placement, err error) { results <- placementResult{placement, err} },
	}}
}

var errStopped = verdict.RefuseUntil(time.Second, verdict.Draining, "entry has stopped")

// open registers the request with the dispatcher, or returns why it is refused.
func (p *placementClient) open() error { return p.register(false) }

// openAndSubmit registers the request and asks for its first placement in one
// step, which saves a round trip to the control loop.
func (p *placementClient) openAndSubmit() error { return p.register(true) }

func (p *placementClient) register(submit bool) error {
	var err error
	ran := p.entry.control.Do(func(s *state) {
		now := time.Now()
		if err = s.dispatcher.Open(p.request, now); err == nil && submit {
			p.preSubmitted = true
			s.dispatcher.Submit(p.request, now)
		}
	})
	if !ran {
		return errStopped
	}
	return err
}

// close removes the request from the dispatcher.
func (p *placementClient) close() {
	p.entry.control.Do(func(s *state) { s.dispatcher.Close(p.request) })
}

// acquire waits for the placement of the next attempt.
func (p *placementClient) acquire(ctx context.Context) (dispatch.Placement, error) {
	if !p.submit() {
		return dispatch.Placement{}, errStopped
	}
	select {
	case r := <-p.results:
		return r.placement, r.err
	case <-ctx.Done():
	}
	p.entry.control.Do(func(s *state) { s.dispatcher.Cancel(p.request) })
	select {
	case r := <-p.results:
		// The placement arrived while ctx ended; nothing was sent to it.
		if r.err == nil {
			p.finish(ctx, r.placement, dispatch.Outcome{Fault: dispatch.Abandoned})
		}
	default:
	}
	return dispatch.Placement{}, contextError(ctx, &verdict.Error{Run: verdict.NotRun})
}

// acquireBeside waits for the placement of an attempt beside one that runs and is
// silent. It avoids the upstream called silent, unless that is empty.
func (p *placementClient) acquireBeside(ctx context.Context, silent string) (dispatch.Placement, error) {
	ran := p.entry.control.Do(func(s *state) {
		p.request.QueueDeadline = time.Now().Add(p.entry.Settings.Requests.QueueTimeout.Duration)
		p.request.IsRetry = true
		p.request.Silent = silent
	})
	if !ran {
		return dispatch.Placement{}, errStopped
	}
	defer p.entry.control.Do(func(*state) { p.request.Silent = "" })
	return p.acquire(ctx)
}

// submit asks for a placement, unless openAndSubmit has done so. It reports
// whether the control loop is running.
func (p *placementClient) submit() bool {
	if p.preSubmitted {
		p.preSubmitted = false
		return true
	}
	return p.entry.control.Do(func(s *state) { s.dispatcher.Submit(p.request, time.Now()) })
}

// finish reports the outcome of an attempt to the dispatcher. After a crash, it
// notifies the peers before the request continues.
func (p *placementClient) finish(ctx context.Context, placement dispatch.Placement, outcome dispatch.Outcome) {
	p.entry.control.Do(func(s *state) {
		now := time.Now()
		if !outcome.Fault.Neutral() {
			// The next attempt may wait as long as a new request does. One that
			// has not been sent does not count as a retry.
			p.request.QueueDeadline = now.Add(p.entry.Settings.Requests.QueueTimeout.Duration)
			p.request.IsRetry = !outcome.Fault.Unsent()
		}
		s.dispatcher.Finish(placement.ID, outcome, now)
	})
	if outcome.Fault == dispatch.Crashed {
		p.entry.notifyPeers(ctx)
	}
}

// logFailure logs a failed attempt.
func (p *placementClient) logFailure(placement dispatch.Placement, e *verdict.Error, extra ...zap.Field) {
	p.entry.Log.Info("attempt failed", append(extra,
		zap.String("request", p.request.ID),
		zap.Int("attempt", p.request.Attempts),
		zap.String("account", p.request.Account.Name),
		zap.String("upstream", e.Upstream),
		zap.Stringer("verdict", e.Run),
		zap.String("reason", string(e.Reason)),
		zap.Int64("generation", placement.Generation),
		zap.Error(e.Err))...)
}

// chainAvailable reports whether no upstream of a chain is withdrawn or leaving.
func (e *Entry) chainAvailable(chain route.Chain) bool {
	v := e.control.view.Load()
	for _, s := range chain {
		if v.withdrawn[s.Upstream.Name] || v.leaving[s.Upstream.Name] {
			return false
		}
	}
	return true
}
