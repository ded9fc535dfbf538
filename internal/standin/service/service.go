// Package service is a stand-in for a plain service. It records every side
// effect.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lovageport.example/internal/transport/upstream"
)

// Effect is a call that ran.
type Effect struct {
	Method  string
	Path    string
	Body    string
	Attempt string
	Key     string
}

// Faults are what goes wrong. The zero value is a service in good order.
type Faults struct {
	// ResetBefore breaks the connection before the call runs.
	ResetBefore bool
	// ResetAfter breaks the connection after the call has run.
	ResetAfter bool
	// TruncateResponse breaks the connection after a part of the answer.
	TruncateResponse bool
	// WrongAttempt names another attempt in the answer.
	WrongAttempt bool
	// Delay is waited before the call runs.
	Delay time.Duration
	// Hang never answers, after the call has run.
	Hang bool
	// Status is answered instead of 200, after the call has run.
	Status int
}

// Service is the stand-in. Its zero value is ready to use.
type Service struct {
	Name string

	mu      sync.Mutex
	effects []Effect
	faults  Faults
}

// SetFaults sets what goes wrong from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Effects returns the calls that ran.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

// Response is the body of an answer.
type Response struct {
	Service string
	// Effect counts the calls that ran.
	Effect int
	Body   string
}

// EffectsPath lists the effects.
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
	n := s.run(r, string(body))
	if faults.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, faults, Response{s.Name, n, string(body)})
}

func (s *Service) run(r *http.Request, body string) int {
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

func (s *Service) answer(w http.ResponseWriter, r *http.Request, faults Faults, answer Response) {
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
