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

// frameWriter writes frames. Heartbeats come from a separate goroutine, so
// writes are serialized.
type frameWriter struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
}

func newFrameWriter(w http.ResponseWriter) *frameWriter {
	return &frameWriter{w: w, control: http.NewResponseController(w)}
}

func (f *frameWriter) writeLine(text []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.w.Write(append(text, '\n')); err != nil {
		return err
	}
	return f.control.Flush()
}

// session is one attempt at one stage.
type session struct {
	engine *Engine
	run    *engine.RunRequest
	span   engine.Span
	delays delays
	out    *frameWriter
}

func (s *session) serve(r *http.Request) {
	// The prompt runs through the first stage first, so a crash there comes
	// before the next stage gets the request.
	if text := s.engine.currentFaults().CrashOnPrompt; text != "" && strings.Contains(s.run.Prompt, text) {
		s.engine.recordAccepted(s.run)
		s.crash()
	}
	if s.run.Position == len(s.run.Route)-1 {
		s.start(r.Context(), func() { s.generate(r.Context()) })
		return
	}
	response, err := s.callNextStage(r.Context())
	if err != nil {
		s.reportStageFailure(err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		s.out.w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(s.out.w, response.Body)
		return
	}
	s.start(r.Context(), func() { s.relay(response.Body) })
}

// callNextStage sends the request to the next stage.
func (s *session) callNextStage(ctx context.Context) (*http.Response, error) {
	s.engine.once.Do(s.engine.createClient)
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
	request.Header.Set(delaysHeader, fmt.Sprintf("%d %d", s.delays.Token, s.delays.Prefill))
	return s.engine.client.Do(request)
}

func (e *Engine) createClient() {
	dial := e.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	e.client = &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// Close closes the idle connections to next stages.
func (e *Engine) Close() {
	e.once.Do(e.createClient)
	e.client.CloseIdleConnections()
}

// reportStageFailure answers after a call of the next stage has failed: with
// a refusal, which says that the request did not run, if the connection was
// refused, or else with a Failed frame.
func (s *session) reportStageFailure(err error) {
	name := s.run.Route[s.run.Position+1].Upstream
	if errors.Is(err, syscall.ECONNREFUSED) {
		writeRefusal(s.out.w, s.run, name, engine.FaultUnreachable)
		return
	}
	s.out.w.WriteHeader(http.StatusOK)
	s.emit(engine.Frame{Kind: engine.Failed, Upstream: name, Fault: engine.FaultLost})
}

// start begins the response and sends heartbeats until work returns.
func (s *session) start(ctx context.Context, work func()) {
	s.engine.recordAccepted(s.run)
	s.out.w.WriteHeader(http.StatusOK)
	_ = s.out.control.Flush()
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { s.sendHeartbeats(ctx) })
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

func (s *session) sendHeartbeats(ctx context.Context) {
	for sleep(ctx, heartbeatInterval) {
		s.engine.waitWhileFrozen()
		if ctx.Err() != nil || s.emit(engine.Frame{Kind: engine.Heartbeat, Upstream: s.engine.Name, Load: s.engine.load()}) != nil {
			return
		}
	}
}

// emit sends a frame with the IDs of this request and attempt.
func (s *session) emit(f engine.Frame) error {
	f.Request = s.run.Request
	f.Attempt = s.run.Attempt
	if s.engine.currentFaults().WrongRequest {
		f.Request = "another"
	}
	return s.write(f)
}

// write sends a frame as it is.
func (s *session) write(f engine.Frame) error {
	text, err := json.Marshal(&f)
	if err != nil {
		return err
	}
	return s.out.writeLine(text)
}

// generate generates the tokens, as the last stage.
func (s *session) generate(ctx context.Context) {
	if !sleep(ctx, s.delays.Prefill) {
		return
	}
	for i := len(s.run.Resume); i < s.run.MaxTokens; i++ {
		if !sleep(ctx, s.delays.Token) {
			return
		}
		s.engine.waitWhileFrozen()
		faults := s.engine.currentFaults()
		if faults.EndEarly && i >= s.run.MaxTokens/2 {
			break
		}
		frame := engine.Frame{Kind: engine.Token, Index: i, Text: TokenText(s.run.Prompt, i)}
		if s.runToken(frame, faults) != nil {
			return
		}
	}
	_ = s.emit(engine.Frame{Kind: engine.Done, Tokens: s.run.MaxTokens, FinishReason: "length"})
}

// runToken runs a token through the layers of this stage and sends it on.
func (s *session) runToken(f engine.Frame, faults Faults) error {
	if faults.DisconnectBeforeToken > 0 && f.Index >= faults.DisconnectBeforeToken {
		panic(http.ErrAbortHandler)
	}
	if faults.CrashBeforeToken > 0 && f.Index >= faults.CrashBeforeToken {
		s.crash()
	}
	if faults.Stray != nil {
		for _, stray := range faults.Stray(s.run, f.Index) {
			if err := s.write(stray); err != nil {
				return err
			}
		}
	}
	s.engine.recordRun(s.run, f.Index, s.span)
	if !faults.SkipTrace {
		f.Trace = append([]engine.Span{s.span}, f.Trace...)
	}
	if err := s.emit(f); err != nil || !faults.RepeatToken {
		return err
	}
	return s.emit(f)
}

// relay forwards the frames of the next stage.
func (s *session) relay(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, engine.MaxFrameBytes)
	for scanner.Scan() {
		s.engine.waitWhileFrozen()
		f, err := engine.DecodeFrame(scanner.Bytes())
		if err != nil {
			break
		}
		if f.Kind == engine.Token {
			err = s.runToken(f, s.engine.currentFaults())
		} else {
			err = s.out.writeLine(bytes.Clone(scanner.Bytes()))
		}
		if err != nil || f.Kind == engine.Failed {
			return
		}
		if f.Kind == engine.Done {
			// The connection can be reused only once the body has been read
			// to the end.
			_, _ = io.Copy(io.Discard, body)
			return
		}
	}
	s.engine.waitWhileFrozen()
	_ = s.emit(engine.Frame{Kind: engine.Failed, Upstream: s.run.Route[s.run.Position+1].Upstream, Fault: engine.FaultLost})
}

// sleep waits for d. It reports false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timer.Done()
	return ctx.Err() == nil
}
