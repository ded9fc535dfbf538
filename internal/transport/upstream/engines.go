// Package upstream calls upstreams: model engines and plain services.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/httpclient"
	"lovageport.example/pkg/verdict"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Timeouts and limits of calls to engines.
const (
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout = 500 * time.Millisecond
	// SilenceTimeout is the time without a frame or heartbeat after which a stage
	// of a chain is considered failed.
	SilenceTimeout = 700 * time.Millisecond
	// ProbeTimeout limits a probe, including the time to connect.
	ProbeTimeout = 300 * time.Millisecond
	// maxRefusalBytes limits the body of a refusal.
	maxRefusalBytes = 4 << 10
	// streamBufferBytes is the size of a stream's read buffer.
	streamBufferBytes = 4 << 10
	maxIdlePerHost    = 64
)

// EngineClient runs attempts on chains of engines.
type EngineClient struct {
	// Dial opens the connections of probes.
	Dial DialFunc

	client *http.Client
}

// NewEngineClient returns a client that connects with dial, or with a net.Dialer
// if dial is nil.
func NewEngineClient(dial DialFunc) *EngineClient {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &EngineClient{Dial: dial, client: &http.Client{Transport: &http.Transport{
		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
		DialContext:            limitDial(dial),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
	}}}
}

// Close closes idle connections.
func (e *EngineClient) Close() { e.client.CloseIdleConnections() }

// connectError is a failure to connect, which means that no byte was sent.
type connectError struct{ err error }

func (e *connectError) Error() string { return "upstream: cannot connect: " + e.err.Error() }
func (e *connectError) Unwrap() error { return e.err }

// limitDial limits the time to connect to [ConnectTimeout] and wraps failures in
// [unconnectedError].
func limitDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, &connectError{err}
		}
		return conn, nil
	}
}

// Stream is the streamed response to one attempt.
type Stream struct {
	request  *engine.RunRequest
	body     io.ReadCloser
	reader   *bufio.Reader
	watchdog *time.Timer
	silent   *atomic.Bool
	cancel   context.CancelFunc
	// lastSeen is when each stage of the route was last known to be alive,
	// starting with the stage that was called.
	lastSeen []time.Time
}

// Run starts an attempt at stage run.Position of its route. The error is a
// [verdict.Error], whose Upstream is that stage or the one that refused.
func (e *EngineClient) Run(ctx context.Context, run *engine.RunRequest) (*Stream, error) {
	body, err := json.Marshal(run)
	if err != nil {
		return nil, verdict.Refuse(verdict.Internal, "request can't be encoded: %v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var silent atomic.Bool
	watchdog := time.AfterFunc(SilenceTimeout, func() {
		silent.Store(true)
		cancel()
	})
	s := &Stream{request: run, watchdog: watchdog, silent: &silent, cancel: cancel}
	response, err := e.post(ctx, run.Route[run.Position].Address, body)
	if err != nil {
		s.Close()
		return nil, s.connectionError(err)
	}
	s.body = response.Body
	if response.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, s.refusalError(response)
	}
	s.reader = bufio.NewReaderSize(response.Body, streamBufferBytes)
	s.lastSeen = make([]time.Time, len(run.Route)-run.Position)
	now := time.Now()
	for i := range s.lastSeen {
		s.lastSeen[i] = now
	}
	return s, nil
}

// post sends an attempt to the engine at address.
func (e *EngineClient) post(ctx context.Context, address string, body []byte) (*http.Response, error) {
	// The type of the body hides from net/http how to rewind it, so that it never
	// sends an attempt twice.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.RunPath, reader)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return e.client.Do(request)
}

// Close cancels the attempt at the engines, unless it has completed, and releases
// the stream.
func (s *Stream) Close() {
	s.watchdog.Stop()
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
	s.watchdog.Reset(SilenceTimeout)
	if silentStage := s.recordAlive(&frame); silentStage != "" {
		return frame, s.newError(verdict.UpstreamSilent, silentStage, errors.New("no heartbeat within the silence timeout"))
	}
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
	s.watchdog.Reset(SilenceTimeout)
	go func() {
		defer s.Close()
		// An error only means that the connection is not reused.
		_, _ = io.CopyN(io.Discard, s.reader, maxRefusalBytes)
	}()
}

func (s *Stream) firstStage() string { return s.stage(0) }

// stage returns the upstream of the i-th stage, counted from the one that was
// called.
func (s *Stream) stage(i int) string { return s.request.Route[s.request.Position+i].Upstream }

// recordAlive records which stages f shows to be alive, and returns the first
// stage that has exceeded [SilenceTimeout], or "".
func (s *Stream) recordAlive(f *engine.Frame) string {
	now := time.Now()
	for i := range s.lastSeen {
		// A frame passes through all stages before the one that sent it.
		s.lastSeen[i] = now
		if f.Kind == engine.Heartbeat && s.stage(i) == f.Upstream {
			break
		}
	}
	for i, at := range s.lastSeen {
		if now.Sub(at) > SilenceTimeout {
			return s.stage(i)
		}
	}
	return ""
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
		return &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamRefused, Upstream: s.firstStage(), Err: err}
	case s.silent.Load():
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

// ProbeResult is the result of a health check on a new connection.
type ProbeResult uint8

// The probe results.
const (
	// ProbeAlive means that the upstream responded.
	ProbeAlive ProbeResult = iota
	// ProbeRefused means that the VM refused the connection: the process has
	// ended.
	ProbeRefused
	// ProbeUnanswered means that no response arrived, for example within
	// [ProbeTimeout].
	ProbeUnanswered
)

// Probe checks the health of an engine on a new connection, so that a fault of an
// existing connection does not affect the result.
func (e *EngineClient) Probe(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	conn, err := e.Dial(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return ProbeRefused
		}
		return ProbeUnanswered
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.HealthPath, nil)
	if err != nil {
		return ProbeUnanswered
	}
	request.Close = true
	if err := request.Write(conn); err != nil {
		return ProbeUnanswered
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, httpclient.MaxHeaderBytes)), request)
	if err != nil {
		return ProbeUnanswered
	}
	response.Body.Close()
	return ProbeAlive
}
