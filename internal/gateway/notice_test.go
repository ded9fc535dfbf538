package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
)

// chainState returns a state with two engines for each half of the layers: a1
// and a2 for the first, b1 and b2 for the second.
func chainState(t testing.TB) *state {
	s := newState(t)
	all := make(map[string]*fleet.Upstream)
	for i, name := range []string{"a1", "a2", "b1", "b2"} {
		from := i / 2 * 5
		all[name] = &fleet.Upstream{Instance: name, Address: name + ":1", Service: "llm", Zone: "a", Accelerator: "big", Slots: 192, Started: 1,
			Held: fleet.Range{From: from, To: from + 5}}
	}
	s.replaceUpstreams(upstreamList{upstreams: all, revision: numbered(2), asOf: time.Second}, time.Second)
	return s
}

// admitOne admits a new request and returns the result; a request that is
// queued gets the zero result.
func admitOne(s *state, now time.Duration) admissionResult {
	q := &request{Request: relay.Request{ID: "r"}, route: &routing.Route{Kind: routing.Stream, MaxUpstreams: 2}, service: "llm", tokens: 10,
		arrived: now, deadline: now + 20*time.Second}
	q.setQueueDeadline(now)
	w := &waiter{q: q, reply: make(chan admissionResult, 1)}
	s.admit(w, now)
	select {
	case got := <-w.reply:
		return got
	default:
		return admissionResult{}
	}
}

// singleChange returns one change of the list; u is nil for a removed entry.
func singleChange(revision int64, instance string, u *fleet.Upstream) platform.UpstreamChanges {
	return platform.UpstreamChanges{Changes: []platform.UpstreamChange{{Instance: instance, Upstream: u}}, Revision: numbered(revision)}
}

// refusalHead returns the header of a refusal that asks for no requests for
// some time.
func refusalHead(wait time.Duration, atFault string) relay.ResponseHead {
	return relay.ResponseHead{Status: 503, NotRun: true, RetryAfter: wait, FaultAddress: atFault}
}

// TestLeavingUpstreamsGetNoRequests guards against sending requests to an
// upstream that has announced its shutdown, also after its entry has expired
// and returned, until it is restarted.
func TestLeavingUpstreamsGetNoRequests(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	for _, name := range []string{"a1", "b2"} {
		s.markLeaving(s.upstreams[name].Incarnation(), "", now)
	}
	for range 10 {
		got := admitOne(s, now)
		c.Assert(got.err, qt.IsNil)
		c.Assert(got.target.String(), qt.Equals, "a2,b1")
	}
	s.markLeaving(s.upstreams["a2"].Incarnation(), "", now)
	c.Assert(admitOne(s, now).target.upstream, qt.IsNil, qt.Commentf("queued until an engine that is not leaving is listed"))

	// The entry expires and returns: the upstream is still leaving.
	again := *s.upstreams["a1"]
	s.applyChanges(singleChange(3, "a1", nil), 0, now)
	s.applyChanges(singleChange(4, "a1", &again), 0, now+time.Second)
	c.Assert(s.isLeaving(&again), qt.IsTrue)
	c.Assert(admitOne(s, now+time.Second).target.upstream, qt.IsNil)

	// After a restart under the same name it serves.
	restarted := again
	restarted.Started++
	s.dispatch(now + 4*time.Second)
	s.applyChanges(singleChange(5, "a1", &restarted), 0, now+4*time.Second)
	c.Assert(admitOne(s, now+4*time.Second).target.String(), qt.Equals, "a1,b1")
}

// TestLeavingNoticeSpreadsWhileListed checks that peers pass on a leaving
// notice while the upstream is listed, and guards against passing it on forever
// after that.
func TestLeavingNoticeSpreadsWhileListed(t *testing.T) {
	c := qt.New(t)
	now := time.Minute
	g := &Gateway{}
	var all []*state
	for i := range 3 {
		s := chainState(t)
		s.members.Self = peering.Address{Gateway: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i), Address: fmt.Sprint("g", i)}
		s.zone = s.members.Self.Zone
		s.now = func() time.Duration { return now }
		all = append(all, s)
	}
	leaving := all[0].upstreams["a1"].Incarnation()
	all[0].markLeaving(leaving, "", now)
	all[1].mergeNews(all[0].buildNews(g, "z1", now), now)
	all[2].mergeNews(all[1].buildNews(g, "z2", now), now)
	c.Assert(all[2].isLeaving(all[2].upstreams["a1"]), qt.IsTrue)

	for _, s := range all[:2] {
		s.applyChanges(singleChange(3, "a1", nil), 0, now)
		c.Assert(s.buildNews(g, "z9", now).Leaving, qt.HasLen, 0)
	}
	now += removedRetention + time.Second
	all[1].mergeNews(all[2].buildNews(g, "z1", now), now)
	all[1].rebuildPools()
	c.Assert(all[1].leaving, qt.HasLen, 0, qt.Commentf("gateways that do not list the upstream must forget it"))
}

// TestHoldOffRefusalNamesEarliestEnd checks that with all engines of one half
// held off, a request that cannot be queued for long enough is told when the
// first engine can serve again.
func TestHoldOffRefusalNamesEarliestEnd(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	s.recordHoldOff(s.upstreams["a1"], refusalHead(9*time.Second, ""), now)
	s.recordHoldOff(s.upstreams["b1"], refusalHead(5*time.Second, ""), now)
	c.Assert(admitOne(s, now).target.String(), qt.Equals, "a2,b2")

	s.recordHoldOff(s.upstreams["a2"], refusalHead(4*time.Second, "b2:1"), now)
	c.Assert(s.health.Excluded("a2", now), qt.IsFalse, qt.Commentf("the later stage was at fault"))
	got := admitOne(s, now)
	e := verdict.Of(got.err)
	c.Assert(e.Reason, qt.Equals, verdict.HeldOff)
	c.Assert(e.Run, qt.Equals, verdict.NotRun)
	c.Assert(e.RetryAfter, qt.Equals, 4*time.Second)
	// One second before the end the request is queued.
	c.Assert(admitOne(s, now+3*time.Second).err, qt.IsNil)
	s.dispatch(now + 4*time.Second)
	c.Assert(s.queue.Len("llm"), qt.Equals, 0)
}

// TestNoticesOutliveLapsedEntry guards against forgetting what an upstream has asked for,
// a hold-off or a limit, because its entry lapses and is created again, or because an old
// change shows it as it was before its restart.
func TestNoticesOutliveLapsedEntry(t *testing.T) {
	const now = time.Minute
	for _, x := range []struct {
		name string
		play func(l *listSource, e *fleet.Upstream)
		kept bool
	}{
		{"lapses and is created again", func(l *listSource, e *fleet.Upstream) {
			l.change(0, 21, "e1", nil)
			l.change(0, 22, "e1", createdAt(e, 22))
		}, true},
		{"lapses and is created again, in lists", func(l *listSource, e *fleet.Upstream) { l.list(0, 21); l.list(0, 22, createdAt(e, 22)) }, true},
		{"old change", func(l *listSource, e *fleet.Upstream) {
			before := *e
			before.Started--
			set := func(at int64, u *fleet.Upstream) platform.UpstreamChange {
				return platform.UpstreamChange{Instance: "e1", Revision: numbered(at), Upstream: u}
			}
			l.s.applyChanges(platform.UpstreamChanges{Changes: []platform.UpstreamChange{set(18, &before), set(19, e)}, Revision: numbered(21)}, 0, l.now)
		}, true},
		{"restart", func(l *listSource, e *fleet.Upstream) {
			restarted := *e
			restarted.Started++
			l.change(0, 21, "e1", &restarted)
		}, false},
		{"lapses and is created again after a restart", func(l *listSource, e *fleet.Upstream) {
			restarted := createdAt(e, 22)
			restarted.Started++
			l.change(0, 21, "e1", nil)
			l.change(0, 22, "e1", restarted)
		}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := callState(t, "e1")
			s.now = func() time.Duration { return now }
			l := &listSource{s, now}
			e := createdAt(s.upstreams["e1"], 10)
			l.list(0, 20, e)
			s.recordHoldOff(e, refusalHead(20*time.Second, ""), now)
			limit(s, "e1", 2, now)
			x.play(l, e)
			c.Check(!s.health.MayCall("e1", now), qt.Equals, x.kept, qt.Commentf("hold-off"))
			c.Check(!s.limits.Empty(), qt.Equals, x.kept, qt.Commentf("limit"))
		})
	}
}

// createdAt returns u as an entry that was created at a store revision.
func createdAt(u *fleet.Upstream, at int64) *fleet.Upstream {
	again := *u
	again.Registered = at
	return &again
}

// TestQueuedRequestIsRefusedWhenAllHoldOff guards against a queued request
// waiting in vain after all engines of a half have asked for no requests.
func TestQueuedRequestIsRefusedWhenAllHoldOff(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	for _, name := range []string{"a1", "a2"} {
		s.recordHoldOff(s.upstreams[name], refusalHead(time.Second, ""), now)
	}
	c.Assert(admitOne(s, now).err, qt.IsNil)
	c.Assert(s.queue.Len("llm"), qt.Equals, 1)
	for _, name := range []string{"a1", "a2"} {
		s.recordHoldOff(s.upstreams[name], refusalHead(10*time.Second, ""), now)
	}
	s.dispatch(now)
	c.Assert(s.queue.Len("llm"), qt.Equals, 0)
}

// TestOverloadedEngineIsLeftOutOfPlan checks that an engine is left out of the
// placement plan only if it has asked at least half of the zone's gateways for
// a long enough hold-off.
func TestOverloadedEngineIsLeftOutOfPlan(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	s.zone = "a"
	merge := func(host string, left time.Duration) {
		s.mergeNews(&peering.News{Version: peering.Version, Address: peering.Address{Gateway: host, Zone: "a", Address: host},
			HeldOff: []peering.UpstreamFault{{Upstream: "a1", Left: left}}}, now)
	}
	planned := func(at time.Duration) int { return len(s.plannableEngines(s.pools["llm"].members, at)) }
	merge("g1", time.Second)
	merge("g2", time.Minute)
	merge("g3", time.Second)
	c.Assert(planned(now), qt.Equals, 4)
	s.recordHoldOff(s.upstreams["a1"], refusalHead(time.Minute, ""), now)
	c.Assert(planned(now), qt.Equals, 3)
	merge("g2", 0)
	c.Assert(planned(now), qt.Equals, 4)
}
