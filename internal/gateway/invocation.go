package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// maxResponseBytes bounds the response of a service without engine, which is
// buffered until it is complete.
const maxResponseBytes = 512 << 10

// callAttemptTimeout is the time after which an attempt of an idempotent call is
// slow: another one is then made beside it.
const callAttemptTimeout = 200 * time.Millisecond

// invocation is one call to a service without engine. A slow attempt goes on
// beside the next one, since its upstream may still answer, and the next one may
// not be permitted, or fail. The first good answer is passed on.
type invocation struct {
	*request
	g        *Gateway
	handover handover
	// running is the number of attempts without outcome. The last attempt began at
	// the boot time lastBegan, on lastTarget; lastSlow reports whether it was found
	// to be slow.
	running    int
	lastBegan  time.Duration
	lastTarget target
	lastSlow   bool
	// outcomes receives the outcome of each attempt.
	outcomes chan callOutcome
	// searches receives the result of each search for the next target beside a
	// running attempt; searching reports whether one is under way.
	searches  chan admissionResult
	searching bool
	// failure is an upstream's own error response, which is passed to the
	// caller if no other upstream can be tried.
	failure *callResponse
}

// callResponse is a whole response to a call.
type callResponse struct {
	*response
	body []byte
}

// callOutcome is the outcome of an attempt: a response, or why there is none. A
// response with an error is the upstream's own failure.
type callOutcome struct {
	response *callResponse
	err      error
}

// invoke forwards a call to a service without engine.
func (g *Gateway) invoke(ctx context.Context, w http.ResponseWriter, q *request) {
	c := &invocation{
		request: q, g: g, handover: handover{g: g, q: q},
		outcomes: make(chan callOutcome, maxAttempts), searches: make(chan admissionResult, 1),
	}
	// The other attempts end with the first good answer.
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		resp, err := c.try(ctx, attempts)
		if err == nil {
			c.respond(w, resp)
			return
		}
		e := verdict.Of(err)
		if ctx.Err() != nil {
			e = contextError(ctx, q)
		}
		if q.mayRetry(ctx, e, g.Now()) {
			continue
		}
		if c.failure != nil {
			c.respond(w, c.failure)
			return
		}
		g.refuse(w, q, e)
		return
	}
}

// respond passes an upstream's response to the caller.
func (c *invocation) respond(w http.ResponseWriter, resp *callResponse) {
	c.recordEvent(c.g.Now())
	c.g.metrics.firstByte.WithLabelValues(c.service).Observe(c.firstEvent.Seconds())
	c.g.logOutcome(c.request, resp.head.Status, nil)
	c.g.writeResponse(w, resp.response, resp.body)
}

// try makes an attempt, and others beside it while it is slow, until one of them
// succeeds or none runs any more. The attempts end with the context attempts.
func (c *invocation) try(ctx, attempts context.Context) (*callResponse, error) {
	if c.failure != nil {
		// The caller can be given the failure: do not wait for another target.
		c.closeQueue(c.g.Now())
	}
	to, err := c.g.acquireTarget(ctx, c.request)
	if err != nil {
		return nil, err
	}
	defer c.stopSearch()
	c.start(attempts, to)
	slow := time.NewTimer(callAttemptTimeout)
	defer slow.Stop()
	for {
		select {
		case o := <-c.outcomes:
			c.running--
			if o.err == nil {
				return o.response, nil
			}
			if o.response != nil {
				c.failure = o.response
			}
			if c.running == 0 {
				return nil, o.err
			}
			c.search()
		case found := <-c.searches:
			c.searching = false
			slow.Reset(callAttemptTimeout)
			if found.err != nil {
				c.logKept(found.err)
				continue
			}
			c.start(attempts, found.target)
		case <-slow.C:
			slow.Reset(callAttemptTimeout)
			if c.recordSlow() {
				c.search()
			}
		}
	}
}

// start starts an attempt. No other one is made on its upstream.
func (c *invocation) start(ctx context.Context, to target) {
	c.running++
	c.lastBegan, c.lastTarget, c.lastSlow = c.g.Now(), to, false
	c.g.control.Send(func(*state) { c.exclude(to.upstream.Instance) })
	go func() {
		var o callOutcome
		if err := c.g.containFor(c.request, func() { o.response, o.err = c.attempt(ctx, to) }); err != nil {
			o = callOutcome{err: err}
		}
		c.g.control.Send(func(s *state) { s.release(c.request, to) })
		c.outcomes <- o
	}()
}

// search begins a search for the target of another attempt, unless one is under
// way.
func (c *invocation) search() {
	if c.searching {
		return
	}
	ctx, ok := c.handover.begin()
	if !ok {
		return
	}
	c.searching = true
	go func() {
		var found admissionResult
		if err := c.g.containFor(c.request, func() { found.target, found.err = c.handover.find(ctx) }); err != nil {
			found = admissionResult{err: err}
		}
		c.searches <- found
	}()
}

// stopSearch ends the search that is under way, if any. A target that it has found
// is returned.
func (c *invocation) stopSearch() {
	if !c.searching {
		return
	}
	c.searching = false
	c.handover.drop()
	if found := <-c.searches; found.err == nil {
		c.g.control.Send(func(s *state) { s.returnTarget(c.request, found.target) })
	}
}

// recordSlow reports whether another attempt may be made beside the last one,
// which has not been answered in time, and if so ejects its upstream, unless this
// process has stood still meanwhile, so that the answer may have arrived.
func (c *invocation) recordSlow() bool {
	now := c.g.Now()
	stoodStill := c.g.pauses.Stalled(c.lastBegan, now)
	u := c.lastTarget.upstream
	if c.route.Kind != routing.Idempotent {
		c.g.control.Send(func(s *state) { s.checkPath(u.Address, now) })
		return false
	}
	allowed := false
	c.g.control.Do(func(s *state) {
		allowed = !s.atUpstreamLimit(c.request)
		if allowed && !c.lastSlow && !stoodStill {
			s.health.RecordResult(u.Instance, true, now)
			s.eject(u, health.Silent, now)
		}
	})
	if allowed && !c.lastSlow {
		c.lastSlow = true
		c.g.Log.Info("call slow", zap.String("request", c.ID), zap.String("upstream", u.Instance), zap.Duration("for", now-c.lastBegan), zap.Bool("stood_still", stoodStill))
	}
	return allowed
}

// logKept logs that a slow attempt goes on alone, because no other one may be made.
func (c *invocation) logKept(err error) {
	c.g.Log.Info("slow call kept", zap.String("request", c.ID), zap.String("upstream", c.lastTarget.upstream.Instance),
		zap.Duration("for", c.g.Now()-c.lastBegan), zap.Error(err))
}

// attempt makes one attempt and reads the whole response. An error with a response
// is the upstream's own failure of a call that may be repeated.
func (c *invocation) attempt(ctx context.Context, to target) (*callResponse, error) {
	g, q := c.g, c.request
	began := g.Now()
	resp, err := g.send(ctx, q, to, "")
	if err != nil {
		return nil, g.recordSlowResponse(to, err, began)
	}
	defer resp.Close()
	body, err := resp.ReadAll(ctx, maxResponseBytes)
	if err != nil {
		return nil, g.recordFailure(q, to, err, resp.head)
	}
	q.memory.hold(resp.TakeShare())
	whole := &callResponse{resp, body}
	took := g.Now() - began
	g.control.Send(func(s *state) { s.health.RecordLatency(to.upstream.Instance, took, g.Now()) })
	if resp.head.Status < http.StatusInternalServerError {
		g.control.Send(func(s *state) { s.health.RecordResult(to.upstream.Instance, false, g.Now()) })
		return whole, nil
	}
	err = g.recordFailure(q, to, &verdict.Error{Run: verdict.Ran, Reason: verdict.UpstreamLost, Message: "upstream failed"}, resp.head)
	if q.route.Kind != routing.Idempotent {
		return whole, nil
	}
	return whole, err
}

// recordSlowResponse ejects an upstream that did not answer in time a call that
// began at a boot time, and returns err. If this process has stood still
// meanwhile, the answer may have arrived.
func (g *Gateway) recordSlowResponse(to target, err error, began time.Duration) error {
	if verdict.Of(err).Reason == verdict.UpstreamSilent && !g.pauses.Stalled(began, g.Now()) {
		g.control.Send(func(s *state) { s.eject(to.upstream, health.Silent, g.Now()) })
	}
	return err
}
