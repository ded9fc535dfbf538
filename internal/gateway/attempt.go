package gateway

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
)

// response is an upstream's response whose header has been checked.
type response struct {
	*http1.Response
	head relay.ResponseHead
	// began is the boot time at which the call began.
	began time.Duration
}

// send makes one attempt and checks the header of the response. The error is a
// [verdict.Error] and has been recorded for the upstream at fault.
func (g *Gateway) send(ctx context.Context, q *request, to target, resumeAfter string) (*response, error) {
	return g.sendOn(ctx, q, to, resumeAfter, nil)
}

// sendOn is like send and calls onConn with the connection that is used, if not nil.
func (g *Gateway) sendOn(ctx context.Context, q *request, to target, resumeAfter string, onConn func(net.Conn)) (*response, error) {
	defer q.endSend(to.upstream.Instance)
	if !g.maySend(to) {
		return nil, g.recordFailure(q, to, heldOffError(), relay.ResponseHead{})
	}
	call := &relay.Call{
		Upstream:    to.upstream,
		Request:     q.ID,
		Fresh:       q.ID == "",
		Chain:       to.chain,
		Method:      q.http.Method,
		URI:         q.http.RequestURI,
		Host:        q.http.Host,
		Header:      q.http.Header,
		Body:        q.body,
		Account:     q.account,
		Timeout:     q.deadline - g.Now(),
		Priority:    q.rank,
		ResumeAfter: resumeAfter,
	}
	began := g.Now()
	resp, err := g.exchangeCounted(ctx, call, onConn)
	if err != nil {
		return nil, g.recordFailure(q, to, g.localError(err, began), relay.ResponseHead{})
	}
	head := resp.head
	switch {
	case head.NotRun:
		// Closed unread, the connection is not kept: written once more, the
		// refusal would state the ID of the next attempt too.
		resp.Close()
		q.recordRefusal()
		return nil, g.recordFailure(q, to, &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamBusy, Message: "upstream refused"}, head)
	case head.ContentEncoded, head.Status/100 == 2 && !head.FromUpstream:
		resp.Close()
		return nil, g.recordFailure(q, to, protocolError("answer is not the upstream's own"), head)
	}
	q.recordResponse(to.upstream.Instance)
	return resp, nil
}

// isForeign reports whether the response may be one to another call than c. It
// is c's own if it states the ID of c; a response without ID is only if nothing
// before it on its connection was another call's. A call without ID shares its
// connections with calls that have one, whose responses state theirs.
func (r *response) isForeign(c *relay.Call) bool {
	return r.head.Request != c.Request && (r.head.Request != "" || r.Reused)
}

// isProven reports whether the response, which is not foreign, is shown to be one to
// c: by its ID, or because nothing before it on its connection was another call's.
func (r *response) isProven(c *relay.Call) bool { return c.Request != "" || !r.Reused }

func protocolError(message string) *verdict.Error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamProtocol, Message: message}
}

// heldOffError returns the error of a call that was not sent because its
// upstream has asked this VM for no calls, or takes no more of them now.
func heldOffError() *verdict.Error {
	return &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamBusy, Message: "upstream wants no calls"}
}

// exchange sends a call of the gateway's own and reads the header of the response, like
// exchangeCounted. The call counts against the limit of the upstream.
func (g *Gateway) exchange(ctx context.Context, c *relay.Call) (*response, error) {
	return g.exchangeOn(ctx, c, nil)
}

// exchangeOn is like exchange and calls onConn with the connection that is used, if not
// nil.
func (g *Gateway) exchangeOn(ctx context.Context, c *relay.Call, onConn func(net.Conn)) (*response, error) {
	if !g.mayCall(c.Upstream) || !g.takeOwnCall(c.Upstream) {
		return nil, heldOffError()
	}
	return g.exchangeCounted(ctx, c, onConn)
}

// exchangeCounted sends a call that was counted against the limit of its upstream, if that
// has one, and reads the header of the response. It fails if the response may be another
// call's: whatever its header says, such as that nothing ran or that the upstream is
// leaving, is then about that call. Notices of a response that is not shown to be the
// call's are not recorded. If onConn is not nil, it is called with the connection that is
// used.
func (g *Gateway) exchangeCounted(ctx context.Context, c *relay.Call, onConn func(net.Conn)) (*response, error) {
	if !g.mayCall(c.Upstream) {
		return nil, heldOffError()
	}
	began := g.Now()
	received, err := g.connPool.Do(ctx, &http1.Request{
		Address: c.Upstream.Address,
		Method:  c.Method,
		URI:     c.URI,
		Host:    c.Host,
		Header:  platform.EncodeCallHeader(c),
		Body:    c.Body,
		Fresh:   c.Fresh,
		OnConn:  onConn,
	})
	if err != nil {
		return nil, err
	}
	resp := &response{Response: received, head: platform.DecodeResponse(received.Status, received.Header), began: began}
	received.SetKeepAlive(resp.head.IdleTimeout)
	if resp.isForeign(c) {
		resp.Close()
		g.Log.Info("response of another call", zap.String("upstream", c.Upstream.Instance), zap.String("request", c.Request),
			zap.String("stated", resp.head.Request), zap.Int("status", resp.head.Status), zap.Bool("reused", resp.Reused))
		return nil, protocolError("answer to another request")
	}
	if resp.isProven(c) {
		g.recordAnswer(c.Upstream, resp.head)
		g.recordNotices(c.Upstream, resp.head, began)
	}
	return resp, nil
}

// recordAnswer records that an upstream has answered this process.
func (g *Gateway) recordAnswer(u *fleet.Upstream, head relay.ResponseHead) {
	if head.WrongInstance {
		return
	}
	now := g.Now()
	g.control.Send(func(s *state) { s.health.RecordAnswer(u.Instance, now) })
}

// recordFailure records a failed attempt on the request and on the upstream at
// fault, and returns its [verdict.Error].
func (g *Gateway) recordFailure(q *request, to target, err error, head relay.ResponseHead) error {
	e := verdict.Of(err)
	switch {
	case e.Run != verdict.NotRun:
		q.recordRun(to.upstream.Instance)
	case head.Status == 0:
		// Nothing has arrived at an upstream.
		g.control.Send(func(s *state) {
			s.returnRetry(q, to)
			s.returnCall(to)
		})
	}
	if e.Reason == verdict.CallerGone || e.Reason == verdict.AnswerMemoryFull {
		// The upstream is not at fault.
		return e
	}
	if e.Reason == verdict.UpstreamLost && e.Run == verdict.MayHaveRun {
		g.checkCrash(context.Background(), q, to.upstream)
	}
	g.control.Do(func(s *state) { s.attributeFailure(q, to, e, head, g.Now()) })
	g.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	g.Log.Info("attempt failed", zap.String("request", q.ID), zap.Int("attempt", q.history().attempts),
		zap.String("upstream", to.upstream.Instance), zap.String("at_fault", e.Upstream), zap.Int("status", head.Status),
		zap.String("reason", string(e.Reason)), zap.Stringer("verdict", e.Run), zap.Duration("took", g.Now()-q.arrived), zap.Error(e))
	return e
}

// attributeFailure determines the upstream at fault and ejects it for a while
// if the failure calls for that.
func (s *state) attributeFailure(q *request, to target, e *verdict.Error, head relay.ResponseHead, now time.Duration) {
	e.Upstream = to.upstream.Instance
	if e.Reason == verdict.UpstreamProtocol {
		s.health.RequestProbe(to.upstream.Instance, now)
	}
	fault, found := faultOf(e, head)
	if !to.hasEngine() {
		s.health.RecordResult(to.upstream.Instance, e.Run != verdict.NotRun, now)
		q.excludeAfter(to.upstream.Instance, fault, found, now)
		if found {
			s.eject(to.upstream, fault, now)
		}
		return
	}
	i := 0
	if head.FaultAddress != "" {
		i = max(0, stageIndex(to, head.FaultAddress))
	}
	u := to.stage(i)
	e.Upstream = u.Instance
	q.excludeAfter(u.Instance, fault, found, now)
	if e.Run == verdict.Ran {
		s.health.RecordResult(u.Instance, true, now)
	}
	if found {
		s.eject(u, fault, now)
	}
	if fault == health.Full && head.FaultAddress != "" {
		// It may also have ended or be leaving; only its own answer can tell.
		s.health.RequestProbe(u.Instance, now)
	}
}

// excludeAfter excludes an upstream that has failed the request, by the fault that was
// found, if any.
func (q *request) excludeAfter(instance string, fault health.Fault, found bool, now time.Duration) {
	if found && fault == health.Full {
		q.excludeRefused(instance, now)
		return
	}
	q.exclude(instance)
}

// attributeStall records the stage that a stalled generation waits for. If the
// stage is called from another zone the link may be at fault: a stage of the
// own zone is then probed before it is ejected.
func (s *state) attributeStall(q *request, to target, i int, now time.Duration) {
	u := to.stage(i)
	q.excludeSilent(u.Instance)
	from := s.zone
	if i > 0 {
		from = to.stage(i - 1).Zone
	}
	if s.linkFaults.MarkSuspect(from, u.Zone, now) {
		s.log.Info("zone link suspected", zap.String("from", from), zap.String("to", u.Zone), zap.String("upstream", u.Instance))
	}
	if from != u.Zone && u.Zone == s.zone {
		s.health.RequestProbe(u.Instance, now)
		return
	}
	s.eject(u, health.Stalled, now)
}

// eject takes an upstream out of use for a while because of a fault.
func (s *state) eject(u *fleet.Upstream, f health.Fault, now time.Duration) {
	if s.health.RecordFault(u.Instance, f, now) {
		s.log.Info("upstream left alone", zap.String("upstream", u.Instance), zap.String("zone", u.Zone), zap.Stringer("fault", f), zap.Duration("list_age", now-s.listedAt))
	}
	if f.NoAnswer() {
		s.checkPath(u.Address, now)
	}
	if f.NoAnswer() && s.linkFaults.RecordLoss(s.zone, u.Zone, u.Instance, now) {
		s.log.Info("zone link suspected", zap.String("from", s.zone), zap.String("to", u.Zone), zap.String("upstream", u.Instance))
	}
}

// faultOf returns the fault of the upstream that a failed attempt shows. The
// bool is false if that upstream remains in use.
func faultOf(e *verdict.Error, head relay.ResponseHead) (health.Fault, bool) {
	switch {
	case e.Reason == verdict.UpstreamRefused:
		return health.Unreachable, true
	case e.Reason == verdict.UpstreamSilent && e.Run == verdict.NotRun:
		// No connection could be opened.
		return health.Stalled, true
	case head.WrongInstance:
		return health.Misplaced, true
	case head.NotRun:
		return health.Full, true
	}
	return 0, false
}
