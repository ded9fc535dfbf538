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
	"lovageport.example/internal/state/registry"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// engineCapacity is how many typical requests fit in the engine of a test
// state.
const engineCapacity = 100

// usualTokens is the number of tokens of a typical request.
const usualTokens = 1000

// newState returns the control state of a gateway with one engine, which has run for
// some time.
func newState(t testing.TB) *state {
	s := newStateAt(t, 0)
	s.startedAt = -time.Minute
	return s
}

// emptyState returns the state of a gateway that knows no upstreams yet.
func emptyState(t testing.TB) *state {
	s := newState(t)
	s.list, s.upstreams = registry.List{}, make(map[string]*fleet.Upstream)
	return s
}

// newStateAt returns the state of a gateway that starts at a boot time.
func newStateAt(t testing.TB, start time.Duration) *state {
	g := &Gateway{Log: zap.NewNop(), Random: func() float64 { return 0.5 }, Now: func() time.Duration { return start }}
	g.Settings = testSettings()
	s := &state{}
	s.init(g)
	s.retryAllowance = retry.Allowance{Share: 0.2, Slack: 100, Window: 10 * time.Second}
	table := &routing.Table{
		Version: 1,
		Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &fleet.Engine{
			Layers: 10, LayerMB: 1, KVTokenBytes: 1000, Step: time.Millisecond,
			Accelerators: map[string]fleet.Accelerator{"big": {MemoryMB: 10 + engineCapacity*usualTokens*1000/1e6, Pace: 1}},
		}}},
	}
	qt.Assert(t, table.Prepare(), qt.IsNil)
	s.setTable(table)
	s.replaceUpstreams(upstreamList{upstreams: map[string]*fleet.Upstream{
		"e": {Instance: "e", Service: "llm", Zone: "a", Accelerator: "big", Slots: 192, Held: fleet.Range{From: 0, To: 10}},
	}, revision: numbered(1), asOf: time.Second}, time.Second)
	return s
}

// arrival is one request of a simulated load.
type arrival struct {
	account string
	rank    int
	tokens  float64
}

// simulatedOutcome is the result of a request.
type simulatedOutcome struct {
	arrival
	waited  time.Duration
	refused *verdict.Error
}

// simulate runs a load against a state: at each step the requests that arrivals
// returns are admitted, and those that got a target hold it for hold.
func simulate(s *state, length, step, hold time.Duration, arrivals func(now time.Duration) []arrival) []simulatedOutcome {
	type queued struct {
		w  *waiter
		at time.Duration
		arrival
	}
	type active struct {
		q   *request
		to  target
		end time.Duration
	}
	route := &routing.Route{Name: "r", Kind: routing.Stream, Resumable: true, MaxUpstreams: 2}
	var waiting []queued
	var running []active
	var out []simulatedOutcome
	number := 0
	for now := 10 * time.Second; now < 10*time.Second+length; now += step {
		stillRunning := running[:0]
		for _, r := range running {
			if now < r.end {
				stillRunning = append(stillRunning, r)
				continue
			}
			s.release(r.q, r.to)
		}
		running = stillRunning
		if now < 10*time.Second+length-3*time.Second {
			for _, a := range arrivals(now) {
				number++
				q := &request{Request: relay.Request{ID: fmt.Sprint(number)}, http: &http.Request{}, route: route, service: "llm",
					account: a.account, rank: a.rank, tokens: a.tokens, arrived: now, deadline: now + 20*time.Second}
				q.setQueueDeadline(now)
				w := &waiter{q: q, reply: make(chan admissionResult, 1)}
				s.admit(w, now)
				waiting = append(waiting, queued{w, now, a})
			}
		}
		s.dispatch(now)
		stillWaiting := waiting[:0]
		for _, o := range waiting {
			select {
			case got := <-o.w.reply:
				result := simulatedOutcome{arrival: o.arrival, waited: now - o.at}
				if got.err != nil {
					result.refused = verdict.Of(got.err)
				} else {
					running = append(running, active{o.w.q, got.target, now + hold})
				}
				out = append(out, result)
			default:
				stillWaiting = append(stillWaiting, o)
			}
		}
		waiting = stillWaiting
	}
	return out
}

// arrivalsAt returns a function that generates arrivals at a mean rate.
func arrivalsAt(perSecond float64, step time.Duration, newArrival func(n int) arrival) func(time.Duration) []arrival {
	due, n := 0.0, 0
	return func(time.Duration) []arrival {
		due += perSecond * step.Seconds()
		var out []arrival
		for ; due >= 1; due-- {
			n++
			out = append(out, newArrival(n))
		}
		return out
	}
}

const (
	testStep = 10 * time.Millisecond
	testHold = 2 * time.Second
	// requestRate is how many requests a second the engine has capacity for.
	requestRate = engineCapacity / 2.0
)

func countServed(outcomes []simulatedOutcome, match func(simulatedOutcome) bool) (got, all float64) {
	for _, o := range outcomes {
		if !match(o) {
			continue
		}
		all++
		if o.refused == nil {
			got++
		}
	}
	return got, all
}

func anyOutcome(simulatedOutcome) bool { return true }

// TestLoadBelowCapacityIsNotQueued simulates 90% of the capacity.
func TestLoadBelowCapacityIsNotQueued(t *testing.T) {
	out := simulate(newState(t), 20*time.Second, testStep, testHold, arrivalsAt(0.9*requestRate, testStep, func(int) arrival {
		return arrival{account: "a", rank: 1, tokens: usualTokens}
	}))
	for _, o := range out {
		if o.refused != nil || o.waited > 0 {
			t.Fatalf("queued for %v, refused: %v", o.waited, o.refused)
		}
	}
}

// TestOverloadIsRefusedEarly simulates 1.7 times the capacity: the capacity
// must be used, no request may wait beyond the limit, and requests that cannot
// be served in time must be refused at once.
func TestOverloadIsRefusedEarly(t *testing.T) {
	c := qt.New(t)
	out := simulate(newState(t), 23*time.Second, testStep, testHold, arrivalsAt(1.7*requestRate, testStep, func(int) arrival {
		return arrival{account: "a", rank: 1, tokens: usualTokens}
	}))
	got, all := countServed(out, anyOutcome)
	c.Assert(got/all > 0.95/1.7, qt.IsTrue, qt.Commentf("%.0f of %.0f served", got, all))
	late := 0.0
	for _, o := range out {
		c.Assert(o.waited <= streamQueueTimeout+testStep, qt.IsTrue)
		if o.refused == nil {
			continue
		}
		c.Assert(o.refused.Run, qt.Equals, verdict.NotRun)
		c.Assert(o.refused.RetryAfter >= minRetryAfter, qt.IsTrue)
		if o.waited > testStep {
			late++
		}
	}
	c.Assert(late/(all-got) < 0.2, qt.IsTrue, qt.Commentf("%.0f of %.0f refusals were late", late, all-got))
}

// TestUrgentRequestsAreServedFirst simulates twice the capacity, half of it at
// each of two ranks.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	c := qt.New(t)
	out := simulate(newState(t), 23*time.Second, testStep, testHold, arrivalsAt(2*requestRate, testStep, func(n int) arrival {
		return arrival{account: "a", rank: 1 + n%2, tokens: usualTokens}
	}))
	urgent, allUrgent := countServed(out, func(o simulatedOutcome) bool { return o.rank == 1 })
	other, allOther := countServed(out, func(o simulatedOutcome) bool { return o.rank == 2 })
	c.Assert(urgent/allUrgent > 0.9, qt.IsTrue, qt.Commentf("%.0f of %.0f", urgent, allUrgent))
	c.Assert(urgent/allUrgent > other/allOther, qt.IsTrue)
}

// TestFloodDoesNotStarveOtherAccounts simulates an account that sends twice the
// capacity beside one that sends a fifth of it.
func TestFloodDoesNotStarveOtherAccounts(t *testing.T) {
	c := qt.New(t)
	out := simulate(newState(t), 23*time.Second, testStep, testHold, arrivalsAt(2.2*requestRate, testStep, func(n int) arrival {
		if n%11 == 0 {
			return arrival{account: "small", rank: 1, tokens: usualTokens}
		}
		return arrival{account: "flood", rank: 1, tokens: usualTokens}
	}))
	small, allSmall := countServed(out, func(o simulatedOutcome) bool { return o.account == "small" })
	flood, allFlood := countServed(out, func(o simulatedOutcome) bool { return o.account == "flood" })
	c.Assert(small/allSmall > flood/allFlood, qt.IsTrue, qt.Commentf("%.0f of %.0f, %.0f of %.0f", small, allSmall, flood, allFlood))
}

// TestLargeRequestsAreNotStarved simulates 1.5 times the capacity with a tenth
// of the requests four times as large: these must be served at least half as
// often as all requests.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	c := qt.New(t)
	out := simulate(newState(t), 23*time.Second, testStep, testHold, arrivalsAt(1.5*requestRate/1.3, testStep, func(n int) arrival {
		if n%10 == 0 {
			return arrival{account: "a", rank: 1, tokens: 4 * usualTokens}
		}
		return arrival{account: "a", rank: 1, tokens: usualTokens}
	}))
	large, allLarge := countServed(out, func(o simulatedOutcome) bool { return o.tokens > usualTokens })
	got, all := countServed(out, anyOutcome)
	c.Assert(large/allLarge > 0.5*got/all, qt.IsTrue, qt.Commentf("%.0f of %.0f, %.0f of %.0f", large, allLarge, got, all))
}

// TestShortOutageQueuesRequests removes the engine for half a second: requests
// that arrive meanwhile must be queued and then served.
func TestShortOutageQueuesRequests(t *testing.T) {
	s := newState(t)
	all := s.upstreams
	out := simulate(s, 15*time.Second, testStep, testHold, func(now time.Duration) []arrival {
		switch now {
		case 12 * time.Second:
			s.replaceUpstreams(upstreamList{upstreams: map[string]*fleet.Upstream{}, revision: numbered(1), asOf: now}, now)
		case 12*time.Second + 500*time.Millisecond:
			s.replaceUpstreams(upstreamList{upstreams: all, revision: numbered(1), asOf: now}, now)
		}
		if now%(50*time.Millisecond) != 0 {
			return nil
		}
		return []arrival{{account: "a", rank: 1, tokens: usualTokens}}
	})
	for _, o := range out {
		if o.refused != nil || o.waited > 550*time.Millisecond {
			t.Fatalf("queued for %v, refused: %v", o.waited, o.refused)
		}
	}
}
