package gateway

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/coordination/prefixcache"
	"lovageport.example/internal/state/fleet"
)

// Outcomes of prompt tokens that engines were expected to cache; each is a metric
// label.
const (
	prefixPredicted = "predicted"
	prefixConfirmed = "confirmed"
	prefixMissed    = "missed"
)

// expectedPrefix is what the stages of a target probably cache of a prompt. It is
// immutable; a nil one expects nothing.
type expectedPrefix struct {
	prefixes []prefixcache.Prefix
	// promptTokens is the length of the prompt.
	promptTokens int
	stages       []prefixcache.Stage
	// saved is the expected number of tokens that each stage need not read; nil for
	// none. savedTokens is their mean over all layers.
	saved       []float64
	savedTokens float64
	// full is the predicted time until the first event if nothing is cached, saving
	// by how much it is expected to be shorter, and gain by how much it is if all
	// stages cache what they probably do.
	full, saving, gain time.Duration
}

// saves returns the expected number of tokens that stage i need not read.
func (p *expectedPrefix) saves(i int) int {
	if p == nil || p.saved == nil {
		return 0
	}
	return int(p.saved[i])
}

// cachedPrefixes is what engines probably cache of a request's prompt at a time, by
// instance.
type cachedPrefixes struct {
	at       time.Duration
	pool     *servicePool
	prefixes []prefixcache.Prefix
	found    map[string]prefixcache.Estimate
}

// findCached returns, by instance, what engines probably cache of a request's prompt,
// and the prefixes of the prompt. The search is made once for all parts of a decision,
// which are made at the same time.
func (s *state) findCached(p *servicePool, q *request, now time.Duration) (map[string]prefixcache.Estimate, []prefixcache.Prefix) {
	if !s.prefixes.Enabled() || len(q.Prefix) == 0 {
		return nil, nil
	}
	if q.cached.pool != p || q.cached.at != now {
		prefixes := s.prefixes.Prefixes(q.account, q.Prefix)
		q.cached = cachedPrefixes{at: now, pool: p, prefixes: prefixes, found: s.searchCached(p, prefixes, now)}
	}
	return q.cached.found, q.cached.prefixes
}

// searchCached returns, by instance, what engines probably cache of some prefixes.
func (s *state) searchCached(p *servicePool, prefixes []prefixcache.Prefix, now time.Duration) map[string]prefixcache.Estimate {
	return s.prefixes.Find(prefixes, func(instance string) (prefixcache.Current, bool) {
		u := s.upstreams[instance]
		if u == nil {
			return prefixcache.Current{}, false
		}
		used := s.loadOf(instance).tokenLayers + s.peerLoad(instance).TokenLayers
		// The other gateways of the zone are expected to send as many prompts.
		free := max(0, p.layers.Capacity(instance)-used) / float64(s.zonePeers.Len()+1)
		return prefixcache.Current{Engine: prefixcache.EngineOf(u), Free: free}, true
	}, now)
}

// addCached adds to a search what engines probably cache of the request's prompt.
func (s *state) addCached(query *pathfinding.Query, p *servicePool, q *request, now time.Duration) {
	found, _ := s.findCached(p, q, now)
	if len(found) == 0 {
		return
	}
	query.Cached = func(u *fleet.Upstream) pathfinding.Cached {
		e := found[u.Instance]
		return pathfinding.Cached{Tokens: float64(e.Tokens), Layers: e.Layers, Probability: e.Probability}
	}
}

// retainPrefixes discards what engines cached that are gone, have been restarted or
// hold other layers.
func (s *state) retainPrefixes() {
	s.prefixes.Retain(func(instance string) (prefixcache.Engine, bool) {
		u := s.upstreams[instance]
		if u == nil {
			return prefixcache.Engine{}, false
		}
		return prefixcache.EngineOf(u), true
	})
}

// expectPrefix returns what the stages of a chain probably cache; nil if the feature
// is off or the length of the prompt is not known.
func (s *state) expectPrefix(p *servicePool, q *request, c *pathfinding.Chain, now time.Duration) *expectedPrefix {
	if !s.prefixes.Enabled() || q.PromptTokens <= 0 {
		return nil
	}
	found, prefixes := s.findCached(p, q, now)
	out := &expectedPrefix{
		prefixes: prefixes, promptTokens: q.PromptTokens, saved: c.CachedTokens,
		full: c.PrefillDelay + c.PrefixSaving, saving: c.PrefixSaving, gain: c.PrefixGain,
	}
	for i, stage := range c.Stages {
		expected := prefixcache.Stage{Engine: prefixcache.EngineOf(stage.Upstream), Layers: stage.Layers}
		if e := found[stage.Upstream.Instance]; e.Layers.Covers(stage.Layers) {
			expected.Expected = e
		}
		out.stages = append(out.stages, expected)
		if out.saved != nil {
			out.savedTokens += out.saved[i] * float64(stage.Layers.Len()) / float64(p.layers.Engine.Layers)
		}
	}
	return out
}

// logField returns the fields of a log line that describe the expectation; none if
// there is no expectation.
func (p *expectedPrefix) logField() zap.Field {
	if p == nil {
		return zap.Skip()
	}
	return zap.Inline(p)
}

// MarshalLogObject implements [zapcore.ObjectMarshaler]. Besides the expected saving it
// adds the length, probability and age of the prefix at the first stage, and the time
// until the first event without it.
func (p *expectedPrefix) MarshalLogObject(o zapcore.ObjectEncoder) error {
	first := p.stages[0].Expected
	o.AddInt("prefix_parts", len(p.prefixes))
	o.AddInt("prefix_saved_tokens", int(p.savedTokens))
	o.AddDuration("prefix_saving", p.saving)
	o.AddDuration("prefix_none_first", p.full)
	o.AddInt("prefix_cached_tokens", first.Tokens)
	o.AddFloat64("prefix_probability", first.Probability)
	o.AddDuration("prefix_age", first.Age)
	return nil
}

// recordPrefix records the first event of the attempt as feedback on what its engines
// cached, and each version of the weights that its events state.
func (a *streamAttempt) recordPrefix() {
	p := a.target.prefix
	if p == nil || a.prefixRecorded && a.version == a.reader.version {
		return
	}
	if !a.detector.runsOn(a.target) {
		// A stage was replaced: the prompt was read elsewhere, and after a pause.
		return
	}
	first := !a.prefixRecorded
	a.prefixRecorded, a.version = true, a.reader.version
	version, now := a.version, a.g.Now()
	took := now - a.sentAt
	a.g.control.Send(func(s *state) {
		outcome := s.recordPrefix(p, first, version, took, now)
		if !first || p.savedTokens == 0 {
			return
		}
		a.g.metrics.prefixTokens.WithLabelValues(prefixPredicted).Add(p.savedTokens)
		switch outcome {
		case prefixcache.Confirmed:
			a.g.metrics.prefixTokens.WithLabelValues(prefixConfirmed).Add(p.savedTokens)
		case prefixcache.Missed:
			a.g.metrics.prefixTokens.WithLabelValues(prefixMissed).Add(p.savedTokens)
		}
	})
}

// recordPrefix records the version of the weights that the stages of a target use, and
// if it is the first event of the attempt, that they have read the prompt in the given
// time. Stages that have been restarted or have moved since count as gone.
func (s *state) recordPrefix(p *expectedPrefix, first bool, version uint64, took, now time.Duration) prefixcache.Outcome {
	event := prefixcache.FirstEvent{Took: took, Full: p.full, Gain: p.gain}
	var stages []prefixcache.Stage
	for _, stage := range p.stages {
		u := s.upstreams[stage.Engine.Instance]
		if u == nil || prefixcache.EngineOf(u) != stage.Engine {
			event.Gain = 0
			continue
		}
		if s.prefixes.SetVersion(stage.Engine, version) {
			event.Gain = 0
		}
		stages = append(stages, stage)
	}
	if !first {
		return prefixcache.Unknown
	}
	return s.prefixes.RecordFirstEvent(stages, p.prefixes, p.promptTokens, event, now)
}
