package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
)

// generation is one generation on its way to its caller.
type generation struct {
	*query
	g   *Gateway
	out http.ResponseWriter
	// started says that the head of the answer has been written, with status.
	started bool
	status  int
	// failed is an upstream's own failure, which the caller gets if no other
	// upstream can be tried.
	failed     *answer
	failedBody []byte
	// last is the ID of the last event that the caller has.
	last string
}

// generate carries a generation. A stream that breaks goes on at other
// upstreams within the same answer, if its route allows that.
func (g *Gateway) generate(ctx context.Context, w http.ResponseWriter, q *query) {
	s := &generation{query: q, g: g, out: w, status: http.StatusOK, last: q.ResumeAfter}
	for {
		err := s.attempt(ctx)
		if err == nil {
			g.logEnd(q, s.status, nil)
			return
		}
		e := verdict.Of(err)
		if ctx.Err() != nil {
			e = ended(ctx, q)
		}
		if !q.mayGoOn(ctx, e, g.Now()) {
			s.fail(e)
			return
		}
	}
}

// ended is the verdict on a request whose time is up, or whose caller has
// gone.
func ended(ctx context.Context, q *query) *verdict.Error {
	e := &verdict.Error{Run: verdict.NotRun, Reason: verdict.DeadlineExceeded, Message: "deadline exceeded", RetryAfter: repairTime}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Reason = verdict.CallerGone
		e.Message = "the caller has gone"
	}
	if q.mayHaveRun() {
		e.Run = verdict.MayHaveRun
	}
	return e
}

// fail ends the answer. One that has been begun is cut, so that it can't look
// whole.
func (s *generation) fail(e *verdict.Error) {
	switch {
	case !s.started && s.failed != nil:
		s.g.logEnd(s.query, s.failed.head.Status, nil)
		s.g.writeAnswer(s.out, s.failed, s.failedBody)
		return
	case !s.started:
		s.g.refuse(s.out, s.query, e)
		return
	}
	s.g.metrics.refusals.WithLabelValues(string(e.Reason), e.Run.String()).Inc()
	s.g.logEnd(s.query, s.status, e)
	panic(http.ErrAbortHandler)
}

// attempt runs the generation on one chain.
func (s *generation) attempt(ctx context.Context) error {
	p, err := s.g.place(ctx, s.query)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := newSilence(s.g, s.query, p, cancel)
	defer s.leave(watch)
	a, err := s.g.send(ctx, s.query, p, s.last)
	if err != nil {
		return watch.explain(err)
	}
	defer a.Close()
	if a.head.Status != http.StatusOK {
		return s.passOn(ctx, p, a)
	}
	return watch.explain(s.copyEvents(ctx, p, a, watch))
}

// leave ends the watch of an attempt and gives its place back.
func (s *generation) leave(watch *silence) {
	p := watch.stop()
	s.g.control.Send(func(st *state) { st.give(s.query, p) })
}

// maxFailureBytes bounds the body of an answer that is no stream.
const maxFailureBytes = 256 << 10

// passOn gives the caller an answer that is no stream, if none has begun. A
// failure is kept until no other upstream can be tried.
func (s *generation) passOn(ctx context.Context, p place, a *answer) error {
	body, err := a.ReadAll(ctx, maxFailureBytes)
	if err != nil {
		return err
	}
	switch {
	case s.started:
		return protocolError("status " + strconv.Itoa(a.head.Status) + " to a resumed stream")
	case a.head.Status >= http.StatusInternalServerError && s.route.Repeatable():
		s.failed, s.failedBody = a, body
		return s.g.failed(s.query, p, &verdict.Error{Run: verdict.Ran, Reason: verdict.UpstreamLost, Message: "upstream failed"}, a.head)
	}
	s.started = true
	s.status = a.head.Status
	s.g.writeAnswer(s.out, a, body)
	return nil
}

// copyEvents passes events on as they arrive.
func (s *generation) copyEvents(ctx context.Context, p place, a *answer, watch *silence) error {
	reader := eventReader{from: a}
	flusher := http.NewResponseController(s.out)
	for {
		events, id, err := reader.next()
		if err == io.EOF {
			// A caller that already has all events gets an answer without any.
			s.begin(a)
			return nil
		}
		if err != nil {
			return s.broken(ctx, p, err)
		}
		now := s.g.Now()
		watch.moved(now)
		if pause := s.noteEvent(now); pause > s.slowPause() {
			s.g.askPace(p)
		}
		s.begin(a)
		if _, err := s.out.Write(events); err != nil {
			return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.CallerGone, Err: err}
		}
		if err := flusher.Flush(); err != nil {
			return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.CallerGone, Err: err}
		}
		if id != "" {
			s.last = id
		}
	}
}

// Pauses between events after which the engines of a chain are asked whether
// they are slow.
const (
	// slowPauseShare is that part of the longest pause that the route allows.
	slowPauseShare = 0.6
	// defaultSlowPause is for routes that allow any.
	defaultSlowPause = 120 * time.Millisecond
)

func (s *generation) slowPause() time.Duration {
	if s.route.MaxPause <= 0 {
		return defaultSlowPause
	}
	return time.Duration(slowPauseShare * float64(s.route.MaxPause))
}

// begin writes the head of the answer, once.
func (s *generation) begin(a *answer) {
	if s.started {
		return
	}
	s.started = true
	s.g.metrics.first.WithLabelValues(s.service).Observe((s.g.Now() - s.arrived).Seconds())
	s.g.writeHead(s.out, a)
}

// broken notes a stream that ended before its end.
func (s *generation) broken(ctx context.Context, p place, err error) error {
	e := &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamLost, Upstream: p.upstream.Instance, Err: err}
	if ctx.Err() != nil {
		return e
	}
	s.g.Log.Info("stream broke", zap.String("request", s.ID), zap.Int("attempt", s.attempts), zap.String("upstream", p.upstream.Instance),
		zap.String("last_event", s.last), zap.Error(err))
	if errors.Is(err, http1.ErrMalformed) {
		e.Reason = verdict.UpstreamProtocol
		s.g.control.Do(func(st *state) { st.blame(s.query, p, e, relay.ResponseHead{}, s.g.Now()) })
		return e
	}
	s.g.checkCrash(ctx, s.query, p.upstream)
	return e
}

// writeHead writes the head of an upstream's answer.
func (g *Gateway) writeHead(w http.ResponseWriter, a *answer) {
	h := w.Header()
	for name, values := range platform.ForwardedHeader(a.Header) {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		// No type of our own making.
		h["Content-Type"] = nil
	}
	g.setConnection(h)
	w.WriteHeader(a.head.Status)
}

// writeAnswer writes an upstream's whole answer.
func (g *Gateway) writeAnswer(w http.ResponseWriter, a *answer, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	g.writeHead(w, a)
	// The caller may have gone; there is nobody else to tell.
	_, _ = w.Write(body)
}
