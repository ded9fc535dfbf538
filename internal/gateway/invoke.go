package gateway

import (
	"context"
	"net/http"
	"time"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// maxAnswerBytes bounds the answer of a plain service, which is kept in memory
// until it is whole.
const maxAnswerBytes = 512 << 10

// callSilence is how long an upstream may take over an idempotent call before
// another is tried.
const callSilence = 200 * time.Millisecond

// call is one call to a plain service.
type call struct {
	*query
	g *Gateway
	// failed is an upstream's own failure, which the caller gets if no other
	// upstream can be tried.
	failed     *answer
	failedBody []byte
}

// invoke carries a call to a plain service.
func (g *Gateway) invoke(ctx context.Context, w http.ResponseWriter, q *query) {
	c := &call{query: q, g: g}
	for {
		a, body, err := c.attempt(ctx)
		if err == nil {
			c.answer(w, a, body)
			return
		}
		e := verdict.Of(err)
		if ctx.Err() != nil {
			e = ended(ctx, q)
		}
		if q.mayGoOn(ctx, e, g.Now()) {
			continue
		}
		if c.failed != nil {
			c.answer(w, c.failed, c.failedBody)
			return
		}
		g.refuse(w, q, e)
		return
	}
}

// answer gives the caller an upstream's answer.
func (c *call) answer(w http.ResponseWriter, a *answer, body []byte) {
	c.noteEvent(c.g.Now())
	c.g.metrics.first.WithLabelValues(c.service).Observe(c.firstEvent.Seconds())
	c.g.logEnd(c.query, a.head.Status, nil)
	c.g.writeAnswer(w, a, body)
}

// attempt makes one attempt and reads the whole answer.
func (c *call) attempt(ctx context.Context) (*answer, []byte, error) {
	g, q := c.g, c.query
	if c.failed != nil {
		// An answer is there already: nobody waits for a place.
		q.waitUntil = g.Now()
	}
	p, err := g.place(ctx, q)
	if err != nil {
		return nil, nil, err
	}
	defer g.control.Send(func(s *state) { s.give(q, p) })
	if q.route.Kind == routing.Idempotent && len(q.ranOn)+1 < q.route.MaxUpstreams {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callSilence)
		defer cancel()
	}
	began := g.Now()
	a, err := g.send(ctx, q, p, "")
	if err != nil {
		return nil, nil, g.silent(p, err)
	}
	defer a.Close()
	body, err := a.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		return nil, nil, g.failed(q, p, err, a.head)
	}
	took := g.Now() - began
	g.control.Send(func(s *state) { s.health.RecordLatency(p.upstream.Instance, took, g.Now()) })
	if a.head.Status < http.StatusInternalServerError {
		g.control.Send(func(s *state) { s.health.RecordResult(p.upstream.Instance, false, g.Now()) })
		return a, body, nil
	}
	err = g.failed(q, p, &verdict.Error{Run: verdict.Ran, Reason: verdict.UpstreamLost, Message: "upstream failed"}, a.head)
	if q.route.Kind != routing.Idempotent {
		return a, body, nil
	}
	c.failed, c.failedBody = a, body
	return nil, nil, err
}

// silent notes an upstream that let a call wait for too long.
func (g *Gateway) silent(p place, err error) error {
	if verdict.Of(err).Reason == verdict.UpstreamSilent {
		g.control.Send(func(s *state) { s.blameFor(p.upstream, health.Silent, g.Now()) })
	}
	return err
}
