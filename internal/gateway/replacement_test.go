package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/platform/platformtest"
)

// repairState returns a state with the engines of a chain a1, b1, c1, d1 of two to four
// layers, and spares for some of them, by the prefix of their names.
func repairState(t *testing.T, names ...string) (*state, *request, target) {
	s := newState(t)
	held := map[byte]fleet.Range{'a': {To: 2}, 'b': {From: 2, To: 4}, 'c': {From: 4, To: 6}, 'd': {From: 6, To: 10}, 'e': {From: 2, To: 6}, 'f': {To: 10}}
	upstreams := map[string]*fleet.Upstream{}
	for _, name := range append([]string{"a1", "b1", "c1", "d1"}, names...) {
		u := engine(name, 10)
		u.Address, u.Slots, u.Held = name, 192, held[name[0]]
		upstreams[name] = u
	}
	s.replaceUpstreams(upstreamList{upstreams: upstreams, revision: numbered(2), asOf: time.Second}, time.Second)
	q := &request{service: "llm", tokens: usualTokens, route: &routing.Route{}}
	var chain []relay.Stage
	for _, name := range []string{"a1", "b1", "c1", "d1"} {
		chain = append(chain, relay.Stage{Upstream: upstreams[name], Layers: upstreams[name].Held})
	}
	to := s.chainTarget(chain, 0)
	s.reserve(q, to, time.Second)
	return s, q, to
}

// checkLoad checks that only the stages of a target count as load, each once.
func checkLoad(c *qt.C, s *state, q *request, to target) {
	s.release(q, to)
	for name := range s.upstreams {
		l := s.loadOf(name)
		c.Check(l.requests, qt.Equals, 0, qt.Commentf("requests at %s", name))
		c.Check(l.tokenLayers, qt.Equals, 0.0, qt.Commentf("memory at %s", name))
		c.Check(l.entering, qt.Equals, 0, qt.Commentf("first stages at %s", name))
	}
}

// TestReplacementOfSeveralStages guards against a chain with a lost stage in it, an engine
// that runs two stages, and stages that are replaced although not all can be.
func TestReplacementOfSeveralStages(t *testing.T) {
	for _, x := range []struct {
		name  string
		spare []string
		lost  []int
		fault func(s *state)
		chain string
	}{
		{"one", []string{"b2"}, []int{1}, nil, "a1,b2,c1,d1"},
		{"two apart", []string{"b2", "d2"}, []int{1, 3}, nil, "a1,b2,c1,d2"},
		{"two adjacent, a spare for each", []string{"b2", "c2"}, []int{1, 2}, nil, "a1,b2,c2,d1"},
		{"two adjacent, one spare for both", []string{"e2"}, []int{1, 2}, nil, "a1,e2,d1"},
		{"all but the first", []string{"b2", "c2", "d2"}, []int{1, 2, 3}, nil, "a1,b2,c2,d2"},
		{"no spare for one", []string{"b2"}, []int{1, 3}, nil, ""},
		{"the spare of one is down", []string{"b2", "d2"}, []int{1, 3}, func(s *state) { s.health.RecordFault("d2", health.Unreachable, time.Second) }, ""},
		{"the first has ended", []string{"b2", "d2"}, []int{1, 3}, func(s *state) { s.health.RecordFault("a1", health.Unreachable, time.Second) }, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s, q, to := repairState(t, x.spare...)
			if x.fault != nil {
				x.fault(s)
			}
			r := repair{lost: x.lost, next: to}
			s.findReplacement(q, to, &r, time.Second)
			if x.chain == "" {
				c.Check(r.spare, qt.IsNil)
				checkLoad(c, s, q, to)
				return
			}
			c.Check(r.next.String(), qt.Equals, x.chain)
			at := 0
			for _, stage := range r.next.chain {
				c.Check(stage.Layers.From, qt.Equals, at)
				at = stage.Layers.To
			}
			c.Check(at, qt.Equals, 10)
			c.Check(r.next.activity, qt.HasLen, len(r.next.chain))
			s.releaseStages(q, to.stagesAt(x.lost))
			checkLoad(c, s, q, r.next)
		})
	}
}

// TestReplacementIsComparedWithNewChain guards against a repair whose gaps are each
// faster than a whole new chain, but not all together.
func TestReplacementIsComparedWithNewChain(t *testing.T) {
	for _, x := range []struct {
		name     string
		lost     []int
		replaced bool
	}{
		{"the first gap", []int{1}, true},
		{"the last gap", []int{3}, true},
		{"two gaps", []int{1, 3}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			// The prompt takes 10 ms a layer. The spares of the gaps are slow: 100 and
			// 110 ms. A wide engine may fill either gap in 20 or 40 ms, or read all in
			// 100 ms.
			s, q, to := repairState(t, "b2", "d2", "f2")
			e := s.poolOf(q).layers.Engine
			e.ReadPerSecond = 1000
			big := e.Accelerators["big"]
			big.ReadFactor = 1
			e.Accelerators["big"] = big
			q.PromptTokens = 100
			s.health.SetPace("b2", 5, time.Second)
			s.health.SetPace("d2", 2.75, time.Second)
			for _, i := range x.lost {
				q.exclude(to.stage(i).Instance)
			}
			r := repair{lost: x.lost, next: to}
			s.findReplacement(q, to, &r, time.Second)
			qt.Check(t, r.spare != nil, qt.Equals, x.replaced)
		})
	}
}

// order is the answer of a first engine to an order.
type order struct {
	accepted bool
	fault    string
	// meanwhile is called before the answer; nil for nothing.
	meanwhile func(d *stallDetector)
}

// TestLoadAfterReplacement guards against engines that count a stream twice, or for
// ever, after a repair, whatever becomes of its orders and of the stream, and against
// more orders than one after the first was refused because of another stage.
func TestLoadAfterReplacement(t *testing.T) {
	const accepted, refused = true, false
	end := func(d *stallDetector) { d.mu.Lock(); defer d.mu.Unlock(); d.stopped = true }
	event := func(d *stallDetector) { d.recordEvent(2*time.Second, eventSequence{}) }
	for _, x := range []struct {
		name   string
		orders []order
		chain  string
	}{
		{"accepted", []order{{accepted: accepted}}, "a1,b2,c1,d2"},
		{"refused", []order{{accepted: refused}}, ""},
		{"refused because of the first stage", []order{{accepted: refused, fault: "a1"}}, ""},
		{"refused because of a stage of no chain", []order{{accepted: refused, fault: "x"}}, ""},
		{"refused because of a replaced stage", []order{{accepted: refused, fault: "b1"}}, ""},
		{"refused because of a spare", []order{{accepted: refused, fault: "b2"}, {accepted: accepted}}, "a1,b3,c1,d2"},
		{"refused because of a spare that has no other", []order{{accepted: refused, fault: "d2"}}, ""},
		{"refused because of another stage", []order{{accepted: refused, fault: "c1"}, {accepted: accepted}}, "a1,b2,c2,d2"},
		{"refused twice", []order{{accepted: refused, fault: "b2"}, {accepted: refused, fault: "c1"}}, ""},
		{"ended, then accepted", []order{{accepted, "", end}}, ""},
		{"ended, then refused because of a spare", []order{{refused, "b2", end}}, ""},
		{"event, then refused because of a spare", []order{{refused, "b2", event}}, ""},
		{"refused because of a spare, ended, then accepted", []order{{accepted: refused, fault: "b2"}, {accepted, "", end}}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s, q, to := repairState(t, "b2", "b3", "c2", "d2")
			g := &Gateway{Log: s.log, Now: func() time.Duration { return time.Second }, control: loop.New[state]()}
			g.Settings = testSettings()
			g.metrics = newMetrics(g)
			g.control.State = *s
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go g.control.Run(ctx)
			d := &stallDetector{g: g, q: q, target: to, timer: time.NewTimer(time.Hour), handover: handover{g: g, q: q}}
			q.setRunning(d, to)
			sent := 0
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if sent >= len(x.orders) {
					t.Error("too many orders")
					return
				}
				o := x.orders[sent]
				sent++
				if o.meanwhile != nil {
					o.meanwhile(d)
				}
				if !o.accepted {
					platformtest.RefuseOrder(w, o.fault)
					return
				}
				w.WriteHeader(http.StatusAccepted)
			}))
			defer engine.Close()
			var dialer net.Dialer
			g.connPool = &http1.Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				c.Check(address, qt.Equals, "a1")
				return dialer.DialContext(ctx, network, engine.Listener.Addr().String())
			}}
			c.Check(d.replaceStages(to, []int{1, 3}, 0), qt.Equals, x.chain != "")
			c.Check(sent, qt.Equals, len(x.orders))
			want := x.chain
			if want == "" {
				want = to.String()
			}
			c.Check(d.target.String(), qt.Equals, want)
			g.control.Do(func(s *state) { checkLoad(c, s, q, d.target) })
		})
	}
}
