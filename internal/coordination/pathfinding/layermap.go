package pathfinding

import (
	"slices"
	"time"

	"lovageport.example/internal/state/fleet"
)

// Load is what is known about the work on an upstream.
type Load struct {
	// Excluded is set if the upstream must not be used.
	Excluded bool
	// TokenLayers is the KV cache that is used or reserved, in token-layers.
	TokenLayers float64
	// Requests is the number of requests that run on the upstream.
	Requests float64
	// Begun is the number of these requests whose first stage it runs.
	Begun float64
	// Reading is the rate at which prompts arrive, in token-layers per second.
	Reading float64
	// Backlog is how long a new prompt waits while others are read.
	Backlog time.Duration
	// Slowdown multiplies the upstream's processing times; values below 1 count
	// as 1.
	Slowdown float64
}

// Plus returns l with the memory, requests and prompt rate of other added. The
// remaining fields are those of l.
func (l Load) Plus(other Load) Load {
	l.TokenLayers += other.TokenLayers
	l.Requests += other.Requests
	l.Begun += other.Begun
	l.Reading += other.Reading
	return l
}

// Holder is an upstream that holds layers.
type Holder struct {
	Upstream *fleet.Upstream
	// Capacity is the memory for KV cache, in token-layers.
	Capacity float64
	// layerMS is the milliseconds that a layer takes to make one token of a
	// single request, and requestMS what each request of the batch adds.
	layerMS, requestMS float64
	// prefillMS is the milliseconds that a layer takes to read one prompt token.
	prefillMS float64
}

// LayerMap records which upstreams of a service hold which layers. It is
// immutable.
type LayerMap struct {
	// Engine is the configuration that the upstreams share.
	Engine *fleet.Engine
	// Holders are the upstreams that hold layers.
	Holders []Holder

	// bounds are the layers at which a held range begins or ends, sorted.
	bounds []int
	zones  []string
	// zoneOf is the index into zones of each holder's zone.
	zoneOf []int
}

// NewLayerMap returns the layer map of those of the upstreams that are serving
// and hold layers of the engine's model.
func NewLayerMap(e *fleet.Engine, upstreams []*fleet.Upstream) *LayerMap {
	m := &LayerMap{Engine: e, bounds: []int{0, e.Layers}}
	for _, u := range upstreams {
		if u.State != fleet.Serving || u.Held.Len() <= 0 || u.Held.From < 0 || u.Held.To > e.Layers {
			continue
		}
		m.add(u)
	}
	slices.Sort(m.bounds)
	m.bounds = slices.Compact(m.bounds)
	return m
}

func (m *LayerMap) add(u *fleet.Upstream) {
	e := m.Engine
	a := e.Accelerators[u.Accelerator]
	layers := float64(e.Layers)
	m.Holders = append(m.Holders, Holder{
		Upstream:  u,
		Capacity:  e.KVCacheTokens(u.Accelerator, u.Held.Len()) * float64(u.Held.Len()),
		layerMS:   a.Pace * e.Step.Seconds() * 1e3 / layers,
		requestMS: a.Pace * e.StepPerRequest.Seconds() * 1e3 / layers,
		prefillMS: e.PrefillTimePerToken(u.Accelerator).Seconds() * 1e3 / layers,
	})
	m.bounds = append(m.bounds, u.Held.From, u.Held.To)
	zone := slices.Index(m.zones, u.Zone)
	if zone < 0 {
		zone = len(m.zones)
		m.zones = append(m.zones, u.Zone)
	}
	m.zoneOf = append(m.zoneOf, zone)
}

// PrefillTime returns how long an upstream takes to read a prompt of the given
// number of tokens for the given number of layers.
func (m *LayerMap) PrefillTime(u *fleet.Upstream, tokens, layers int) time.Duration {
	perLayer := m.Engine.PrefillTimePerToken(u.Accelerator).Seconds() / float64(m.Engine.Layers)
	return time.Duration(perLayer * float64(tokens*layers) * float64(time.Second))
}

// Capacity returns the KV memory of an upstream in token-layers; 0 if it holds
// no layers.
func (m *LayerMap) Capacity(instance string) float64 {
	for i := range m.Holders {
		if m.Holders[i].Upstream.Instance == instance {
			return m.Holders[i].Capacity
		}
	}
	return 0
}
