// Package service simulates a plain service. It records each call that it
// runs.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lovageport.example/internal/transport/upstream"
)

// Effect is a call that the service has run.
type Effect struct {
	Method  string
	Path    string
	Body    string
	Attempt string
	Key     string
}

// Faults selects the faults that the service injects. The zero value selects
// none.
type Faults struct {
	// ResetBefore aborts the connection before the call runs.
	ResetBefore bool
	// ResetAfter aborts the connection after the call has run.
	ResetAfter bool
	// TruncateResponse aborts the connection after half of the response body.
	TruncateResponse bool
	// WrongAttempt names another attempt in the response.
	WrongAttempt bool
	// Delay is the time to wait before the call runs.
	Delay time.Duration
	// Hang sends no response after the call has run.
	Hang bool
	// Status, if not 0, replaces the response status 200 after the call has
	// run.
	Status int
}

// Service is a simulated plain service. Its zero value is ready to use.
type Service struct {
	Name string

	mu      sync.Mutex
	effects []Effect
	faults  Faults
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Effects returns the calls that have run.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

// Response is the body of a response.
type Response struct {
	Service string
	// Effect is the number of calls run so far, including this one.
	Effect int
	Body   string
}

// EffectsPath is the path that returns the effects.
const EffectsPath = "/effects"

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == EffectsPath {
		_ = json.NewEncoder(w).Encode(s.Effects())
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.ResetBefore {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(faults.Delay)
	n := s.recordEffect(r, string(body))
	if faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, r, faults, Response{s.Name, n, string(body)})
}

func (s *Service) recordEffect(r *http.Request, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, Effect{
		Method:  r.Method,
		Path:    r.URL.Path,
		Body:    body,
		Attempt: r.Header.Get(upstream.AttemptHeader),
		Key:     r.Header.Get("Idempotency-Key"),
	})
	return len(s.effects)
}

func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, faults Faults, answer Response) {
	text, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	attempt := r.Header.Get(upstream.AttemptHeader)
	if faults.WrongAttempt {
		attempt = "another"
	}
	w.Header().Set(upstream.AttemptHeader, attempt)
	w.Header().Set("Content-Type", "application/json")
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	w.WriteHeader(status)
	if faults.TruncateResponse {
		_, _ = w.Write(text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}
