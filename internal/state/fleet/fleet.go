package fleet

import "time"

// State is the state that an upstream has registered.
type State uint8

// The states of an upstream.
const (
	// Serving upstreams accept new requests.
	Serving State = iota
	// Draining upstreams complete their requests and accept no new ones.
	Draining
	// Unusable upstreams have a registration that can't be decoded. Only their
	// instance and its revision are known.
	Unusable
)

// Range is the half-open range [From, To) of layers. The zero value is empty.
type Range struct{ From, To int }

// Len returns the number of layers in r.
func (r Range) Len() int { return r.To - r.From }

// Covers reports whether r contains all layers of other.
func (r Range) Covers(other Range) bool { return r.From <= other.From && other.To <= r.To }

// Upstream is a running process that serves requests of one service. Each start
// of the process has a new instance name or a new start time.
type Upstream struct {
	// Instance is the name under which the upstream is registered.
	Instance string
	Service  string
	// Address is host:port.
	Address string
	Zone    string
	State   State
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Started is the start time of the upstream's process in Unix milliseconds
	// by the upstream's clock; 0 if unknown.
	Started int64
	// Registered is the number of the revision of the platform's store at which
	// the registration was created; 0 if unknown. A registration that expired and
	// was created again has a later one. The number is of the era in which the
	// upstream is listed; numbers of different eras are not comparable.
	Registered int64
	// Accelerator is the kind of the accelerator, a key of
	// [Engine.Accelerators]; empty for plain services.
	Accelerator string
	// Held is the range of layers that an engine has loaded.
	Held Range
}

// Incarnation returns the identity of this start of the upstream.
func (u *Upstream) Incarnation() Incarnation { return Incarnation{u.Instance, u.Started} }

// Incarnation identifies one start of an upstream's process.
type Incarnation struct {
	Instance string
	Started  int64
}

// Accelerator describes the capacity and speed of a kind of accelerator.
type Accelerator struct {
	// MemoryMB is the memory for weights and KV cache, in units of a million
	// bytes.
	MemoryMB float64
	// Pace is the factor by which a decode step takes longer than the step
	// times of [Engine] state.
	Pace float64
	// ReadFactor is the factor by which prefill takes longer than
	// [Engine.ReadPerSecond] states.
	ReadFactor float64
}

// Engine describes the model of a service and the performance of the engines
// that run it. Times and rates hold for an accelerator whose factors are 1.
type Engine struct {
	// Model is the name of the model.
	Model string
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory of the weights of one layer, in units of a million
	// bytes.
	LayerMB float64
	// KVTokenBytes is the size of the KV cache of one token for all layers.
	KVTokenBytes float64
	// Step is the time of a decode step through all layers, without the
	// additions below.
	Step time.Duration
	// StepPerRequest is added to Step for each request of the batch.
	StepPerRequest time.Duration
	// StepPerKiloToken is added to Step for each thousand tokens of context.
	StepPerKiloToken time.Duration
	// ReadPerSecond is the prefill rate in prompt tokens per second.
	ReadPerSecond float64
	// ReadChunk is the largest number of prompt tokens that are prefilled
	// along with one decode step of other requests.
	ReadChunk float64
	// Load is the time to load the weights of all layers.
	Load time.Duration
	// LoadsAtOnce is the number of engines that can load weights concurrently
	// without slowing each other down.
	LoadsAtOnce int
	// MeanPrompt and MeanAnswer are the typical numbers of prompt and output
	// tokens of a request.
	MeanPrompt, MeanAnswer float64
	// ActivationBytes is the size of the activations that one stage passes to
	// the next per token.
	ActivationBytes float64
	// PipeRate is the bandwidth between two availability zones in bytes per
	// second; 0 means unlimited.
	PipeRate float64
	// Accelerators are the kinds of accelerators by name.
	Accelerators map[string]Accelerator
}

// KVCacheTokens returns how many tokens fit into the KV cache of an accelerator
// that holds the weights of some layers and caches only those layers. It returns
// 0 for an unknown accelerator.
func (e *Engine) KVCacheTokens(accelerator string, layers int) float64 {
	a, ok := e.Accelerators[accelerator]
	if !ok || layers <= 0 || e.Layers <= 0 {
		return 0
	}
	free := a.MemoryMB - float64(layers)*e.LayerMB
	perToken := e.KVTokenBytes * float64(layers) / float64(e.Layers)
	return max(0, free*bytesPerMB/perToken)
}

// MaxKVCacheTokens returns how many tokens fit into the KV cache of all layers in
// a total memory of memoryMB that also holds one copy of all weights.
func (e *Engine) MaxKVCacheTokens(memoryMB float64) float64 {
	if e.KVTokenBytes <= 0 {
		return 0
	}
	free := memoryMB - float64(e.Layers)*e.LayerMB
	return max(0, free*bytesPerMB/e.KVTokenBytes)
}

// PrefillTimePerToken returns the time for which one prompt token occupies an
// accelerator that holds all layers and decodes other requests meanwhile: the
// prefill itself, and its share of the decode step that it runs along with.
func (e *Engine) PrefillTimePerToken(accelerator string) time.Duration {
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

// InterZoneTokenRate returns the number of prompt tokens per second whose
// activations the bandwidth between two availability zones can carry; 0 means
// unlimited.
func (e *Engine) InterZoneTokenRate() float64 {
	if e.ActivationBytes <= 0 {
		return 0
	}
	return e.PipeRate / e.ActivationBytes
}

// bytesPerMB is the number of bytes in the MB of the memory sizes.
const bytesPerMB = 1e6

// Snapshot is the list of upstreams at one revision of the platform's store.
type Snapshot struct {
	// Revision is the revision of the store.
	Revision int64
	// Upstreams are the upstreams that are usable or wait to be given layers,
	// by instance.
	Upstreams map[string]*Upstream
}
