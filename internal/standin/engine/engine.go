// Package engine simulates a model engine that holds a range of layers. Its
// tokens depend on the prompt and their index only, so that all chains
// produce the same output. It records each token that it has run.
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

// heartbeatInterval is the time between the heartbeats of a stage.
const heartbeatInterval = 200 * time.Millisecond

// Faults selects the faults that the engine injects. The zero value selects
// none.
type Faults struct {
	// Busy and Leaving refuse all requests, each with its own fault.
	Busy    bool
	Leaving bool
	// CrashOnPrompt, if not empty, makes the engine crash on a prompt that
	// contains it.
	CrashOnPrompt string
	// DisconnectBeforeToken, if above 0, aborts the connection before the
	// token with this index.
	DisconnectBeforeToken int
	// CrashBeforeToken, if above 0, makes the engine crash before the token
	// with this index.
	CrashBeforeToken int
	// WrongRequest names another request in the frames.
	WrongRequest bool
	// SkipTrace leaves the engine's own span out of the trace.
	SkipTrace bool
	// RepeatToken sends each token twice.
	RepeatToken bool
	// EndEarly stops after half of the tokens, with a Done frame that counts
	// all of them.
	EndEarly bool
	// Reset aborts the connection once the request has been read.
	Reset bool
	// Stray, if not nil, returns frames to send before the token with an index,
	// as they are.
	Stray func(run *engine.RunRequest, index int) []engine.Frame
}

// Run is a token that the engine has run through its layers.
type Run struct {
	Request string
	Attempt string
	Index   int
	Span    engine.Span
}

// Engine is a simulated engine. The exported fields must be set before use.
type Engine struct {
	Name string
	// Slots is how many requests can run at a time. If it is 0, there is no
	// limit.
	Slots int
	// LayersPerSecond is the speed of a single stream. If it is 0, layers
	// take no time.
	LayersPerSecond float64
	// BatchCost is the fraction of the time per token by which each
	// additional stream slows all streams down.
	BatchCost float64
	// PrefillPerToken is the time to process one token of a prompt.
	PrefillPerToken time.Duration
	// NextStageLatency returns the time that each token takes to the next
	// stage. If it is nil, tokens take none.
	NextStageLatency func(next string) time.Duration
	// Dial opens connections to the next stage. If it is nil, a net.Dialer is
	// used.
	Dial upstream.DialFunc
	// OnCrash ends the engine when a fault makes it crash.
	OnCrash func()
	// Unrecorded turns off the records of tokens and attempts, for
	// benchmarks.
	Unrecorded bool

	once   sync.Once
	client *http.Client

	mu sync.Mutex
	// The fields below are guarded by mu. unfrozen is nil unless the engine
	// is frozen, and closed when that ends.
	faults   Faults
	unfrozen chan struct{}
	crashed  bool
	running  int
	runs     []Run
	accepted []string
	// cached holds the number of tokens in the KV cache, by request.
	cached map[string]int
}

// SetFaults replaces the injected faults.
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

// SetFrozen pauses all work of the engine or resumes it.
func (e *Engine) SetFrozen(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case frozen && e.unfrozen == nil:
		e.unfrozen = make(chan struct{})
	case !frozen && e.unfrozen != nil:
		close(e.unfrozen)
		e.unfrozen = nil
	}
}

// waitWhileFrozen returns once the engine is not frozen.
func (e *Engine) waitWhileFrozen() {
	for {
		e.mu.Lock()
		unfrozen := e.unfrozen
		e.mu.Unlock()
		if unfrozen == nil {
			return
		}
		<-unfrozen
	}
}

// Runs returns the tokens that the engine has run.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// AcceptedAttempts returns the attempts that the engine has begun to run.
func (e *Engine) AcceptedAttempts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.accepted)
}

// Crashed reports whether a fault has made the engine crash.
func (e *Engine) Crashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// RunningRequests returns the number of requests that are running.
func (e *Engine) RunningRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// TokenText returns the token with an index in the output for a prompt.
func TokenText(prompt string, index int) string {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%s %d", prompt, index)
	return fmt.Sprintf("w%05x ", sum.Sum64()&0xfffff)
}

// OutputText returns the first n tokens of the output for a prompt.
func OutputText(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}

// RunsPath is the path that returns the runs.
const RunsPath = "/runs"

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.waitWhileFrozen()
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
		writeRefusal(w, &run, e.Name, fault)
		return
	}
	defer e.releaseSlot(&run)
	s := &session{engine: e, run: &run, span: span, delays: e.delays(r, &run), out: newFrameWriter(w)}
	s.serve(r)
}

// admit takes a slot, or returns the fault for which the request is refused.
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

func (e *Engine) releaseSlot(run *engine.RunRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func writeRefusal(w http.ResponseWriter, run *engine.RunRequest, name string, fault engine.Fault) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Request: run.Request, Attempt: run.Attempt, Upstream: name, Fault: fault})
}

// recordRun records that a token has run through the layers.
func (e *Engine) recordRun(run *engine.RunRequest, index int, span engine.Span) {
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

func (e *Engine) recordAccepted(run *engine.RunRequest) {
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

// delays are the simulated times for each token and for the prefill, summed
// over the stages up to this one.
type delays struct {
	Token   time.Duration
	Prefill time.Duration
}

// delaysHeader passes the delays of the stages so far to the next one. The
// last stage waits for all of them.
const delaysHeader = "Standin-Times"

func (e *Engine) delays(r *http.Request, run *engine.RunRequest) delays {
	var t delays
	if text := r.Header.Get(delaysHeader); text != "" {
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
	// Tokens that are in the KV cache need not be computed again.
	if e.cached[run.Request] < len(run.Resume) || len(run.Resume) == 0 {
		t.Prefill += time.Duration(len(strings.Fields(run.Prompt))+len(run.Resume)) * e.PrefillPerToken
	}
	return t
}
