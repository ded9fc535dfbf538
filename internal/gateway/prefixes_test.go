package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lovageport.example/internal/coordination/prefixcache"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// newPrefixState returns the state of a gateway with two engines that hold the whole
// model and read a token in 1 ms, and its log.
func newPrefixState(t *testing.T, retention time.Duration) (*state, *observer.ObservedLogs) {
	s := newState(t)
	core, logs := observer.New(zapcore.InfoLevel)
	s.log = zap.New(core)
	s.prefixes.Retention = retention
	table := &routing.Table{Version: 2, Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &fleet.Engine{
		Layers: 10, LayerMB: 1, KVTokenBytes: 1000, Step: time.Millisecond, ReadPerSecond: 1000,
		Accelerators: map[string]fleet.Accelerator{"big": {MemoryMB: 100, Pace: 1, ReadFactor: 1}},
	}}}}
	qt.Assert(t, table.Prepare(), qt.IsNil)
	s.setTable(table)
	all := make(map[string]*fleet.Upstream)
	for _, name := range []string{"e", "f"} {
		all[name] = &fleet.Upstream{Instance: name, Address: name, Service: "llm", Zone: "a", Accelerator: "big", Slots: 192, Started: 1, Held: fleet.Range{From: 0, To: 10}}
	}
	s.replaceUpstreams(upstreamList{upstreams: all, revision: numbered(2), asOf: time.Second}, time.Second)
	return s, logs
}

func prefixRequest(s *state, at time.Duration) *request {
	return &request{
		Request: relay.Request{ID: "r", PromptTokens: 200, Prefix: []relay.PromptPart{{ID: "p", Tokens: 160}}},
		route:   &routing.Route{Name: "r", Kind: routing.Stream, MaxUpstreams: 2}, service: "llm", accepted: s.table.Services["llm"],
		account: "x", tokens: 210, arrived: at, deadline: at + time.Minute,
	}
}

// assignPrefixed assigns a target to a request and releases it at once.
func assignPrefixed(t *testing.T, s *state, at time.Duration) target {
	t.Helper()
	q := prefixRequest(s, at)
	to, err := s.assign(q, at)
	qt.Assert(t, err, qt.IsNil)
	s.release(q, to)
	return to
}

// TestPrefixIsExpectedAfterFirstEvent follows a prefix from the first request to the
// second one, with what is logged, predicted and counted as load.
func TestPrefixIsExpectedAfterFirstEvent(t *testing.T) {
	c := qt.New(t)
	s, logs := newPrefixState(t, time.Minute)
	first := assignPrefixed(t, s, time.Second)
	c.Assert(first.prefix, qt.IsNotNil)
	c.Check(first.predictedFirst, qt.Equals, 200*time.Millisecond)
	c.Check(first.prefix.savedTokens, qt.Equals, 0.0)
	// Before its first event a second request expects nothing.
	c.Check(assignPrefixed(t, s, 2*time.Second).prefix.savedTokens, qt.Equals, 0.0)
	c.Check(s.recordPrefix(first.prefix, true, 0, 200*time.Millisecond, 3*time.Second), qt.Equals, prefixcache.Unknown)
	second := assignPrefixed(t, s, 10*time.Second)
	c.Check(second.upstream.Instance, qt.Equals, first.upstream.Instance)
	// Of 160 tokens, with the probability of 0.8 that counts before anything is known.
	c.Check(second.prefix.savedTokens, qt.Equals, 128.0)
	c.Check(second.predictedFirst, qt.Equals, 72*time.Millisecond)
	c.Check(second.prefix.full, qt.Equals, 200*time.Millisecond)
	c.Check(second.prefix.gain, qt.Equals, 160*time.Millisecond)
	c.Check(s.loadOf(second.upstream.Instance).prefillBacklog.At(10*time.Second), qt.Equals, 72*time.Millisecond)
	line := logs.FilterMessage("place given").All()[2].ContextMap()
	c.Check(line["prefix_saved_tokens"], qt.Equals, 128)
	c.Check(line["prefix_cached_tokens"], qt.Equals, 160)
	c.Check(line["prefix_age"], qt.Equals, 7*time.Second)
	c.Check(line["prefix_probability"], qt.Equals, 0.8)
	c.Check(s.recordPrefix(second.prefix, true, 0, 40*time.Millisecond, 11*time.Second), qt.Equals, prefixcache.Confirmed)
	third := assignPrefixed(t, s, 12*time.Second)
	c.Check(third.prefix.savedTokens > 128, qt.IsTrue)
	c.Check(s.recordPrefix(third.prefix, true, 0, 200*time.Millisecond, 13*time.Second), qt.Equals, prefixcache.Missed)
}

// TestPrefixIsOffWithoutRetention guards against any effect where the settings state no
// retention.
func TestPrefixIsOffWithoutRetention(t *testing.T) {
	c := qt.New(t)
	s, logs := newPrefixState(t, 0)
	for i := range 3 {
		to := assignPrefixed(t, s, time.Duration(i+1)*time.Second)
		c.Check(to.prefix, qt.IsNil)
		c.Check(to.predictedFirst, qt.Equals, 200*time.Millisecond)
	}
	for _, line := range logs.FilterMessage("place given").All() {
		for name := range line.ContextMap() {
			c.Check(name, qt.Not(qt.Matches), "prefix.*")
		}
	}
}

// TestFirstEventOfEngineThatChanged guards against prefixes that are recorded for an
// engine which has lost them since the request was sent, or with other weights.
func TestFirstEventOfEngineThatChanged(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(s *state, u *fleet.Upstream, p *expectedPrefix)
		saved  float64
	}{
		{"no change", func(s *state, _ *fleet.Upstream, p *expectedPrefix) {
			s.recordPrefix(p, true, 4, 200*time.Millisecond, 3*time.Second)
		}, 128},
		{"restarted before the event", func(s *state, u *fleet.Upstream, p *expectedPrefix) {
			u.Started = 2
			s.recordPrefix(p, true, 4, 200*time.Millisecond, 3*time.Second)
		}, 0},
		{"gone before the event", func(s *state, u *fleet.Upstream, p *expectedPrefix) {
			kept := s.upstreams[u.Instance]
			delete(s.upstreams, u.Instance)
			s.recordPrefix(p, true, 4, 200*time.Millisecond, 3*time.Second)
			s.upstreams[u.Instance] = kept
		}, 0},
		{"other weights within the stream", func(s *state, _ *fleet.Upstream, p *expectedPrefix) {
			s.recordPrefix(p, true, 4, 200*time.Millisecond, 3*time.Second)
			s.recordPrefix(p, false, 5, time.Second, 4*time.Second)
		}, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			s, _ := newPrefixState(t, time.Minute)
			to := assignPrefixed(t, s, time.Second)
			changed := *to.upstream
			s.upstreams[changed.Instance] = &changed
			x.change(s, &changed, to.prefix)
			s.rebuildPools()
			qt.Check(t, assignPrefixed(t, s, 10*time.Second).prefix.savedTokens, qt.Equals, x.saved)
		})
	}
}

// TestReplacedStageIsNoFeedback guards against a record of a prompt at an engine that was
// replaced before it had read it, and checks that a first event is recorded otherwise.
func TestReplacedStageIsNoFeedback(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		s, _ := newPrefixState(t, time.Minute)
		to := assignPrefixed(t, s, time.Second)
		now := to
		if replaced {
			now.chain = []relay.Stage{{Upstream: &fleet.Upstream{Instance: "other"}, Layers: to.chain[0].Layers}}
		}
		g := &Gateway{Log: s.log, Now: func() time.Duration { return 2 * time.Second }, control: loop.New[state]()}
		g.metrics = newMetrics(g)
		g.control.State = *s
		ctx, cancel := context.WithCancel(t.Context())
		go g.control.Run(ctx)
		a := &streamAttempt{g: g, q: prefixRequest(s, time.Second), target: to, sentAt: time.Second, detector: &stallDetector{target: now}}
		a.recordPrefix()
		var saved float64
		g.control.Do(func(s *state) { saved = assignPrefixed(t, s, 10*time.Second).prefix.savedTokens })
		qt.Check(t, saved > 0, qt.Equals, !replaced)
		cancel()
	}
}

// BenchmarkAssign measures a choice on a large site, without the feature and with a
// prefix of 8 parts that all engines have read.
func BenchmarkAssign(b *testing.B) {
	for _, x := range []struct {
		name      string
		retention time.Duration
	}{{"off", 0}, {"on", time.Hour}} {
		b.Run(x.name, func(b *testing.B) {
			s := newLargeState(b)
			model := s.table.Services["llm"].Engine
			model.ReadPerSecond, model.Accelerators["big"] = 1000, fleet.Accelerator{MemoryMB: 1000, Pace: 1, ReadFactor: 1}
			s.rebuildPools()
			s.prefixes.Retention = x.retention
			q := prefixRequest(s, time.Second)
			for i := range 8 {
				q.Prefix = append(q.Prefix, relay.PromptPart{ID: string(rune('a' + i)), Tokens: 10})
			}
			var stages []prefixcache.Stage
			for _, u := range s.upstreams {
				if u.Service == "llm" {
					stages = append(stages, prefixcache.Stage{Engine: prefixcache.EngineOf(u), Layers: u.Held})
				}
			}
			s.prefixes.RecordFirstEvent(stages, s.prefixes.Prefixes(q.account, q.Prefix), q.PromptTokens, prefixcache.FirstEvent{}, time.Second)
			for b.Loop() {
				next := prefixRequest(s, 2*time.Second)
				next.Prefix = q.Prefix
				to, err := s.assign(next, 2*time.Second)
				if err != nil {
					b.Fatal(err)
				}
				s.release(next, to)
			}
		})
	}
}
