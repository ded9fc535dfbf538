package entry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// metrics holds the Prometheus metrics of one entry.
type metrics struct {
	registry   *prometheus.Registry
	refusals   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	lateFrames prometheus.Counter
	// closedConns counts the connections that were closed because of a limit, by
	// listener and reason.
	closedConns *prometheus.CounterVec
	// containedPanics counts panics of goroutines beside the handlers.
	containedPanics prometheus.Counter
	firstToken      *prometheus.HistogramVec
	betweenTokens   *prometheus.HistogramVec
	tokens          *prometheus.CounterVec

	generation prometheus.Gauge
	ready      prometheus.Gauge
	withdrawn  prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_refusals_total", Help: "Requests refused or failed, by reason and verdict.",
		}, []string{"reason", "verdict"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_retries_total", Help: "Attempts that failed and were followed by another, by reason.",
		}, []string{"reason"}),
		closedConns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_closed_connections_total", Help: "Connections of clients and peers that were closed because of a limit, by listener and reason.",
		}, []string{"listener", "reason"}),
		lateFrames: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_late_frames_dropped_total", Help: "Frames of attempts that had been given up.",
		}),
		containedPanics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_contained_panics_total", Help: "Panics of goroutines beside the handlers of requests.",
		}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lovageport_first_token_seconds", Help: "Time from the request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 18),
		}, []string{"model"}),
		betweenTokens: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lovageport_between_tokens_seconds", Help: "Time from a token to the next.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 1.8, 18),
		}, []string{"model"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_tokens_total", Help: "Tokens given to callers.",
		}, []string{"model"}),
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lovageport_configuration_generation", Help: "Generation of the configuration in force.",
		}),
		ready: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lovageport_ready", Help: "1 if the entry takes requests.",
		}),
		withdrawn: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lovageport_upstreams_withdrawn", Help: "Upstreams that their owners have taken back.",
		}),
	}
	m.registry.MustRegister(m.refusals, m.retries, m.closedConns, m.lateFrames, m.containedPanics, m.firstToken, m.betweenTokens, m.tokens, m.generation, m.ready, m.withdrawn,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observeView sets the gauges that depend on the control state.
func (m *metrics) observeView(v *view) {
	m.generation.Set(float64(v.catalog.Generation()))
	m.withdrawn.Set(float64(len(v.withdrawn)))
	m.ready.Set(0)
	if v.ready && !v.draining {
		m.ready.Set(1)
	}
}

// gauge registers a gauge whose value is read at each scrape.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// tokenTimer measures the time between the tokens of one answer.
type tokenTimer struct {
	firstToken    prometheus.Observer
	betweenTokens prometheus.Observer
	tokens        prometheus.Counter
	lastAt        time.Time
}

func (m *metrics) newTokenTimer(model string) *tokenTimer {
	return &tokenTimer{
		firstToken:    m.firstToken.WithLabelValues(model),
		betweenTokens: m.betweenTokens.WithLabelValues(model),
		tokens:        m.tokens.WithLabelValues(model),
		lastAt:        time.Now(),
	}
}

// recordToken records that the n-th token has arrived. The first token has n = 1.
func (t *tokenTimer) recordToken(n int) {
	now := time.Now()
	elapsed := now.Sub(t.lastAt).Seconds()
	t.lastAt = now
	t.tokens.Inc()
	if n == 1 {
		t.firstToken.Observe(elapsed)
		return
	}
	t.betweenTokens.Observe(elapsed)
}

// newRequestID returns the ID of a new request, or an error if the entry is not
// ready.
func (e *Entry) newRequestID() (string, error) {
	if !e.control.view.Load().ready {
		return "", verdict.RefuseUntil(time.Second, verdict.NotReady, "entry has no configuration yet")
	}
	return generateRequestID(), nil
}

// authenticate returns the client account that an API key belongs to.
func (e *Entry) authenticate(key string) (*declaration.Account, error) {
	account, ok := e.control.view.Load().catalog.Account(key)
	if !ok {
		return nil, verdict.Refuse(verdict.Unauthenticated, "unknown API key")
	}
	return account, nil
}

// models returns the names of the configured models.
func (e *Entry) models() []string {
	set := &e.control.view.Load().catalog.Snapshot.Set
	names := make([]string, 0, len(set.Models))
	for _, m := range set.Models {
		names = append(names, m.Name)
	}
	return names
}

// logRefusal counts and logs a refused or failed request.
func (e *Entry) logRefusal(request, account string, err *verdict.Error) {
	e.metrics.refusals.WithLabelValues(string(err.Reason), err.Run.String()).Inc()
	e.Log.Info("request refused",
		zap.String("request", request),
		zap.String("account", account),
		zap.String("upstream", err.Upstream),
		zap.Stringer("verdict", err.Run),
		zap.String("reason", string(err.Reason)),
		zap.Duration("retry_after", err.RetryAfter),
		zap.String("message", err.Message),
		zap.Error(err.Err))
}
