package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/coordination/route"
	"lovageport.example/pkg/verdict"
)

// placer gets the places of one request's attempts.
type placer struct {
	entry   *Entry
	request *dispatch.Request
	replies chan reply
	// submitted says that the first submission was made on opening.
	submitted bool
}

// reply is the dispatcher's answer to a submission.
type reply struct {
	place dispatch.Placement
	err   error
}

func (e *Entry) newPlacer(r *dispatch.Request, timeout time.Duration) *placer {
	p := &placer{entry: e, request: r, replies: make(chan reply, 1)}
	now := time.Now()
	r.Deadline = now.Add(timeout)
	r.QueueDeadline = now.Add(min(timeout, e.Settings.Requests.QueueTimeout.Duration))
	r.Reply = func(place dispatch.Placement, err error) { p.replies <- reply{place, err} }
	return p
}

var errStopped = verdict.RefuseUntil(time.Second, verdict.Draining, "entry has stopped")

// open takes the request in.
func (p *placer) open() error { return p.enter(false) }

// openAndSubmit takes the request in and asks for its first place at once,
// which saves the way to the control loop and back.
func (p *placer) openAndSubmit() error { return p.enter(true) }

func (p *placer) enter(submit bool) error {
	var err error
	ran := p.entry.control.Do(func(s *state) {
		now := time.Now()
		if err = s.dispatcher.Open(p.request, now); err == nil && submit {
			p.submitted = true
			s.dispatcher.Submit(p.request, now)
		}
	})
	if !ran {
		return errStopped
	}
	return err
}

// close lets the request go.
func (p *placer) close() {
	p.entry.control.Do(func(s *state) { s.dispatcher.Close(p.request) })
}

// place waits for the place of the next attempt.
func (p *placer) place(ctx context.Context) (dispatch.Placement, error) {
	if !p.submit() {
		return dispatch.Placement{}, errStopped
	}
	select {
	case r := <-p.replies:
		return r.place, r.err
	case <-ctx.Done():
	}
	p.entry.control.Do(func(s *state) { s.dispatcher.Cancel(p.request) })
	select {
	case r := <-p.replies:
		// The place came in the same moment; nothing was sent there.
		if r.err == nil {
			p.finish(ctx, r.place, dispatch.Outcome{Fault: dispatch.Abandoned})
		}
	default:
	}
	return dispatch.Placement{}, goneError(ctx, &verdict.Error{Run: verdict.NotRun})
}

// submit asks for a place, unless that was done on opening. It says whether
// the control loop runs.
func (p *placer) submit() bool {
	if p.submitted {
		p.submitted = false
		return true
	}
	return p.entry.control.Do(func(s *state) { s.dispatcher.Submit(p.request, time.Now()) })
}

// finish ends an attempt. A crash is told to the peers before the request goes
// on.
func (p *placer) finish(ctx context.Context, place dispatch.Placement, outcome dispatch.Outcome) {
	p.entry.control.Do(func(s *state) {
		now := time.Now()
		if !outcome.Fault.Neutral() {
			// The next attempt may wait as long as a fresh request. One that was
			// refused before it ran is still in its first wait.
			p.request.QueueDeadline = now.Add(p.entry.Settings.Requests.QueueTimeout.Duration)
			p.request.IsRetry = outcome.Fault != dispatch.Unreachable
		}
		s.dispatcher.Finish(place.ID, outcome, now)
	})
	if outcome.Fault == dispatch.Crashed {
		p.entry.alarm(ctx)
	}
}

// logFailure logs an attempt that failed.
func (p *placer) logFailure(place dispatch.Placement, e *verdict.Error, more ...zap.Field) {
	p.entry.Log.Info("attempt failed", append(more,
		zap.String("request", p.request.ID),
		zap.Int("attempt", p.request.Attempts),
		zap.String("account", p.request.Account.Name),
		zap.String("upstream", e.Upstream),
		zap.Stringer("verdict", e.Run),
		zap.String("reason", string(e.Reason)),
		zap.Int64("generation", place.Generation),
		zap.Error(e.Err))...)
}

// mayUse says whether all upstreams of a chain may still get new work.
func (e *Entry) mayUse(chain route.Chain) bool {
	v := e.control.view.Load()
	for _, s := range chain {
		if v.withdrawn[s.Upstream.Name] || v.leaving[s.Upstream.Name] {
			return false
		}
	}
	return true
}
