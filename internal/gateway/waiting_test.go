package gateway

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// newBusyState returns the state of a gateway whose engine is full, and which has
// dispatched a number of queued requests per second so far.
func newBusyState(t testing.TB, perSecond int, now time.Duration) *state {
	s := newState(t)
	s.now = func() time.Duration { return now }
	r := s.dispatchRate("llm")
	for i := range 5*perSecond + 1 {
		r.Record(bootTime(now - 5*time.Second + time.Duration(i)*time.Second/time.Duration(perSecond)))
	}
	s.loadOf("e").tokenLayers = 1e9
	return s
}

// admitOf admits a request of an account and returns its waiter.
func admitOf(s *state, id, account string, rank int, now time.Duration) *waiter {
	w := newWaiting(id, s.table.Services["llm"], now)
	w.q.account, w.q.rank = account, rank
	s.admit(w, now)
	return w
}

// refusalOf returns the refusal of a request, nil if it waits.
func refusalOf(t testing.TB, w *waiter) *verdict.Error {
	select {
	case r := <-w.reply:
		qt.Assert(t, r.err, qt.IsNotNil)
		return verdict.Of(r.err)
	default:
		return nil
	}
}

// demandOf returns what peers report of the service llm.
func demandOf(rate float32, classes ...peering.ClassDemand) *peering.DemandNews {
	return &peering.DemandNews{Services: []peering.ServiceDemand{{Service: "llm", DispatchRate: rate, Classes: classes}}}
}

// TestBacklogOfPeersRefusesAtOnce guards against a request that is refused at the end
// of its queue time although the gateways together had no room for it, and against
// refusing one for a backlog that does not go before it.
func TestBacklogOfPeersRefusesAtOnce(t *testing.T) {
	sum := func(rank, accounts int) peering.ClassDemand {
		return peering.ClassDemand{Priority: rank, Accounts: accounts, Waiting: 500}
	}
	flood := func(account string) peering.ClassDemand {
		return peering.ClassDemand{Account: account, Priority: 5, Accounts: 1, Waiting: 500}
	}
	cases := map[string]struct {
		demand  *peering.DemandNews
		refused bool
	}{
		"no reports":           {demand: &peering.DemandNews{}},
		"rate unknown":         {demand: demandOf(0, sum(5, 500))},
		"long backlog":         {demand: demandOf(90, sum(5, 500)), refused: true},
		"accounts take turns":  {demand: demandOf(90, sum(5, 50))},
		"short backlog":        {demand: demandOf(90, peering.ClassDemand{Priority: 5, Accounts: 40, Waiting: 40})},
		"more urgent backlog":  {demand: demandOf(90, sum(0, 1)), refused: true},
		"less urgent backlog":  {demand: demandOf(90, sum(9, 500))},
		"flood of one account": {demand: demandOf(90, flood("b"))},
		"own flood":            {demand: demandOf(90, flood("a")), refused: true},
		"invalid":              {demand: demandOf(90, sum(5, 500), peering.ClassDemand{Priority: 5, Accounts: 1, Waiting: -1})},
		"other service":        {demand: &peering.DemandNews{Services: []peering.ServiceDemand{{Service: "x", DispatchRate: 90, Classes: []peering.ClassDemand{sum(5, 500)}}}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := 20 * time.Second
			s := newBusyState(t, 10, now)
			s.mergeWaiting("peer", tc.demand, now)
			w := admitOf(s, "w", "a", 5, now)
			refusal := refusalOf(t, w)
			c.Assert(refusal != nil, qt.Equals, tc.refused)
			if refusal == nil {
				return
			}
			c.Check(refusal.Run, qt.Equals, verdict.NotRun)
			c.Check(refusal.Reason, qt.Equals, verdict.DeadlineUnmeetable)
			c.Check(refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= maxRetryAfter, qt.IsTrue)
			p := w.q.lastPrediction()
			c.Check(p.Peers && p.Known && p.Wait > streamQueueTimeout, qt.IsTrue, qt.Commentf("%+v", p))
		})
	}
}

// TestSilentPeersCountNoLonger guards against refusing requests for a backlog of peers
// that are no longer heard.
func TestSilentPeersCountNoLonger(t *testing.T) {
	c := qt.New(t)
	now := 20 * time.Second
	s := newBusyState(t, 10, now)
	s.sharesAcross = true
	news := &peering.News{Version: peering.Version, Address: peering.Address{Gateway: "g2", Zone: s.zone, Address: "peer:1"}}
	news.Demand = *demandOf(90, peering.ClassDemand{Priority: 5, Accounts: 500, Waiting: 500})
	s.mergeNews(news, now)
	c.Check(refusalOf(t, admitOf(s, "heard", "a", 5, now)) != nil, qt.IsTrue)
	s.dropSilentPeers(now + time.Minute)
	c.Check(refusalOf(t, admitOf(s, "silent", "a", 5, now)) == nil, qt.IsTrue)
}

// TestRefusedTogetherReturnOneByOne guards against callers that are refused at one
// moment and return at one moment.
func TestRefusedTogetherReturnOneByOne(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("rate known ", known), func(t *testing.T) {
			c := qt.New(t)
			now := 20 * time.Second
			s := newBusyState(t, 10, now)
			if !known {
				s.dispatchRates = make(map[string]*admission.RateEstimator)
			}
			var told []time.Duration
			for i := range 25 {
				w := newWaiting(fmt.Sprint(i), s.table.Services["llm"], now)
				w.q.account = "a"
				s.refuseQueued(w, verdict.DeadlineUnmeetable, now)
				told = append(told, refusalOf(t, w).RetryAfter)
			}
			slices.Sort(told)
			for i, after := range told {
				c.Assert(after >= minRetryAfter && after <= maxRetryAfter, qt.IsTrue, qt.Commentf("%v", told))
				c.Assert(i == 0 || after-told[i-1] >= 9*time.Millisecond, qt.IsTrue, qt.Commentf("%v", told))
			}
			if known {
				c.Check(told[24]-told[0] > 2*time.Second, qt.IsTrue, qt.Commentf("%v", told))
			}
		})
	}
}

// TestRetryAfterFitsRemainingTime guards against telling a caller a time for which it
// does not wait, so that it returns before it is expected.
func TestRetryAfterFitsRemainingTime(t *testing.T) {
	now := 20 * time.Second
	s := newBusyState(t, 1, now)
	for i := range 20 {
		w := newWaiting(fmt.Sprint(i), s.table.Services["llm"], now)
		w.q.deadline = now + 1500*time.Millisecond
		s.refuseQueued(w, verdict.DeadlineUnmeetable, now)
		after := refusalOf(t, w).RetryAfter
		qt.Assert(t, after >= minRetryAfter && after <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
	}
}

// TestBegunStreamsGoFirst guards against streams that wait behind new requests of their
// priority after several engines have failed.
func TestBegunStreamsGoFirst(t *testing.T) {
	c := qt.New(t)
	now := 20 * time.Second
	s := newBusyState(t, 10, now)
	fresh := admitOf(s, "new", "a", 5, now)
	begun := newWaiting("begun", s.table.Services["llm"], now)
	begun.q.account, begun.q.rank = "a", 5
	begun.q.attemptHistory.recordEvent(now)
	s.admit(begun, now)
	urgent := admitOf(s, "urgent", "b", 0, now)
	for _, want := range []*waiter{urgent, begun, fresh} {
		w, ok := s.queue.Peek("llm")
		c.Assert(ok, qt.IsTrue)
		c.Check(w.q.ID, qt.Equals, want.q.ID)
		s.queue.Pop("llm")
	}
}

// TestReportedDispatchRate guards against telling peers a rate at which requests were
// dispatched before the queue was empty, as if this gateway still served its queue.
func TestReportedDispatchRate(t *testing.T) {
	c := qt.New(t)
	now := 20 * time.Second
	s := newBusyState(t, 10, now)
	c.Check(s.reportedDispatchRate("llm", now), qt.Equals, 0.0)
	admitOf(s, "w", "a", 5, now)
	rate := s.reportedDispatchRate("llm", now)
	c.Check(rate > 9 && rate < 11, qt.IsTrue, qt.Commentf("%v", rate))
}

// TestRefusalLogsPrediction guards against a refusal of which the log does not say by
// what it was decided.
func TestRefusalLogsPrediction(t *testing.T) {
	c := qt.New(t)
	now := 20 * time.Second
	s := newBusyState(t, 10, now)
	s.mergeWaiting("peer", demandOf(90, peering.ClassDemand{Priority: 5, Accounts: 500, Waiting: 500}), now-700*time.Millisecond)
	w := admitOf(s, "w", "a", 5, now)
	refusal := refusalOf(t, w)
	core, lines := observer.New(zap.InfoLevel)
	g := &Gateway{Log: zap.New(core), Now: func() time.Duration { return now }}
	g.Settings = testSettings()
	g.metrics = newMetrics(g)
	g.logOutcome(w.q, 503, refusal)
	c.Assert(lines.Len(), qt.Equals, 1)
	fields := lines.All()[0].ContextMap()
	c.Check(fields["fleet_waiting"], qt.Equals, 500.0)
	c.Check(fields["inputs_age"], qt.Equals, 700*time.Millisecond)
	c.Check(fields["peers_used"], qt.Equals, true)
	c.Check(fields["predicted_wait"].(time.Duration) > streamQueueTimeout, qt.IsTrue)
	c.Check(fields["fleet_rate"].(float64) > 95, qt.IsTrue)
}

// TestLostEnginesReplay replays the loss of three of eight engines, twice, at a load
// above what the other five serve: what cannot be served in time must be refused at
// once, and the queue must be empty 8 s after the engines have returned.
func TestLostEnginesReplay(t *testing.T) {
	c := qt.New(t)
	s := newState(t)
	all, five := make(map[string]*fleet.Upstream), make(map[string]*fleet.Upstream)
	for i := range 8 {
		u := *s.upstreams["e"]
		u.Instance = fmt.Sprint("e", i)
		all[u.Instance] = &u
		if i < 5 {
			five[u.Instance] = &u
		}
	}
	list := func(upstreams map[string]*fleet.Upstream, now time.Duration) {
		s.replaceUpstreams(upstreamList{upstreams: maps.Clone(upstreams), revision: numbered(1), asOf: now}, now)
	}
	list(all, 10*time.Second)
	const lostFirst, lostAgain, lostFor = 14 * time.Second, 28 * time.Second, 4 * time.Second
	arrive := arrivalsAt(0.9*8*requestRate, testStep, func(n int) arrival {
		return arrival{account: fmt.Sprint("a", n%3), rank: 5, tokens: usualTokens}
	})
	late, refused := 0, 0
	out := simulate(s, 32*time.Second, testStep, testHold, func(now time.Duration) []arrival {
		switch now {
		case lostFirst, lostAgain:
			list(five, now)
		case lostFirst + lostFor, lostAgain + lostFor:
			list(all, now)
		case lostFirst + lostFor + 8*time.Second:
			c.Check(s.queue.Len("llm"), qt.Equals, 0)
		}
		return arrive(now)
	})
	var waited []time.Duration
	for _, o := range out {
		c.Assert(o.waited <= streamQueueTimeout+testStep, qt.IsTrue)
		if o.refused != nil {
			refused++
			if o.waited > testStep {
				late++
			}
			continue
		}
		waited = append(waited, o.waited)
	}
	slices.Sort(waited)
	c.Logf("%d served, half within %v, 90%% within %v; %d refused, %d late", len(waited), waited[len(waited)/2], waited[len(waited)*9/10], refused, late)
	c.Check(refused > 0, qt.IsTrue)
	c.Check(float64(late)/float64(refused) < 0.2, qt.IsTrue)
	c.Check(s.queue.Len("llm"), qt.Equals, 0)
}
