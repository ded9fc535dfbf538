package gateway

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/selfcheck"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
)

// TestSecondAbortDoesNotBlock guards against blocking when an attempt is
// aborted twice, which happens if an event that arrived before the first abort
// restarts the detection: nobody receives the second fault.
func TestSecondAbortDoesNotBlock(t *testing.T) {
	to := target{upstream: engine("e", 10), chain: []relay.Stage{{Upstream: engine("e", 10)}}}
	ended := 0
	d := &stallDetector{g: &Gateway{Log: zap.NewNop(), Now: func() time.Duration { return time.Second }}, q: &request{}, target: to, cancel: func() { ended++ }, fault: make(chan string, 1)}
	d.abort(to, 0)
	d.abort(to, 0)
	qt.Check(t, ended, qt.Equals, 2)
	qt.Check(t, <-d.fault, qt.Equals, "e")
}

// TestReplacementSearchDoesNotRaceWithAttempt searches replacement stages while
// the attempt records where it ran and what it delivered. The race detector
// checks that the search reads none of that.
func TestReplacementSearchDoesNotRaceWithAttempt(t *testing.T) {
	s := newState(t)
	halves := map[string]*fleet.Upstream{}
	for _, name := range []string{"e1", "e2", "e3"} {
		u := engine(name, 10)
		u.Address, u.Slots = name, 192
		u.Held = fleet.Range{From: 5, To: 10}
		halves[name] = u
	}
	halves["e1"].Held = fleet.Range{To: 5}
	s.replaceUpstreams(upstreamList{upstreams: halves, revision: numbered(2), asOf: time.Second}, time.Second)
	q := &request{service: "llm", tokens: usualTokens, route: &routing.Route{}}
	to := s.chainTarget([]relay.Stage{{Upstream: halves["e1"], Layers: fleet.Range{To: 5}}, {Upstream: halves["e2"], Layers: fleet.Range{From: 5, To: 10}}}, 0)
	var attempt sync.WaitGroup
	attempt.Go(func() {
		for i := range 100 {
			q.recordRun(strconv.Itoa(i))
			q.recordEvent(time.Duration(i))
			q.recordResponse("e1")
		}
	})
	for range 100 {
		r := repair{lost: []int{1}}
		s.findReplacement(q, to, &r, time.Second)
		qt.Assert(t, r.spare, qt.HasLen, 1)
		qt.Assert(t, r.next.chain[1].Upstream.Instance, qt.Equals, "e3")
		s.releaseStages(q, r.spare)
	}
	attempt.Wait()
}

// TestOnlyQuietStagesAreSuspected checks that a stage passed by many streams is
// suspected after a shorter quiet time than one passed by few, and not at all
// if an event has passed since.
func TestOnlyQuietStagesAreSuspected(t *testing.T) {
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
		{"event just passed", 10, 5 * time.Millisecond, false},
		{"many streams, quiet", 10, crowded, true},
		{"few streams, equally quiet", 1, crowded, false},
		{"few streams, quiet for longer", 1, sparse, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			to := s.chainTarget([]relay.Stage{{Upstream: engine("e", 10)}}, 0)
			s.loadOf("e").requests = x.streams
			to.recordEvent(now - x.quiet)
			quiet := s.suspectStages(to, g.Now())
			qt.Check(t, len(quiet) == 1, qt.Equals, x.suspect)
			for _, q := range quiet {
				qt.Check(t, q.known, qt.Equals, stageUnknown)
			}
		})
	}
	s.health.RecordFault("e", health.Unreachable, now)
	to := s.chainTarget([]relay.Stage{{Upstream: engine("e", 10)}}, 0)
	to.recordEvent(now - sparse)
	quiet := s.suspectStages(to, now)
	qt.Assert(t, quiet, qt.HasLen, 1)
	qt.Check(t, quiet[0], qt.Equals, suspect{0, stageRefuses}, qt.Commentf("a known fault needs no further check"))
}

// TestQuietStageIsCheckedWhenItsLimitPasses guards against a stage that is not
// checked before the next interval although its quiet limit has passed.
func TestQuietStageIsCheckedWhenItsLimitPasses(t *testing.T) {
	const now = time.Minute
	s := newState(t)
	to := s.chainTarget([]relay.Stage{{Upstream: engine("e", 10)}, {Upstream: engine("f", 10)}}, 0)
	for _, x := range []struct {
		name         string
		quiet, other time.Duration
		want         time.Duration
	}{
		{"first", 100 * time.Millisecond, 30 * time.Millisecond, now + health.StageQuietLimit(1, 0) - 100*time.Millisecond},
		{"second", 10 * time.Millisecond, 30 * time.Millisecond, now + health.StageQuietLimit(1, 0) - 30*time.Millisecond},
	} {
		t.Run(x.name, func(t *testing.T) {
			to.activity[0].recordEvent(now - x.quiet)
			to.activity[1].recordEvent(now - x.other)
			qt.Check(t, s.nextQuietStage(to, now), qt.Equals, x.want)
		})
	}
}

// TestAnsweringStagesAreCheckedLessOften guards against frequent checks of a
// stage that answers them although no event passes for a second, as behind a
// slow engine. After an event the checks are as frequent as before.
func TestAnsweringStagesAreCheckedLessOften(t *testing.T) {
	s := newState(t)
	to := s.chainTarget([]relay.Stage{{Upstream: engine("e", 10)}}, 0)
	s.loadOf("e").requests = 10
	countChecks := func(start, end time.Duration) int {
		checks := 0
		for now := start; now < end; now += 5 * time.Millisecond {
			if quiet := s.suspectStages(to, now); len(quiet) > 0 {
				checks++
				to.activity[0].recordReport(now)
			}
		}
		return checks
	}
	to.recordEvent(time.Minute)
	qt.Check(t, countChecks(time.Minute, time.Minute+time.Second), qt.Equals, 4)
	to.recordEvent(time.Minute + time.Second)
	quiet := s.suspectStages(to, time.Minute+time.Second+health.StageQuietLimit(10, 0))
	qt.Check(t, quiet, qt.HasLen, 1)
}

// TestStandstillIsNoFaultOfUpstream guards against blaming upstreams for reports
// and probes that timed out while this process itself did not run.
func TestStandstillIsNoFaultOfUpstream(t *testing.T) {
	for _, x := range []struct {
		name  string
		stood bool
		fault int
	}{
		{"this process ran", false, 0},
		{"this process stood still", true, -1},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			g, h := handoverGateway(t)
			start := time.Now()
			g.Now = func() time.Duration { return time.Minute + time.Since(start) }
			g.Settings = testSettings()
			g.connPool = &http1.Pool{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}}
			if x.stood {
				// No tick follows this one.
				g.pauses.Tick(g.Now(), g.Now())
			}
			var to target
			g.control.Do(func(s *state) { to = s.chainTarget([]relay.Stage{{Upstream: s.upstreams["e1"]}}, 0) })
			f := g.checkStages(h.q, to, []suspect{{stage: 0}})
			c.Check(f.stage, qt.Equals, x.fault)
			c.Check(f.ended, qt.IsFalse)
			g.probeUpstream(t.Context(), probeTarget{Upstream: to.upstream})
			g.control.Do(func(s *state) { c.Check(s.health.Excluded("e1", g.Now()), qt.Equals, !x.stood) })
		})
	}
}

// TestFindingOfAnotherStreamIsChecked guards against all streams on a stage giving up
// at once because one of them, wrongly, found it silent. Only a stage that refuses
// connections needs no further check.
func TestFindingOfAnotherStreamIsChecked(t *testing.T) {
	silent := &verdict.Error{Reason: verdict.UpstreamSilent}
	for _, x := range []struct {
		name   string
		fault  health.Fault
		report error
		stage  int
		ended  bool
	}{
		{"silent for another stream, answers", health.Stalled, nil, -1, false},
		{"silent for another stream and this one", health.Stalled, silent, 0, false},
		{"refuses connections", health.Unreachable, nil, 0, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			g, h := handoverGateway(t)
			g.Now = func() time.Duration { return time.Minute }
			g.Settings = testSettings()
			asked := make(chan struct{})
			answer := make(chan struct{})
			go g.reportCalls.Do("e1", func() (any, error) {
				close(asked)
				<-answer
				return timedReport{began: g.Now()}, x.report
			})
			<-asked
			time.AfterFunc(20*time.Millisecond, func() { close(answer) })
			var to target
			g.control.Do(func(s *state) {
				to = s.chainTarget([]relay.Stage{{Upstream: s.upstreams["e1"]}}, 0)
				s.health.RecordFault("e1", x.fault, g.Now())
			})
			f := g.findLostStages(h.q, to, false)
			c.Check(f.stage, qt.Equals, x.stage)
			c.Check(f.ended, qt.Equals, x.ended)
		})
	}
}

// TestStandstillInSharedReport guards against blaming a stage for a report that this
// process stood still in before the stream asked for it too.
func TestStandstillInSharedReport(t *testing.T) {
	c := qt.New(t)
	g, h := handoverGateway(t)
	var now atomic.Int64
	setTime := func(at time.Duration) { now.Store(int64(time.Minute + at)) }
	setTime(0)
	g.Now = func() time.Duration { return time.Duration(now.Load()) }
	g.Settings = testSettings()
	dialed, answer := make(chan struct{}), make(chan struct{})
	g.connPool = &http1.Pool{Dial: func(context.Context, string, string) (net.Conn, error) {
		close(dialed)
		<-answer
		return nil, errors.New("timeout")
	}}
	var to target
	g.control.Do(func(s *state) { to = s.chainTarget([]relay.Stage{{Upstream: s.upstreams["e1"]}}, 0) })
	go g.sharedReport(to.upstream)
	<-dialed
	setTime(200 * time.Millisecond)
	g.pauses.Tick(time.Minute+selfcheck.Interval, g.Now())
	setTime(210 * time.Millisecond)
	time.AfterFunc(20*time.Millisecond, func() { close(answer) })
	f := g.checkStages(h.q, to, []suspect{{stage: 0}})
	c.Check(f.stage, qt.Equals, -1)
}

// TestStageIsBlamedOncePerSilence guards against an exclusion that each check of a
// stream that is kept renews, so that the probe that ends it is never due.
func TestStageIsBlamedOncePerSilence(t *testing.T) {
	c := qt.New(t)
	g, h := handoverGateway(t)
	now := time.Minute
	g.Now = func() time.Duration { return now }
	e1 := engine("e1", 10)
	to := target{upstream: e1, chain: []relay.Stage{{Upstream: e1}}}
	d := &stallDetector{g: g, q: h.q, target: to, timer: time.NewTimer(time.Hour), handover: handover{g: g, q: h.q}}
	excludedFor := func() (left time.Duration) {
		g.control.Do(func(s *state) {
			for _, x := range s.health.Exclusions(now) {
				left = x.Remaining
			}
		})
		return left
	}
	c.Assert(d.attributeStall(to, 0, 0), qt.IsTrue)
	first := excludedFor()
	c.Assert(first > 0, qt.IsTrue)
	now += 100 * time.Millisecond
	c.Assert(d.attributeStall(to, 0, 0), qt.IsTrue)
	c.Check(excludedFor(), qt.Equals, first-100*time.Millisecond)
	d.recordEvent(now, eventSequence{})
	c.Assert(d.attributeStall(to, 0, now), qt.IsTrue)
	c.Check(excludedFor(), qt.Equals, first)
	d.stopped = true
	c.Check(d.attributeStall(to, 0, now), qt.IsFalse)
}

// TestFindingNamesAllLostStages guards against repairing one stage of a chain that has
// lost several, and against taking a stage for lost that has answered, or that may have
// answered while this process stood still.
func TestFindingNamesAllLostStages(t *testing.T) {
	for _, x := range []struct {
		name              string
		known             map[int]stageState
		found             map[int]stageState
		stood             bool
		lost, presumed    []int
		ended, unanswered bool
	}{
		{name: "none", found: map[int]stageState{0: stageAnswers, 1: stageAnswers}},
		{name: "two refuse", found: map[int]stageState{0: stageAnswers, 1: stageRefuses, 3: stageRefuses}, lost: []int{1, 3}, ended: true},
		{name: "two silent", found: map[int]stageState{0: stageAnswers, 1: stageSilent, 2: stageAnswers, 3: stageSilent}, lost: []int{1, 3}},
		{name: "one refuses, one was silent before", found: map[int]stageState{1: stageSilent, 2: stageRefuses}, lost: []int{1, 2}, ended: true},
		{name: "one refuses, no reply of the others", found: map[int]stageState{2: stageRefuses}, lost: []int{2}, ended: true},
		{name: "one refuses, one is silent for other streams", known: map[int]stageState{3: stageSilent}, found: map[int]stageState{2: stageRefuses}, lost: []int{2, 3}, presumed: []int{3}, ended: true},
		{name: "one refuses, one silent for other streams answers", known: map[int]stageState{3: stageSilent}, found: map[int]stageState{2: stageRefuses, 3: stageAnswers}, lost: []int{2}, ended: true},
		{name: "the first is silent for other streams", known: map[int]stageState{0: stageSilent}, found: map[int]stageState{2: stageRefuses}, lost: []int{0, 2}, presumed: []int{0}, ended: true},
		{name: "all silent", found: map[int]stageState{0: stageSilent, 1: stageSilent, 2: stageSilent, 3: stageSilent}, lost: []int{0}},
		{name: "the first is silent, two refuse", known: map[int]stageState{2: stageSilent}, found: map[int]stageState{0: stageSilent, 1: stageRefuses, 3: stageRefuses}, lost: []int{0, 1, 3}, presumed: []int{}, ended: true},
		{name: "silent for other streams only", known: map[int]stageState{3: stageSilent}, found: map[int]stageState{0: stageAnswers}},
		{name: "stood still", found: map[int]stageState{1: stageSilent, 3: stageSilent}, stood: true},
		{name: "stood still, one refuses", found: map[int]stageState{1: stageRefuses, 3: stageSilent}, stood: true, lost: []int{1}, ended: true},
		{name: "health probe without reply", found: map[int]stageState{0: stageUnanswered}, unanswered: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			var suspects []suspect
			for i := range 4 {
				suspects = append(suspects, suspect{i, x.known[i]})
			}
			f := newFinding(suspects, x.found, x.stood)
			qt.Check(t, f.lost, qt.DeepEquals, x.lost)
			qt.Check(t, f.presumed, qt.DeepEquals, x.presumed)
			qt.Check(t, f.ended, qt.Equals, x.ended)
			qt.Check(t, f.unanswered, qt.Equals, x.unanswered)
			first := -1
			if len(x.lost) > 0 {
				first = x.lost[0]
			}
			qt.Check(t, f.stage, qt.Equals, first)
		})
	}
}

// TestRefusalIsNotHeldUpBySilence guards against a stream that waits for the reply of a
// silent stage although another one of its chain has ended, here for ever.
func TestRefusalIsNotHeldUpBySilence(t *testing.T) {
	for _, x := range []struct {
		name  string
		known bool
	}{
		{"other streams know", true},
		{"this check shows it", false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			g, h := handoverGateway(t)
			g.Now = func() time.Duration { return time.Minute }
			g.Settings = testSettings()
			g.connPool = &http1.Pool{Dial: func(context.Context, string, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}}
			asked, answer := make(chan struct{}), make(chan struct{})
			defer close(answer)
			go g.reportCalls.Do("e2", func() (any, error) {
				close(asked)
				<-answer
				return timedReport{}, nil
			})
			<-asked
			var to target
			g.control.Do(func(s *state) {
				to = s.chainTarget([]relay.Stage{{Upstream: s.upstreams["e2"]}, {Upstream: s.upstreams["e1"]}}, 0)
				if x.known {
					s.health.RecordFault("e1", health.Unreachable, g.Now())
				}
			})
			found := make(chan finding, 1)
			go func() { found <- g.findLostStages(h.q, to, false) }()
			select {
			case f := <-found:
				c.Check(f.lost, qt.DeepEquals, []int{1})
				c.Check(f.ended, qt.IsTrue)
			case <-time.After(10 * time.Second):
				t.Fatal("the check waits for the silent stage")
			}
		})
	}
}

// TestPresumedStageIsNotBlamedAgain guards against an exclusion that each stream on a
// stage renews although only another one has found it silent.
func TestPresumedStageIsNotBlamedAgain(t *testing.T) {
	c := qt.New(t)
	g, h := handoverGateway(t)
	g.Now = func() time.Duration { return time.Minute }
	var to target
	g.control.Do(func(s *state) {
		to = s.chainTarget([]relay.Stage{{Upstream: s.upstreams["e1"]}, {Upstream: s.upstreams["e2"]}}, 0)
	})
	d := &stallDetector{g: g, q: h.q, target: to, timer: time.NewTimer(time.Hour), handover: handover{g: g, q: h.q}}
	c.Check(d.attributeLoss(to, finding{lost: []int{0, 1}, presumed: []int{1}}, 0), qt.IsTrue)
	g.control.Do(func(s *state) {
		c.Check(s.health.ExcludedForFault("e1", g.Now()), qt.IsTrue)
		c.Check(s.health.ExcludedForFault("e2", g.Now()), qt.IsFalse)
		c.Check(h.q.excluded["e2"], qt.IsTrue)
	})
}
