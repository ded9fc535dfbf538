package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
)

// stateWithPeers returns a state with peers in three zones, each using some of
// the engines, and a function that returns the next news of one of them.
func stateWithPeers(t testing.TB, peers, engines int) (*state, func() *peering.News) {
	s := newState(t)
	all := make(map[string]*fleet.Upstream)
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		all[name] = &fleet.Upstream{Instance: name, Service: "llm", Zone: fmt.Sprint(i % 3), Accelerator: "big", Slots: 192, Held: fleet.Range{From: 0, To: 10}}
	}
	s.replaceUpstreams(upstreamList{upstreams: all, revision: numbered(1), asOf: time.Second}, time.Second)
	next := 0
	return s, func() *peering.News {
		next++
		i := next % peers
		n := &peering.News{Version: peering.Version, Table: 1, ListDigest: s.list.Digest(), Follows: true}
		n.Address = peering.Address{Gateway: fmt.Sprint("g", i), Zone: fmt.Sprint(i % 3), Address: fmt.Sprintf("10.0.%d.1:1", i)}
		n.OfZone = n.Zone != s.zone
		for k := range engines / 2 {
			n.Loads = append(n.Loads, peering.UpstreamLoad{Upstream: fmt.Sprintf("e%d", (i+k)%engines), Requests: 1, TokenLayers: 1000})
		}
		return n
	}
}

// TestZoneNewsSumsItsGateways checks that a peer of another zone reports the
// load of its whole zone, so that news from one gateway per zone suffices.
func TestZoneNewsSumsItsGateways(t *testing.T) {
	const now = time.Minute
	stateOf := func(zone, host string) *state {
		s := newState(t)
		s.zone = zone
		s.members.Self = peering.Address{Gateway: host, Zone: zone, Address: host + ":1"}
		return s
	}
	addLoad := func(s *state, requests int, repeats int) {
		s.loadOf("e").requests = requests
		s.loadOf("e").tokenLayers = 10 * float64(requests)
		for range repeats {
			s.retryWindow("llm").Allow(s.retryAllowance, retry.View{Processes: 1}, now)
		}
	}
	g := &Gateway{}
	b1, b2, b3, a := stateOf("b", "b1"), stateOf("b", "b2"), stateOf("b", "b3"), stateOf("a", "a1")
	addLoad(b1, 3, 1)
	addLoad(b2, 4, 2)
	addLoad(b3, 5, 0)
	for _, s := range []*state{b1, b2} {
		s.mergeNews(b3.buildNews(g, "b", now), now)
	}
	b1.mergeNews(b2.buildNews(g, "b", now), now)
	b2.mergeNews(b1.buildNews(g, "b", now), now)
	qt.Check(t, b1.peerLoad("e").Requests, qt.Equals, 9.0)

	a.mergeNews(b1.buildNews(g, "a", now), now)
	qt.Check(t, a.peerLoad("e"), qt.Equals, pathfinding.Load{Requests: 12, TokenLayers: 120})
	qt.Check(t, a.peerRetryCounts("llm").Retries, qt.Equals, 3.0)

	addLoad(b2, 7, 0)
	a.mergeNews(b2.buildNews(g, "a", now), now)
	qt.Check(t, a.peerLoad("e").Requests, qt.Equals, 15.0, qt.Commentf("newer news of a zone replaces the previous"))

	a.dropSilentPeers(now)
	qt.Check(t, a.alivePeers, qt.Equals, 2)
	a.dropSilentPeers(now + time.Minute)
	qt.Check(t, a.alivePeers, qt.Equals, 0)
	qt.Check(t, a.peerLoad("e"), qt.Equals, pathfinding.Load{})
}

// TestRetriesCountAfterLastUpstreamIsRemoved guards against losing the requests
// and retries of a service from the retry window when it has no upstreams left.
func TestRetriesCountAfterLastUpstreamIsRemoved(t *testing.T) {
	const now = time.Minute
	s := newState(t)
	s.retryWindow("llm").Allow(s.retryAllowance, retry.View{Processes: 1}, now)
	s.replaceUpstreams(upstreamList{upstreams: map[string]*fleet.Upstream{}, revision: numbered(1), asOf: now}, now)
	n := s.buildNews(&Gateway{}, s.zone, now)
	qt.Assert(t, n.Services, qt.HasLen, 1)
	qt.Check(t, n.Services[0].Repeats, qt.Equals, float32(1))
}

// TestRetriesOfRemovedServiceAreTold guards against retries that peers are not told of
// because the configuration no longer names their service: running requests still make
// them.
func TestRetriesOfRemovedServiceAreTold(t *testing.T) {
	const now = time.Minute
	s := newState(t)
	s.retryWindow("former").Allow(s.retryAllowance, retry.View{Processes: 1}, now)
	told := make(map[string]float32)
	for _, c := range s.buildNews(&Gateway{}, s.zone, now).Services {
		told[c.Service] = c.Repeats
	}
	qt.Check(t, told, qt.DeepEquals, map[string]float32{"llm": 0, "former": 1})

	peer := newState(t)
	peer.members.Self = peering.Address{Gateway: "peer", Zone: s.zone, Address: "peer:1"}
	peer.mergeNews(s.buildNews(&Gateway{}, s.zone, now), now)
	for _, c := range peer.buildNews(&Gateway{}, "other zone", now).Services {
		told[c.Service] = c.Repeats
	}
	qt.Check(t, told["former"], qt.Equals, float32(1), qt.Commentf("in the sums of the zone"))

	const later = now + 2*time.Minute
	qt.Check(t, s.buildNews(&Gateway{}, s.zone, later).Services, qt.HasLen, 1, qt.Commentf("left the window"))
	qt.Check(t, s.retryWindows["former"], qt.IsNil)
}

// TestPartitionedZonesShareRetryAllowance guards against exceeding the retry
// allowance in total while a partition separates the gateways.
func TestPartitionedZonesShareRetryAllowance(t *testing.T) {
	const now = time.Minute
	slack := 0.0
	for _, side := range []struct {
		self peering.Address
		// same are the gateways on the same side of the partition, other those
		// on the other side.
		same, other []string
	}{
		{peering.Address{Gateway: "a1", Zone: "a", Address: "a1:1"}, []string{"a2"}, []string{"b1", "b2", "b3", "c1"}},
		{peering.Address{Gateway: "b1", Zone: "b", Address: "b1:1"}, []string{"b2", "b3", "c1"}, []string{"a1", "a2"}},
	} {
		s := newState(t)
		s.zone, s.members.Self = side.self.Zone, side.self
		merge := func(host string, at time.Duration) {
			s.mergeNews(&peering.News{Version: peering.Version, Address: peering.Address{Gateway: host, Zone: host[:1], Address: host + ":1"}}, at)
		}
		for _, host := range append(side.same, side.other...) {
			merge(host, now)
		}
		s.dropSilentPeers(now)
		qt.Check(t, s.effectiveAllowance(), qt.Equals, s.retryAllowance, qt.Commentf("without partition the whole allowance applies"))
		const cut = now + 10*time.Second
		for _, host := range side.same {
			merge(host, cut)
		}
		s.dropSilentPeers(cut)
		slack += s.effectiveAllowance().Slack
		qt.Check(t, s.gatewayCount(), qt.Equals, len(side.same)+1)
	}
	qt.Check(t, slack <= 100.0001, qt.IsTrue, qt.Commentf("total slack of both sides: %v, allowed: 100", slack))
}

// TestMergeTimeIsIndependentOfPeerCount guards against a merge of news whose
// cost grows with the number of peers.
func TestMergeTimeIsIndependentOfPeerCount(t *testing.T) {
	few, many := minMergeTime(t, 5), minMergeTime(t, 330)
	// Rarely used memory is slower to access; growth with the peers would be
	// 66-fold.
	qt.Check(t, many < 10*few, qt.IsTrue, qt.Commentf("%v among 5 peers, %v among 330", few, many))
}

// minMergeTime returns the shortest time in which a batch of news was merged.
func minMergeTime(t *testing.T, peers int) time.Duration {
	s, next := stateWithPeers(t, peers, 86)
	now := 2 * time.Second
	for range peers {
		s.mergeNews(next(), now)
	}
	least := time.Hour
	for range 10 {
		var batch []*peering.News
		for range 50 {
			batch = append(batch, next())
		}
		began := time.Now()
		for _, n := range batch {
			s.mergeNews(n, now)
		}
		least = min(least, time.Since(began))
	}
	return least
}

// BenchmarkMergeNews measures the merge of one message by the number of peers.
func BenchmarkMergeNews(b *testing.B) {
	for _, peers := range []int{5, 30, 90, 330} {
		b.Run(fmt.Sprint(peers), func(b *testing.B) {
			s, next := stateWithPeers(b, peers, 86)
			now := 2 * time.Second
			for range peers {
				s.mergeNews(next(), now)
			}
			b.ResetTimer()
			for b.Loop() {
				now += 10 * time.Millisecond
				s.mergeNews(next(), now)
			}
		})
	}
}
