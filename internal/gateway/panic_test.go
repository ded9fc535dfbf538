package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lovageport.example/internal/state/routing"
	"lovageport.example/platform"
)

// TestHandlerPanicIsLogged guards against a connection that ends without an answer
// and without a line that names its request.
func TestHandlerPanicIsLogged(t *testing.T) {
	c := qt.New(t)
	core, logged := observer.New(zapcore.InfoLevel)
	g := &Gateway{Log: zap.New(core), Now: func() time.Duration { return time.Minute }, Settings: testSettings()}
	g.metrics = newMetrics(g)
	table := &routing.Table{Version: 1, Routes: []*routing.Route{{Name: "r", Host: "127.0.0.1", Prefix: "/", Backends: []routing.Backend{{Service: "s", Weight: 1}}}}}
	c.Assert(table.Prepare(), qt.IsNil)
	g.routing.Adopt(table)
	// The handler panics because there is no control loop.
	server := httptest.NewServer(g.callerHandler())
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/", nil)
	c.Assert(err, qt.IsNil)
	platform.SetRequestID(req.Header, "p1")
	_, err = http.DefaultTransport.RoundTrip(req)
	c.Check(err, qt.IsNotNil)
	lines := logged.FilterMessage("handler panicked").All()
	c.Assert(lines, qt.HasLen, 1)
	c.Check(lines[0].ContextMap()["request"], qt.Equals, "p1")
	metrics := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/", nil))
	c.Check(metrics.Body.String(), qt.Contains, "\nlovageport_gateway_handler_panics_total 1\n")
}
