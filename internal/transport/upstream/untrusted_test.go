package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/standin/scripted"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/verdict"
)

// startScripted starts an upstream that answers with bytes.
func startScripted(t *testing.T, s *scripted.Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go s.Serve(listener)
	return listener.Addr().String()
}

// whole returns an answer with a body, which states an attempt if that is not empty.
func whole(status, attempt, body string) string {
	if attempt != "" {
		attempt = upstream.AttemptHeader + ": " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, attempt, len(body), body)
}

func readCall(address, attempt string, echoes bool) *upstream.ServiceCall {
	return &upstream.ServiceCall{Upstream: "s", Address: address, Method: http.MethodGet, Path: "/stock", Attempt: attempt, Repeatable: true, EchoesAttempt: echoes}
}

// TestStrayServiceAnswer guards against belief in a message that a service writes
// once more on a connection that is kept. The service writes a copy of its first
// answer before the answer to each later request.
func TestStrayServiceAnswer(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		for _, status := range []string{"200 OK", "503 Service Unavailable"} {
			t.Run(fmt.Sprintf("echoes=%t/%s", echoes, status), func(t *testing.T) {
				s := &scripted.Server{}
				s.Answer = func(n int, r *http.Request) (string, bool) {
					answer := func(attempt string) string {
						id := ""
						if echoes {
							id = attempt
						}
						return whole(status, id, attempt)
					}
					attempt := r.Header.Get(upstream.AttemptHeader)
					if n == 0 {
						return answer(attempt), false
					}
					return answer("a0") + answer(attempt), false
				}
				address := startScripted(t, s)
				c := upstream.NewServiceClient(nil)
				defer c.Close()
				for i := range 6 {
					attempt := fmt.Sprint("a", i)
					response, err := c.Do(context.Background(), readCall(address, attempt, echoes))
					if err != nil {
						qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
						continue
					}
					qt.Check(t, string(response.Body), qt.Equals, attempt)
				}
			})
		}
	}
}

// TestCutServiceAnswer guards against belief in an answer that ends before its end,
// at any byte, with a close or a reset of the connection.
func TestCutServiceAnswer(t *testing.T) {
	heads := map[string]string{
		"length":  whole("200 OK", "a1", "roses"),
		"chunks":  "HTTP/1.1 200 OK\r\nLovageport-Attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nros\r\n2\r\nes\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nLovageport-Attempt: a1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nroses\r\n0\r\nSum: 1\r\n\r\n",
		"1xx":     "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole("200 OK", "a1", "roses"),
	}
	for name, text := range heads {
		for _, reset := range []bool{false, true} {
			for _, repeatable := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/reset=%t/repeatable=%t", name, reset, repeatable), func(t *testing.T) {
					t.Parallel()
					var end atomic.Int32
					address := startScripted(t, &scripted.Server{Reset: reset, Answer: func(int, *http.Request) (string, bool) { return text[:end.Load()], true }})
					c := upstream.NewServiceClient(nil)
					defer c.Close()
					for cut := range len(text) {
						end.Store(int32(cut))
						call := readCall(address, "a1", true)
						call.Repeatable = repeatable
						response, err := c.Do(context.Background(), call)
						if err == nil {
							t.Errorf("cut at byte %d of %q: answer %d %q", cut, text, response.Status, response.Body)
							continue
						}
						qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
					}
				})
			}
		}
	}
}

// TestServiceAnswerOfUnclearLength guards against belief in an answer whose end is
// not known.
func TestServiceAnswerOfUnclearLength(t *testing.T) {
	for name, text := range map[string]string{
		"no length":      "HTTP/1.1 200 OK\r\nLovageport-Attempt: a1\r\n\r\nroses",
		"two lengths":    "HTTP/1.1 200 OK\r\nLovageport-Attempt: a1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nroses",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\nLovageport-Attempt: a1\r\n\r\nroses",
		"another answer": "HTTP/1.1 200 OK\r\nLovageport-Attempt: a0\r\nContent-Length: 5\r\n\r\nroses",
		"two attempts":   "HTTP/1.1 200 OK\r\nLovageport-Attempt: a1\r\nLovageport-Attempt: a0\r\nContent-Length: 5\r\n\r\nroses",
	} {
		t.Run(name, func(t *testing.T) {
			address := startScripted(t, &scripted.Server{Answer: func(int, *http.Request) (string, bool) { return text, true }})
			c := upstream.NewServiceClient(nil)
			defer c.Close()
			_, err := c.Do(context.Background(), readCall(address, "a1", true))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
		})
	}
}

var testRun = &engine.RunRequest{
	Request: "r", Attempt: "r-1", Model: "m", Prompt: "p", MaxTokens: 2,
	Route: []engine.Stage{{Span: engine.Span{Upstream: "a", From: 0, To: 4}, Address: "10.0.0.1:80"}},
}

// runOn starts testRun at an address and reads its frames to the end or an error.
func runOn(c *upstream.EngineClient, address string) error {
	run := *testRun
	run.Route = []engine.Stage{testRun.Route[0]}
	run.Route[0].Address = address
	stream := c.NewStream(context.Background(), &run)
	defer stream.Close()
	if err := stream.Open(); err != nil {
		return err
	}
	for {
		frame, err := stream.Next()
		if err != nil {
			return err
		}
		if frame.Kind == engine.Done {
			return nil
		}
	}
}

// TestCutEngineAnswer guards against belief in a stream that ends before its last
// frame, at any byte, with a close or a reset of the connection.
func TestCutEngineAnswer(t *testing.T) {
	frames := `{"Kind":"token","Request":"r","Attempt":"r-1","Text":"x","Trace":[{"Upstream":"a","From":0,"To":4}]}` + "\n" +
		`{"Kind":"done","Request":"r","Attempt":"r-1","Tokens":1,"FinishReason":"stop"}` + "\n"
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(frames), frames)
	complete := len(text) - len("\r\n")
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset=%t", reset), func(t *testing.T) {
			t.Parallel()
			var end atomic.Int32
			address := startScripted(t, &scripted.Server{Reset: reset, Answer: func(int, *http.Request) (string, bool) { return text[:end.Load()], true }})
			c := upstream.NewEngineClient(nil)
			defer c.Close()
			for cut := range complete {
				end.Store(int32(cut))
				if err := runOn(c, address); err == nil || verdict.Of(err).Run != verdict.MayHaveRun {
					t.Errorf("cut at byte %d of %d: %v", cut, complete, err)
				}
			}
		})
	}
}

// TestStrayEngineAnswer guards against belief in a refusal that is not of the attempt
// or is by an upstream outside its route.
func TestStrayEngineAnswer(t *testing.T) {
	for _, x := range []struct {
		name, refusal string
		run           verdict.Run
	}{
		{"own", `{"Request":"r","Attempt":"r-1","Upstream":"a","Fault":"busy"}`, verdict.NotRun},
		{"another attempt", `{"Request":"r","Attempt":"r-0","Upstream":"a","Fault":"busy"}`, verdict.MayHaveRun},
		{"another request", `{"Request":"q","Attempt":"r-1","Upstream":"a","Fault":"busy"}`, verdict.MayHaveRun},
		{"upstream outside the route", `{"Request":"r","Attempt":"r-1","Upstream":"b","Fault":"busy"}`, verdict.MayHaveRun},
		{"no IDs", `{}`, verdict.MayHaveRun},
		{"text", `busy`, verdict.MayHaveRun},
	} {
		t.Run(x.name, func(t *testing.T) {
			address := startScripted(t, &scripted.Server{Answer: func(int, *http.Request) (string, bool) {
				return whole("503 Service Unavailable", "", x.refusal), false
			}})
			c := upstream.NewEngineClient(nil)
			defer c.Close()
			e := verdict.Of(runOn(c, address))
			qt.Check(t, e.Run, qt.Equals, x.run)
			qt.Check(t, strings.Contains("a", e.Upstream), qt.IsTrue)
		})
	}
}

// TestOddHeadIsNoServiceAnswer guards against an answer whose head has a status or a field
// that is none, or can be read in two ways, so that its body may not be the service's.
func TestOddHeadIsNoServiceAnswer(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		for _, x := range scripted.OddHeads("Odd", "Content-Type", "Connection", upstream.AttemptHeader) {
			t.Run(fmt.Sprintf("%s/repeatable=%t", x.Name, repeatable), func(t *testing.T) {
				text := x.Text(upstream.AttemptHeader + ": a1\r\n")
				address := startScripted(t, &scripted.Server{Answer: func(int, *http.Request) (string, bool) { return text, true }})
				c := upstream.NewServiceClient(nil)
				defer c.Close()
				call := readCall(address, "a1", true)
				call.Repeatable = repeatable
				response, err := c.Do(context.Background(), call)
				if err == nil && (x.Harmless || x.Folded) {
					qt.Check(t, string(response.Body), qt.Equals, scripted.OddBody)
					return
				}
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%+v", response))
				qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
			})
		}
	}
}
