package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/placement"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/platform/platformtest"
)

// straySender is an upstream that writes a message before the second answer on its
// first connection.
type straySender struct {
	*fleet.Upstream
	accepted, requests atomic.Int32
}

// sendStray starts an upstream that answers all requests with answer.
func sendStray(t *testing.T, stray, answer string) *straySender {
	return sendStrayBefore(t, stray, func(*http.Request) string { return answer })
}

// sendStrayBefore starts an upstream that answers requests by a function, or closes
// the connection if that returns "".
func sendStrayBefore(t *testing.T, stray string, answer func(*http.Request) string) *straySender {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	u := engine("e1", 10)
	u.Address = listener.Addr().String()
	s := &straySender{Upstream: u}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, s.accepted.Add(1) == 1, stray, answer)
		}
	}()
	return s
}

func (s *straySender) serve(conn net.Conn, first bool, stray string, answer func(*http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// A body that ends early ends the connection, too.
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		if first && n == 1 {
			io.WriteString(conn, stray)
			// The answer is written once the message was read.
			time.Sleep(5 * time.Millisecond)
		}
		text := answer(r)
		if text == "" {
			return
		}
		io.WriteString(conn, text)
	}
}

// questionGateway returns a gateway that has a kept connection to an upstream,
// which is listed as e1.
func questionGateway(t *testing.T, u *straySender) *Gateway {
	g := listingGateway(t, u)
	resp, err := g.exchange(t.Context(), &relay.Call{Upstream: u.Upstream, Method: http.MethodGet, URI: "/", Host: "e"})
	qt.Assert(t, err, qt.IsNil)
	_, err = resp.ReadAll(t.Context(), maxReportBytes)
	qt.Assert(t, err, qt.IsNil)
	resp.Close()
	return g
}

// listingGateway returns a gateway that has no connection to an upstream yet,
// which is listed as e1.
func listingGateway(t *testing.T, u *straySender) *Gateway {
	g, _ := handoverGateway(t)
	g.Settings = testSettings()
	g.metrics = newMetrics(g)
	g.Now = func() time.Duration { return time.Minute }
	g.connPool = &http1.Pool{Dial: (&net.Dialer{}).DialContext}
	t.Cleanup(g.connPool.Close)
	g.control.Do(func(s *state) { s.upstreams["e1"] = u.Upstream })
	return g
}

// checkNoNotice checks that an upstream is neither leaving nor holding off.
func checkNoNotice(t *testing.T, g *Gateway, u *fleet.Upstream) {
	g.control.Do(func(s *state) {
		qt.Check(t, s.isLeaving(u), qt.IsFalse)
		qt.Check(t, s.health.MayCall(u.Instance, g.Now()), qt.IsTrue)
	})
}

// TestStrayMessageIsNoReport guards against taking a message that answers nothing
// for the report of an engine, and against blaming the engine for it.
func TestStrayMessageIsNoReport(t *testing.T) {
	for _, x := range platformtest.StrayMessages {
		t.Run(x.Name, func(t *testing.T) {
			u := sendStray(t, x.Text, platformtest.ReportMessage(7))
			g := questionGateway(t, u)
			report, err := g.fetchReport(t.Context(), u.Upstream)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, report.Orders, qt.Equals, int64(7))
			checkNoNotice(t, g, u.Upstream)
			qt.Check(t, u.accepted.Load(), qt.Equals, int32(2))
		})
	}
}

// TestStrayMessageIsNoProbeResult guards against taking a message that answers
// nothing for the answer to a probe: it neither takes an upstream out of use nor
// brings it back.
func TestStrayMessageIsNoProbeResult(t *testing.T) {
	for _, healthy := range []bool{false, true} {
		for _, x := range platformtest.StrayMessages {
			t.Run(fmt.Sprintf("%s/healthy=%t", x.Name, healthy), func(t *testing.T) {
				u := sendStray(t, x.Text, platformtest.ProbeMessage("e1", healthy))
				g := questionGateway(t, u)
				g.probeUpstream(t.Context(), probeTarget{Upstream: u.Upstream, healthPath: "/healthz"})
				g.control.Do(func(s *state) { qt.Check(t, s.health.Excluded("e1", g.Now()), qt.Equals, !healthy) })
				checkNoNotice(t, g, u.Upstream)
			})
		}
	}
}

// TestKeptConnectionIsEnoughForQuestions guards against a new connection for each
// report and probe.
func TestKeptConnectionIsEnoughForQuestions(t *testing.T) {
	u := sendStrayBefore(t, "", func(r *http.Request) string {
		if r.URL.Path == "/healthz" {
			return platformtest.ProbeMessage("e1", true)
		}
		return platformtest.ReportMessage(7)
	})
	g := questionGateway(t, u)
	for range 3 {
		_, err := g.fetchReport(t.Context(), u.Upstream)
		qt.Check(t, err, qt.IsNil)
		g.probeUpstream(t.Context(), probeTarget{Upstream: u.Upstream, healthPath: "/healthz"})
	}
	qt.Check(t, u.accepted.Load(), qt.Equals, int32(1))
	qt.Check(t, u.requests.Load(), qt.Equals, int32(7))
}

// TestStrayMessageAsOrderAnswerIsCorrected checks that an engine gets the next order
// that it can accept some seconds after a message that answers nothing was taken
// for the answer to an order, whether it had accepted that one or not.
func TestStrayMessageAsOrderAnswerIsCorrected(t *testing.T) {
	for _, accepts := range []bool{false, true} {
		for _, x := range platformtest.StrayMessages {
			t.Run(fmt.Sprintf("%s/accepts=%t", x.Name, accepts), func(t *testing.T) {
				var orders atomic.Int64
				u := sendStrayBefore(t, x.Text, func(r *http.Request) string {
					if !platformtest.IsOrder(r) {
						return platformtest.ReportMessage(orders.Load())
					}
					return platformtest.OrderMessage(accepts && orders.CompareAndSwap(0, 1))
				})
				g := questionGateway(t, u)
				var now atomic.Int64
				g.Now = func() time.Duration { return time.Duration(now.Load()) }
				for passed := time.Duration(0); passed < 8*time.Second; passed += 500 * time.Millisecond {
					now.Store(int64(time.Minute + passed))
					g.control.Do(func(s *state) { s.listedAt = g.Now() })
					for _, due := range g.overdueEngines() {
						g.refreshHeldLayers(t.Context(), due)
					}
					order, ok := nextOrder(g, u.Upstream)
					if ok && passed > 0 && order.Placement.IfOrders == orders.Load() {
						t.Logf("order that can be accepted after %v", passed)
						checkNoNotice(t, g, u.Upstream)
						return
					}
					if ok {
						g.sendOrder(t.Context(), order)
					}
				}
				t.Error("no order that can be accepted")
			})
		}
	}
}

// nextOrder returns the order that makes an engine hold other layers, if one is due.
func nextOrder(g *Gateway, u *fleet.Upstream) (order placement.Order, due bool) {
	plan := map[string]fleet.Range{u.Instance: {From: 5, To: 10}}
	g.control.Do(func(s *state) {
		expected := s.reconciler.Expected([]*fleet.Upstream{u}, g.Now())
		for _, o := range s.reconciler.IssueOrders(plan, expected, func(string) bool { return false }, g.Now()) {
			order, due = o, true
		}
	})
	return order, due
}

// TestLostQuestionIsAskedAgain guards against blaming an upstream for the end of a
// kept connection, and against a second connection to one that breaks a new one.
func TestLostQuestionIsAskedAgain(t *testing.T) {
	for _, x := range []struct {
		name  string
		kept  bool
		conns int32
	}{
		{"kept connection", true, 2},
		{"new connection", false, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			var answers atomic.Int32
			u := sendStrayBefore(t, "", func(*http.Request) string {
				if answers.Add(1) == 2 || !x.kept {
					return ""
				}
				return platformtest.ReportMessage(7)
			})
			g := listingGateway(t, u)
			if x.kept {
				_, err := g.fetchReport(t.Context(), u.Upstream)
				qt.Assert(t, err, qt.IsNil)
			}
			report, err := g.fetchReport(t.Context(), u.Upstream)
			qt.Check(t, u.accepted.Load(), qt.Equals, x.conns)
			qt.Check(t, err == nil, qt.Equals, x.kept)
			qt.Check(t, report.Orders == 7, qt.Equals, x.kept)
		})
	}
}
