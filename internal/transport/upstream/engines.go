// Package upstream calls engines and plain services.
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
	"lovageport.example/internal/transport/call"
	"lovageport.example/pkg/verdict"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Times of calls to engines.
const (
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout = 500 * time.Millisecond
	// SilenceTimeout is how long a stage of a chain may say nothing.
	SilenceTimeout = 700 * time.Millisecond
	// ProbeTimeout bounds a probe on a fresh connection.
	ProbeTimeout = 300 * time.Millisecond
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 4 << 10
	// streamBufferBytes is the size of a stream's read buffer.
	streamBufferBytes = 4 << 10
	maxIdlePerHost    = 64
)

// Engines runs attempts on chains of engines.
type Engines struct {
	// Dial opens connections; the network's if nil.
	Dial Dialer

	client *http.Client
}

// NewEngines returns Engines that connect with dial; nil for the network's.
func NewEngines(dial Dialer) *Engines {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Engines{Dial: dial, client: &http.Client{Transport: &http.Transport{
		MaxResponseHeaderBytes: call.MaxHeadBytes,
		DialContext:            limitDial(dial),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
	}}}
}

// Close closes idle connections.
func (e *Engines) Close() { e.client.CloseIdleConnections() }

// unconnectedError says that no connection could be made, and so no byte sent.
type unconnectedError struct{ err error }

func (e *unconnectedError) Error() string { return "upstream: no connection: " + e.err.Error() }
func (e *unconnectedError) Unwrap() error { return e.err }

// limitDial bounds the time to connect and marks failures to do so.
func limitDial(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, &unconnectedError{err}
		}
		return conn, nil
	}
}

// Stream is the answer to one attempt.
type Stream struct {
	request  *engine.RunRequest
	body     io.ReadCloser
	reader   *bufio.Reader
	watchdog *time.Timer
	silent   *atomic.Bool
	cancel   context.CancelFunc
	// heard is when each stage of the route was last heard.
	heard []time.Time
}

// Run starts an attempt at the stage of its route that Position names. An error
// carries a verdict; the upstream it names is that stage, or the one that
// refused.
func (e *Engines) Run(ctx context.Context, run *engine.RunRequest) (*Stream, error) {
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
		return nil, s.lost(err)
	}
	s.body = response.Body
	if response.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, s.refusal(response)
	}
	s.reader = bufio.NewReaderSize(response.Body, streamBufferBytes)
	s.heard = make([]time.Time, len(run.Route)-run.Position)
	now := time.Now()
	for i := range s.heard {
		s.heard[i] = now
	}
	return s, nil
}

func (e *Engines) post(ctx context.Context, address string, body []byte) (*http.Response, error) {
	// The body's type hides from the HTTP library how to read it again, so
	// that it never sends an attempt twice.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.RunPath, reader)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return e.client.Do(request)
}

// Close ends the attempt; the engines cancel it.
func (s *Stream) Close() {
	s.watchdog.Stop()
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
}

// Next returns the next frame. At the end of the body it returns an error: a
// whole answer ends with a Done frame, after which Next is not called.
func (s *Stream) Next() (engine.Frame, error) {
	line, err := s.readLine()
	if err != nil {
		return engine.Frame{}, err
	}
	s.watchdog.Reset(SilenceTimeout)
	frame, err := engine.DecodeFrame(line)
	if err != nil {
		return frame, s.fault(verdict.UpstreamProtocol, "", err)
	}
	if frame.Request != s.request.Request {
		return frame, s.fault(verdict.UpstreamProtocol, "", errors.New("answer to another request"))
	}
	if quiet := s.hear(&frame); quiet != "" {
		return frame, s.fault(verdict.UpstreamSilent, quiet, errors.New("no heartbeat"))
	}
	return frame, nil
}

// readLine returns the next line. A line that does not fit the buffer is
// gathered, up to the bound of a frame.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, s.lineError(err)
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > engine.MaxFrameBytes {
			return nil, s.fault(verdict.UpstreamProtocol, "", errors.New("frame too long"))
		}
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, s.lineError(err)
}

// lineError explains why a line has no end. A whole answer ends with a Done
// frame, so that the end of the body always comes too early.
func (s *Stream) lineError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return s.lost(io.ErrUnexpectedEOF)
	}
	return s.lost(err)
}

// More says whether the next frame has arrived already.
func (s *Stream) More() bool {
	waiting, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && bytes.IndexByte(waiting, '\n') >= 0
}

// Finish ends a whole answer: it reads the end of the body, so that the
// connection can be used again.
func (s *Stream) Finish() {
	s.watchdog.Reset(SilenceTimeout)
	go func() {
		defer s.Close()
		// An error only means that the connection is not kept.
		_, _ = io.CopyN(io.Discard, s.reader, maxRefusalBytes)
	}()
}

func (s *Stream) head() string { return s.stage(0) }

// stage returns the name of the i-th stage from the one that was called.
func (s *Stream) stage(i int) string { return s.request.Route[s.request.Position+i].Upstream }

// hear notes which stages are alive, and returns the first that is silent.
func (s *Stream) hear(f *engine.Frame) string {
	now := time.Now()
	for i := range s.heard {
		// A frame passes through all stages before the one that made it.
		s.heard[i] = now
		if f.Kind == engine.Heartbeat && s.stage(i) == f.Upstream {
			break
		}
	}
	for i, at := range s.heard {
		if now.Sub(at) > SilenceTimeout {
			return s.stage(i)
		}
	}
	return ""
}

func (s *Stream) fault(reason verdict.Reason, upstream string, err error) *verdict.Error {
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: reason, Upstream: upstream, Err: err}
}

// lost explains a broken connection to the first stage.
func (s *Stream) lost(err error) *verdict.Error {
	var unconnected *unconnectedError
	switch {
	case errors.As(err, &unconnected):
		return &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamRefused, Upstream: s.head(), Err: err}
	case s.silent.Load():
		return s.fault(verdict.UpstreamSilent, s.head(), err)
	}
	return s.fault(verdict.UpstreamLost, s.head(), err)
}

// refusal explains a status other than 200. Only a refusal that names this
// attempt proves that it did not run.
func (s *Stream) refusal(response *http.Response) *verdict.Error {
	var refusal engine.Refusal
	text, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(text, &refusal)
	}
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || refusal.Attempt != s.request.Attempt || refusal.Request != s.request.Request {
		return s.fault(verdict.UpstreamProtocol, s.head(), errors.New("unexpected status "+response.Status))
	}
	return &verdict.Error{Run: verdict.NotRun, Reason: ReasonOf(refusal.Fault), Upstream: refusal.Upstream}
}

// ReasonOf returns the reason for an engine's fault.
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

// Probe is what a fresh connection to an upstream shows.
type Probe uint8

// The results of probes.
const (
	// Alive says that the upstream answered.
	Alive Probe = iota
	// Gone says that the VM refused the connection: the process has ended.
	Gone
	// Unanswered says that nothing came back in time.
	Unanswered
)

// Probe asks an engine on a fresh connection whether it lives.
func (e *Engines) Probe(ctx context.Context, address string) Probe {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	conn, err := e.Dial(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Gone
		}
		return Unanswered
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.HealthPath, nil)
	if err != nil {
		return Unanswered
	}
	request.Close = true
	if err := request.Write(conn); err != nil {
		return Unanswered
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, call.MaxHeadBytes)), request)
	if err != nil {
		return Unanswered
	}
	response.Body.Close()
	return Alive
}
