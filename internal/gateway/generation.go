package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/transport/drain"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
)

// generation is a generation whose events are passed on to its caller.
type generation struct {
	*request
	g   *Gateway
	out http.ResponseWriter
	// started reports whether the response header has been written, with
	// status.
	started bool
	status  int
	// failure is an upstream's own error response, which is passed to the
	// caller if no other upstream can be tried.
	failure     *response
	failureBody []byte
	// lastEventID is the ID of the last event that the caller has received. While
	// events are being copied, sequence is ahead of it.
	lastEventID string
	sequence    eventSequence
	// successor is the next attempt, which was found before the last one was given
	// up; nil if there is none.
	successor *streamAttempt
	// firstEnded and lastEnded are the first and the last attempt that has failed; nil
	// if none has.
	firstEnded, lastEnded *endedAttempt
}

// generate forwards a generation. If its route allows that, a stream that
// breaks is resumed on other upstreams within the same response.
func (g *Gateway) generate(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &generation{request: q, g: g, out: w, status: http.StatusOK, lastEventID: q.ResumeAfter}
	s.sequence.resumeAfter(q.ResumeAfter)
	defer s.discardSuccessor()
	for {
		err := s.attempt(ctx)
		if err == nil {
			s.recordStreamTime()
			g.logOutcome(q, s.status, nil)
			return
		}
		e := verdict.Of(err)
		if ctx.Err() != nil {
			e = contextError(ctx, q)
		}
		if !q.mayRetry(ctx, e, g.Now()) {
			s.fail(e)
			return
		}
	}
}

// recordStreamTime records how long a whole stream has taken.
func (s *generation) recordStreamTime() {
	if s.status == http.StatusOK && s.ResumeAfter == "" {
		s.g.streamTimes.record(s.request, s.g.Now()-s.arrived)
	}
}

// contextError returns the error of a request whose deadline has passed, whose caller
// has gone, or with which the process ends.
func contextError(ctx context.Context, q *request) *verdict.Error {
	e := &verdict.Error{Run: verdict.NotRun, Reason: verdict.DeadlineExceeded, Message: "deadline exceeded", RetryAfter: repairRetryAfter}
	switch {
	case context.Cause(ctx) == drain.ErrEnded:
		e.Reason, e.Message, e.RetryAfter = verdict.Draining, "the process ends", minRetryAfter
	case context.Cause(ctx) == errPanicked:
		e.Reason, e.Message, e.RetryAfter = verdict.Internal, "internal error", minRetryAfter
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason, e.Message = verdict.CallerGone, "the caller has gone"
	}
	if q.mayHaveRun() {
		e.Run = verdict.MayHaveRun
	}
	return e
}

// fail ends the response. If it has been started the connection is aborted, so
// that the response does not look complete.
func (s *generation) fail(e *verdict.Error) {
	switch {
	case !s.started && s.failure != nil:
		s.g.logOutcome(s.request, s.failure.head.Status, nil)
		s.g.writeResponse(s.out, s.failure, s.failureBody)
		return
	case !s.started:
		s.g.refuse(s.out, s.request, e)
		return
	}
	s.g.metrics.refusals.WithLabelValues(string(e.Reason), e.Run.String()).Inc()
	s.logCut(e)
	s.g.logOutcome(s.request, s.status, e)
	panic(http.ErrAbortHandler)
}

// attempt runs the generation on one chain.
func (s *generation) attempt(ctx context.Context) (err error) {
	a, err := s.nextAttempt(ctx)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			s.recordEnded(a)
		}
		if next := a.end(err); next != nil {
			s.discardSuccessor()
			s.successor = next
		}
	}()
	return a.detector.attribute(s.run(a))
}

// run passes the response to an attempt on to the caller.
func (s *generation) run(a *streamAttempt) error {
	if a.response == nil {
		if err := a.send(); err != nil {
			return err
		}
	}
	if a.response.head.Status != http.StatusOK {
		return s.relayResponse(a.ctx, a.target, a.response)
	}
	return s.copyEvents(a)
}

// nextAttempt returns the next attempt: the successor of the last one, or one on a
// target that it waits for.
func (s *generation) nextAttempt(ctx context.Context) (*streamAttempt, error) {
	a := s.successor
	s.successor = nil
	if a != nil && a.begun() && a.resumeAfter != s.lastEventID {
		s.g.Log.Error("successor resumed elsewhere", zap.String("request", s.ID), zap.String("last_event", s.lastEventID), zap.String("resumed_after", a.resumeAfter))
		a.discard()
		a = nil
	}
	if a == nil {
		to, err := s.g.acquireTarget(ctx, s.request)
		if err != nil {
			return nil, err
		}
		a = newStreamAttempt(s.g, s.request, to)
	}
	if !a.begun() {
		a.begin(ctx, s.lastEventID, s.sequence)
	}
	// The run before may have begun an event since this one began.
	least := s.sequence.least
	s.sequence = a.sequence
	s.sequence.least = max(least, s.sequence.least)
	a.reader.sequence = &s.sequence
	return a, nil
}

// discardSuccessor discards the next attempt if it is not needed.
func (s *generation) discardSuccessor() {
	if s.successor != nil {
		s.successor.discard()
	}
}

// maxFailureBytes bounds the body of a response that is not a stream.
const maxFailureBytes = 256 << 10

// relayResponse passes a response that is not a stream to the caller, if none
// has been started. A server error is kept until no other upstream can be tried.
func (s *generation) relayResponse(ctx context.Context, to target, resp *response) error {
	body, err := resp.ReadAll(ctx, maxFailureBytes)
	if err != nil {
		return s.g.recordFailure(s.request, to, err, resp.head)
	}
	s.memory.hold(resp.TakeShare())
	switch {
	case s.started:
		return s.g.recordFailure(s.request, to, protocolError("status "+strconv.Itoa(resp.head.Status)+" to a resumed stream"), resp.head)
	case resp.head.Status >= http.StatusInternalServerError && s.route.Repeatable():
		s.failure, s.failureBody = resp, body
		return s.g.recordFailure(s.request, to, &verdict.Error{Run: verdict.Ran, Reason: verdict.UpstreamLost, Message: "upstream failed"}, resp.head)
	}
	s.started = true
	s.status = resp.head.Status
	s.g.writeResponse(s.out, resp, body)
	return nil
}

// Errors of a stream that is none.
var (
	errNoEventStream = malformedEvent("answer is no stream of events")
	errNoEvent       = malformedEvent("stream without an event")
)

// copyEvents passes events to the caller as they arrive.
func (s *generation) copyEvents(a *streamAttempt) error {
	if !a.response.head.EventStream {
		return a.recordBrokenStream(s.lastEventID, errNoEventStream)
	}
	err := s.passEvents(a)
	s.lastEventID = s.sequence.lastID(s.lastEventID)
	if short := s.sequence.checkEnd(); err == io.EOF && short != nil {
		err = short
	}
	var gone *verdict.Error
	switch {
	case errors.As(err, &gone):
		return err
	case err != io.EOF:
		return a.recordBrokenStream(s.lastEventID, err)
	case s.lastEventID == "":
		return a.recordBrokenStream(s.lastEventID, errNoEvent)
	}
	a.recordRead(true)
	s.ending = a.response.Ending()
	// If the caller already has all events the stream is empty, and its header
	// is still to be written.
	s.writeHeaderOnce(a.response)
	return nil
}

// passEvents passes events to the caller until the stream ends. The error is
// io.EOF at its end, a [verdict.Error] if the caller has gone, and otherwise that
// of the stream.
func (s *generation) passEvents(a *streamAttempt) error {
	flusher := http.NewResponseController(s.out)
	for {
		before := s.sequence
		events, err := a.nextEvents()
		switch {
		case err == errSuperseded:
			// The successor sends these events.
			s.sequence = before
			return err
		case errors.Is(err, errLargerStep) && !s.findOtherRun(a, err):
			a.reader.acceptHeld()
			continue
		case err == io.EOF:
			return err
		case err != nil:
			a.reader.breakOff()
			return err
		}
		if pause := s.recordEvent(s.g.Now()); pause > s.slowPause() {
			s.g.checkPace(a.target)
		}
		s.writeHeaderOnce(a.response)
		if _, err := s.out.Write(events); err != nil {
			return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.CallerGone, Err: err}
		}
		if err := flusher.Flush(); err != nil {
			return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.CallerGone, Err: err}
		}
	}
}

// findOtherRun looks for another run of a stream whose present run is in doubt, while
// that waits, and reports whether one may follow. It becomes the next attempt.
func (s *generation) findOtherRun(a *streamAttempt, doubt error) bool {
	ctx, ok := a.detector.handover.begin()
	if !ok {
		return false
	}
	u := a.target.upstream
	s.g.control.Do(func(*state) { s.exclude(u.Instance) })
	next, err := a.detector.handover.find(ctx)
	s.g.Log.Info("events in doubt", zap.String("request", s.ID), zap.String("upstream", u.Instance), zap.NamedError("doubt", doubt), zap.Bool("other_run", err == nil), zap.Error(err))
	if err != nil {
		s.g.control.Do(func(*state) { delete(s.excluded, u.Instance) })
		return false
	}
	s.successor = newStreamAttempt(s.g, s.request, next)
	return true
}

// Pauses between events above which the engines of a chain are asked for their
// pace.
const (
	// slowPauseShare is the limit as a share of the longest pause that the
	// route allows.
	slowPauseShare = 0.6
	// defaultSlowPause is the limit for routes that do not limit pauses.
	defaultSlowPause = 120 * time.Millisecond
)

func (s *generation) slowPause() time.Duration {
	if s.route.MaxPause <= 0 {
		return defaultSlowPause
	}
	return time.Duration(slowPauseShare * float64(s.route.MaxPause))
}

// writeHeaderOnce writes the response header unless it has been written.
func (s *generation) writeHeaderOnce(resp *response) {
	if s.started {
		return
	}
	s.started = true
	s.g.metrics.firstByte.WithLabelValues(s.service).Observe((s.g.Now() - s.arrived).Seconds())
	s.g.writeHeader(s.out, resp)
}

// writeHeader writes the header of an upstream's response.
func (g *Gateway) writeHeader(w http.ResponseWriter, resp *response) {
	h := w.Header()
	for name, values := range platform.ForwardedHeader(resp.Header) {
		h[name] = values
	}
	if h["Content-Type"] == nil {
		// A nil entry keeps net/http from guessing the type.
		h["Content-Type"] = nil
	}
	g.setConnectionHeader(h)
	w.WriteHeader(resp.head.Status)
}

// writeResponse writes an upstream's complete response.
func (g *Gateway) writeResponse(w http.ResponseWriter, resp *response, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	g.writeHeader(w, resp)
	// If the write fails the caller has gone, and nobody is left to be told.
	_, _ = w.Write(body)
}
