package roster

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

// news returns word of a gateway whose list of upstreams is of an age.
func news(zone, host string, listAge time.Duration) *peering.News {
	return &peering.News{Version: peering.Version, Address: address(zone, host), ListAge: listAge, Follows: listAge < MaxListAge}
}

// borrowed makes it word of a gateway that has its list from peers.
func borrowed(n *peering.News) *peering.News {
	n.Follows = false
	return n
}

func TestPlaces(t *testing.T) {
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
		{name: "the first is stale", self: address("a", "h2"), listAge: fresh, peers: []*peering.News{news("a", "h1", stale)}, zone: "a", want: true},
		{name: "another zone has its own", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{news("b", "h2", fresh)}, zone: "b"},
		{name: "another zone has none", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{news("c", "h2", fresh)}, zone: "b", want: true},
		{name: "another zone's own is stale", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{news("b", "h0", stale)}, zone: "b", want: true},
		{name: "cut off with the own zone", self: address("a", "h1"), listAge: stale, peers: []*peering.News{news("a", "h2", stale)}, zone: "a", want: true},
		{name: "cut off, other zones are not", self: address("a", "h1"), listAge: stale, peers: []*peering.News{news("b", "h2", fresh)}, zone: "a"},
		{name: "cut off from another zone", self: address("a", "h1"), listAge: stale, zone: "b"},
		{name: "the first only borrows its list", self: address("a", "h2"), listAge: fresh, peers: []*peering.News{borrowed(news("a", "h1", fresh))}, zone: "a", want: true},
		{name: "the zone's own only borrows", self: address("a", "h1"), listAge: fresh, peers: []*peering.News{borrowed(news("b", "h2", fresh))}, zone: "b"},
		{name: "leaving", self: address("a", "h1"), listAge: fresh, drain: true, zone: "a"},
		{name: "no list yet", self: address("a", "h1"), listAge: -1, zone: "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &Roster{Self: test.self}
			for _, n := range test.peers {
				r.Hear(n, time.Minute)
			}
			own := news(test.self.Zone, "", test.listAge)
			own.Draining = test.drain
			qt.Assert(t, r.Places(test.zone, own, time.Minute), qt.Equals, test.want)
		})
	}
}

func TestTakeOverFromASilentGateway(t *testing.T) {
	c := qt.New(t)
	r := &Roster{Self: address("a", "h2")}
	r.Hear(news("a", "h1", time.Second), time.Minute)
	own := news("a", "h2", time.Second)
	c.Assert(r.Places("a", own, time.Minute+nearAliveTime-time.Millisecond), qt.IsFalse)
	c.Assert(r.Places("a", own, time.Minute+nearAliveTime), qt.IsTrue)
	c.Assert(r.Reads(time.Minute+nearAliveTime, true), qt.IsTrue)
}

// TestReaderWithoutStore: a gateway that lost the store hands its part to the
// next that has not.
func TestReaderWithoutStore(t *testing.T) {
	for _, x := range []struct {
		name    string
		peer    *peering.News
		follows bool
		want    bool
	}{
		{"the first has it", news("a", "h1", 0), true, false},
		{"the first lost it", borrowed(news("a", "h1", 0)), true, true},
		{"both lost it", borrowed(news("a", "h1", 0)), false, false},
		{"lost it, the next has it", news("a", "h3", 0), false, false},
		{"lost it, the next too", borrowed(news("a", "h3", 0)), false, true},
		{"lost it, another zone has it", news("b", "h1", 0), false, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := &Roster{Self: address("a", "h2")}
			r.Hear(x.peer, time.Minute)
			qt.Check(t, r.Reads(time.Minute, x.follows), qt.Equals, x.want)
		})
	}
}

// TestWatches: the first of the zone watches closely, the others the less the
// more gateways there are.
func TestWatches(t *testing.T) {
	for _, x := range []struct {
		peers       int
		self        string
		pause, wait time.Duration
	}{
		{peers: 0, self: "h0", pause: readerPause, wait: readerWait},
		{peers: 5, self: "h0", pause: readerPause, wait: readerWait},
		{peers: 5, self: "h9", pause: readerPause, wait: otherWait},
		{peers: 12, self: "h99", pause: 2 * readerPause, wait: otherWait},
		{peers: 90, self: "h0", pause: readerPause, wait: manyReaderWait},
		{peers: 90, self: "h99", pause: maxWatchPause, wait: otherWait},
		{peers: 330, self: "h99", pause: maxWatchPause, wait: otherWait},
	} {
		t.Run(fmt.Sprint(x.peers, x.self), func(t *testing.T) {
			r := &Roster{Self: address("a", x.self)}
			for i := range x.peers {
				r.Hear(news([]string{"a", "b", "c"}[i%3], fmt.Sprintf("h5%d", i), time.Second), time.Minute)
			}
			qt.Check(t, r.WatchPause(time.Minute, true), qt.Equals, x.pause)
			qt.Check(t, r.WatchWait(time.Minute, true), qt.Equals, x.wait)
		})
	}
}

// TestRetries: while the store is down, the first of the zone asks it each second,
// and the others the less the more gateways there are.
func TestRetries(t *testing.T) {
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
			r := &Roster{Self: address("a", x.self)}
			for i := range x.peers {
				r.Hear(news([]string{"a", "b", "c"}[i%3], fmt.Sprintf("h5%d", i), time.Second), time.Minute)
			}
			qt.Check(t, r.RetryPause(x.failures, time.Minute, x.self == "h0"), qt.Equals, x.pause)
		})
	}
}

func TestLearnsFromHearsay(t *testing.T) {
	c := qt.New(t)
	r := &Roster{Self: address("a", "h1")}
	n := news("a", "h2", time.Second)
	n.Peers = []peering.Address{address("b", "h3"), r.Self}
	r.Hear(n, time.Minute)
	var due []string
	for _, m := range r.Due(time.Minute) {
		due = append(due, m.Address.Address)
	}
	c.Assert(due, qt.DeepEquals, []string{"h2:1", "h3:1"})
	c.Assert(r.Due(time.Minute), qt.HasLen, 0)
	c.Assert(r.Alive(time.Minute), qt.HasLen, 1, qt.Commentf("h3 was not heard itself"))
}

// TestCallsDoNotGrowWithThePeers counts the calls of a gateway among many.
func TestCallsDoNotGrowWithThePeers(t *testing.T) {
	for _, n := range []int{6, 30, 100, 330} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			r := &Roster{Self: address("a", "self")}
			for i := range n {
				r.Hear(news([]string{"a", "b", "c"}[i%3], fmt.Sprintf("h%d", i), time.Second), time.Minute)
			}
			called := make(map[string]int)
			calls := 0
			const seconds = 20
			for now := time.Minute; now < time.Minute+seconds*time.Second; now += 50 * time.Millisecond {
				for _, m := range r.Due(now) {
					called[m.Address.Address]++
					calls++
					// Those that are called answer.
					m.HeardAt = now
				}
				c.Assert(len(r.Alive(now)), qt.Equals, n, qt.Commentf("at %v", now-time.Minute))
			}
			c.Assert(calls/seconds <= 60, qt.IsTrue, qt.Commentf("%d calls a second", calls/seconds))
			c.Assert(called, qt.HasLen, n)
		})
	}
}

func TestSilentPeersAreCalledLessAndForgotten(t *testing.T) {
	c := qt.New(t)
	r := &Roster{Self: address("a", "h1")}
	r.Learn([]peering.Address{{Address: "seed:1"}}, true, time.Second)
	r.Learn([]peering.Address{{Address: "other:1"}}, false, time.Second)
	calls := 0
	for now := time.Second; now < 2*time.Minute; now += 50 * time.Millisecond {
		r.Prune(now)
		calls += len(r.Due(now))
	}
	c.Assert(calls < 100, qt.IsTrue, qt.Commentf("%d calls", calls))
	c.Assert(r.members["seed:1"], qt.IsNotNil)
	c.Assert(r.members["other:1"], qt.IsNil)
}
