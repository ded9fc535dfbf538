package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// room is how many of the usual requests fit in the engine of a test state.
const room = 100

// usualTokens is what one of them needs.
const usualTokens = 1000

// newState returns the control state of a gateway before one engine.
func newState(t testing.TB) *state {
	g := &Gateway{Log: zap.NewNop(), Random: func() float64 { return 0.5 }, Now: func() time.Duration { return 0 }}
	g.Settings = testSettings()
	s := &state{}
	s.init(g)
	s.allowance = retry.Allowance{Share: 0.2, Slack: 100, Window: 10 * time.Second}
	table := &routing.Table{
		Version: 1,
		Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &fleet.Engine{
			Layers: 10, LayerMB: 1, KVTokenBytes: 1000, Step: time.Millisecond,
			Accelerators: map[string]fleet.Accelerator{"big": {MemoryMB: 10 + room*usualTokens*1000/1e6, Pace: 1}},
		}}},
	}
	qt.Assert(t, table.Prepare(), qt.IsNil)
	s.setTable(table)
	s.setUpstreams(wholeList{upstreams: map[string]*fleet.Upstream{
		"e": {Instance: "e", Service: "llm", Zone: "a", Accelerator: "big", Slots: 192, Held: fleet.Range{From: 0, To: 10}},
	}, revision: 1, at: time.Second}, time.Second)
	return s
}

// arrival is one request of a replayed load.
type arrival struct {
	account string
	rank    int
	tokens  float64
}

// outcome is what became of it.
type outcome struct {
	arrival
	waited  time.Duration
	refused *verdict.Error
}

// replay plays a load against a state: at each step what each returns arrives,
// and what got a place holds it for hold.
func replay(s *state, length, step, hold time.Duration, each func(now time.Duration) []arrival) []outcome {
	type open struct {
		w  *waiter
		at time.Duration
		arrival
	}
	type held struct {
		q   *query
		p   place
		end time.Duration
	}
	route := &routing.Route{Name: "r", Kind: routing.Stream, Resumable: true, MaxUpstreams: 2}
	var waiting []open
	var running []held
	var out []outcome
	number := 0
	for now := 10 * time.Second; now < 10*time.Second+length; now += step {
		still := running[:0]
		for _, r := range running {
			if now < r.end {
				still = append(still, r)
				continue
			}
			s.give(r.q, r.p)
		}
		running = still
		if now < 10*time.Second+length-3*time.Second {
			for _, a := range each(now) {
				number++
				q := &query{Request: relay.Request{ID: fmt.Sprint(number)}, http: &http.Request{}, route: route, service: "llm",
					account: a.account, rank: a.rank, tokens: a.tokens, arrived: now, deadline: now + 20*time.Second}
				q.setWait(now)
				w := &waiter{q: q, reply: make(chan taken, 1)}
				s.ask(w, now)
				waiting = append(waiting, open{w, now, a})
			}
		}
		s.dispatch(now)
		left := waiting[:0]
		for _, o := range waiting {
			select {
			case got := <-o.w.reply:
				result := outcome{arrival: o.arrival, waited: now - o.at}
				if got.err != nil {
					result.refused = verdict.Of(got.err)
				} else {
					running = append(running, held{o.w.q, got.place, now + hold})
				}
				out = append(out, result)
			default:
				left = append(left, o)
			}
		}
		waiting = left
	}
	return out
}

// every returns arrivals at a rate in the mean.
func every(perSecond float64, step time.Duration, make func(n int) arrival) func(time.Duration) []arrival {
	owed, n := 0.0, 0
	return func(time.Duration) []arrival {
		owed += perSecond * step.Seconds()
		var out []arrival
		for ; owed >= 1; owed-- {
			n++
			out = append(out, make(n))
		}
		return out
	}
}

const (
	testStep = 10 * time.Millisecond
	testHold = 2 * time.Second
	// capacity is how many requests a second the engine has room for.
	capacity = room / 2.0
)

func served(outcomes []outcome, like func(outcome) bool) (got, all float64) {
	for _, o := range outcomes {
		if !like(o) {
			continue
		}
		all++
		if o.refused == nil {
			got++
		}
	}
	return got, all
}

func anyOf(outcome) bool { return true }

// TestCalmLoadNeverWaits replays nine tenths of what there is room for.
func TestCalmLoadNeverWaits(t *testing.T) {
	out := replay(newState(t), 20*time.Second, testStep, testHold, every(0.9*capacity, testStep, func(int) arrival {
		return arrival{account: "a", rank: 1, tokens: usualTokens}
	}))
	for _, o := range out {
		if o.refused != nil || o.waited > 0 {
			t.Fatalf("waited %v, refused: %v", o.waited, o.refused)
		}
	}
}

// TestBurst replays 1.7 times what there is room for: the room is used, nobody
// waits beyond the bound, and who can't be served in time hears so at once.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	out := replay(newState(t), 23*time.Second, testStep, testHold, every(1.7*capacity, testStep, func(int) arrival {
		return arrival{account: "a", rank: 1, tokens: usualTokens}
	}))
	got, all := served(out, anyOf)
	c.Assert(got/all > 0.95/1.7, qt.IsTrue, qt.Commentf("%.0f of %.0f served", got, all))
	late := 0.0
	for _, o := range out {
		c.Assert(o.waited <= streamWait+testStep, qt.IsTrue)
		if o.refused == nil {
			continue
		}
		c.Assert(o.refused.Run, qt.Equals, verdict.NotRun)
		c.Assert(o.refused.RetryAfter >= minRetryAfter, qt.IsTrue)
		if o.waited > testStep {
			late++
		}
	}
	c.Assert(late/(all-got) < 0.2, qt.IsTrue, qt.Commentf("%.0f of %.0f refusals came late", late, all-got))
}

// TestUrgentGoesFirst replays twice the room with two ranks in equal parts.
func TestUrgentGoesFirst(t *testing.T) {
	c := qt.New(t)
	out := replay(newState(t), 23*time.Second, testStep, testHold, every(2*capacity, testStep, func(n int) arrival {
		return arrival{account: "a", rank: 1 + n%2, tokens: usualTokens}
	}))
	urgent, allUrgent := served(out, func(o outcome) bool { return o.rank == 1 })
	other, allOther := served(out, func(o outcome) bool { return o.rank == 2 })
	c.Assert(urgent/allUrgent > 0.9, qt.IsTrue, qt.Commentf("%.0f of %.0f", urgent, allUrgent))
	c.Assert(urgent/allUrgent > other/allOther, qt.IsTrue)
}

// TestFloodOfOneAccount replays an account that sends far more than there is
// room for beside one that sends a fifth of it.
func TestFloodOfOneAccount(t *testing.T) {
	c := qt.New(t)
	out := replay(newState(t), 23*time.Second, testStep, testHold, every(2.2*capacity, testStep, func(n int) arrival {
		if n%11 == 0 {
			return arrival{account: "small", rank: 1, tokens: usualTokens}
		}
		return arrival{account: "flood", rank: 1, tokens: usualTokens}
	}))
	small, allSmall := served(out, func(o outcome) bool { return o.account == "small" })
	flood, allFlood := served(out, func(o outcome) bool { return o.account == "flood" })
	c.Assert(small/allSmall > flood/allFlood, qt.IsTrue, qt.Commentf("%.0f of %.0f, %.0f of %.0f", small, allSmall, flood, allFlood))
}

// TestLargeRequestsAreNotStarved replays 1.5 times the room, a tenth of the
// requests four times as large: they are served at least half as often.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	c := qt.New(t)
	out := replay(newState(t), 23*time.Second, testStep, testHold, every(1.5*capacity/1.3, testStep, func(n int) arrival {
		if n%10 == 0 {
			return arrival{account: "a", rank: 1, tokens: 4 * usualTokens}
		}
		return arrival{account: "a", rank: 1, tokens: usualTokens}
	}))
	large, allLarge := served(out, func(o outcome) bool { return o.tokens > usualTokens })
	got, all := served(out, anyOf)
	c.Assert(large/allLarge > 0.5*got/all, qt.IsTrue, qt.Commentf("%.0f of %.0f, %.0f of %.0f", large, allLarge, got, all))
}

// TestNoRefusalWhileThereIsRoom takes the engine away for half a second: those
// that come meanwhile wait and are served.
func TestNoRefusalWhileThereIsRoom(t *testing.T) {
	s := newState(t)
	all := s.upstreams
	out := replay(s, 15*time.Second, testStep, testHold, func(now time.Duration) []arrival {
		switch now {
		case 12 * time.Second:
			s.setUpstreams(wholeList{upstreams: map[string]*fleet.Upstream{}, revision: 1, at: now}, now)
		case 12*time.Second + 500*time.Millisecond:
			s.setUpstreams(wholeList{upstreams: all, revision: 1, at: now}, now)
		}
		if now%(50*time.Millisecond) != 0 {
			return nil
		}
		return []arrival{{account: "a", rank: 1, tokens: usualTokens}}
	})
	for _, o := range out {
		if o.refused != nil || o.waited > 550*time.Millisecond {
			t.Fatalf("waited %v, refused: %v", o.waited, o.refused)
		}
	}
}
