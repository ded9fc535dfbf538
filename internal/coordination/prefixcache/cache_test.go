package prefixcache

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
)

var (
	layers = fleet.Range{From: 0, To: 10}
	parts  = []relay.PromptPart{{ID: "a", Tokens: 600}, {ID: "b", Tokens: 300}}
)

func engineNamed(name string) Engine { return Engine{Instance: name, Started: 1, Held: layers} }

// site holds the engines as they are now. Each has memory for 100,000 tokens.
type site map[string]Engine

func (s site) current(instance string) (Current, bool) {
	e, ok := s[instance]
	return Current{Engine: e, Free: 1e6}, ok
}

// read records a request at an engine that was judged by its first event: gain is how
// much sooner than without the cache it came, as a share of the possible gain.
func read(c *Cache, s site, instance, account string, parts []relay.PromptPart, gain float64, now time.Duration) Outcome {
	prefixes := c.Prefixes(account, parts)
	expected := c.Find(prefixes, s.current, now)[instance]
	full := 100 * time.Millisecond
	possible := time.Duration(0)
	if expected.Tokens > 0 {
		possible = 90 * time.Millisecond
	}
	took := full - time.Duration(gain*float64(possible))
	stage := Stage{Engine: s[instance], Layers: s[instance].Held, Expected: expected}
	return c.RecordFirstEvent([]Stage{stage}, prefixes, 1000, FirstEvent{Took: took, Full: full, Gain: possible}, now)
}

func find(c *Cache, s site, account string, parts []relay.PromptPart, now time.Duration) map[string]Estimate {
	return c.Find(c.Prefixes(account, parts), s.current, now)
}

// TestZeroCacheIsOff guards against effects of the feature where it is off.
func TestZeroCacheIsOff(t *testing.T) {
	var c Cache
	s := site{"e": engineNamed("e")}
	qt.Check(t, c.Prefixes("x", parts), qt.IsNil)
	qt.Check(t, read(&c, s, "e", "x", parts, 0, time.Second), qt.Equals, Unknown)
	qt.Check(t, find(&c, s, "x", parts, time.Second), qt.IsNil)
	c.SetVersion(s["e"], 3)
	qt.Check(t, c.engines, qt.IsNil)
}

func TestLongestCommonPrefixIsFound(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e"), "f": engineNamed("f")}
	read(c, s, "e", "x", parts, 0, time.Second)
	for _, x := range []struct {
		name  string
		parts []relay.PromptPart
		want  int
	}{
		{"same parts", parts, 900},
		{"more parts", append(parts[:2:2], relay.PromptPart{ID: "c", Tokens: 50}), 900},
		{"other second part", []relay.PromptPart{parts[0], {ID: "c", Tokens: 300}}, 600},
		{"same part at another place", []relay.PromptPart{parts[1], parts[0]}, 0},
		{"part of another length", []relay.PromptPart{{ID: "a", Tokens: 601}, parts[1]}, 0},
		{"no part", nil, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			found := find(c, s, "x", x.parts, 2*time.Second)
			qt.Check(t, found["e"].Tokens, qt.Equals, x.want)
			qt.Check(t, found["f"], qt.Equals, Estimate{})
			if x.want > 0 {
				qt.Check(t, found["e"].Layers, qt.Equals, layers)
				qt.Check(t, found["e"].Age, qt.Equals, time.Second)
			}
		})
	}
}

// TestAccountsAreSeparate guards against savings from the prompts of another account,
// which engines do not use unless the settings say so.
func TestAccountsAreSeparate(t *testing.T) {
	s := site{"e": engineNamed("e")}
	for _, shared := range []bool{false, true} {
		c := &Cache{Retention: time.Minute, Shared: shared}
		read(c, s, "e", "x", parts, 0, time.Second)
		qt.Check(t, find(c, s, "y", parts, 2*time.Second)["e"].Tokens > 0, qt.Equals, shared)
		qt.Check(t, find(c, s, "x", parts, 2*time.Second)["e"].Tokens, qt.Equals, 900)
	}
}

// TestAccountAndPartsDoNotRunTogether guards against an account name that continues as
// the first part.
func TestAccountAndPartsDoNotRunTogether(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e")}
	read(c, s, "e", "xa", []relay.PromptPart{{ID: "b", Tokens: 5}}, 0, time.Second)
	qt.Check(t, find(c, s, "x", []relay.PromptPart{{ID: "ab", Tokens: 5}}, time.Second), qt.HasLen, 0)
}

// TestEngineThatChangedCachesNothing guards against savings expected of an engine that
// has lost what it cached.
func TestEngineThatChangedCachesNothing(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(*Cache, site)
		want   int
	}{
		{"no change", func(*Cache, site) {}, 900},
		{"restarted", func(_ *Cache, s site) { s["e"] = Engine{"e", 2, layers} }, 0},
		{"moved to other layers", func(_ *Cache, s site) { s["e"] = Engine{"e", 1, fleet.Range{From: 0, To: 12}} }, 0},
		{"gone", func(_ *Cache, s site) { delete(s, "e") }, 0},
		{"gone and back", func(c *Cache, s site) { c.Retain(func(string) (Engine, bool) { return Engine{}, false }) }, 0},
		{"other layers for a while", func(c *Cache, s site) {
			c.Retain(func(string) (Engine, bool) { return Engine{"e", 1, fleet.Range{From: 0, To: 5}}, true })
		}, 0},
		{"still there", func(c *Cache, s site) { c.Retain(func(string) (Engine, bool) { return s["e"], true }) }, 900},
		{"new weights", func(c *Cache, s site) { c.SetVersion(s["e"], 7); c.SetVersion(s["e"], 8) }, 0},
		{"weights known now", func(c *Cache, s site) { c.SetVersion(s["e"], 7); c.SetVersion(s["e"], 7) }, 900},
		{"restarted and read since", func(c *Cache, s site) {
			s["e"] = Engine{"e", 2, layers}
			read(c, s, "e", "x", parts[:1], 0, 2*time.Second)
		}, 600},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := &Cache{Retention: time.Minute}
			s := site{"e": engineNamed("e")}
			read(c, s, "e", "x", parts, 0, time.Second)
			x.change(c, s)
			qt.Check(t, find(c, s, "x", parts, 3*time.Second)["e"].Tokens, qt.Equals, x.want)
		})
	}
}

// TestPrefixExpires checks the retention time, which begins again at each use.
func TestPrefixExpires(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e")}
	read(c, s, "e", "x", parts, 0, time.Second)
	read(c, s, "e", "x", parts[:1], 1, 41*time.Second)
	qt.Check(t, find(c, s, "x", parts, 60*time.Second)["e"].Tokens, qt.Equals, 900)
	qt.Check(t, find(c, s, "x", parts, 62*time.Second)["e"].Tokens, qt.Equals, 600)
	qt.Check(t, find(c, s, "x", parts, 102*time.Second), qt.HasLen, 0)
}

// TestOtherPromptsEvict checks that the probability falls as the engine reads other
// prompts and as its memory fills up.
func TestOtherPromptsEvict(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e")}
	read(c, s, "e", "x", parts, 0, time.Second)
	last := find(c, s, "x", parts, time.Second)["e"].Probability
	qt.Assert(t, last > 0.5, qt.IsTrue)
	for i := range 120 {
		read(c, s, "e", "x", []relay.PromptPart{{ID: fmt.Sprint(i), Tokens: 900}}, 0, time.Second)
		p := find(c, s, "x", parts, time.Second)["e"].Probability
		qt.Assert(t, p <= last, qt.IsTrue, qt.Commentf("%v after %v", p, last))
		last = p
	}
	qt.Check(t, last, qt.Equals, 0.0)
	c = &Cache{Retention: time.Minute}
	read(c, s, "e", "x", parts, 0, time.Second)
	full := func(string) (Current, bool) { return Current{Engine: s["e"]}, true }
	qt.Check(t, c.Find(c.Prefixes("x", parts), full, time.Second)["e"].Probability, qt.Equals, 0.0)
}

// TestRepeatedPromptDoesNotEvictItself guards against the requests of a popular prefix
// counting as pressure on it: the engine reads it only once.
func TestRepeatedPromptDoesNotEvictItself(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e")}
	read(c, s, "e", "x", parts, 0, time.Second)
	for i := range 300 {
		read(c, s, "e", "x", parts, 1, time.Second+time.Duration(i)*time.Millisecond)
	}
	qt.Check(t, find(c, s, "x", parts, 2*time.Second)["e"].Probability > 0.9, qt.IsTrue)
}

// TestFirstEventsAreFeedback checks that late first events lower the probability, that
// early ones raise it again, and that the engine of others is not concerned.
func TestFirstEventsAreFeedback(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e"), "f": engineNamed("f")}
	at := time.Second
	probability := func(instance string) float64 { return find(c, s, "x", parts, at+time.Second)[instance].Probability }
	read(c, s, "f", "x", parts, 0, at)
	read(c, s, "e", "x", parts, 0, at)
	initial := probability("e")
	for range 10 {
		at += time.Second
		qt.Check(t, read(c, s, "e", "x", parts, 0, at), qt.Equals, Missed)
	}
	qt.Check(t, probability("e") < 0.3, qt.IsTrue, qt.Commentf("%v", probability("e")))
	qt.Check(t, probability("f") >= initial, qt.IsTrue)
	for range 20 {
		at += time.Second
		qt.Check(t, read(c, s, "e", "x", parts, 1, at), qt.Equals, Confirmed)
	}
	qt.Check(t, probability("e") > initial, qt.IsTrue, qt.Commentf("%v", probability("e")))
}

// TestEarlyEvictionLeavesYoungPrefixes checks an engine that keeps prefixes for less
// time than the settings say: only older ones lose their probability.
func TestEarlyEvictionLeavesYoungPrefixes(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e")}
	at := time.Second
	read(c, s, "e", "x", parts, 0, at)
	for i := range 60 {
		step, gain := time.Second, 1.0
		if i%2 == 1 {
			step, gain = 20*time.Second, 0
		}
		at += step
		read(c, s, "e", "x", parts, gain, at)
	}
	young := find(c, s, "x", parts, at+time.Second)["e"].Probability
	old := find(c, s, "x", parts, at+20*time.Second)["e"].Probability
	qt.Check(t, young > 0.8, qt.IsTrue, qt.Commentf("%v", young))
	qt.Check(t, old < 0.3, qt.IsTrue, qt.Commentf("%v", old))
}

// TestEvictionOfAllAtOnce guards against savings expected of prefixes that were used
// before one that the engine is found to have evicted.
func TestEvictionOfAllAtOnce(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	s := site{"e": engineNamed("e")}
	other := func(i int) []relay.PromptPart { return []relay.PromptPart{{ID: fmt.Sprint(i), Tokens: 900}} }
	for i := range 5 {
		read(c, s, "e", "x", other(i), 0, time.Duration(i+1)*time.Second)
	}
	before := find(c, s, "x", other(2), 6*time.Second)["e"].Probability
	read(c, s, "e", "x", other(3), 0, 6*time.Second)
	qt.Check(t, find(c, s, "x", other(2), 7*time.Second)["e"].Probability < before/3, qt.IsTrue)
	qt.Check(t, find(c, s, "x", other(4), 7*time.Second)["e"].Probability > before/2, qt.IsTrue)
	qt.Check(t, find(c, s, "x", other(3), 7*time.Second)["e"].Probability > before/2, qt.IsTrue, qt.Commentf("it was read again"))
}

// TestSlowSiteIsNotTakenForMisses guards against misses found only because all first
// events come later than predicted.
func TestSlowSiteIsNotTakenForMisses(t *testing.T) {
	c := &Cache{Retention: time.Minute}
	stage := Stage{Engine: engineNamed("e"), Layers: layers}
	full := 100 * time.Millisecond
	for i := range 10 {
		c.RecordFirstEvent([]Stage{stage}, nil, 1000, FirstEvent{Took: 2 * full, Full: full}, time.Duration(i))
	}
	stage.Expected = Estimate{Tokens: 900, Layers: layers, Probability: 1}
	qt.Check(t, c.RecordFirstEvent([]Stage{stage}, nil, 1000, FirstEvent{Took: full / 5, Full: full, Gain: 90 * time.Millisecond}, time.Second), qt.Equals, Confirmed)
	qt.Check(t, c.RecordFirstEvent([]Stage{stage}, nil, 1000, FirstEvent{Took: 2 * full, Full: full, Gain: 90 * time.Millisecond}, time.Second), qt.Equals, Missed)
	qt.Check(t, c.RecordFirstEvent([]Stage{stage}, nil, 1000, FirstEvent{Took: 2 * full, Full: full, Gain: 9 * time.Millisecond}, time.Second), qt.Equals, Unknown, qt.Commentf("a small gain"))
}

// TestCacheIsBounded guards against memory that grows with the number of prefixes,
// accounts or engines, and against counts of holdings that drift.
func TestCacheIsBounded(t *testing.T) {
	c := &Cache{Retention: time.Hour}
	s := make(site)
	for i := range 200 {
		s[fmt.Sprint(i)] = engineNamed(fmt.Sprint(i))
	}
	many := make([]relay.PromptPart, 32)
	for i := range 6000 {
		for j := range many {
			many[j] = relay.PromptPart{ID: fmt.Sprintf("%d/%d", j, i*min(j, 1)), Tokens: 10}
		}
		at := time.Duration(i) * time.Millisecond
		read(c, s, fmt.Sprint(i%200), "x", many, 0, at)
	}
	counted := 0
	for _, e := range c.prefixes {
		qt.Assert(t, len(e.holders) <= maxHolders, qt.IsTrue)
		counted += len(e.holders)
	}
	qt.Check(t, c.holdings, qt.Equals, counted)
	qt.Check(t, counted <= maxHoldings, qt.IsTrue)
	qt.Check(t, counted > maxHoldings/2, qt.IsTrue)
	qt.Check(t, c.recent.Len(), qt.Equals, len(c.prefixes))
	read(c, s, "0", "x", parts, 0, 3*time.Hour)
	qt.Check(t, c.prefixes, qt.HasLen, 2, qt.Commentf("expired ones are removed"))
	qt.Check(t, c.holdings, qt.Equals, 2)
}

// BenchmarkFind measures a choice among 100 engines that all hold the prefix of 32 parts,
// as far as they are recorded.
func BenchmarkFind(b *testing.B) {
	c := &Cache{Retention: time.Hour}
	s := make(site)
	many := make([]relay.PromptPart, 32)
	for j := range many {
		many[j] = relay.PromptPart{ID: fmt.Sprint(j), Tokens: 10}
	}
	for i := range 100 {
		s[fmt.Sprint(i)] = engineNamed(fmt.Sprint(i))
		read(c, s, fmt.Sprint(i), "x", many, 0, time.Second)
	}
	for b.Loop() {
		c.Find(c.Prefixes("x", many), s.current, 2*time.Second)
	}
}
