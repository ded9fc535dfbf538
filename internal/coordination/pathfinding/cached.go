package pathfinding

import (
	"math"
	"slices"
	"time"

	"lovageport.example/internal/state/fleet"
)

// Cached is what an upstream probably caches of the beginning of a prompt. The zero
// value is nothing.
type Cached struct {
	// Tokens is the length of what it caches, and Layers are the layers that it is
	// cached for.
	Tokens float64
	Layers fleet.Range
	// Probability is that of the upstream still caching it.
	Probability float64
}

// maxPrefixDiscount bounds the discount for what the stages of a chain cache, in
// milliseconds per token. It is below suspectLinkCost and noCapacityCost, so that no
// prefix, however long, makes up for a link that may be cut or a stage without
// capacity.
const maxPrefixDiscount = 200.0

// snapshotCached queries once what the holders cache.
func (f *finder) snapshotCached() {
	if f.q.Cached == nil || f.q.PromptTokens <= 1 {
		return
	}
	f.cached = make([]Cached, len(f.m.Holders))
	for i := range f.m.Holders {
		f.cached[i] = f.q.Cached(f.m.Holders[i].Upstream)
	}
}

// cachedTokens returns the number of prompt tokens that a holder caches for a range of
// layers. The last token of a prompt is always read.
func (f *finder) cachedTokens(h int, layers fleet.Range) float64 {
	c := &f.cached[h]
	if !c.Layers.Covers(layers) {
		return 0
	}
	return min(max(0, c.Tokens), float64(f.q.PromptTokens-1))
}

// prefixDiscount returns the discount on the cost of a stage for the prompt tokens that
// it probably need not read. The time that they save counts as much as an equally long
// backlog, so that a holder whose backlog is longer by that time has no advantage.
//
// Stages are taken by themselves, as the search requires: a stage must still read
// what a later one does not cache, for which [Chain.PrefillDelay] accounts. A chain
// that saves nothing for that reason is not taken for its discount.
func (f *finder) prefixDiscount(h int, layers fleet.Range) float64 {
	tokens := f.cachedTokens(h, layers)
	if tokens == 0 {
		return 0
	}
	saved := tokens * min(1, f.cached[h].Probability) * f.m.Holders[h].prefillMS * float64(layers.Len()) * max(1, f.loads[h].Slowdown)
	share := float64(layers.Len()) / float64(f.m.Engine.Layers)
	return min(f.backlogWeight()*saved, maxPrefixDiscount*share)
}

// prefixUse sums up what the stages of a chain cache, from the last stage to the
// first. A stage must read a token that a later one does not cache, since that needs
// the activations.
type prefixUse struct {
	f *finder
	// tokens and probability hold for all stages so far together.
	tokens, probability float64
	perStage            []float64
	saving, gain        time.Duration
	// discounted is set if one of the stages had a discount.
	discounted bool
}

// newPrefixUse returns the sum of no stages; nil if nothing is cached.
func (f *finder) newPrefixUse() *prefixUse {
	if f.cached == nil {
		return nil
	}
	return &prefixUse{f: f, tokens: math.MaxFloat64, probability: 1}
}

// add adds the stage before those added so far.
func (p *prefixUse) add(h int, layers fleet.Range) {
	if p == nil {
		return
	}
	p.discounted = p.discounted || p.f.prefixDiscount(h, layers) > 0
	p.tokens = min(p.tokens, p.f.cachedTokens(h, layers))
	p.probability = min(p.probability, p.f.cached[h].Probability)
	expected := p.tokens * p.probability
	p.perStage = append(p.perStage, expected)
	perToken := float64(p.f.prefillTime(h, layers.Len())) / float64(p.f.q.PromptTokens)
	p.gain += time.Duration(p.tokens * perToken)
	p.saving += time.Duration(expected * perToken)
}

// apply adds the sum to a chain.
func (p *prefixUse) apply(c *Chain) {
	if p == nil {
		return
	}
	c.discounted = p.discounted
	if p.gain == 0 {
		return
	}
	slices.Reverse(p.perStage)
	c.CachedTokens, c.PrefixSaving, c.PrefixGain = p.perStage, p.saving, p.gain
	c.PrefillDelay -= p.saving
}
