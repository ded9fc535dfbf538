package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/path"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
)

// crowd returns a state among peers of three zones that each use some of the
// engines, and a function that returns the next news of one of them.
func crowd(t testing.TB, peers, engines int) (*state, func() *peering.News) {
	s := newState(t)
	all := make(map[string]*fleet.Upstream)
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		all[name] = &fleet.Upstream{Instance: name, Service: "llm", Zone: fmt.Sprint(i % 3), Accelerator: "big", Slots: 192, Held: fleet.Range{From: 0, To: 10}}
	}
	s.setUpstreams(wholeList{upstreams: all, revision: 1, at: time.Second}, time.Second)
	next := 0
	return s, func() *peering.News {
		next++
		i := next % peers
		n := &peering.News{Version: peering.Version, Table: 1, ListDigest: s.listDigest, Follows: true}
		n.Address = peering.Address{Gateway: fmt.Sprint("g", i), Zone: fmt.Sprint(i % 3), Address: fmt.Sprintf("10.0.%d.1:1", i)}
		n.OfZone = n.Zone != s.zone
		for k := range engines / 2 {
			n.Loads = append(n.Loads, peering.UpstreamLoad{Upstream: fmt.Sprintf("e%d", (i+k)%engines), Requests: 1, TokenLayers: 1000})
		}
		return n
	}
}

// TestZonesSpeakForTheirGateways: a peer of another zone tells what its whole
// zone carries, so that one word from a zone is enough to know of all.
func TestZonesSpeakForTheirGateways(t *testing.T) {
	const now = time.Minute
	at := func(zone, host string) *state {
		s := newState(t)
		s.zone = zone
		s.roster.Self = peering.Address{Gateway: host, Zone: zone, Address: host + ":1"}
		return s
	}
	carry := func(s *state, requests int, repeats int) {
		s.load("e").requests = requests
		s.load("e").tokenLayers = 10 * float64(requests)
		for range repeats {
			s.window("llm").Allow(s.allowance, retry.Counts{}, 1, now)
		}
	}
	g := &Gateway{}
	b1, b2, b3, a := at("b", "b1"), at("b", "b2"), at("b", "b3"), at("a", "a1")
	carry(b1, 3, 1)
	carry(b2, 4, 2)
	carry(b3, 5, 0)
	for _, s := range []*state{b1, b2} {
		s.hear(b3.news(g, "b", now), now)
	}
	b1.hear(b2.news(g, "b", now), now)
	b2.hear(b1.news(g, "b", now), now)
	qt.Check(t, b1.others("e").Requests, qt.Equals, 9.0)

	a.hear(b1.news(g, "a", now), now)
	qt.Check(t, a.others("e"), qt.Equals, path.Load{Requests: 12, TokenLayers: 120})
	qt.Check(t, a.peerCounts("llm").Retries, qt.Equals, 3.0)

	carry(b2, 7, 0)
	a.hear(b2.news(g, "a", now), now)
	qt.Check(t, a.others("e").Requests, qt.Equals, 15.0, qt.Commentf("the newest word of the zone replaces the last"))

	a.dropSilent(now)
	qt.Check(t, a.peers, qt.Equals, 2)
	a.dropSilent(now + time.Minute)
	qt.Check(t, a.peers, qt.Equals, 0)
	qt.Check(t, a.others("e"), qt.Equals, path.Load{})
}

// TestRepeatsCountWithoutUpstreams: what was sent to a service counts for the
// window also after its last upstream has gone.
func TestRepeatsCountWithoutUpstreams(t *testing.T) {
	const now = time.Minute
	s := newState(t)
	s.window("llm").Allow(s.allowance, retry.Counts{}, 1, now)
	s.setUpstreams(wholeList{upstreams: map[string]*fleet.Upstream{}, revision: 1, at: now}, now)
	n := s.news(&Gateway{}, s.zone, now)
	qt.Assert(t, n.Services, qt.HasLen, 1)
	qt.Check(t, n.Services[0].Repeats, qt.Equals, float32(1))
}

// TestZonesCutOffShareTheAllowance: gateways that no longer hear each other use
// together no more than the allowance.
func TestZonesCutOffShareTheAllowance(t *testing.T) {
	const now = time.Minute
	slack := 0.0
	for _, side := range []struct {
		self peering.Address
		// near are the gateways on the same side of the cut, far the others.
		near, far []string
	}{
		{peering.Address{Gateway: "a1", Zone: "a", Address: "a1:1"}, []string{"a2"}, []string{"b1", "b2", "b3", "c1"}},
		{peering.Address{Gateway: "b1", Zone: "b", Address: "b1:1"}, []string{"b2", "b3", "c1"}, []string{"a1", "a2"}},
	} {
		s := newState(t)
		s.zone, s.roster.Self = side.self.Zone, side.self
		hear := func(host string, at time.Duration) {
			s.hear(&peering.News{Version: peering.Version, Address: peering.Address{Gateway: host, Zone: host[:1], Address: host + ":1"}}, at)
		}
		for _, host := range append(side.near, side.far...) {
			hear(host, now)
		}
		s.dropSilent(now)
		qt.Check(t, s.presentAllowance(), qt.Equals, s.allowance, qt.Commentf("all hear each other"))
		const cut = now + 10*time.Second
		for _, host := range side.near {
			hear(host, cut)
		}
		s.dropSilent(cut)
		slack += s.presentAllowance().Slack
		qt.Check(t, s.processes(), qt.Equals, len(side.near)+1)
	}
	qt.Check(t, slack <= 100.0001, qt.IsTrue, qt.Commentf("slack of both sides %v, of 100", slack))
}

// TestWorkForAWordDoesNotGrowWithThePeers compares the time to take in the
// words of few peers and of many.
func TestWorkForAWordDoesNotGrowWithThePeers(t *testing.T) {
	few, many := hearTime(t, 5), hearTime(t, 330)
	// Memory that is used less often is slower; growth would be 66-fold.
	qt.Check(t, many < 10*few, qt.IsTrue, qt.Commentf("%v among 5 peers, %v among 330", few, many))
}

// hearTime returns the least time that some words of peers took.
func hearTime(t *testing.T, peers int) time.Duration {
	s, next := crowd(t, peers, 86)
	now := 2 * time.Second
	for range peers {
		s.hear(next(), now)
	}
	least := time.Hour
	for range 10 {
		var words []*peering.News
		for range 50 {
			words = append(words, next())
		}
		began := time.Now()
		for _, n := range words {
			s.hear(n, now)
		}
		least = min(least, time.Since(began))
	}
	return least
}

// BenchmarkHear is the work for one word of a peer, by the number of peers.
func BenchmarkHear(b *testing.B) {
	for _, peers := range []int{5, 30, 90, 330} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			s, next := crowd(b, peers, 86)
			now := 2 * time.Second
			for range peers {
				s.hear(next(), now)
			}
			b.ResetTimer()
			for b.Loop() {
				now += 10 * time.Millisecond
				s.hear(next(), now)
			}
		})
	}
}
