package gateway

import (
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// TestSecondEndOfAttempt: an attempt may end twice for silence, if an event that
// came before the first end began the wait anew; nobody waits for the second.
func TestSecondEndOfAttempt(t *testing.T) {
	p := place{upstream: engine("e", 10), chain: []relay.Stage{{Upstream: engine("e", 10)}}}
	ended := 0
	w := &silence{g: &Gateway{Log: zap.NewNop(), Now: func() time.Duration { return time.Second }}, q: &query{}, p: p, cancel: func() { ended++ }, fault: make(chan string, 1)}
	w.end(p, 0)
	w.end(p, 0)
	qt.Check(t, ended, qt.Equals, 2)
	qt.Check(t, <-w.fault, qt.Equals, "e")
}

// TestSpareBesideAnAttempt: spare stages are found while the attempt under way
// notes where it has run and what it has brought; the race detector checks that
// the search reads none of that.
func TestSpareBesideAnAttempt(t *testing.T) {
	s := newState(t)
	halves := map[string]*fleet.Upstream{}
	for _, name := range []string{"e1", "e2", "e3"} {
		u := engine(name, 10)
		u.Address, u.Slots = name, 192
		u.Held = fleet.Range{From: 5, To: 10}
		halves[name] = u
	}
	halves["e1"].Held = fleet.Range{To: 5}
	s.setUpstreams(wholeList{upstreams: halves, revision: 2, at: time.Second}, time.Second)
	q := &query{service: "llm", tokens: usualTokens, route: &routing.Route{}}
	p := s.placeOn([]relay.Stage{{Upstream: halves["e1"], Layers: fleet.Range{To: 5}}, {Upstream: halves["e2"], Layers: fleet.Range{From: 5, To: 10}}}, 0)
	var attempt sync.WaitGroup
	attempt.Go(func() {
		for i := range 100 {
			q.noteRun(strconv.Itoa(i))
			q.noteEvent(time.Duration(i))
			q.first = "e1"
		}
	})
	for range 100 {
		next, spare := s.spare(q, p, 1, time.Second)
		qt.Assert(t, spare, qt.HasLen, 1)
		qt.Assert(t, next.chain[1].Upstream.Instance, qt.Equals, "e3")
		s.giveStages(q, spare)
	}
	attempt.Wait()
}

// TestQuietStagesAreSuspects replays a stage that is lost among others: of a
// stage that many streams pass a short quiet is a sign, of one that few pass a
// longer one; those that were passed since are not asked.
func TestQuietStagesAreSuspects(t *testing.T) {
	const now = time.Minute
	s := newState(t)
	g := &Gateway{Log: zap.NewNop(), Now: func() time.Duration { return now }}
	crowded, sparse := health.StageQuietLimit(10, 0), health.StageQuietLimit(1, 0)
	for _, x := range []struct {
		name    string
		streams int
		quiet   time.Duration
		suspect bool
	}{
		{"passed just now", 10, 5 * time.Millisecond, false},
		{"many streams, quiet", 10, crowded, true},
		{"few streams, as quiet", 1, crowded, false},
		{"few streams, quiet for longer", 1, sparse, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := s.placeOn([]relay.Stage{{Upstream: engine("e", 10)}}, 0)
			s.load("e").requests = x.streams
			p.noteActivity(now - x.quiet)
			quiet, lost := s.suspects(p, g.Now())
			qt.Check(t, len(quiet) == 1, qt.Equals, x.suspect)
			qt.Check(t, lost < 0, qt.IsTrue)
		})
	}
	s.health.RecordFault("e", health.Unreachable, now)
	p := s.placeOn([]relay.Stage{{Upstream: engine("e", 10)}}, 0)
	p.noteActivity(now - sparse)
	_, lost := s.suspects(p, now)
	qt.Check(t, lost, qt.Equals, 0, qt.Commentf("what others have found is not asked again"))
}

// TestStagesThatAnswerAreAskedLess replays a stage of which nothing comes for a
// second although it answers, as behind a slow engine: the questions of all
// streams come ever less often, and as soon as before once an event has passed.
func TestStagesThatAnswerAreAskedLess(t *testing.T) {
	s := newState(t)
	p := s.placeOn([]relay.Stage{{Upstream: engine("e", 10)}}, 0)
	s.load("e").requests = 10
	ask := func(from, to time.Duration) int {
		asked := 0
		for now := from; now < to; now += 5 * time.Millisecond {
			if quiet, _ := s.suspects(p, now); len(quiet) > 0 {
				asked++
				p.activity[0].answered(now)
			}
		}
		return asked
	}
	p.noteActivity(time.Minute)
	qt.Check(t, ask(time.Minute, time.Minute+time.Second), qt.Equals, 4)
	p.noteActivity(time.Minute + time.Second)
	quiet, _ := s.suspects(p, time.Minute+time.Second+health.StageQuietLimit(10, 0))
	qt.Check(t, quiet, qt.HasLen, 1)
}
