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

// chainState returns a state before two engines for each half of the layers,
// a1 and a2 for the first, b1 and b2 for the second.
func chainState(t testing.TB) *state {
	s := newState(t)
	all := make(map[string]*fleet.Upstream)
	for i, name := range []string{"a1", "a2", "b1", "b2"} {
		from := i / 2 * 5
		all[name] = &fleet.Upstream{Instance: name, Address: name + ":1", Service: "llm", Zone: "a", Accelerator: "big", Slots: 192, Started: 1,
			Held: fleet.Range{From: from, To: from + 5}}
	}
	s.setUpstreams(wholeList{upstreams: all, revision: 2, at: time.Second}, time.Second)
	return s
}

// askOnce asks for the place of a new request.
func askOnce(s *state, now time.Duration) taken {
	q := &query{Request: relay.Request{ID: "r"}, route: &routing.Route{Kind: routing.Stream, MaxUpstreams: 2}, service: "llm", tokens: 10,
		arrived: now, deadline: now + 20*time.Second}
	q.setWait(now)
	w := &waiter{q: q, reply: make(chan taken, 1)}
	s.ask(w, now)
	select {
	case got := <-w.reply:
		return got
	default:
		return taken{}
	}
}

// changes is one change of the list; u is nil for an entry that is gone.
func changes(revision int64, instance string, u *fleet.Upstream) platform.UpstreamChanges {
	return platform.UpstreamChanges{Changes: []platform.UpstreamChange{{Instance: instance, Upstream: u}}, Revision: revision}
}

// refusal is the head of one that asks for no requests for a time.
func refusal(wait time.Duration, atFault string) relay.Answer {
	return relay.Answer{Status: 503, NotRun: true, HoldOff: wait, AtFault: atFault}
}

func TestLeavingUpstreamsAreOutOfService(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	for _, name := range []string{"a1", "b2"} {
		s.noteLeaving(s.upstreams[name].Incarnation(), "", now)
	}
	for range 10 {
		got := askOnce(s, now)
		c.Assert(got.err, qt.IsNil)
		c.Assert(got.place.String(), qt.Equals, "a2,b1")
	}
	s.noteLeaving(s.upstreams["a2"].Incarnation(), "", now)
	c.Assert(askOnce(s, now).place.upstream, qt.IsNil, qt.Commentf("it waits for engines that are not leaving"))

	// The entry lapses and comes back: the upstream is still leaving.
	again := *s.upstreams["a1"]
	s.changeUpstreams(changes(3, "a1", nil), 0, now)
	s.changeUpstreams(changes(4, "a1", &again), 0, now+time.Second)
	c.Assert(s.leaves(&again), qt.IsTrue)
	c.Assert(askOnce(s, now+time.Second).place.upstream, qt.IsNil)

	// Started anew under its old name it serves.
	reborn := again
	reborn.Started++
	s.dispatch(now + 4*time.Second)
	s.changeUpstreams(changes(5, "a1", &reborn), 0, now+4*time.Second)
	c.Assert(askOnce(s, now+4*time.Second).place.String(), qt.Equals, "a1,b1")
}

// TestPeersAreToldWhoLeaves: word of an upstream that leaves goes from gateway
// to gateway, for as long as the upstream is listed, and ends after that.
func TestPeersAreToldWhoLeaves(t *testing.T) {
	c := qt.New(t)
	now := time.Minute
	g := &Gateway{}
	var all []*state
	for i := range 3 {
		s := chainState(t)
		s.roster.Self = peering.Address{Gateway: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i), Address: fmt.Sprint("g", i)}
		s.zone = s.roster.Self.Zone
		s.now = func() time.Duration { return now }
		all = append(all, s)
	}
	leaving := all[0].upstreams["a1"].Incarnation()
	all[0].noteLeaving(leaving, "", now)
	all[1].hear(all[0].news(g, "z1", now), now)
	all[2].hear(all[1].news(g, "z2", now), now)
	c.Assert(all[2].leaves(all[2].upstreams["a1"]), qt.IsTrue)

	for _, s := range all[:2] {
		s.changeUpstreams(changes(3, "a1", nil), 0, now)
		c.Assert(s.news(g, "z9", now).Leaving, qt.HasLen, 0)
	}
	now += leavingMemory + time.Second
	all[1].hear(all[2].news(g, "z1", now), now)
	all[1].rebuild()
	c.Assert(all[1].leaving, qt.HasLen, 0, qt.Commentf("who does not list it does not remember it for ever"))
}

// TestRefusalNamesTheFirstToComeBack: with all engines of a half held off, a
// request that can't wait is refused with the time of the first that can serve.
func TestRefusalNamesTheFirstToComeBack(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	s.noteHoldOff(s.upstreams["a1"], refusal(9*time.Second, ""), now)
	s.noteHoldOff(s.upstreams["b1"], refusal(5*time.Second, ""), now)
	c.Assert(askOnce(s, now).place.String(), qt.Equals, "a2,b2")

	s.noteHoldOff(s.upstreams["a2"], refusal(4*time.Second, "b2:1"), now)
	c.Assert(s.health.Excluded("a2", now), qt.IsFalse, qt.Commentf("the stage behind it was at fault"))
	got := askOnce(s, now)
	e := verdict.Of(got.err)
	c.Assert(e.Reason, qt.Equals, verdict.HeldOff)
	c.Assert(e.Run, qt.Equals, verdict.NotRun)
	c.Assert(e.RetryAfter, qt.Equals, 4*time.Second)
	// A second before its end the wait is worth it.
	c.Assert(askOnce(s, now+3*time.Second).err, qt.IsNil)
	s.dispatch(now + 4*time.Second)
	c.Assert(s.waiting.Len("llm"), qt.Equals, 0)
}

// TestWaitingRequestIsRefusedWhenAllHoldOff: what waits already is told at once,
// too.
func TestWaitingRequestIsRefusedWhenAllHoldOff(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	for _, name := range []string{"a1", "a2"} {
		s.noteHoldOff(s.upstreams[name], refusal(time.Second, ""), now)
	}
	c.Assert(askOnce(s, now).err, qt.IsNil)
	c.Assert(s.waiting.Len("llm"), qt.Equals, 1)
	for _, name := range []string{"a1", "a2"} {
		s.noteHoldOff(s.upstreams[name], refusal(10*time.Second, ""), now)
	}
	s.dispatch(now)
	c.Assert(s.waiting.Len("llm"), qt.Equals, 0)
}

// TestEngineThatManyHoldOffIsPlannedWithout: half of the gateways of the zone
// must have been asked, for long enough.
func TestEngineThatManyHoldOffIsPlannedWithout(t *testing.T) {
	c := qt.New(t)
	const now = time.Minute
	s := chainState(t)
	s.zone = "a"
	hear := func(host string, left time.Duration) {
		s.hear(&peering.News{Version: peering.Version, Address: peering.Address{Gateway: host, Zone: "a", Address: host},
			HeldOff: []peering.UpstreamFault{{Upstream: "a1", Left: left}}}, now)
	}
	planned := func(at time.Duration) int { return len(s.alive(s.pools["llm"].members, at)) }
	hear("g1", time.Second)
	hear("g2", time.Minute)
	hear("g3", time.Second)
	c.Assert(planned(now), qt.Equals, 4)
	s.noteHoldOff(s.upstreams["a1"], refusal(time.Minute, ""), now)
	c.Assert(planned(now), qt.Equals, 3)
	hear("g2", 0)
	c.Assert(planned(now), qt.Equals, 4)
}
