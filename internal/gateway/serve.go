package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/readiness"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
)

// Bounds of callers' connections.
const (
	// headerTimeout is longer than the configuration allows a caller, since it
	// can't change while the process runs.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep a connection.
	idleTimeout = 75 * time.Second
	// defaultTimeout is that of a request if neither caller nor route say.
	defaultTimeout = 30 * time.Second
)

// keyMargin is how much earlier than the users' bound a key's table counts as
// too old, for the time from the check to the upstream.
const keyMargin = 400 * time.Millisecond

// denyAge is the age of the table from which it is no proof that a route or a
// key does not exist.
const denyAge = 2800 * time.Millisecond

// lowestRank is the least urgent priority of an engine.
const lowestRank = 9

// healthHandler answers the balancer.
func (g *Gateway) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ready says whether new connections should come here.
func (g *Gateway) ready() bool {
	if g.draining.Load() {
		return false
	}
	return g.readiness().Ready()
}

// readiness is what decides whether callers should come here.
func (g *Gateway) readiness() readiness.State {
	age, known := g.routing.Age(g.Now())
	return readiness.State{HasConfiguration: known, Age: age, MaxAge: g.maxTableAge(), ZoneIsolated: g.cutOff.Load()}
}

// maxTableAge is how old the knowledge of the table may be to serve keys by it.
func (g *Gateway) maxTableAge() time.Duration {
	return g.Settings.Bounds.Revocation.Duration - keyMargin
}

// callerHandler serves callers.
func (g *Gateway) callerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		q, err := g.accept(w, r)
		if err != nil {
			g.refuse(w, q, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), q.deadline-g.Now())
		defer cancel()
		if q.route.Kind == routing.Stream {
			g.generate(ctx, w, q)
			return
		}
		g.invoke(ctx, w, q)
	})
}

// accept finds the route and the client account of a request and reads it.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*query, error) {
	q := &query{Request: platform.DecodeRequest(r.Header), http: r, arrived: g.Now()}
	t := g.routing.Table()
	if t == nil {
		return q, verdict.RefuseUntil(repairTime, verdict.NotReady, "no configuration is known yet")
	}
	err := g.authorize(q, t, q.arrived)
	if err != nil && verdict.Of(err).Reason == verdict.NotReady && g.refresh(r.Context()) {
		t = g.routing.Table()
		err = g.authorize(q, t, g.Now())
	}
	if err != nil {
		return q, err
	}
	q.service = q.route.Backend(q.ID)
	q.deadline = q.arrived + timeout(q)
	q.setWait(q.arrived)
	if err := readBody(w, q, t.Limits.MaxBodyBytes); err != nil {
		return q, err
	}
	q.tokens = expectedTokens(&q.Request, t.Services[q.service])
	return q, nil
}

// Times of waiting for fresh knowledge.
const (
	// refreshTime is how long a request waits for it; the store answers within
	// milliseconds.
	refreshTime = 250 * time.Millisecond
	refreshTick = 10 * time.Millisecond
)

// refresh has the configuration confirmed, unless the store is known to be out
// of reach: a VM that has been suspended knows only old things, but can know
// better at once. It says whether what is known is fresh.
func (g *Gateway) refresh(ctx context.Context) bool {
	if g.tableLost.Load() {
		return false
	}
	g.table.awake()
	for waited := time.Duration(0); waited < refreshTime; waited += refreshTick {
		if !loop.Wait(ctx, refreshTick) {
			return false
		}
		if age, known := g.routing.Age(g.Now()); known && age < denyAge {
			return true
		}
	}
	return false
}

// authorize finds the route, and the client account that the key belongs to, by
// what is known at a boot time.
func (g *Gateway) authorize(q *query, t *routing.Table, now time.Duration) error {
	q.table = t.Version
	q.tableAge, _ = g.routing.Age(now)
	// An old table proves nothing: a route or key may have been added since.
	deny := func(reason verdict.Reason, message string) error {
		if q.tableAge > denyAge {
			return verdict.RefuseUntil(g.readiness().RetryDelay(repairTime), verdict.NotReady, "the configuration is %v old", q.tableAge)
		}
		return verdict.Refuse(reason, "%s", message)
	}
	route, ok := t.Match(q.http.Host, q.http.URL.Path)
	if !ok {
		return deny(verdict.UnknownRoute, "no route")
	}
	q.route = route
	q.rank = min(route.Priority, lowestRank)
	if !t.NeedsKey(route) {
		return nil
	}
	account, ok := t.Account(q.Key)
	if !ok {
		return deny(verdict.Unauthenticated, "unknown key")
	}
	if q.tableAge > g.maxTableAge() {
		return verdict.RefuseUntil(g.readiness().RetryDelay(repairTime), verdict.NotReady, "the configuration is %v old: the key may have been revoked", q.tableAge)
	}
	q.account = account.Name
	if account.Priority != nil {
		q.rank = min(*account.Priority, lowestRank)
	}
	return nil
}

// timeout returns how long the caller is kept waiting at most.
func timeout(q *query) time.Duration {
	longest := q.route.Timeout
	if longest <= 0 {
		longest = defaultTimeout
	}
	if q.Timeout > 0 {
		return min(longest, q.Timeout)
	}
	return longest
}

// readBody reads the whole body, which may have to be sent more than once.
func readBody(w http.ResponseWriter, q *query, most int64) error {
	if q.http.ContentLength == 0 {
		return nil
	}
	body := q.http.Body
	if most > 0 {
		body = http.MaxBytesReader(w, body, most)
	}
	var err error
	q.body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.BodyTooLarge, "body above %d bytes", tooLarge.Limit)
	case err != nil:
		return &verdict.Error{Run: verdict.NotRun, Reason: verdict.CallerGone, Message: "body not read", Err: err}
	}
	return nil
}

// expectedTokens returns the KV cache that a generation will likely need.
func expectedTokens(r *relay.Request, service *routing.Service) float64 {
	if service == nil || service.Engine == nil {
		return 0
	}
	answer := service.Engine.MeanAnswer
	if r.AnswerHint > 0 {
		answer = float64(r.AnswerHint)
	}
	if r.MaxAnswerTokens > 0 {
		answer = min(answer, float64(r.MaxAnswerTokens))
	}
	return float64(r.PromptTokens) + answer
}

// statusOf returns the status that says what a verdict says.
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
	case e.Reason == verdict.DeadlineExceeded, e.Reason == verdict.UpstreamSilent:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// refuse answers a request that gets no upstream's answer.
func (g *Gateway) refuse(w http.ResponseWriter, q *query, err error) {
	e := *verdict.Of(err)
	if q.mayHaveRun() {
		e.Run = verdict.MayHaveRun
	}
	g.metrics.refusals.WithLabelValues(string(e.Reason), e.Run.String()).Inc()
	status := statusOf(&e)
	g.logEnd(q, status, &e)
	h := w.Header()
	platform.SetRequestID(h, q.ID)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(h, max(e.RetryAfter, minRetryAfter))
	}
	g.setConnection(h)
	w.WriteHeader(status)
	io.WriteString(w, e.Error()+"\n")
}

// setConnection asks the caller to come back on another connection, which the
// balancer gives to another process, if this one stops or can't serve its key
// for much longer.
func (g *Gateway) setConnection(h http.Header) {
	if g.draining.Load() || g.readiness().ShouldCloseConnections() {
		h.Set("Connection", "close")
	}
}

// logEnd writes the line on how a request ended.
func (g *Gateway) logEnd(q *query, status int, e *verdict.Error) {
	fields := []zap.Field{
		zap.String("request", q.ID),
		zap.Int("status", status),
		zap.Duration("took", g.Now()-q.arrived),
		zap.Duration("first_event", q.firstEvent),
		zap.Duration("longest_pause", q.longestPause),
		zap.Int("attempts", q.attempts),
		zap.Int64("configuration", q.table),
		zap.Duration("configuration_age", q.tableAge),
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.String("account", q.account))
		g.metrics.answers.WithLabelValues(q.service, outcomeLabel(status, e)).Inc()
		g.metrics.whole.WithLabelValues(q.service).Observe((g.Now() - q.arrived).Seconds())
	}
	if e == nil {
		g.Log.Info("request answered", fields...)
		return
	}
	fields = append(fields, zap.String("reason", string(e.Reason)), zap.Stringer("verdict", e.Run),
		zap.Duration("retry_after", e.RetryAfter), zap.Error(e))
	g.Log.Info("request failed", fields...)
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
