package fleet

import "time"

// State is what an upstream says of its service.
type State uint8

// The states of an upstream.
const (
	// Serving upstreams take new requests.
	Serving State = iota
	// Draining upstreams finish what they have and take nothing new.
	Draining
	// Unusable upstreams have an entry that can't be understood. Nothing else is
	// known of them.
	Unusable
)

// Range is a span of layers, To exclusive. The zero value holds none.
type Range struct{ From, To int }

// Len returns the count of layers.
func (r Range) Len() int { return r.To - r.From }

// Covers says whether r holds all of other.
func (r Range) Covers(other Range) bool { return r.From <= other.From && other.To <= r.To }

// Upstream is one running upstream. Its instance changes with each start, or
// else its start time does.
type Upstream struct {
	Instance string
	Service  string
	Address  string
	Zone     string
	State    State
	// Slots is how many requests run at once.
	Slots int
	// Started is when the process of the upstream started, in Unix
	// milliseconds by its own clock; 0 if it does not say.
	Started int64
	// Registered is the store's revision at which the upstream's entry was made;
	// 0 if it is not known. An entry that lapsed and was made again has a later
	// one.
	Registered int64
	// Accelerator names the kind of accelerator; empty for plain services.
	Accelerator string
	// Held is the range of layers that an engine holds.
	Held Range
}

// Incarnation tells one start of an upstream from another.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.Instance, u.Started} }

// Incarnation names one start of an upstream.
type Incarnation struct {
	Instance string
	Started  int64
}

// Accelerator is what a kind of accelerator can do.
type Accelerator struct {
	// MemoryMB holds layers and KV cache.
	MemoryMB float64
	// Pace multiplies the time of a step.
	Pace float64
	// ReadFactor multiplies the time to read a prompt.
	ReadFactor float64
}

// Engine is what the engines of a service have in common.
type Engine struct {
	// Model is the name of the one model that they serve.
	Model  string
	Layers int
	// LayerMB is the memory of one layer's weights.
	LayerMB float64
	// KVTokenBytes is the KV cache of one token over all layers.
	KVTokenBytes float64
	// Step is the least time of one token over all layers.
	Step time.Duration
	// StepPerRequest is added for each request of a batch.
	StepPerRequest time.Duration
	// StepPerKiloToken is added for each thousand tokens of context.
	StepPerKiloToken time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64
	// ReadChunk is how many prompt tokens are read at most with each step of
	// the requests that are writing.
	ReadChunk float64
	// Load is the time to load all layers.
	Load time.Duration
	// LoadsAtOnce is how many loads run before they slow each other.
	LoadsAtOnce int
	// MeanPrompt and MeanAnswer are the usual token counts.
	MeanPrompt, MeanAnswer float64
	// ActivationBytes is what is passed on between stages for each token.
	ActivationBytes float64
	// PipeRate is how many bytes pass between two zones in a second; 0 for any
	// number.
	PipeRate     float64
	Accelerators map[string]Accelerator
}

// RoomTokens returns how many tokens of KV cache fit beside layers layers on
// an accelerator, each token taking the share of those layers.
func (e *Engine) RoomTokens(accelerator string, layers int) float64 {
	a, ok := e.Accelerators[accelerator]
	if !ok || layers <= 0 || e.Layers <= 0 {
		return 0
	}
	free := a.MemoryMB - float64(layers)*e.LayerMB
	perToken := e.KVTokenBytes * float64(layers) / float64(e.Layers)
	return max(0, free*bytesPerMB/perToken)
}

// SpareTokens returns how many tokens of KV cache fit beside one copy of all
// layers in memory of so many MB.
func (e *Engine) SpareTokens(memoryMB float64) float64 {
	if e.KVTokenBytes <= 0 {
		return 0
	}
	free := memoryMB - float64(e.Layers)*e.LayerMB
	return max(0, free*bytesPerMB/e.KVTokenBytes)
}

// ReadTime returns the time that a prompt token takes up of an accelerator that
// holds all layers and has others writing.
func (e *Engine) ReadTime(accelerator string) time.Duration {
	a := e.Accelerators[accelerator]
	seconds := 0.0
	if e.ReadPerSecond > 0 {
		seconds = a.ReadFactor / e.ReadPerSecond
	}
	if e.ReadChunk > 0 {
		seconds += a.Pace * e.Step.Seconds() / e.ReadChunk
	}
	return time.Duration(seconds * float64(time.Second))
}

// PipeTokens returns how many prompt tokens pass between two zones in a second;
// 0 for any number.
func (e *Engine) PipeTokens() float64 {
	if e.ActivationBytes <= 0 {
		return 0
	}
	return e.PipeRate / e.ActivationBytes
}

// bytesPerMB is the size of the MB in which memory is stated.
const bytesPerMB = 1e6

// View is a list of upstreams as of one revision of the platform's store.
type View struct {
	// Revision is that of the list.
	Revision int64
	// Upstreams are those that can be used or wait for an order, by instance.
	Upstreams map[string]*Upstream
}
