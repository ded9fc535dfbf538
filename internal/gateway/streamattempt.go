package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
)

// errSuperseded is returned for events that arrived after the successor of their
// attempt had begun to send them.
var errSuperseded = errors.New("gateway: the next attempt has begun to answer")

// streamAttempt is an attempt of a generation on one chain. While another one runs,
// it is made beside it: only its first events are read.
type streamAttempt struct {
	g      *Gateway
	q      *request
	target target
	// ctx ends with the attempt.
	ctx    context.Context
	cancel context.CancelFunc
	// detector is nil before begin.
	detector *stallDetector
	// response is nil before its header has arrived.
	response *response
	reader   eventReader
	// resumeAfter is the ID of the event after which the attempt resumes, and
	// sequence the place of the first events, after which the generation keeps it.
	resumeAfter string
	sequence    eventSequence
	// first holds the first events, and firstErr their error, if they have been
	// read beside another attempt; hasFirst is set until they are passed on.
	first    []byte
	firstErr error
	hasFirst bool
	// sentAt is the boot time at which the request was sent, and reads how often
	// events were read. answered is set once they show that the engine answers.
	sentAt   time.Duration
	reads    int
	answered bool
	// prefixRecorded is set once the first event is recorded as feedback on what the
	// engines cached, and version is the version of the weights recorded last.
	prefixRecorded bool
	version        uint64
}

// newStreamAttempt returns an attempt for which nothing was sent yet.
func newStreamAttempt(g *Gateway, q *request, to target) *streamAttempt {
	return &streamAttempt{g: g, q: q, target: to}
}

// begin begins the attempt, which sends nothing yet, and the detection of stalls.
func (a *streamAttempt) begin(ctx context.Context, resumeAfter string, after eventSequence) {
	a.resumeAfter, a.sequence = resumeAfter, after
	a.sequence.beginRun()
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.reader.sequence = &a.sequence
	a.reader.share.Budget = &a.g.answerMemory
	a.detector = newStallDetector(ctx, a)
}

// send sends the request and waits for the header of the response.
func (a *streamAttempt) send() error {
	a.sentAt = a.g.Now()
	resp, err := a.g.sendOn(a.ctx, a.q, a.target, a.resumeAfter, a.detector.setConn)
	if err != nil {
		a.recordUnanswered(err)
		return err
	}
	a.response, a.reader.source = resp, resp
	a.detector.setResponse(resp)
	return nil
}

// begun reports whether the attempt has begun.
func (a *streamAttempt) begun() bool { return a.detector != nil }

// open sends the request and reads the first events beside another attempt. An
// error means that the upstream has not begun to answer.
func (a *streamAttempt) open() error {
	if err := a.send(); err != nil {
		return a.detector.attribute(err)
	}
	head := a.response.head
	switch {
	case head.Status != http.StatusOK && a.resumeAfter == "" && head.Status < http.StatusInternalServerError:
		return nil
	case head.Status != http.StatusOK:
		return a.g.recordFailure(a.q, a.target, &verdict.Error{Run: verdict.Ran, Reason: verdict.UpstreamLost, Message: "upstream failed"}, head)
	case !head.EventStream:
		return a.recordBrokenStream(a.resumeAfter, errNoEventStream)
	}
	return a.readFirst()
}

// readFirst reads the first events, or the end of a stream of which the caller
// already has all events. The error is errSuperseded if the next attempt has begun
// to send them.
func (a *streamAttempt) readFirst() error {
	a.first, a.firstErr = a.reader.next()
	a.hasFirst = true
	switch {
	case a.firstErr == nil:
		if !a.detector.recordEvent(a.g.Now(), a.sequence) {
			return errSuperseded
		}
		a.recordRead(false)
		a.recordPrefix()
		return nil
	case a.firstErr != io.EOF:
		return a.detector.attribute(a.recordBrokenStream(a.resumeAfter, a.firstErr))
	case a.resumeAfter == "":
		return a.recordBrokenStream(a.resumeAfter, errNoEvent)
	case a.sequence.checkEnd() != nil:
		return a.recordBrokenStream(a.resumeAfter, a.sequence.checkEnd())
	}
	return nil
}

// nextEvents returns the next events to be passed on, which are valid until the
// next call. The error is errSuperseded if the next attempt sends them, and
// otherwise that of the stream.
func (a *streamAttempt) nextEvents() ([]byte, error) {
	if a.hasFirst {
		a.hasFirst = false
		return a.first, a.firstErr
	}
	events, err := a.reader.next()
	if err != nil {
		return nil, err
	}
	if !a.detector.recordEvent(a.g.Now(), *a.reader.sequence) {
		return nil, errSuperseded
	}
	a.recordRead(false)
	a.recordPrefix()
	return events, nil
}

// end ends the attempt with its result and releases its target. It returns the
// next attempt, if one was found. One that has been sent is waited for unless the
// generation is over: its answer is as near as that of any other.
func (a *streamAttempt) end(err error) *streamAttempt {
	if a.response != nil {
		a.response.Close()
	}
	a.reader.share.Release()
	last, successor := a.detector.stop(err != nil && verdict.Of(err).Reason != verdict.CallerGone)
	a.cancel()
	a.g.control.Send(func(s *state) { s.release(a.q, last) })
	return successor
}

// discard ends an attempt that is not needed. Its target is returned if nothing
// was sent. It does not wait for the end.
func (a *streamAttempt) discard() {
	if !a.begun() {
		a.g.control.Send(func(s *state) { s.returnTarget(a.q, a.target) })
		return
	}
	a.g.goContained(func() {
		if next := a.end(nil); next != nil {
			next.discard()
		}
	})
}

// recordBrokenStream records a stream that ended early, after the event of an ID,
// and returns its error.
func (a *streamAttempt) recordBrokenStream(lastEventID string, err error) error {
	e := &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamLost, Upstream: a.target.upstream.Instance, Err: err}
	if a.ctx.Err() != nil {
		return e
	}
	if errors.Is(err, buffer.ErrExhausted) {
		// The upstream is not at fault.
		e.Reason = verdict.AnswerMemoryFull
		return e
	}
	a.g.Log.Info("stream broke", zap.String("request", a.q.ID), zap.Int("attempt", a.q.history().attempts), zap.String("upstream", a.target.upstream.Instance),
		zap.String("last_event", lastEventID), zap.Strings("shared_parts", a.q.SharedParts), zap.Error(err))
	a.recordUnanswered(err)
	if errors.Is(err, http1.ErrMalformed) {
		e.Reason = verdict.UpstreamProtocol
		a.g.control.Do(func(s *state) { s.attributeFailure(a.q, a.target, e, relay.ResponseHead{}, a.g.Now()) })
		return e
	}
	a.g.checkCrash(a.ctx, a.q, a.target.upstream)
	return e
}
