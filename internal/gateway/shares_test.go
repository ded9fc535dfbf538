package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/coordination/fairshare"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// sharesTime is the boot time at which the tests of shares begin.
const sharesTime = 10 * time.Second

// newWaiter returns a request of an account that asks for a target.
func newWaiter(id, account string, now time.Duration) *waiter {
	route := &routing.Route{Name: "r", Kind: routing.Stream, Resumable: true, MaxUpstreams: 2}
	q := &request{Request: relay.Request{ID: id}, http: &http.Request{}, route: route, service: "llm",
		account: account, tokens: usualTokens, arrived: now, deadline: now + 20*time.Second}
	q.setQueueDeadline(now)
	return &waiter{q: q, reply: make(chan admissionResult, 1)}
}

// hasTarget reports whether a request has got a target.
func hasTarget(t *testing.T, w *waiter) bool {
	select {
	case r := <-w.reply:
		qt.Assert(t, r.err, qt.IsNil)
		return true
	default:
		return false
	}
}

// newsOfPeer returns news of a peer of the zone with demand for "llm".
func newsOfPeer(s *state, services ...peering.ServiceDemand) *peering.News {
	n := &peering.News{Version: peering.Version, Demand: peering.DemandNews{Services: services}}
	n.Address = peering.Address{Gateway: "peer", Zone: s.zone, Address: "peer:1"}
	return n
}

// newSharingState returns a state whose settings ask for shares across all gateways.
func newSharingState(t *testing.T) *state {
	s := newState(t)
	s.sharesAcross = true
	return s
}

// TestSharesAreOffByDefault guards against limits, and against demand sent to peers, where
// the settings do not ask for shares across all gateways.
func TestSharesAreOffByDefault(t *testing.T) {
	s := newState(t)
	now := sharesTime
	for i := range 2 * engineCapacity {
		admitOf(s, fmt.Sprint("r", i), "large", 5, now)
	}
	s.dispatch(now)
	qt.Check(t, s.shares, qt.HasLen, 0)
	n := &peering.News{}
	s.addDemand(n, now)
	qt.Check(t, n.Demand.Services, qt.HasLen, 0)

	// A peer whose settings ask for them.
	n = &peering.News{Address: peering.Address{Gateway: "peer", Zone: s.zone, Address: "peer:1"}}
	n.Demand.Services = []peering.ServiceDemand{{Service: "llm", DispatchRate: 1, Classes: []peering.ClassDemand{{Account: "large", Accounts: 1, Waiting: 1000, Wanted: 1000}}}}
	s.mergeNews(n, now)
	qt.Check(t, s.shares, qt.HasLen, 0)
	qt.Check(t, s.waiting.reports.Fleet("llm", "large", 5, bootTime(now)), qt.Equals, admission.Fleet{})
}

// limitLarge returns a state whose engine is full, mostly of the account "large", while
// the account "small" waits at a peer. It returns the targets of "large" here.
func limitLarge(t *testing.T) (*state, []*waiter, []target) {
	s := newSharingState(t)
	s.metrics = newMetrics(&Gateway{})
	// The engine takes up to 105 requests, see engineCapacity.
	var running []*waiter
	var targets []target
	for i := range 60 {
		w := newWaiter(fmt.Sprint(i), "large", sharesTime)
		s.admit(w, sharesTime)
		r := <-w.reply
		qt.Assert(t, r.err, qt.IsNil)
		running, targets = append(running, w), append(targets, r.target)
	}
	n := newsOfPeer(s, peering.ServiceDemand{Service: "llm", Scarcity: 3, Classes: []peering.ClassDemand{
		{Account: "large", Accounts: 1, Used: 45 * usualTokens, Wanted: 60 * usualTokens},
		{Account: "small", Accounts: 1, Wanted: 20 * usualTokens},
	}})
	n.Loads = []peering.UpstreamLoad{{Upstream: "e", Requests: 45, TokenLayers: 45 * usualTokens * 10}}
	s.mergeNews(n, sharesTime)
	w := newWaiter("full", "large", sharesTime)
	s.admit(w, sharesTime)
	qt.Assert(t, hasTarget(t, w), qt.IsFalse)
	s.dispatch(sharesTime)
	qt.Assert(t, s.shares["llm"].IsLimited(fairshare.Class{Account: "large"}), qt.IsTrue)
	return s, running, targets
}

// TestLimitedClassDoesNotHoldUpOthers guards against freed capacity that goes to a class
// beyond its share because its requests wait at the gateway that frees it, and against
// requests of other classes that wait behind them.
func TestLimitedClassDoesNotHoldUpOthers(t *testing.T) {
	c := qt.New(t)
	s, running, targets := limitLarge(t)
	now := sharesTime + 10*time.Millisecond
	for i := range 5 {
		s.release(running[i].q, targets[i])
	}
	s.dispatch(now)
	c.Assert(s.queue.Len("llm"), qt.Equals, 1, qt.Commentf("a limited class gets freed capacity"))

	small := newWaiter("small", "small", now)
	s.admit(small, now)
	c.Check(hasTarget(t, small), qt.IsTrue)

	late := newWaiter("late", "large", now)
	s.admit(late, now)
	c.Check(hasTarget(t, late), qt.IsFalse)
	resumed := newWaiter("resumed", "large", now)
	resumed.q.attemptHistory.recordEvent(now)
	s.admit(resumed, now)
	c.Check(hasTarget(t, resumed), qt.IsTrue, qt.Commentf("a stream that has begun is limited"))
	c.Check(metricValue(t, s.metrics.held.WithLabelValues("llm", fairshare.ByAccount)), qt.Equals, 1.0)

	// A request that cannot be served in time is refused as without limits.
	s.dispatch(now + streamQueueTimeout + testStep)
	r := <-late.reply
	c.Assert(r.err, qt.IsNotNil)
	c.Check(verdict.Of(r.err).Reason, qt.Equals, verdict.DeadlineUnmeetable)
	c.Check(verdict.Of(r.err).Run, qt.Equals, verdict.NotRun)
}

// TestQueuedResumptionPassesLimit guards against a stream that has begun and waits, since
// the engines were full, behind requests of its limited class.
func TestQueuedResumptionPassesLimit(t *testing.T) {
	c := qt.New(t)
	s, running, targets := limitLarge(t)
	resumed := newWaiter("resumed", "large", sharesTime)
	resumed.q.attemptHistory.recordEvent(sharesTime)
	s.admit(resumed, sharesTime)
	c.Assert(hasTarget(t, resumed), qt.IsFalse)
	s.release(running[0].q, targets[0])
	s.dispatch(sharesTime + 10*time.Millisecond)
	c.Check(hasTarget(t, resumed), qt.IsTrue)
	c.Check(s.queue.Len("llm"), qt.Equals, 1)
}

// TestLimitEndsWithScarcity guards against a class that stays limited when others ask for
// nothing any more.
func TestLimitEndsWithScarcity(t *testing.T) {
	c := qt.New(t)
	s, running, targets := limitLarge(t)
	for i := range running {
		s.release(running[i].q, targets[i])
	}
	now := sharesTime + 4*time.Second
	s.mergeNews(newsOfPeer(s), now)
	s.dispatch(now)
	c.Check(s.shares["llm"].Limiting(), qt.IsFalse)
	c.Check(s.isHeld(newWaiter("large", "large", now).q), qt.IsFalse)
}

// TestRejectedDemand guards against demand that counts although it is invalid or of an
// unknown service, and against the loss of the other news that came with it.
func TestRejectedDemand(t *testing.T) {
	c := qt.New(t)
	s := newSharingState(t)
	s.metrics = newMetrics(&Gateway{})
	sound := peering.ServiceDemand{Service: "llm", Scarcity: 1, Classes: []peering.ClassDemand{{Account: "a", Accounts: 1, Used: 1}}}
	invalid := newsOfPeer(s, sound, peering.ServiceDemand{Service: "llm", DispatchRate: -1})
	invalid.Loads = []peering.UpstreamLoad{{Upstream: "e", Requests: 3}}
	s.mergeNews(invalid, sharesTime)
	c.Check(s.peerLoad("e").Requests, qt.Equals, 3.0)
	c.Check(s.shares, qt.HasLen, 0)
	c.Check(metricValue(t, s.metrics.rejectedDemand.WithLabelValues(demandInvalid)), qt.Equals, 1.0)

	unknown := newsOfPeer(s, peering.ServiceDemand{Service: "other", Scarcity: 1}, sound)
	s.mergeNews(unknown, sharesTime)
	c.Check(s.shares["other"], qt.IsNil)
	c.Assert(s.shares["llm"], qt.IsNotNil)
	c.Check(s.shares["llm"].Active(sharesTime), qt.IsTrue)
	c.Check(metricValue(t, s.metrics.rejectedDemand.WithLabelValues(demandUnknownService)), qt.Equals, 1.0)
}

// TestDemandOfZone guards against demand of a zone that other zones do not learn of, or
// that returns to it as that of others.
func TestDemandOfZone(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{}
	s, _, _ := limitLarge(t)
	now := sharesTime + time.Second
	own := s.buildNews(g, s.zone, now).Demand.Services
	c.Assert(own, qt.HasLen, 1)
	c.Check(own[0].Scarcity, qt.Equals, float32(2))
	c.Check(waitingOf(own[0], "large"), qt.Equals, float32(1))
	c.Check(usedOf(own[0], "large"), qt.Equals, float32(60*usualTokens))
	zone := s.buildNews(g, "other", now).Demand.Services
	c.Assert(zone, qt.HasLen, 1)
	c.Check(usedOf(zone[0], "large"), qt.Equals, float32(105*usualTokens))

	other := newSharingState(t)
	other.zone = "other"
	other.members.Self = peering.Address{Gateway: "o", Zone: "other", Address: "o:1"}
	n := s.buildNews(g, "other", now)
	other.mergeNews(n, now)
	c.Assert(other.shares["llm"], qt.IsNotNil)
	c.Check(other.shares["llm"].Active(now), qt.IsTrue)
	back := other.buildNews(g, s.zone, now).Demand.Services
	c.Assert(back, qt.HasLen, 1)
	c.Check(back[0].Scarcity, qt.Equals, float32(0))
	c.Check(usedOf(back[0], "large"), qt.Equals, float32(0))

	other.dropSilentPeers(now + time.Minute)
	back = other.buildNews(g, s.zone, now+time.Minute).Demand.Services
	c.Check(back, qt.HasLen, 0)
}

// TestDemandOfRemovedAccount guards against the demand of accounts and services that the
// configuration no longer names.
func TestDemandOfRemovedAccount(t *testing.T) {
	c := qt.New(t)
	s, running, targets := limitLarge(t)
	without := *s.table
	without.Version++
	without.Accounts = []*routing.Account{{Name: "small"}}
	s.setTable(&without)
	s.dispatch(sharesTime + 200*time.Millisecond)
	c.Check(s.shares["llm"].IsLimited(fairshare.Class{Account: "large"}), qt.IsFalse)
	for i := range running {
		s.release(running[i].q, targets[i])
	}
	without.Version++
	without.Services = nil
	s.setTable(&without)
	c.Check(s.shares, qt.HasLen, 0)
}

func classIn(d peering.ServiceDemand, account string) peering.ClassDemand {
	for _, c := range d.Classes {
		if c.Account == account {
			return c
		}
	}
	return peering.ClassDemand{}
}

func usedOf(d peering.ServiceDemand, account string) float32 { return classIn(d, account).Used }

func waitingOf(d peering.ServiceDemand, account string) float32 { return classIn(d, account).Waiting }

// metricValue returns the value of a counter or a gauge.
func metricValue(t *testing.T, metric prometheus.Collector) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(metric)
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	m := families[0].Metric[0]
	return m.Counter.GetValue() + m.Gauge.GetValue()
}
