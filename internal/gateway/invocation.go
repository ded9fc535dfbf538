package gateway

import (
	"context"
	"net/http"
	"time"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// maxResponseBytes bounds the response of a service without engine, which is
// buffered until it is complete.
const maxResponseBytes = 512 << 10

// callAttemptTimeout bounds one attempt of an idempotent call, after which
// another upstream is tried.
const callAttemptTimeout = 200 * time.Millisecond

// invocation is one call to a service without engine.
type invocation struct {
	*request
	g *Gateway
	// failure is an upstream's own error response, which is passed to the
	// caller if no other upstream can be tried.
	failure     *response
	failureBody []byte
}

// invoke forwards a call to a service without engine.
func (g *Gateway) invoke(ctx context.Context, w http.ResponseWriter, q *request) {
	c := &invocation{request: q, g: g}
	for {
		resp, body, err := c.attempt(ctx)
		if err == nil {
			c.respond(w, resp, body)
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
			c.respond(w, c.failure, c.failureBody)
			return
		}
		g.refuse(w, q, e)
		return
	}
}

// respond passes an upstream's response to the caller.
func (c *invocation) respond(w http.ResponseWriter, resp *response, body []byte) {
	c.recordEvent(c.g.Now())
	c.g.metrics.firstByte.WithLabelValues(c.service).Observe(c.firstEvent.Seconds())
	c.g.logOutcome(c.request, resp.head.Status, nil)
	c.g.writeResponse(w, resp, body)
}

// attempt makes one attempt and reads the whole response.
func (c *invocation) attempt(ctx context.Context) (*response, []byte, error) {
	g, q := c.g, c.request
	if c.failure != nil {
		// The caller can be given the failure: do not wait for another target.
		q.queueDeadline = g.Now()
	}
	to, err := g.acquireTarget(ctx, q)
	if err != nil {
		return nil, nil, err
	}
	defer g.control.Send(func(s *state) { s.release(q, to) })
	if q.route.Kind == routing.Idempotent && q.upstreamsRun()+1 < q.route.MaxUpstreams {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callAttemptTimeout)
		defer cancel()
	}
	began := g.Now()
	resp, err := g.send(ctx, q, to, "")
	if err != nil {
		return nil, nil, g.recordSlowResponse(to, err, began)
	}
	defer resp.Close()
	body, err := resp.ReadAll(ctx, maxResponseBytes)
	if err != nil {
		return nil, nil, g.recordFailure(q, to, err, resp.head)
	}
	took := g.Now() - began
	g.control.Send(func(s *state) { s.health.RecordLatency(to.upstream.Instance, took, g.Now()) })
	if resp.head.Status < http.StatusInternalServerError {
		g.control.Send(func(s *state) { s.health.RecordResult(to.upstream.Instance, false, g.Now()) })
		return resp, body, nil
	}
	err = g.recordFailure(q, to, &verdict.Error{Run: verdict.Ran, Reason: verdict.UpstreamLost, Message: "upstream failed"}, resp.head)
	if q.route.Kind != routing.Idempotent {
		return resp, body, nil
	}
	c.failure, c.failureBody = resp, body
	return nil, nil, err
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
