package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
)

const testWindow = 10 * time.Second

// relaying returns a message of a gateway whose build relays reports, which has counted
// retries for some time.
func relaying(zone, host string, reach time.Duration) *peering.News {
	n := news(zone, host, time.Second)
	n.Relay.Supported = true
	n.Retries.Reach = reach
	return n
}

// TestReportersOfZone guards against zones without reporter, and against reports by
// gateways whose build or counts are unfit for them while others are fit.
func TestReportersOfZone(t *testing.T) {
	draining := func(n *peering.News) *peering.News {
		n.Draining = true
		return n
	}
	const long, short = time.Minute, time.Second
	for _, x := range []struct {
		name  string
		self  *peering.News
		peers []*peering.News
		want  bool
	}{
		{"alone", relaying("a", "h5", long), nil, true},
		{"alone and draining", draining(relaying("a", "h5", long)), nil, true},
		{"alone and just started", relaying("a", "h5", short), nil, true},
		{"second", relaying("a", "h5", long), []*peering.News{relaying("a", "h1", long), relaying("a", "h6", long)}, true},
		{"third", relaying("a", "h5", long), []*peering.News{relaying("a", "h1", long), relaying("a", "h2", long)}, false},
		{"others in another zone", relaying("a", "h5", long), []*peering.News{relaying("b", "h1", long), relaying("b", "h2", long)}, true},
		{"the first is of an earlier build", relaying("a", "h5", long), []*peering.News{news("a", "h1", long), relaying("a", "h2", long)}, true},
		{"the first has just started", relaying("a", "h5", long), []*peering.News{relaying("a", "h1", short), relaying("a", "h2", long)}, true},
		{"the first drains", relaying("a", "h5", long), []*peering.News{draining(relaying("a", "h1", long)), relaying("a", "h2", long)}, true},
		{"just started, two others have not", relaying("a", "h1", short), []*peering.News{relaying("a", "h2", long), relaying("a", "h3", long)}, false},
		{"just started, one other has not", relaying("a", "h1", short), []*peering.News{relaying("a", "h2", long), relaying("a", "h3", short)}, true},
		{"draining, two others do not", draining(relaying("a", "h1", long)), []*peering.News{relaying("a", "h2", long), relaying("a", "h3", short)}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			ms := &Members{Self: x.self.Address}
			for _, n := range x.peers {
				ms.Update(n, time.Minute)
			}
			qt.Check(t, ms.UpdateReporting(x.self, testWindow, time.Minute), qt.Equals, x.want)
		})
	}
}

// TestSilentReporterIsReplaced guards against a zone whose load the others no longer know
// because the gateways that reported it have ended.
func TestSilentReporterIsReplaced(t *testing.T) {
	self := relaying("a", "h5", time.Minute)
	ms := &Members{Self: self.Address}
	ms.Update(relaying("a", "h1", time.Minute), time.Minute)
	ms.Update(relaying("a", "h2", time.Minute), time.Minute+time.Second)
	qt.Check(t, ms.UpdateReporting(self, testWindow, time.Minute+sameZoneAliveTime-time.Millisecond), qt.IsFalse)
	qt.Check(t, ms.UpdateReporting(self, testWindow, time.Minute+sameZoneAliveTime), qt.IsTrue)
}

// TestReportersCallEachOther guards against reports that become rarer with the number of
// gateways: reporters call each other at the shortest interval, the other gateways of
// other zones are called as often as without.
func TestReportersCallEachOther(t *testing.T) {
	self := relaying("a", "h0", time.Minute)
	ms := &Members{Self: self.Address}
	const others = 72
	for i := range others {
		n := relaying("b", "p"+string(rune('A'+i)), time.Minute)
		n.Relay.Reporter = i < 2
		ms.Update(n, time.Minute)
	}
	qt.Assert(t, ms.UpdateReporting(self, testWindow, time.Minute), qt.IsTrue)
	calls := make(map[string]int)
	sent := make(map[string]int)
	const seconds = 48
	for now := time.Minute; now < time.Minute+seconds*time.Second; now += 50 * time.Millisecond {
		for _, m := range ms.TakeDue(now) {
			calls[m.Address.Address]++
			if ms.TakeReport(m.Address.Address, now) {
				sent[m.Address.Address]++
			}
			m.LastHeard = now
		}
	}
	qt.Check(t, calls["pA:1"], qt.Equals, seconds*10/8)
	qt.Check(t, calls["pC:1"], qt.Equals, seconds/(others/fullRatePeers)*10/8)
	qt.Check(t, sent["pA:1"], qt.Equals, calls["pA:1"])
	qt.Check(t, ms.TakeReport("pA:1", time.Minute+seconds*time.Second-300*time.Millisecond), qt.IsFalse, qt.Commentf("a second report in the same interval"))
	qt.Check(t, ms.TakeReport("unknown:1", time.Hour), qt.IsFalse)
}

// TestLostReporterIsCalledLess guards against a reporter that has ended being called at
// the shortest interval until it is forgotten.
func TestLostReporterIsCalledLess(t *testing.T) {
	self := relaying("a", "h0", time.Minute)
	ms := &Members{Self: self.Address}
	n := relaying("b", "h1", time.Minute)
	n.Relay.Reporter = true
	ms.Update(n, time.Minute)
	ms.UpdateReporting(self, testWindow, time.Minute)
	calls := 0
	for now := time.Minute + lostAfter; now < time.Minute+lostAfter+20*time.Second; now += 50 * time.Millisecond {
		calls += len(ms.TakeDue(now))
	}
	qt.Check(t, calls <= 6, qt.IsTrue, qt.Commentf("%d calls", calls))
}
