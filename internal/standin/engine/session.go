package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageport.example/internal/protocol/engine"
)

// output writes frames; heartbeats come from a goroutine of their own.
type output struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
}

func newOutput(w http.ResponseWriter) *output {
	return &output{w: w, control: http.NewResponseController(w)}
}

func (o *output) line(text []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, err := o.w.Write(append(text, '\n')); err != nil {
		return err
	}
	return o.control.Flush()
}

// session is one attempt at one stage.
type session struct {
	engine *Engine
	run    *engine.RunRequest
	span   engine.Span
	times  times
	out    *output
}

func (s *session) serve(r *http.Request) {
	// The prompt runs through the first stage first; a later one never gets to
	// see what crashes it.
	if text := s.engine.currentFaults().CrashOnPrompt; text != "" && strings.Contains(s.run.Prompt, text) {
		s.engine.accept(s.run)
		s.crash()
	}
	if s.run.Position == len(s.run.Route)-1 {
		s.begin(r.Context(), func() { s.generate(r.Context()) })
		return
	}
	response, err := s.next(r.Context())
	if err != nil {
		s.refuseFor(err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.out.w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(s.out.w, response.Body)
		return
	}
	s.begin(r.Context(), func() { s.relay(response.Body) })
}

// next calls the next stage.
func (s *session) next(ctx context.Context) (*http.Response, error) {
	s.engine.once.Do(s.engine.connect)
	next := *s.run
	next.Position++
	body, err := json.Marshal(&next)
	if err != nil {
		return nil, err
	}
	address := next.Route[next.Position].Address
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.RunPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(timesHeader, fmt.Sprintf("%d %d", s.times.Token, s.times.Prefill))
	return s.engine.client.Do(request)
}

func (e *Engine) connect() {
	dial := e.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	e.client = &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// Close closes idle connections to next stages.
func (e *Engine) Close() {
	e.once.Do(e.connect)
	e.client.CloseIdleConnections()
}

// refuseFor answers for a next stage that could not be called: not run if it
// was never reached.
func (s *session) refuseFor(err error) {
	name := s.run.Route[s.run.Position+1].Upstream
	if errors.Is(err, syscall.ECONNREFUSED) {
		refuse(s.out.w, s.run, name, engine.FaultUnreachable)
		return
	}
	s.out.w.WriteHeader(http.StatusOK)
	s.emit(engine.Frame{Kind: engine.Failed, Upstream: name, Fault: engine.FaultLost})
}

// begin says that the attempt runs, and sends heartbeats until work is done.
func (s *session) begin(ctx context.Context, work func()) {
	s.engine.accept(s.run)
	s.out.w.WriteHeader(http.StatusOK)
	_ = s.out.control.Flush()
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.beat(ctx) })
	defer group.Wait()
	defer cancel()
	work()
}

func (s *session) crash() {
	s.engine.mu.Lock()
	s.engine.crashed = true
	s.engine.mu.Unlock()
	s.engine.OnCrash()
	panic(http.ErrAbortHandler)
}

func (s *session) beat(ctx context.Context) {
	for sleep(ctx, heartbeatInterval) {
		s.engine.thaw()
		if ctx.Err() != nil || s.emit(engine.Frame{Kind: engine.Heartbeat, Upstream: s.engine.Name, Load: s.engine.load()}) != nil {
			return
		}
	}
}

// emit sends a frame of this attempt.
func (s *session) emit(f engine.Frame) error {
	f.Request = s.run.Request
	f.Attempt = s.run.Attempt
	if s.engine.currentFaults().WrongRequest {
		f.Request = "another"
	}
	text, err := json.Marshal(&f)
	if err != nil {
		return err
	}
	return s.out.line(text)
}

// generate makes the tokens, as the last stage.
func (s *session) generate(ctx context.Context) {
	if !sleep(ctx, s.times.Prefill) {
		return
	}
	for i := len(s.run.Resume); i < s.run.MaxTokens; i++ {
		if !sleep(ctx, s.times.Token) {
			return
		}
		s.engine.thaw()
		faults := s.engine.currentFaults()
		if faults.EndEarly && i >= s.run.MaxTokens/2 {
			break
		}
		frame := engine.Frame{Kind: engine.Token, Index: i, Text: TokenText(s.run.Prompt, i)}
		if s.send(frame, faults) != nil {
			return
		}
	}
	_ = s.emit(engine.Frame{Kind: engine.Done, Tokens: s.run.MaxTokens, FinishReason: "length"})
}

// send runs a token through this stage's layers and sends it on.
func (s *session) send(f engine.Frame, faults Faults) error {
	if faults.DisconnectBeforeToken > 0 && f.Index >= faults.DisconnectBeforeToken {
		panic(http.ErrAbortHandler)
	}
	if faults.CrashBeforeToken > 0 && f.Index >= faults.CrashBeforeToken {
		s.crash()
	}
	s.engine.record(s.run, f.Index, s.span)
	if !faults.SkipTrace {
		f.Trace = append([]engine.Span{s.span}, f.Trace...)
	}
	if err := s.emit(f); err != nil || !faults.RepeatToken {
		return err
	}
	return s.emit(f)
}

// relay passes on the frames of the next stage.
func (s *session) relay(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, engine.MaxFrameBytes)
	for scanner.Scan() {
		s.engine.thaw()
		f, err := engine.DecodeFrame(scanner.Bytes())
		if err != nil {
			break
		}
		if f.Kind == engine.Token {
			err = s.send(f, s.engine.currentFaults())
		} else {
			err = s.out.line(bytes.Clone(scanner.Bytes()))
		}
		if err != nil || f.Kind == engine.Failed {
			return
		}
		if f.Kind == engine.Done {
			// The connection can be used again once its end has been read.
			_, _ = io.Copy(io.Discard, body)
			return
		}
	}
	s.engine.thaw()
	_ = s.emit(engine.Frame{Kind: engine.Failed, Upstream: s.run.Route[s.run.Position+1].Upstream, Fault: engine.FaultLost})
}

// sleep waits for d. It says false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timer.Done()
	return ctx.Err() == nil
}
