// Package engine is a stand-in for a model engine that holds a range of
// layers. Its tokens are a function of the prompt, so that any two chains make
// the same answer, and it records each token that it has run.
package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/upstream"
)

// heartbeatInterval is how often a stage says that it is at work.
const heartbeatInterval = 200 * time.Millisecond

// Faults are what goes wrong. The zero value is an engine in good order.
type Faults struct {
	// Busy refuses all requests, Leaving too, in other words.
	Busy    bool
	Leaving bool
	// CrashOnPrompt has the engine crash when a prompt holds this text.
	CrashOnPrompt string
	// DisconnectBeforeToken breaks the answer off before the token of this index, if above 0.
	DisconnectBeforeToken int
	// CrashBeforeToken has the engine crash before the token of this index, if above 0.
	CrashBeforeToken int
	// WrongRequest names another request in its frames.
	WrongRequest bool
	// SkipTrace leaves its own span out of the trace.
	SkipTrace bool
	// RepeatToken sends each token twice.
	RepeatToken bool
	// EndEarly ends the answer with a Done frame that counts all tokens, after
	// half of them.
	EndEarly bool
	// Reset breaks the connection once a request has been read.
	Reset bool
}

// Run is a token that the engine has run through its layers.
type Run struct {
	Request string
	Attempt string
	Index   int
	Span    engine.Span
}

// Engine is the stand-in. Set the exported fields before use.
type Engine struct {
	Name string
	// Slots is how many requests run at a time; no bound if 0.
	Slots int
	// LayersPerSecond is the speed for one stream; no time passes if 0.
	LayersPerSecond float64
	// BatchCost is the share by which each further stream slows all.
	BatchCost float64
	// PrefillPerToken is the time to take in one token of a prompt.
	PrefillPerToken time.Duration
	// NextStageLatency returns the time to the next stage, which each token takes; none if
	// nil.
	NextStageLatency func(next string) time.Duration
	// Dial opens connections to the next stage; the network's if nil.
	Dial upstream.DialFunc
	// OnCrash ends the engine when a fault says so.
	OnCrash func()
	// Unrecorded keeps no record, for measurements.
	Unrecorded bool

	once   sync.Once
	client *http.Client

	mu sync.Mutex
	// All below is guarded by mu.
	faults   Faults
	frozen   chan struct{}
	crashed  bool
	running  int
	runs     []Run
	accepted []string
	// cached holds, by request, how many tokens are in the KV cache.
	cached map[string]int
}

// SetFaults sets what goes wrong from now on.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFrozen stops the engine in its tracks, or lets it go on.
func (e *Engine) SetFrozen(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case frozen && e.frozen == nil:
		e.frozen = make(chan struct{})
	case !frozen && e.frozen != nil:
		close(e.frozen)
		e.frozen = nil
	}
}

// thaw waits while the engine is frozen.
func (e *Engine) thaw() {
	for {
		e.mu.Lock()
		frozen := e.frozen
		e.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

// Runs returns the tokens that the engine has run.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// AcceptedAttempts returns the attempts that the engine began to run.
func (e *Engine) AcceptedAttempts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.accepted)
}

// Crashed says whether a fault has crashed the engine.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// RunningRequests returns how many requests run.
func (e *Engine) RunningRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// TokenText returns the token of an index in the answer to a prompt.
func TokenText(prompt string, index int) string {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s %d", prompt, index)
	return fmt.Sprintf("w%05x ", sum.Sum64()&0xfffff)
}

// OutputText returns the first n tokens of the answer to a prompt.
func OutputText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// RunsPath lists the runs.
const RunsPath = "/runs"

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.thaw()
	switch r.URL.Path {
	case engine.HealthPath:
		w.WriteHeader(http.StatusOK)
	case RunsPath:
		_ = json.NewEncoder(w).Encode(e.Runs())
	case engine.RunPath:
		e.serveRun(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *Engine) serveRun(w http.ResponseWriter, r *http.Request) {
	var run engine.RunRequest
	if err := json.NewDecoder(r.Body).Decode(&run); err != nil || run.Check() != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	span := run.Route[run.Position].Span
	if span.Upstream != e.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	faults := e.currentFaults()
	if faults.Reset {
		panic(http.ErrAbortHandler)
	}
	if fault := e.admit(&run); fault != "" {
		refuse(w, &run, e.Name, fault)
		return
	}
	defer e.release(&run)
	s := &session{engine: e, run: &run, span: span, times: e.times(r, &run), out: newOutput(w)}
	s.serve(r)
}

// admit takes a slot, or says why there is none.
func (e *Engine) admit(run *engine.RunRequest) engine.Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.Leaving:
		return engine.FaultLeaving
	case e.faults.Busy || e.Slots > 0 && e.running >= e.Slots:
		return engine.FaultBusy
	}
	e.running++
	return ""
}

func (e *Engine) release(run *engine.RunRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func refuse(w http.ResponseWriter, run *engine.RunRequest, name string, fault engine.Fault) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Request: run.Request, Attempt: run.Attempt, Upstream: name, Fault: fault})
}

// record notes that a token has run through the layers.
func (e *Engine) record(run *engine.RunRequest, index int, span engine.Span) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Unrecorded {
		return
	}
	if e.cached == nil {
		e.cached = make(map[string]int)
	}
	e.cached[run.Request] = index + 1
	e.runs = append(e.runs, Run{run.Request, run.Attempt, index, span})
}

func (e *Engine) accept(run *engine.RunRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Unrecorded {
		e.accepted = append(e.accepted, run.Attempt)
	}
}

func (e *Engine) load() *engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &engine.Load{Running: e.running, Leaving: e.faults.Leaving}
}

// times are what the stages up to this one take.
type times struct {
	Token   time.Duration
	Prefill time.Duration
}

// timesHeader hands the times of the stages before to the next one: the last
// stage waits for all of them.
const timesHeader = "Standin-Times"

func (e *Engine) times(r *http.Request, run *engine.RunRequest) times {
	var t times
	if text := r.Header.Get(timesHeader); text != "" {
		_, _ = fmt.Sscanf(text, "%d %d", &t.Token, &t.Prefill)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	span := run.Route[run.Position].Span
	if e.LayersPerSecond > 0 {
		share := float64(span.To-span.From) / e.LayersPerSecond
		share *= 1 + e.BatchCost*float64(e.running-1)
		t.Token += time.Duration(share * float64(time.Second))
	}
	if next := run.Position + 1; e.NextStageLatency != nil && next < len(run.Route) {
		t.Token += e.NextStageLatency(run.Route[next].Upstream)
	}
	// What is in the KV cache need not be computed again.
	if e.cached[run.Request] < len(run.Resume) || len(run.Resume) == 0 {
		t.Prefill += time.Duration(len(strings.Fields(run.Prompt))+len(run.Resume)) * e.PrefillPerToken
	}
	return t
}
