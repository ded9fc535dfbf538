package prefixcache_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/coordination/prefixcache"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

// Sizes of the replayed loads. An engine reads a prompt in 240 ms, so that 8 engines
// read 33 prompts a second if they cache nothing.
const (
	engineCount  = 8
	prefixTokens = 1000
	ownTokens    = 200
	answerTime   = time.Second
	readRate     = 5000.0
	// kvTokens is the memory of an engine for KV cache, in tokens.
	kvTokens = 60_000.0
)

// load is a load on a simulated site and the behavior of its engines.
type load struct {
	perSecond float64
	// prefixes is the number of prefixes, of which each request draws one.
	prefixes int
	// kept is how long an engine keeps a prefix and room how many of them; both 0 if
	// none is kept.
	kept time.Duration
	room int
	// flush is how often all engines discard all prefixes; 0 for never.
	flush time.Duration
	// retention is that of the settings.
	retention time.Duration
	// full are engines that have no memory for requests.
	full int
}

// simEngine is a simulated engine, which reads one prompt after the other.
type simEngine struct {
	u        *fleet.Upstream
	kept     map[int]time.Duration
	readsTo  time.Duration
	requests []time.Duration
	backlog  pathfinding.Backlog
	served   int
	maxFill  float64
}

// reads returns the number of tokens that the engine reads of a prompt with a prefix,
// and keeps that prefix.
func (e *simEngine) reads(l *load, prefix int, now time.Duration) int {
	used, kept := e.kept[prefix]
	cached := kept && now-used < l.kept && (l.flush == 0 || used/l.flush == now/l.flush)
	if l.room > 0 {
		e.kept[prefix] = now
	}
	for len(e.kept) > l.room {
		oldest := -1
		for p, at := range e.kept {
			if oldest < 0 || at < e.kept[oldest] {
				oldest = p
			}
		}
		delete(e.kept, oldest)
	}
	if cached {
		return ownTokens
	}
	return prefixTokens + ownTokens
}

// outcome is the result of a replayed load.
type outcome struct {
	// mean and p95 are times until the first event.
	mean, p95 time.Duration
	// largestShare is the largest part of the requests that one engine got, and
	// maxFill the largest fill of an engine.
	largestShare, maxFill float64
	confirmed, missed     int
}

// replay replays two minutes of a load by one gateway, with or without the feature.
func replay(l load, on bool) outcome {
	random := rand.New(rand.NewPCG(7, 7))
	cache := &prefixcache.Cache{}
	if on {
		cache.Retention = l.retention
	}
	model := &fleet.Engine{
		Layers: 10, LayerMB: 1, KVTokenBytes: 1000, Step: 10 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, ReadPerSecond: readRate,
		Accelerators: map[string]fleet.Accelerator{"h": {MemoryMB: 10 + kvTokens*1000/1e6, Pace: 1, ReadFactor: 1}},
	}
	var upstreams []*fleet.Upstream
	engines := make(map[string]*simEngine)
	for i := range engineCount {
		u := &fleet.Upstream{Instance: fmt.Sprint("e", i), Address: fmt.Sprint(i), Zone: "a", Accelerator: "h", Slots: 192, Held: fleet.Range{From: 0, To: 10}}
		upstreams = append(upstreams, u)
		engines[u.Instance] = &simEngine{u: u, kept: make(map[int]time.Duration)}
	}
	m := pathfinding.NewLayerMap(model, upstreams)
	capacity := m.Capacity("e0")
	tokens := float64(prefixTokens + ownTokens + 100)
	type pending struct {
		at       time.Duration
		engine   *simEngine
		estimate prefixcache.Estimate
		prefixes []prefixcache.Prefix
		event    prefixcache.FirstEvent
	}
	var events []pending
	var firsts []time.Duration
	var out outcome
	total := 0
	for now := time.Second; now < 2*time.Minute; now += time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)) {
		for _, e := range engines {
			e.requests = slices.DeleteFunc(e.requests, func(end time.Duration) bool { return end <= now })
		}
		events = slices.DeleteFunc(events, func(p pending) bool {
			if p.at > now {
				return false
			}
			stage := prefixcache.Stage{Engine: prefixcache.EngineOf(p.engine.u), Layers: p.engine.u.Held, Expected: p.estimate}
			switch cache.RecordFirstEvent([]prefixcache.Stage{stage}, p.prefixes, prefixTokens+ownTokens, p.event, p.at) {
			case prefixcache.Confirmed:
				out.confirmed++
			case prefixcache.Missed:
				out.missed++
			}
			return true
		})
		prefix := random.IntN(l.prefixes)
		prefixes := cache.Prefixes("x", []relay.PromptPart{{ID: fmt.Sprint(prefix), Tokens: prefixTokens}})
		used := func(e *simEngine) float64 {
			if slices.Index(upstreams, e.u) < l.full {
				return capacity
			}
			return tokens * 10 * float64(len(e.requests))
		}
		estimates := cache.Find(prefixes, func(instance string) (prefixcache.Current, bool) {
			e := engines[instance]
			return prefixcache.Current{Engine: prefixcache.EngineOf(e.u), Free: capacity - used(e)}, true
		}, now)
		q := &pathfinding.Query{
			Zone: "a", Tokens: tokens, PromptTokens: prefixTokens + ownTokens,
			Jitter: func() float64 { return 1 + 0.15*(random.Float64()-0.5) },
			Load: func(u *fleet.Upstream) pathfinding.Load {
				e := engines[u.Instance]
				return pathfinding.Load{TokenLayers: used(e), Requests: float64(len(e.requests)), Begun: float64(len(e.requests)), Backlog: e.backlog.At(now)}
			},
		}
		if len(estimates) > 0 {
			q.Cached = func(u *fleet.Upstream) pathfinding.Cached {
				e := estimates[u.Instance]
				return pathfinding.Cached{Tokens: float64(e.Tokens), Layers: e.Layers, Probability: e.Probability}
			}
		}
		chain, ok := m.Find(q)
		if !ok || chain.Full {
			continue
		}
		e := engines[chain.Stages[0].Upstream.Instance]
		unread := float64(prefixTokens + ownTokens)
		if chain.CachedTokens != nil {
			unread -= chain.CachedTokens[0]
		}
		e.backlog.Add(time.Duration(unread/readRate*float64(time.Second)), now)
		reading := time.Duration(float64(e.reads(&l, prefix, now)) / readRate * float64(time.Second))
		e.readsTo = max(e.readsTo, now) + reading
		e.requests = append(e.requests, e.readsTo+answerTime)
		e.maxFill = max(e.maxFill, used(e)/capacity)
		e.served++
		total++
		took := e.readsTo - now
		firsts = append(firsts, took)
		events = append(events, pending{e.readsTo, e, estimates[e.u.Instance], prefixes,
			prefixcache.FirstEvent{Took: took, Full: chain.PrefillDelay + chain.PrefixSaving, Gain: chain.PrefixGain}})
	}
	slices.Sort(firsts)
	sum := time.Duration(0)
	for _, f := range firsts {
		sum += f
	}
	out.mean, out.p95 = sum/time.Duration(len(firsts)), firsts[len(firsts)*95/100]
	for _, e := range engines {
		out.largestShare = max(out.largestShare, float64(e.served)/float64(total))
		out.maxFill = max(out.maxFill, e.maxFill)
	}
	return out
}

// TestReplayedLoads compares the time until the first event with and without the feature.
// It guards against a popular prefix that fills one engine, against many prefixes that
// crowd each other out, and against worse times where engines do not keep what the
// settings say.
func TestReplayedLoads(t *testing.T) {
	const kept = time.Minute
	for _, x := range []struct {
		name string
		load load
		// limit is the largest mean time with the feature, as a share of that without,
		// and share the largest share of one engine.
		limit, share float64
	}{
		{"one popular prefix", load{perSecond: 60, prefixes: 1, kept: kept, room: 10, retention: kept}, 1.1, 0.3},
		{"one popular prefix at a quiet time", load{perSecond: 4, prefixes: 1, kept: kept, room: 10, retention: kept}, 1.1, 0.6},
		{"forty prefixes", load{perSecond: 25, prefixes: 40, kept: kept, room: 10, retention: kept}, 0.5, 0.3},
		{"more prefixes than engines keep", load{perSecond: 20, prefixes: 400, kept: kept, room: 10, retention: kept}, 1.1, 0.3},
		{"engines evict early", load{perSecond: 20, prefixes: 40, kept: kept / 30, room: 10, retention: kept}, 1.1, 0.3},
		{"engines evict late", load{perSecond: 20, prefixes: 40, kept: 10 * kept, room: 10, retention: kept / 10}, 0.7, 0.3},
		{"engines evict all at once", load{perSecond: 20, prefixes: 40, kept: kept, room: 10, flush: 5 * time.Second, retention: kept}, 0.9, 0.3},
		{"engines keep nothing", load{perSecond: 20, prefixes: 8, retention: kept}, 1.03, 0.3},
		{"two engines are full", load{perSecond: 20, prefixes: 20, kept: kept, room: 10, retention: kept, full: 2}, 0.7, 0.35},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			off, on := replay(x.load, false), replay(x.load, true)
			t.Logf("%s: off %+v", x.name, off)
			t.Logf("%s: on %+v", x.name, on)
			qt.Check(t, float64(on.mean) <= x.limit*float64(off.mean), qt.IsTrue, qt.Commentf("%v with, %v without", on.mean, off.mean))
			qt.Check(t, on.largestShare <= x.share, qt.IsTrue, qt.Commentf("%.2f", on.largestShare))
			qt.Check(t, on.maxFill <= 1.05 || x.load.full > 0, qt.IsTrue, qt.Commentf("%.2f", on.maxFill))
			qt.Check(t, off.confirmed+off.missed, qt.Equals, 0)
		})
	}
}
