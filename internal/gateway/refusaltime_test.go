package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/buffer"
	"lovageport.example/pkg/verdict"
)

// BenchmarkRefusal measures how long the handler takes for refusals without an attempt,
// which tells the reasons apart that a short time of a refusal in a log may have.
func BenchmarkRefusal(b *testing.B) {
	const now = time.Minute
	for _, x := range []struct {
		reason verdict.Reason
		body   string
		set    func(g *Gateway, s *state)
	}{
		// No configuration is known.
		{verdict.NotReady, "", nil},
		{verdict.Draining, "", func(g *Gateway, _ *state) { g.drainTimes.Store(&drainTimes{acceptEnd: now, cutOff: now}) }},
		{verdict.BodyMemoryFull, strings.Repeat("x", 2*buffer.FreeBytes), func(g *Gateway, _ *state) { g.bodyMemory.Max = 1 }},
		{verdict.HeldOff, "", func(_ *Gateway, s *state) { s.health.HoldOffWork(s.upstreams["e"].Incarnation(), 10*time.Second, now) }},
	} {
		b.Run(string(x.reason), func(b *testing.B) {
			began := time.Now()
			core, logs := observer.New(zapcore.InfoLevel)
			g := &Gateway{Log: zap.New(core), Now: func() time.Duration { return now + time.Since(began) }, Settings: testSettings(), control: loop.New[state]()}
			g.metrics = newMetrics(g)
			// No store is asked for a newer configuration.
			g.tableWatchFailed.Store(true)
			s := newState(b)
			table := *s.table
			table.Routes = []*routing.Route{{Name: "r", Host: "example.com", Prefix: "/", Kind: routing.Stream, MaxUpstreams: 2, Backends: []routing.Backend{{Service: "llm", Weight: 1}}}}
			qt.Assert(b, table.Prepare(), qt.IsNil)
			if x.set != nil {
				g.routing.Adopt(&table)
				g.routing.Confirm(table.Version, now)
				x.set(g, s)
			}
			g.control.State = *s
			go g.control.Run(b.Context())
			handler := g.callerHandler()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(x.body))
				handler.ServeHTTP(httptest.NewRecorder(), r)
			}
			b.StopTimer()
			var took []time.Duration
			for _, line := range logs.All() {
				took = append(took, line.ContextMap()["took"].(time.Duration))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[0])/1e3, "least-us")
			b.ReportMetric(float64(took[len(took)/2])/1e3, "median-us")
			last := logs.All()[logs.Len()-1].ContextMap()
			qt.Assert(b, last["reason"], qt.Equals, string(x.reason))
			qt.Assert(b, last["attempts"], qt.Equals, int64(0))
		})
	}
}
