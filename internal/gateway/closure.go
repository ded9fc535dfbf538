package gateway

import (
	"cmp"
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/drain"
	"lovageport.example/pkg/verdict"
)

// Who ended a request.
const (
	closedByCaller  = "caller"
	closedByGateway = "gateway"
	// closedByUnknown stands for a request that ended as if its caller had gone, although
	// no read or write of its connection has failed.
	closedByUnknown = "unknown"
)

// closure is who ended a request, and by what.
type closure struct {
	reason verdict.Reason
	by     string
	// decision is what ended the request: its reason, or for a caller that has gone the
	// failed operation or why this process closed the connection.
	decision string
	// failure is the failure of the caller's connection, if failed is set.
	failure drain.Failure
	failed  bool
}

// closureOf returns who ended a request with an error.
func closureOf(q *request, e *verdict.Error) closure {
	c := closure{reason: e.Reason, by: closedByGateway, decision: string(e.Reason)}
	if q.http != nil {
		c.failure, c.failed = drain.FailureOf(q.http.Context())
	}
	if e.Reason != verdict.CallerGone {
		return c
	}
	f := c.failure
	switch {
	case !c.failed:
		c.by, c.decision = closedByUnknown, "none"
	case f.ByCaller():
		c.by, c.decision = closedByCaller, f.Op
	case f.Reason != "":
		c.decision = string(f.Reason)
	case f.Err == nil:
		c.decision = "drain"
	case errors.Is(f.Err, os.ErrDeadlineExceeded):
		c.decision = f.Op + "_deadline"
	default:
		c.decision = "connection_closed"
	}
	return c
}

// cause returns the log fields that come first.
func (c closure) cause() []zap.Field {
	return []zap.Field{zap.String("reason", string(c.reason)), zap.String("closed_by", c.by), zap.String("decision", c.decision)}
}

// detail returns the log fields of the failure of the caller's connection.
func (c closure) detail() []zap.Field {
	if !c.failed {
		return nil
	}
	fields := []zap.Field{zap.String("connection_failed", c.failure.Op), zap.NamedError("connection_error", c.failure.Err)}
	if c.failure.Op == "write" {
		fields = append(fields, zap.Duration("write_took", c.failure.Took))
	}
	return fields
}

// endedAttempt is what is known of an attempt of a stream that has failed.
type endedAttempt struct {
	upstream *fleet.Upstream
	// sentAt and lastEventAt are boot times; 0 if there was none.
	sentAt, lastEventAt time.Duration
	// unread is set if data of the response had arrived that was not read.
	unread bool
}

// recordEnded records an attempt that has failed, before it ends.
func (s *generation) recordEnded(a *streamAttempt) {
	d := a.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	s.lastEnded = &endedAttempt{upstream: a.target.upstream, sentAt: a.sentAt, lastEventAt: d.lastEventAt, unread: d.hasUnread()}
	s.firstEnded = cmp.Or(s.firstEnded, s.lastEnded)
}

// fields returns the log fields of the first stage of the attempt, whose names begin with
// prefix. state says why it gets no requests; "in use" if it does.
func (a *endedAttempt) fields(prefix, state string, now time.Duration) []zap.Field {
	out := []zap.Field{
		zap.String(prefix, a.upstream.Instance), zap.String(prefix+"_state", state), zap.Bool(prefix+"_unread", a.unread),
	}
	if a.sentAt > 0 {
		out = append(out, zap.Duration(prefix+"_sent_age", now-a.sentAt))
	}
	if a.lastEventAt > 0 {
		out = append(out, zap.Duration(prefix+"_event_age", now-a.lastEventAt))
	}
	return out
}

// engineState returns what is known of the first stage of an attempt: why it gets no
// requests, or "in use".
func (s *state) engineState(q *request, u *fleet.Upstream, now time.Duration) string {
	listed := s.upstreams[u.Instance]
	switch {
	case listed == nil:
		return "not listed"
	case listed.Started != u.Started:
		return "started again"
	}
	return cmp.Or(s.unusedReason(s.pools[q.service], listed, now), "in use")
}

// logCut logs and counts a stream that ends without its end. Lines of those that their
// callers have ended are left out above a rate. The control loop writes the line, so that
// the end of the connection does not wait for what it knows of the engines.
func (s *generation) logCut(e *verdict.Error) {
	g, q, c := s.g, s.request, closureOf(s.request, e)
	g.metrics.cutStreams.WithLabelValues(string(e.Reason), c.by).Inc()
	var skipped int64
	if c.by == closedByCaller {
		var ok bool
		if skipped, ok = g.goneStreams.allow(); !ok {
			return
		}
	}
	now, h := g.Now(), s.history()
	fields := append([]zap.Field{zap.String("request", s.ID), zap.Int("status", s.status)}, c.cause()...)
	fields = append(fields, zap.Duration("took", now-s.arrived), zap.Int("attempts", h.attempts), zap.String("upstream", e.Upstream),
		zap.String("last_event", s.lastEventID), zap.Duration("last_event_age", now-h.lastEvent), zap.Duration("stood_still", g.pauses.Longest(h.lastEvent, now)),
		zap.Int64("configuration", s.tableVersion), zap.Int64("configuration_now", g.routing.Table().Version), zap.Bool("draining", g.draining.Load()), zap.Error(e))
	fields = append(fields, c.detail()...)
	first, last := s.firstEnded, s.lastEnded
	g.control.Send(func(state *state) {
		if last != nil {
			fields = append(fields, last.fields("engine", state.engineState(q, last.upstream, now), now)...)
		}
		if first != last {
			fields = append(fields, first.fields("first_engine", state.engineState(q, first.upstream, now), now)...)
		}
		if c.by == closedByCaller {
			g.Log.Info("stream cut", append(fields, zap.Int64("skipped", skipped))...)
			return
		}
		g.Log.Warn("stream cut", fields...)
	})
}
