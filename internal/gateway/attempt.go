package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
)

// answer is an upstream's answer whose head has been checked.
type answer struct {
	*http1.Response
	head relay.Answer
}

// send makes one attempt and checks the head of the answer. The error is a
// [verdict.Error]; it has been noted with the upstream at fault.
func (g *Gateway) send(ctx context.Context, q *query, p place, resumeAfter string) (*answer, error) {
	if !g.maySend(p) {
		return nil, g.failed(q, p, heldOff(), relay.Answer{})
	}
	call := &relay.Call{
		Upstream:    p.upstream,
		Chain:       p.chain,
		Method:      q.http.Method,
		URI:         q.http.RequestURI,
		Host:        q.http.Host,
		Header:      q.http.Header,
		Body:        q.body,
		Account:     q.account,
		Left:        q.deadline - g.Now(),
		Rank:        q.rank,
		ResumeAfter: resumeAfter,
	}
	a, err := g.exchange(ctx, call)
	if err != nil {
		return nil, g.failed(q, p, err, relay.Answer{})
	}
	head := a.head
	switch {
	case head.Request != "" && head.Request != q.ID:
		// What it says, also that it did not run, is about that one.
		a.Close()
		return nil, g.failed(q, p, protocolError("answer to another request"), relay.Answer{Status: head.Status})
	case head.NotRun:
		a.Close()
		q.sent = true
		return nil, g.failed(q, p, &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamBusy, Message: "upstream refused"}, head)
	case head.Encoded, head.Status/100 == 2 && !head.Signed:
		a.Close()
		return nil, g.failed(q, p, protocolError("answer is not the upstream's own"), head)
	}
	q.sent = true
	q.noteRun(p.upstream.Instance)
	q.first = p.upstream.Instance
	return a, nil
}

func protocolError(message string) *verdict.Error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamProtocol, Message: message}
}

// heldOff returns the error of a call that was not sent because its upstream
// wants none from this VM.
func heldOff() *verdict.Error {
	return &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamBusy, Message: "upstream wants no calls"}
}

// exchange sends a call and reads the head of the answer.
func (g *Gateway) exchange(ctx context.Context, c *relay.Call) (*answer, error) {
	if !g.mayCall(c.Upstream) {
		return nil, heldOff()
	}
	a, err := g.pool.Do(ctx, &http1.Request{
		Address: c.Upstream.Address,
		Method:  c.Method,
		URI:     c.URI,
		Host:    c.Host,
		Header:  platform.EncodeCallHeader(c),
		Body:    c.Body,
	})
	if err != nil {
		return nil, err
	}
	out := &answer{Response: a, head: platform.DecodeResponse(a.Status, a.Header)}
	a.SetKeepAlive(out.head.KeepAlive)
	g.noteAnswer(c.Upstream, out.head)
	return out, nil
}

// failed notes a failed attempt: what it says of the request, and which
// upstream is at fault.
func (g *Gateway) failed(q *query, p place, err error, head relay.Answer) error {
	e := verdict.Of(err)
	if e.Run != verdict.NotRun {
		q.sent = true
		q.noteRun(p.upstream.Instance)
	}
	if e.Reason == verdict.CallerGone {
		return e
	}
	if e.Reason == verdict.UpstreamLost && head.Status == 0 {
		g.checkCrash(context.Background(), q, p.upstream)
	}
	g.control.Do(func(s *state) { s.blame(q, p, e, head, g.Now()) })
	g.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	g.Log.Info("attempt failed", zap.String("request", q.ID), zap.Int("attempt", q.attempts),
		zap.String("upstream", p.upstream.Instance), zap.String("at_fault", e.Upstream), zap.Int("status", head.Status),
		zap.String("reason", string(e.Reason)), zap.Stringer("verdict", e.Run), zap.Duration("took", g.Now()-q.arrived), zap.Error(e))
	return e
}

// blame finds the upstream at fault and leaves it alone for a while. It runs
// in the control loop.
func (s *state) blame(q *query, p place, e *verdict.Error, head relay.Answer, now time.Duration) {
	e.Upstream = p.upstream.Instance
	if e.Reason == verdict.UpstreamProtocol {
		s.health.RequestProbe(p.upstream.Instance, now)
	}
	fault, found := faultOf(e, head)
	if p.chain == nil {
		s.health.RecordResult(p.upstream.Instance, e.Run != verdict.NotRun, now)
		q.shun(p.upstream.Instance)
		if found {
			s.blameFor(p.upstream, fault, now)
		}
		return
	}
	at := 0
	if head.AtFault != "" {
		at = max(0, stageAt(p, head.AtFault))
	}
	u := p.chain[at].Upstream
	e.Upstream = u.Instance
	q.shun(u.Instance)
	if e.Run == verdict.Ran {
		s.health.RecordResult(u.Instance, true, now)
	}
	if found {
		s.blameFor(u, fault, now)
	}
	if fault == health.Full && head.AtFault != "" {
		// It may also be dead or leaving; only its own answer tells.
		s.health.RequestProbe(u.Instance, now)
	}
}

// blameSilent notes the stage that a silent generation waits for. If it was
// called from another zone the link may be at fault: the stage is then asked
// itself before it is left alone, unless it is beyond the link.
func (s *state) blameSilent(q *query, p place, at int, now time.Duration) {
	u := p.chain[at].Upstream
	q.shun(u.Instance)
	from := s.zone
	if at > 0 {
		from = p.chain[at-1].Upstream.Zone
	}
	if s.links.MarkSuspect(from, u.Zone, now) {
		s.log.Info("link between zones doubted", zap.String("from", from), zap.String("to", u.Zone), zap.String("upstream", u.Instance))
	}
	if from != u.Zone && u.Zone == s.zone {
		s.health.RequestProbe(u.Instance, now)
		return
	}
	s.blameFor(u, health.Stalled, now)
}

// blameFor leaves an upstream alone for a fault.
func (s *state) blameFor(u *fleet.Upstream, f health.Fault, now time.Duration) {
	if s.health.RecordFault(u.Instance, f, now) {
		s.log.Info("upstream left alone", zap.String("upstream", u.Instance), zap.String("zone", u.Zone), zap.Stringer("fault", f), zap.Duration("list_age", now-s.listedAt))
	}
	if f.NoAnswer() && s.links.RecordLoss(s.zone, u.Zone, u.Instance, now) {
		s.log.Info("link between zones doubted", zap.String("from", s.zone), zap.String("to", u.Zone), zap.String("upstream", u.Instance))
	}
}

// faultOf returns what a failed attempt says of the upstream at fault. It says
// false if that upstream stays in use.
func faultOf(e *verdict.Error, head relay.Answer) (health.Fault, bool) {
	switch {
	case e.Reason == verdict.UpstreamRefused:
		return health.Unreachable, true
	case head.WrongInstance:
		return health.Misplaced, true
	case head.NotRun:
		return health.Full, true
	}
	return 0, false
}
