package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
)

func address(zone, host string) peering.Address {
	return peering.Address{Gateway: host, Zone: zone, Address: host + ":1"}
}

// news returns a message of a gateway whose list of upstreams has the given age.
// The gateway follows the store if the list is fresh.
func news(zone, host string, listAge time.Duration) *peering.News {
	return &peering.News{Version: peering.Version, Address: address(zone, host), ListAge: listAge, Follows: listAge < MaxListAge}
}

// fromPeers changes n to the message of a gateway that has its list from peers.
func fromPeers(n *peering.News) *peering.News {
	n.Follows = false
	return n
}

func TestOneGatewayPlacesZone(t *testing.T) {
	const fresh, stale = time.Second, 5 * time.Second
	for _, test := range []struct {
		name    string
		self    peering.Address
		listAge time.Duration
		peers   []*peering.News
		drain   bool
		zone    string
		want    bool
	}{
		{name: "alone in the zone", self: address("a", "h2"), listAge: fresh, zone: "a", want: true},
		{name: "first of the zone", self: address("a", "h2"), listAge: fresh, peers: []*peering.News{news("a", "h3", fresh)}, zone: "a", want: true},
		{name: "second of the zone", self: address("a", "h2"), listAge: fresh, peers: []*peering.News{news("a", "h1", fresh)}, zone: "a"},
		{name: "the first has a stale list", self: address("a", "h2"), listAge: fresh, peers: []*peering.News{news("a", "h1", stale)}, zone: "a", want: true},
		{name: "another zone has its own gateway", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{news("b", "h2", fresh)}, zone: "b"},
		{name: "another zone has no gateway", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{news("c", "h2", fresh)}, zone: "b", want: true},
		{name: "the other zone's gateway has a stale list", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{news("b", "h0", stale)}, zone: "b", want: true},
		{name: "own zone partitioned from the store", self: address("a", "h1"), listAge: stale, peers: []*peering.News{news("a", "h2", stale)}, zone: "a", want: true},
		{name: "own zone partitioned, another zone is not", self: address("a", "h1"), listAge: stale, peers: []*peering.News{news("b", "h2", fresh)}, zone: "a"},
		{name: "partitioned from another zone", self: address("a", "h1"), listAge: stale, zone: "b"},
		{name: "the first has its list from peers", self: address("a", "h2"), listAge: fresh, peers: []*peering.News{fromPeers(news("a", "h1", fresh))}, zone: "a", want: true},
		{name: "the other zone's gateway has its list from peers", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{fromPeers(news("b", "h2", fresh))}, zone: "b"},
		{name: "leaving", self: address("a", "h1"), listAge: fresh, drain: true, zone: "a"},
		{name: "no list yet", self: address("a", "h1"), listAge: -1, zone: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			ms := &Members{Self: test.self}
			for _, n := range test.peers {
				ms.Update(n, time.Minute)
			}
			own := news(test.self.Zone, "", test.listAge)
			own.Draining = test.drain
			qt.Assert(t, ms.IsPlacementLeader(test.zone, own, time.Minute), qt.Equals, test.want)
		})
	}
}

func TestSilentLeaderIsReplaced(t *testing.T) {
	c := qt.New(t)
	ms := &Members{Self: address("a", "h2")}
	ms.Update(news("a", "h1", time.Second), time.Minute)
	own := news("a", "h2", time.Second)
	c.Assert(ms.IsPlacementLeader("a", own, time.Minute+sameZoneAliveTime-time.Millisecond), qt.IsFalse)
	c.Assert(ms.IsPlacementLeader("a", own, time.Minute+sameZoneAliveTime), qt.IsTrue)
	c.Assert(ms.IsZoneReader(time.Minute+sameZoneAliveTime, true), qt.IsTrue)
}

// TestReaderWithoutStoreIsReplaced checks that a gateway that has lost the store
// is replaced as zone reader by the next one that has not.
func TestReaderWithoutStoreIsReplaced(t *testing.T) {
	for _, x := range []struct {
		name    string
		peer    *peering.News
		follows bool
		want    bool
	}{
		{"the first follows the store", news("a", "h1", 0), true, false},
		{"the first lost the store", fromPeers(news("a", "h1", 0)), true, true},
		{"both lost the store", fromPeers(news("a", "h1", 0)), false, false},
		{"lost the store, the next follows it", news("a", "h3", 0), false, false},
		{"lost the store, the next too", fromPeers(news("a", "h3", 0)), false, true},
		{"lost the store, another zone follows it", news("b", "h1", 0), false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			ms := &Members{Self: address("a", "h2")}
			ms.Update(x.peer, time.Minute)
			qt.Check(t, ms.IsZoneReader(time.Minute, x.follows), qt.Equals, x.want)
		})
	}
}

// TestWatchesDoNotGrowWithGateways guards against overloading the store: the
// first gateway of a zone watches closely, the others less often the more
// gateways there are.
func TestWatchesDoNotGrowWithGateways(t *testing.T) {
	for _, x := range []struct {
		peers       int
		self        string
		pause, wait time.Duration
	}{
		{peers: 0, self: "h0", pause: readerWatchPause, wait: readerWatchWait},
		{peers: 5, self: "h0", pause: readerWatchPause, wait: readerWatchWait},
		{peers: 5, self: "h9", pause: readerWatchPause, wait: otherWatchWait},
		{peers: 12, self: "h99", pause: 2 * readerWatchPause, wait: otherWatchWait},
		{peers: 90, self: "h0", pause: readerWatchPause, wait: largeReaderWatchWait},
		{peers: 90, self: "h99", pause: maxWatchPause, wait: otherWatchWait},
		{peers: 330, self: "h99", pause: maxWatchPause, wait: otherWatchWait},
	} {
		t.Run(fmt.Sprint(x.peers, x.self), func(t *testing.T) {
			ms := &Members{Self: address("a", x.self)}
			for i := range x.peers {
				ms.Update(news([]string{"a", "b", "c"}[i%3], fmt.Sprintf("h5%d", i), time.Second), time.Minute)
			}
			qt.Check(t, ms.WatchPause(time.Minute, true), qt.Equals, x.pause)
			qt.Check(t, ms.WatchWait(time.Minute, true), qt.Equals, x.wait)
		})
	}
}

// TestConfirmedGatewaysWatchRarely guards against calls to the store that return what
// peers have told before, and against a reader, or a gateway among few, that watches less
// closely because of it. At 110 gateways it counts the watches of two objects in a minute.
func TestConfirmedGatewaysWatchRarely(t *testing.T) {
	for _, x := range []struct {
		peers int
		self  string
		pause time.Duration
	}{
		{peers: 0, self: "h0"},
		{peers: 12, self: "h99"},
		{peers: manyGateways - 1, self: "h99"},
		{peers: manyGateways, self: "h99", pause: confirmedWatchPause},
		{peers: 109, self: "h0"},
		{peers: 109, self: "h99", pause: confirmedWatchPause},
	} {
		t.Run(fmt.Sprint(x.peers, x.self), func(t *testing.T) {
			ms := &Members{Self: address("a", x.self)}
			for i := range x.peers {
				ms.Update(news([]string{"a", "b", "c"}[i%3], fmt.Sprintf("h5%d", i), time.Second), time.Minute)
			}
			qt.Check(t, ms.ConfirmedWatchPause(time.Minute, true), qt.Equals, x.pause)
			if x.peers < 109 || x.self == "h0" {
				return
			}
			const others, objects = 107, 2
			perMinute := func(pause, wait time.Duration) float64 {
				return others * objects * time.Minute.Seconds() / (pause + wait).Seconds()
			}
			wait, usual := ms.WatchWait(time.Minute, true), ms.WatchPause(time.Minute, true)
			// No changes, and a change every second.
			for _, wait := range []time.Duration{wait, time.Second / 2} {
				before, after := perMinute(usual, wait), perMinute(usual+x.pause, wait)
				t.Logf("%.0f watches a minute, %.0f without the longer pause, if they wait %v", after, before, wait)
				qt.Check(t, after < 0.6*before, qt.IsTrue)
			}
		})
	}
}

// TestStoreRetriesDoNotGrowWithGateways guards against overloading a store that
// is down: the first gateway of a zone calls it once a second, the others less
// often the more gateways there are.
func TestStoreRetriesDoNotGrowWithGateways(t *testing.T) {
	for _, x := range []struct {
		peers    int
		self     string
		failures int
		pause    time.Duration
	}{
		{peers: 0, self: "h0", failures: 1, pause: minRetryPause},
		{peers: 0, self: "h0", failures: 3, pause: 4 * minRetryPause},
		{peers: 0, self: "h0", failures: 99, pause: maxRetryPause},
		{peers: 9, self: "h99", failures: 99, pause: maxRetryPause},
		{peers: 12, self: "h99", failures: 99, pause: 2 * maxRetryPause},
		{peers: 90, self: "h0", failures: 99, pause: maxRetryPause},
		{peers: 90, self: "h99", failures: 1, pause: minRetryPause},
		{peers: 90, self: "h99", failures: 99, pause: maxOtherRetryPause},
	} {
		t.Run(fmt.Sprint(x.peers, x.self, x.failures), func(t *testing.T) {
			ms := &Members{Self: address("a", x.self)}
			for i := range x.peers {
				ms.Update(news([]string{"a", "b", "c"}[i%3], fmt.Sprintf("h5%d", i), time.Second), time.Minute)
			}
			qt.Check(t, ms.RetryPause(x.failures, time.Minute, x.self == "h0"), qt.Equals, x.pause)
		})
	}
}

func TestNamedPeerIsCalledButNotAlive(t *testing.T) {
	c := qt.New(t)
	ms := &Members{Self: address("a", "h1")}
	n := news("a", "h2", time.Second)
	n.Peers = []peering.Address{address("b", "h3"), ms.Self}
	ms.Update(n, time.Minute)
	var due []string
	for _, m := range ms.TakeDue(time.Minute) {
		due = append(due, m.Address.Address)
	}
	c.Assert(due, qt.DeepEquals, []string{"h2:1", "h3:1"})
	c.Assert(ms.TakeDue(time.Minute), qt.HasLen, 0)
	c.Assert(ms.Alive(time.Minute), qt.HasLen, 1, qt.Commentf("h3 itself was not heard"))
}

// TestCallsDoNotGrowWithPeers checks that a gateway among many makes a bounded
// number of calls, reaches all peers and keeps them alive.
func TestCallsDoNotGrowWithPeers(t *testing.T) {
	for _, n := range []int{6, 30, 100, 330} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			ms := &Members{Self: address("a", "self")}
			for i := range n {
				ms.Update(news([]string{"a", "b", "c"}[i%3], fmt.Sprintf("h%d", i), time.Second), time.Minute)
			}
			callsTo := make(map[string]int)
			calls := 0
			const seconds = 20
			for now := time.Minute; now < time.Minute+seconds*time.Second; now += 50 * time.Millisecond {
				for _, m := range ms.TakeDue(now) {
					callsTo[m.Address.Address]++
					calls++
					// Each called peer answers.
					m.LastHeard = now
				}
				c.Assert(len(ms.Alive(now)), qt.Equals, n, qt.Commentf("at %v", now-time.Minute))
			}
			c.Assert(calls/seconds <= 60, qt.IsTrue, qt.Commentf("%d calls a second", calls/seconds))
			c.Assert(callsTo, qt.HasLen, n)
		})
	}
}

func TestSilentPeersAreCalledLessAndForgotten(t *testing.T) {
	c := qt.New(t)
	ms := &Members{Self: address("a", "h1")}
	ms.AddAddresses([]peering.Address{{Address: "seed:1"}}, true, time.Second)
	ms.AddAddresses([]peering.Address{{Address: "other:1"}}, false, time.Second)
	calls := 0
	for now := time.Second; now < 2*time.Minute; now += 50 * time.Millisecond {
		ms.Prune(now)
		calls += len(ms.TakeDue(now))
	}
	c.Assert(calls < 100, qt.IsTrue, qt.Commentf("%d calls", calls))
	c.Assert(ms.byAddress["seed:1"], qt.IsNotNil)
	c.Assert(ms.byAddress["other:1"], qt.IsNil)
}
