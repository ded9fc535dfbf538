package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// withLayers returns a table whose service has a model with a number of layers.
func withLayers(t testing.TB, version int64, layers int) *routing.Table {
	table := &routing.Table{Version: version, Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &fleet.Engine{
		Layers: layers, LayerMB: 1, KVTokenBytes: 1000, Step: time.Millisecond,
		Accelerators: map[string]fleet.Accelerator{"big": {MemoryMB: 40 + engineCapacity*usualTokens*1000/1e6, Pace: 1}},
	}}}}
	qt.Assert(t, table.Prepare(), qt.IsNil)
	return table
}

// newWaiting returns a stream that was accepted for a service and waits.
func newWaiting(id string, accepted *routing.Service, now time.Duration) *waiter {
	q := &request{Request: relay.Request{ID: id}, http: &http.Request{}, route: &routing.Route{Name: "r", Kind: routing.Stream, Resumable: true, MaxUpstreams: 2},
		service: accepted.Name, accepted: accepted, tokens: usualTokens, arrived: now, deadline: now + 20*time.Second}
	q.setQueueDeadline(now)
	return &waiter{q: q, reply: make(chan admissionResult, 1)}
}

// TestWaitEndsWhateverChanges guards against a request that waits in the queue without
// an end, because a configuration or the list of upstreams has taken away what it waits
// for, once or twice within the wait.
func TestWaitEndsWhateverChanges(t *testing.T) {
	none := upstreamList{upstreams: map[string]*fleet.Upstream{}, revision: numbered(2)}
	changes := map[string]func(s *state, now time.Duration){
		"service removed": func(s *state, _ time.Duration) { s.setTable(&routing.Table{Version: s.table.Version + 1}) },
		"other layers":    func(s *state, _ time.Duration) { s.setTable(withLayers(t, s.table.Version+1, 20)) },
		"plain": func(s *state, _ time.Duration) {
			s.setTable(&routing.Table{Version: s.table.Version + 1, Services: map[string]*routing.Service{"llm": {Name: "llm", MaxConnections: 1}}})
		},
		"upstreams removed": func(s *state, now time.Duration) {
			l := none
			l.asOf = now
			s.replaceUpstreams(l, now)
		},
		"upstream drains": func(s *state, _ time.Duration) {
			for i, u := range s.upstreams {
				s.upstreams[i] = drainingCopy(u)
			}
			s.rebuildPools()
		},
		"zone moved": func(s *state, _ time.Duration) { s.zone = "elsewhere" },
	}
	for first, change := range changes {
		for second, changeAgain := range changes {
			t.Run(first+", "+second, func(t *testing.T) {
				s := newState(t)
				now := 10 * time.Second
				s.now = func() time.Duration { return now }
				// The engine is full, so that the request waits.
				s.loadOf("e").tokenLayers = 1e9
				w := newWaiting("w", s.table.Services["llm"], now)
				s.admit(w, now)
				qt.Assert(t, s.queue.Len("llm"), qt.Equals, 1)
				for ; now <= 10*time.Second+streamQueueTimeout; now += testStep {
					switch now {
					case 10*time.Second + 300*time.Millisecond:
						change(s, now)
					case 10*time.Second + 600*time.Millisecond:
						changeAgain(s, now)
					}
					s.dispatch(now)
				}
				select {
				case r := <-w.reply:
					if r.err != nil {
						qt.Check(t, verdict.Of(r.err).Run, qt.Equals, verdict.NotRun)
					}
				default:
					t.Fatal("no reply")
				}
				qt.Check(t, s.queue.Len("llm"), qt.Equals, 0)
			})
		}
	}
}

// TestLatestFormerPoolCounts guards against a stream that finds no engine for its next
// attempt because its service was described alike at an earlier time, when engines held
// other layers.
func TestLatestFormerPoolCounts(t *testing.T) {
	c := qt.New(t)
	s := newState(t)
	now := 10 * time.Second
	s.now = func() time.Duration { return now }
	s.table.Routes = []*routing.Route{{Name: "r", Timeout: 20 * time.Second}}
	s.setTable(withLayers(t, 2, 20))
	s.setTable(withLayers(t, 3, 10))
	u := *s.upstreams["e"]
	u.Started++
	s.upstreams["e"] = &u
	s.rebuildPools()
	w := newWaiting("w", s.table.Services["llm"], now)
	c.Assert(s.poolOf(w.q), qt.IsNotNil)
	s.setTable(withLayers(t, 4, 20))
	c.Check(s.poolOf(w.q), qt.IsNotNil)
}

// TestLatestFormerServiceIsNamed guards against probing upstreams of a service that the
// table does not name any more as it was described before the last time.
func TestLatestFormerServiceIsNamed(t *testing.T) {
	s := newState(t)
	s.now = func() time.Duration { return 10 * time.Second }
	s.table.Routes = []*routing.Route{{Name: "r", Timeout: 20 * time.Second}}
	s.setTable(withLayers(t, 2, 20))
	s.setTable(&routing.Table{Version: 3})
	qt.Assert(t, s.serviceNamed("llm").Engine.Layers, qt.Equals, 20)
}
