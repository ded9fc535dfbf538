package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/httpclient"
	"lovageport.example/pkg/verdict"
)

// Stream is the streamed response to one attempt. One goroutine opens and reads
// it; SilentStage and GiveUp may be called by others.
type Stream struct {
	client  *EngineClient
	request *engine.RunRequest
	ctx     context.Context
	cancel  context.CancelFunc
	gaveUp  atomic.Bool
	body    io.ReadCloser
	reader  *bufio.Reader

	mu sync.Mutex
	// lastSeen is when each stage of the route was last known to be alive,
	// starting with the stage that is called. Guarded by mu.
	lastSeen []time.Time
}

// NewStream returns the stream of an attempt at stage run.Position of its route.
// It must be closed or finished.
func (e *EngineClient) NewStream(ctx context.Context, run *engine.RunRequest) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{client: e, request: run, ctx: ctx, cancel: cancel, lastSeen: make([]time.Time, len(run.Route)-run.Position)}
	s.recordAlive(len(s.lastSeen))
	return s
}

// Open starts the attempt and returns once its response has begun. The error is a
// [verdict.Error], whose Upstream is the stage that is called or the one that
// refused.
func (s *Stream) Open() error {
	body, err := json.Marshal(s.request)
	if err != nil {
		return verdict.Refuse(verdict.Internal, "request can't be encoded: %v", err)
	}
	response, err := s.client.post(s.ctx, s.request.Route[s.request.Position].Address, body)
	if err != nil {
		return s.connectionError(err)
	}
	s.body = response.Body
	if response.StatusCode != http.StatusOK {
		return s.refusalError(response)
	}
	s.reader = bufio.NewReaderSize(response.Body, streamBufferBytes)
	s.recordAlive(len(s.lastSeen))
	return nil
}

// GiveUp ends the attempt because of its silence. The goroutine that opens or reads
// the stream gets an error.
func (s *Stream) GiveUp() {
	s.gaveUp.Store(true)
	s.cancel()
}

// Close cancels the attempt at the engines, unless it has completed, and releases
// the stream.
func (s *Stream) Close() {
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
}

// Next returns the next frame. A complete response ends with a Done frame, after
// which Next must not be called; the end of the body before that is an error.
func (s *Stream) Next() (engine.Frame, error) {
	line, err := s.readLine()
	if err != nil {
		return engine.Frame{}, err
	}
	frame, err := engine.DecodeFrame(line)
	if err != nil {
		return frame, s.newError(verdict.UpstreamProtocol, "", err)
	}
	if frame.Request != s.request.Request {
		return frame, s.newError(verdict.UpstreamProtocol, "", errors.New("frame belongs to another request"))
	}
	if frame.Attempt != s.request.Attempt {
		return frame, nil
	}
	s.recordAlive(s.stagesUpTo(&frame))
	return frame, nil
}

// readLine returns the next line. It copies a line that does not fit the buffer,
// up to the size limit of a frame.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, s.lineError(err)
	}
	full := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(full) > engine.MaxFrameBytes {
			return nil, s.newError(verdict.UpstreamProtocol, "", errors.New("frame exceeds the size limit"))
		}
		line, err = s.reader.ReadSlice('\n')
		full = append(full, line...)
	}
	return full, s.lineError(err)
}

// lineError returns the error for a line that was cut off. The end of the body is
// always premature here, as a complete response ends with a Done frame.
func (s *Stream) lineError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return s.connectionError(io.ErrUnexpectedEOF)
	}
	return s.connectionError(err)
}

// HasBuffered reports whether the next frame has already been received.
func (s *Stream) HasBuffered() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && bytes.IndexByte(buffered, '\n') >= 0
}

// Finish releases the stream of a complete response in the background. It reads
// the end of the body first, so that the connection can be reused.
func (s *Stream) Finish() {
	go func() {
		defer s.Close()
		defer time.AfterFunc(SilenceTimeout, s.cancel).Stop()
		// An error only means that the connection is not reused.
		_, _ = io.CopyN(io.Discard, s.reader, maxRefusalBytes)
	}()
}

func (s *Stream) firstStage() string { return s.stage(0) }

// stage returns the upstream of the i-th stage, counted from the one that was
// called.
func (s *Stream) stage(i int) string { return s.request.Route[s.request.Position+i].Upstream }

// stagesUpTo returns how many stages f shows to be alive: it passes through all
// stages before the one that sent it.
func (s *Stream) stagesUpTo(f *engine.Frame) int {
	if f.Kind == engine.Heartbeat {
		for i := range s.lastSeen {
			if s.stage(i) == f.Upstream {
				return i + 1
			}
		}
	}
	return len(s.lastSeen)
}

// recordAlive records that the first n stages are alive.
func (s *Stream) recordAlive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range n {
		s.lastSeen[i] = now
	}
}

// SilentStage returns the first stage of which nothing was heard for
// [SilenceTimeout], or "" and the time until that may be the case. Time in which
// this process did not run does not count, since frames may have arrived then.
func (s *Stream) SilentStage() (string, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait := SilenceTimeout
	for i, at := range s.lastSeen {
		left := SilenceTimeout - s.client.Running.of(at, now)
		if left <= 0 {
			return s.stage(i), 0
		}
		wait = min(wait, left)
	}
	return "", wait
}

// newError returns an error after which the attempt may have run.
func (s *Stream) newError(reason verdict.Reason, upstream string, err error) *verdict.Error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: reason, Upstream: upstream, Err: err}
}

// connectionError returns the error for a failed connection to the first stage.
func (s *Stream) connectionError(err error) *verdict.Error {
	var connectErr *connectError
	switch {
	case errors.As(err, &connectErr):
		return connectErr.verdict(s.firstStage(), err)
	case errors.Is(err, httpclient.ErrMalformedHead):
		return s.newError(verdict.UpstreamProtocol, s.firstStage(), err)
	case s.gaveUp.Load():
		return s.newError(verdict.UpstreamSilent, s.firstStage(), err)
	}
	return s.newError(verdict.UpstreamLost, s.firstStage(), err)
}

// isRefusal reports whether a refusal is of this attempt by a stage of its route.
func (s *Stream) isRefusal(r *engine.Refusal) bool {
	return r.Request == s.request.Request && r.Attempt == s.request.Attempt && engine.Includes(s.request.Route, r.Upstream)
}

// refusalError returns the error for a status other than 200. Only a refusal that
// names this attempt proves that it did not run.
func (s *Stream) refusalError(response *http.Response) *verdict.Error {
	var refusal engine.Refusal
	text, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(text, &refusal)
	}
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || !s.isRefusal(&refusal) {
		return s.newError(verdict.UpstreamProtocol, s.firstStage(), errors.New("unexpected status "+response.Status))
	}
	return &verdict.Error{Run: verdict.NotRun, Reason: ReasonOf(refusal.Fault), Upstream: refusal.Upstream}
}

// ReasonOf returns the verdict reason for a fault that an engine reports.
func ReasonOf(fault engine.Fault) verdict.Reason {
	switch fault {
	case engine.FaultBusy:
		return verdict.UpstreamBusy
	case engine.FaultLeaving:
		return verdict.UpstreamWithdrawn
	case engine.FaultUnreachable:
		return verdict.UpstreamRefused
	case engine.FaultLost:
		return verdict.UpstreamLost
	}
	return verdict.BadRequest
}
