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

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/http1"
)

// message returns a response with a body and a header field.
func message(status int, field, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
}

// straySender is an upstream that writes a message before the second answer on its
// first connection.
type straySender struct {
	*fleet.Upstream
	accepted, requests atomic.Int32
}

// sendStray starts an upstream that answers all requests with answer.
func sendStray(t *testing.T, stray, answer string) *straySender {
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

func (s *straySender) serve(conn net.Conn, first bool, stray, answer string) {
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
		io.WriteString(conn, answer)
	}
}

// questionGateway returns a gateway that has a kept connection to an upstream,
// which is listed as e1.
func questionGateway(t *testing.T, u *straySender) *Gateway {
	g, _ := handoverGateway(t)
	g.Settings = testSettings()
	g.metrics = newMetrics(g)
	g.Now = func() time.Duration { return time.Minute }
	g.connPool = &http1.Pool{Dial: (&net.Dialer{}).DialContext}
	t.Cleanup(g.connPool.Close)
	g.control.Do(func(s *state) { s.upstreams["e1"] = u.Upstream })
	resp, err := g.exchange(t.Context(), &relay.Call{Upstream: u.Upstream, Method: http.MethodGet, URI: "/", Host: "e"})
	qt.Assert(t, err, qt.IsNil)
	_, err = resp.ReadAll(t.Context(), maxReportBytes)
	qt.Assert(t, err, qt.IsNil)
	resp.Close()
	return g
}

// checkNoNotice checks that an upstream is neither leaving nor holding off.
func checkNoNotice(t *testing.T, g *Gateway, u *fleet.Upstream) {
	g.control.Do(func(s *state) {
		qt.Check(t, s.isLeaving(u), qt.IsFalse)
		qt.Check(t, s.health.MayCall(u.Instance, g.Now()), qt.IsTrue)
	})
}

// strayAnswers are messages that answer nothing the gateway has asked.
var strayAnswers = []struct{ name, text string }{
	{"success", message(200, "Origin-Stamp: e1", "answer")},
	{"empty success", message(200, "X: y", "")},
	{"JSON", message(200, "Content-Type: application/json", "{}")},
	{"accepted order", message(202, "X: y", "")},
	{"refused order", message(409, "Content-Type: application/json", `{"seq":3}`)},
	{"refusal", message(503, "Not-Executed: 1", "")},
	{"wrong instance", message(421, "Instance-Id: e9", "")},
	{"leaving", message(503, "Server-Leaving: 1", "")},
	{"hold-off", message(503, "Retry-After: 60", "")},
	{"another request's answer", message(200, "Request-Id: other", "answer")},
	{"another request's refusal that is leaving", message(503, "Request-Id: other\r\nServer-Leaving: 1", "")},
	{"cut", "HTTP/1.1 200 OK\r\nContent-"},
}

// TestStrayMessageIsNoReport guards against taking a message that answers nothing
// for the report of an engine, and against blaming the engine for it.
func TestStrayMessageIsNoReport(t *testing.T) {
	for _, x := range strayAnswers {
		t.Run(x.name, func(t *testing.T) {
			u := sendStray(t, x.text, message(200, "Content-Type: application/json", `{"seq":7,"born":5,"layers":{"from":0,"target":10}}`))
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
		answer := message(503, "X: y", "")
		if healthy {
			answer = message(200, "Instance-Id: e1", "")
		}
		for _, x := range strayAnswers {
			t.Run(fmt.Sprintf("%s/healthy=%t", x.name, healthy), func(t *testing.T) {
				u := sendStray(t, x.text, answer)
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
	u := sendStray(t, "", message(200, "Instance-Id: e1\r\nContent-Type: application/json", `{"seq":7}`))
	g := questionGateway(t, u)
	for range 3 {
		_, err := g.fetchReport(t.Context(), u.Upstream)
		qt.Check(t, err, qt.IsNil)
		g.probeUpstream(t.Context(), probeTarget{Upstream: u.Upstream, healthPath: "/healthz"})
	}
	qt.Check(t, u.accepted.Load(), qt.Equals, int32(1))
	qt.Check(t, u.requests.Load(), qt.Equals, int32(7))
}
