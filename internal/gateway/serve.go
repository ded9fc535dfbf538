package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/readiness"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
)

// Timeouts of callers' requests and connections.
const (
	// headerTimeout is longer than what the configuration allows callers, since
	// it cannot be changed while the process runs.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections.
	idleTimeout = 75 * time.Second
	// defaultTimeout bounds a request if neither the caller nor the route does.
	defaultTimeout = 30 * time.Second
)

// revocationMargin is the part of the revocation bound reserved for the time
// from the check of a key until the request reaches the upstream.
const revocationMargin = 400 * time.Millisecond

// lowestRank is the least urgent priority of an engine.
const lowestRank = 9

// healthHandler returns the handler of the load balancer's health checks.
func (g *Gateway) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ready reports whether the load balancer should send new connections here.
func (g *Gateway) ready() bool {
	if g.draining.Load() {
		return false
	}
	return g.readiness().Ready()
}

// readiness returns the state from which the readiness is decided.
func (g *Gateway) readiness() readiness.State {
	age, known := g.routing.Age(g.Now())
	return readiness.State{HasConfiguration: known, Age: age, MaxAge: g.maxTableAge(), ZoneIsolated: g.zoneIsolated.Load()}
}

// maxTableAge is the age of the table above which requests with a key are
// refused.
func (g *Gateway) maxTableAge() time.Duration {
	return g.Settings.Bounds.Revocation.Duration - revocationMargin
}

// callerHandler returns the handler of callers' requests.
func (g *Gateway) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		q := &request{Request: platform.DecodeRequest(r.Header), http: r, arrived: g.Now()}
		defer g.logPanic(&q.Request)
		defer q.memory.release()
		if err := g.accept(w, q); err != nil {
			g.refuse(w, q, err)
			return
		}
		ctx, end := g.requests.Context(r.Context())
		defer end()
		ctx, cancel := context.WithTimeout(ctx, q.deadline-g.Now())
		defer cancel()
		ctx, q.abort = context.WithCancelCause(ctx)
		defer q.abort(nil)
		if q.route.Kind == routing.Stream {
			g.generate(ctx, w, q)
			return
		}
		g.invoke(ctx, w, q)
	})
}

// accept authorizes a request and reads its body.
func (g *Gateway) accept(w http.ResponseWriter, q *request) error {
	if g.routing.Table() == nil {
		return verdict.RefuseUntil(repairRetryAfter, verdict.NotReady, "no configuration is known yet")
	}
	if !g.tableIsCurrent() {
		// Without the store the old one serves what it can.
		g.refreshTable(q.http.Context())
	}
	t := g.routing.Table()
	if err := g.authorize(q, t, g.Now()); err != nil {
		return err
	}
	q.service = q.route.Backend(q.ID)
	q.accepted = t.Services[q.service]
	q.deadline = q.arrived + requestTimeout(q)
	q.setQueueDeadline(q.arrived)
	if err := g.readBody(w, q, t.Limits.MaxBodyBytes); err != nil {
		return err
	}
	q.tokens = expectedTokens(&q.Request, q.accepted)
	return g.checkDrain(q)
}

// requestTimeout returns the lower of the route's and the caller's timeout.
func requestTimeout(q *request) time.Duration {
	longest := q.route.Timeout
	if longest <= 0 {
		longest = defaultTimeout
	}
	if q.Timeout > 0 {
		return min(longest, q.Timeout)
	}
	return longest
}

// readBody reads the complete body, since it may have to be sent more than
// once.
func (g *Gateway) readBody(w http.ResponseWriter, q *request, limit int64) error {
	if q.http.ContentLength == 0 {
		return nil
	}
	defer g.limitBodyRead(w)()
	body := q.http.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	share := &buffer.Share{Budget: &g.bodyMemory}
	var err error
	q.body, err = buffer.ReadAll(body, q.http.ContentLength, math.MaxInt64, share)
	q.memory.hold(share)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.BodyTooLarge, "body above %d bytes", tooLarge.Limit)
	case errors.Is(err, buffer.ErrExhausted):
		return verdict.RefuseUntil(repairRetryAfter, verdict.BodyMemoryFull, "the bodies of requests take all memory that they may")
	case err != nil && g.requests.Ended():
		return verdict.RefuseUntil(minRetryAfter, verdict.Draining, "the process ends before the body has arrived")
	case err != nil:
		return &verdict.Error{Run: verdict.NotRun, Reason: verdict.CallerGone, Message: "body not read", Err: err}
	}
	return nil
}

// expectedTokens returns the KV cache that a generation will probably need, in
// tokens.
func expectedTokens(r *relay.Request, service *routing.Service) float64 {
	if service == nil || service.Engine == nil {
		return 0
	}
	answer := service.Engine.MeanAnswer
	if r.ExpectedOutputTokens > 0 {
		answer = float64(r.ExpectedOutputTokens)
	}
	if r.MaxOutputTokens > 0 {
		answer = min(answer, float64(r.MaxOutputTokens))
	}
	return float64(r.PromptTokens) + answer
}

// statusOf returns the HTTP status for a verdict.
func statusOf(e *verdict.Error) int {
	switch e.Reason {
	case verdict.UnknownRoute:
		return http.StatusNotFound
	case verdict.Unauthenticated:
		return http.StatusUnauthorized
	case verdict.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.BadRequest:
		return http.StatusBadRequest
	}
	switch {
	case e.Run == verdict.NotRun:
		return http.StatusServiceUnavailable
	case e.Reason == verdict.DeadlineExceeded, e.Reason == verdict.UpstreamSilent, e.Reason == verdict.Draining:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse responds to a request that no upstream has answered.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, err error) {
	e := *verdict.Of(err)
	if q.mayHaveRun() {
		e.Run = verdict.MayHaveRun
	}
	g.metrics.refusals.WithLabelValues(string(e.Reason), e.Run.String()).Inc()
	status := statusOf(&e)
	g.logOutcome(q, status, &e)
	h := w.Header()
	platform.SetRequestID(h, q.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(h, max(e.RetryAfter, minRetryAfter))
	}
	g.setConnectionHeader(h)
	w.WriteHeader(status)
	io.WriteString(w, e.Error()+"\n")
}

// setConnectionHeader asks the caller to close the connection if this process
// is stopping or soon cannot serve the caller's key. The load balancer then
// assigns the next connection to another process.
func (g *Gateway) setConnectionHeader(h http.Header) {
	if g.draining.Load() || g.readiness().ShouldCloseConnections() {
		h.Set("Connection", "close")
	}
}

// logOutcome logs and counts the outcome of a request.
func (g *Gateway) logOutcome(q *request, status int, e *verdict.Error) {
	fields := []zap.Field{zap.String("request", q.ID), zap.Int("status", status)}
	var c closure
	if e != nil {
		c = closureOf(q, e)
		// The records of some users end after about 200 characters.
		fields = append(fields, c.cause()...)
	}
	fields = append(fields,
		zap.Duration("took", g.Now()-q.arrived),
		zap.Duration("first_event", q.firstEvent),
		zap.Duration("longest_pause", q.longestPause),
		zap.Int("attempts", q.history().attempts),
		zap.Int64("configuration", q.tableVersion),
		zap.Duration("configuration_age", q.tableAge),
	)
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.String("account", q.account))
		g.metrics.answers.WithLabelValues(q.service, outcomeLabel(status, e)).Inc()
		g.metrics.requestTime.WithLabelValues(q.service).Observe((g.Now() - q.arrived).Seconds())
	}
	if e == nil {
		fields = append(fields, endingFields(q.ending)...)
		g.Log.Info("request answered", fields...)
		return
	}
	fields = append(fields, zap.Stringer("verdict", e.Run), zap.Duration("retry_after", e.RetryAfter), zap.Error(e))
	fields = append(fields, c.detail()...)
	fields = append(fields, predictionFields(q.lastPrediction())...)
	g.Log.Info("request failed", fields...)
}

// endingFields returns the log fields of how the end of a stream was known.
func endingFields(e http1.Ending) []zap.Field {
	switch e.Mark {
	case "":
		return nil
	case http1.ConnectionClosed:
		return []zap.Field{zap.String("end", string(e.Mark)), zap.Uint8("end_state", uint8(e.State)), zap.NamedError("end_failure", e.Failure)}
	}
	return []zap.Field{zap.String("end", string(e.Mark))}
}

func outcomeLabel(status int, e *verdict.Error) string {
	switch {
	case e != nil:
		return string(e.Reason)
	case status >= http.StatusInternalServerError:
		return "upstream_error"
	}
	return "answered"
}
