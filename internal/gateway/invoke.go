package gateway

import (
	"context"
	"net/http"
	"time"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 16 << 20

// callSilence is how long an upstream may take over an idempotent call before
// another is tried.
const callSilence = 200 * time.Millisecond

// invoke carries a call to a plain service.
func (g *Gateway) invoke(ctx context.Context, w http.ResponseWriter, q *query) {
	for {
		a, body, err := g.callOnce(ctx, q)
		if err == nil {
			g.metrics.first.WithLabelValues(q.service).Observe((g.Now() - q.arrived).Seconds())
			g.logEnd(q, a.head.Status, nil)
			g.writeAnswer(w, a, body)
			return
		}
		e := verdict.Of(err)
		if ctx.Err() != nil {
			e = ended(ctx, q)
		}
		if !mayCallAgain(ctx, q, e) {
			g.refuse(w, q, e)
			return
		}
	}
}

// mayCallAgain says whether another attempt is allowed after one that failed.
func mayCallAgain(ctx context.Context, q *query, e *verdict.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	switch e.Reason {
	case verdict.DeadlineUnmeetable, verdict.QueueFull, verdict.RetryBudget, verdict.RetryLimit, verdict.CallerGone:
		return false
	}
	return !q.mayHaveRun() || q.route.Repeatable()
}

// callOnce makes one attempt and reads the whole answer.
func (g *Gateway) callOnce(ctx context.Context, q *query) (*answer, []byte, error) {
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
	a, err := g.send(ctx, q, p, "")
	if err != nil {
		return nil, nil, g.silent(q, p, err)
	}
	defer a.Close()
	body, err := a.ReadAll(ctx, maxAnswerBytes)
	if err != nil {
		return nil, nil, g.failed(q, p, err, a.head)
	}
	failed := a.head.Status >= http.StatusInternalServerError
	g.control.Send(func(s *state) { s.health.Result(p.upstream.Instance, failed, g.Now()) })
	if failed && q.route.Kind == routing.Idempotent && len(q.ranOn) < q.route.MaxUpstreams {
		return nil, nil, g.failed(q, p, &verdict.Error{Run: verdict.Ran, Reason: verdict.UpstreamLost, Message: "upstream failed"}, a.head)
	}
	return a, body, nil
}

// silent notes an upstream that let a call wait for too long.
func (g *Gateway) silent(q *query, p place, err error) error {
	if verdict.Of(err).Reason == verdict.UpstreamSilent {
		g.control.Send(func(s *state) { s.blameFor(p.upstream, health.Unreachable, g.Now()) })
	}
	return err
}
