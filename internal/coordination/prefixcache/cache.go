package prefixcache

import (
	"container/list"
	"hash/maphash"
	"slices"
	"time"

	"lovageport.example/internal/state/fleet"
)

const (
	// maxHoldings bounds the recorded pairs of a prefix and an engine, which take
	// about 100 bytes each.
	maxHoldings = 1 << 16
	// maxHolders bounds the engines that are recorded for one prefix.
	maxHolders = 64
	// suspectedEviction multiplies the probability of a prefix that was used before
	// one that the engine has evicted.
	suspectedEviction = 0.25
	// minProbability is the lowest probability that is not taken for 0. Even an engine
	// that keeps nothing has about 0.2, since the evidence against it is bounded; to
	// follow that would only make the load of the engines less even.
	minProbability = 0.25
)

// Engine identifies what an engine has in its memory: a restart, and a move to
// other layers, discard it.
type Engine struct {
	Instance string
	Started  int64
	Held     fleet.Range
}

// EngineOf returns the identity of an engine.
func EngineOf(u *fleet.Upstream) Engine { return Engine{u.Instance, u.Started, u.Held} }

// Cache records which engines have read which prefixes. A Cache without Retention
// is off and records nothing. It is not safe for concurrent use, and all times
// are since boot.
type Cache struct {
	// Retention is how long engines keep a prefix that is not used.
	Retention time.Duration
	// Shared reports whether engines use for an account what they keep of the
	// prompts of others.
	Shared bool

	seed   maphash.Seed
	seeded bool
	// prefixes holds the recorded prefixes by hash, and recent the same ones, those
	// read last first.
	prefixes map[uint64]*entry
	recent   list.List
	holdings int
	engines  map[string]*engine
	// searches counts the calls of Find.
	searches int
}

// entry is a recorded prefix.
type entry struct {
	hash    uint64
	holders []holding
	used    time.Duration
	element *list.Element
}

// holding records that an engine has read a prefix.
type holding struct {
	engine *engine
	layers fleet.Range
	// used is when the engine read it last, and read what it had read in all by
	// then.
	used time.Duration
	read float64
}

// engine is what is known of an engine. It is replaced, and its holdings become
// invalid, when the engine has lost what it cached.
type engine struct {
	id Engine
	// version is the version of its weights; 0 if unknown.
	version uint64
	// read is the amount that it has read, in token-layers.
	read float64
	// evictedUntil is the time of the last use of a prefix that it has evicted since.
	evictedUntil time.Duration
	ages         [ageClasses]evidence
	// baseline is the mean ratio of the time until a first event without cached
	// prefix to the predicted one; 0 if unknown.
	baseline float64
	lost     bool
	// search is what the last search that has met the engine knows of it.
	search engineSearch
}

// engineSearch is what a search knows of an engine.
type engineSearch struct {
	// number is that of the search.
	number int
	usable bool
	free   float64
	best   Estimate
}

// Enabled reports whether the cache is on.
func (c *Cache) Enabled() bool { return c.Retention > 0 }

// Current describes an engine now.
type Current struct {
	Engine Engine
	// Free is the memory that requests leave to prefixes which this process has
	// sent, in token-layers.
	Free float64
}

// Estimate is what an engine probably still caches of a prompt. The zero value is
// nothing.
type Estimate struct {
	// Tokens is the length of the prefix, and Layers are those that it is cached
	// for.
	Tokens int
	Layers fleet.Range
	// Probability is that of the engine still caching it.
	Probability float64
	// Age is the time since its last use.
	Age  time.Duration
	used time.Duration
}

// Find returns, by instance, what engines probably still cache of a prompt: of its
// prefixes the one with the most expected tokens. current returns the state of an
// engine; false if it must not be used.
func (c *Cache) Find(prefixes []Prefix, current func(instance string) (Current, bool), now time.Duration) map[string]Estimate {
	c.searches++
	var holders []*engine
	for _, p := range slices.Backward(prefixes) {
		known := c.prefixes[p.hash]
		if known == nil {
			continue
		}
		for i := range known.holders {
			h := &known.holders[i]
			e := h.engine
			if e.lost || now-h.used >= c.Retention {
				continue
			}
			if e.search.number != c.searches {
				at, ok := current(e.id.Instance)
				e.search = engineSearch{number: c.searches, usable: ok && at.Engine == e.id, free: at.Free}
				holders = append(holders, e)
			}
			best := &e.search.best
			if !e.search.usable || best.Tokens > 0 && best.used >= h.used {
				// A longer prefix that was used as recently is as likely to be cached.
				continue
			}
			if x := c.estimate(p, h, e.search.free, now); best.Tokens == 0 || x.expected() > best.expected() {
				*best = x
			}
		}
	}
	if len(holders) == 0 {
		return nil
	}
	out := make(map[string]Estimate, len(holders))
	for _, e := range holders {
		if e.search.usable {
			out[e.id.Instance] = e.search.best
		}
	}
	return out
}

func (e *Estimate) expected() float64 { return float64(e.Tokens) * e.Probability }

// estimate returns the estimate of a holding.
func (c *Cache) estimate(p Prefix, h *holding, free float64, now time.Duration) Estimate {
	age := max(0, now-h.used)
	probability := memoryFactor(h.engine.read-h.read, free)
	least := 1.0
	for class := range c.ageClass(age) + 1 {
		least = min(least, h.engine.ages[class].probability(evidenceRetentions*c.Retention, now))
	}
	probability *= least
	if h.engine.evictedUntil > 0 && h.used <= h.engine.evictedUntil {
		probability *= suspectedEviction
	}
	if probability < minProbability {
		probability = 0
	}
	return Estimate{Tokens: p.Tokens, Layers: h.layers, Probability: probability, Age: age, used: h.used}
}

// memoryFactor returns the probability that a prefix has not been evicted by what
// was read since its last use. What is free now was not free all the time, so only
// half of it counts in full.
func memoryFactor(readSince, free float64) float64 {
	if free <= 0 {
		return 0
	}
	return min(1, max(0, 2*(1-readSince/free)))
}

// engineFor returns the record of an engine. What it cached before a restart or a
// move to other layers is discarded.
func (c *Cache) engineFor(id Engine) *engine {
	e := c.engines[id.Instance]
	if e != nil && e.id == id {
		return e
	}
	version := uint64(0)
	if e != nil {
		e.lost = true
		if e.id.Started == id.Started {
			version = e.version
		}
	}
	if c.engines == nil {
		c.engines = make(map[string]*engine)
	}
	e = &engine{id: id, version: version}
	c.engines[id.Instance] = e
	return e
}

// SetVersion records the version of an engine's weights. What the engine cached
// with others is discarded; the bool reports whether there were others.
func (c *Cache) SetVersion(id Engine, version uint64) bool {
	if !c.Enabled() || version == 0 {
		return false
	}
	e := c.engineFor(id)
	changed := e.version != 0 && e.version != version
	if changed {
		e.lost = true
		e = &engine{id: id, baseline: e.baseline}
		c.engines[id.Instance] = e
	}
	e.version = version
	return changed
}

// Retain discards the records of engines that current does not return, and of those
// that have been restarted or hold other layers. Called at each change, it also
// discards what an engine cached that soon holds the same layers again.
func (c *Cache) Retain(current func(instance string) (Engine, bool)) {
	for instance, e := range c.engines {
		if id, ok := current(instance); !ok || id != e.id {
			e.lost = true
			delete(c.engines, instance)
		}
	}
}

// recordRead records that an engine has read a prompt of the given length with its
// prefixes for some layers.
func (c *Cache) recordRead(e *engine, layers fleet.Range, prefixes []Prefix, tokens int, now time.Duration) {
	cached := 0
	for _, p := range prefixes {
		if c.holds(e, p, layers, now) {
			cached = p.Tokens
		}
	}
	e.read += float64(max(0, tokens-cached) * layers.Len())
	for _, p := range prefixes {
		c.recordHolding(e, layers, p, now)
	}
	c.evict(now)
}

// holds reports whether an engine is recorded to cache a prefix for some layers.
func (c *Cache) holds(e *engine, p Prefix, layers fleet.Range, now time.Duration) bool {
	known := c.prefixes[p.hash]
	if known == nil {
		return false
	}
	i := known.find(e)
	return i >= 0 && known.holders[i].layers.Covers(layers) && now-known.holders[i].used < c.Retention
}

// find returns the index of an engine among the holders; negative if it is none.
func (e *entry) find(holder *engine) int {
	return slices.IndexFunc(e.holders, func(h holding) bool { return h.engine == holder })
}

func (c *Cache) recordHolding(holder *engine, layers fleet.Range, p Prefix, now time.Duration) {
	e := c.prefixes[p.hash]
	if e == nil {
		if c.prefixes == nil {
			c.prefixes = make(map[uint64]*entry)
		}
		e = &entry{hash: p.hash}
		e.element = c.recent.PushFront(e)
		c.prefixes[p.hash] = e
	}
	e.used = now
	c.recent.MoveToFront(e.element)
	h := holding{engine: holder, layers: layers, used: now, read: holder.read}
	if i := e.find(holder); i >= 0 {
		if e.holders[i].layers.Covers(layers) && now-e.holders[i].used < c.Retention {
			h.layers = e.holders[i].layers
		}
		e.holders[i] = h
		return
	}
	before := len(e.holders)
	e.holders = slices.DeleteFunc(e.holders, func(h holding) bool { return h.engine.lost || now-h.used >= c.Retention })
	if len(e.holders) >= maxHolders {
		oldest := 0
		for i := range e.holders {
			if e.holders[i].used < e.holders[oldest].used {
				oldest = i
			}
		}
		e.holders = slices.Delete(e.holders, oldest, oldest+1)
	}
	e.holders = append(e.holders, h)
	c.holdings += len(e.holders) - before
}

// evict removes prefixes that no engine caches any more, and those used longest ago
// while there are too many.
func (c *Cache) evict(now time.Duration) {
	for last := c.recent.Back(); last != nil; last = c.recent.Back() {
		e := last.Value.(*entry)
		if c.holdings <= maxHoldings && now-e.used < c.Retention {
			return
		}
		c.recent.Remove(last)
		delete(c.prefixes, e.hash)
		c.holdings -= len(e.holders)
	}
}
