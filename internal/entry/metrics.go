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

// metrics are those of one entry.
type metrics struct {
	registry *prometheus.Registry
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	dropped  prometheus.Counter
	first    *prometheus.HistogramVec
	between  *prometheus.HistogramVec
	tokens   *prometheus.CounterVec

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
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_late_frames_dropped_total", Help: "Frames of attempts that had been given up.",
		}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lovageport_first_token_seconds", Help: "Time from the request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 18),
		}, []string{"model"}),
		between: prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
	m.registry.MustRegister(m.refusals, m.retries, m.dropped, m.first, m.between, m.tokens, m.generation, m.ready, m.withdrawn,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observeView sets the gauges that follow the control state.
func (m *metrics) observeView(v *view) {
	m.generation.Set(float64(v.catalog.Generation()))
	m.withdrawn.Set(float64(len(v.withdrawn)))
	m.ready.Set(0)
	if v.ready && !v.draining {
		m.ready.Set(1)
	}
}

// gauge adds a gauge that is read when it is scraped.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// stopwatch measures the tokens of one answer.
type stopwatch struct {
	first   prometheus.Observer
	between prometheus.Observer
	tokens  prometheus.Counter
	last    time.Time
}

func (m *metrics) startWatch(model string) *stopwatch {
	return &stopwatch{
		first:   m.first.WithLabelValues(model),
		between: m.between.WithLabelValues(model),
		tokens:  m.tokens.WithLabelValues(model),
		last:    time.Now(),
	}
}

// token notes that the n-th token has come, n from 1.
func (w *stopwatch) token(n int) {
	now := time.Now()
	gap := now.Sub(w.last).Seconds()
	w.last = now
	w.tokens.Inc()
	if n == 1 {
		w.first.Observe(gap)
		return
	}
	w.between.Observe(gap)
}

// newRequest names a new request, unless the entry takes none.
func (e *Entry) newRequest() (string, error) {
	if !e.control.view.Load().ready {
		return "", verdict.RefuseUntil(time.Second, verdict.NotReady, "entry has no configuration yet")
	}
	return newID(), nil
}

// authenticate finds the client account of an API key.
func (e *Entry) authenticate(key string) (*declaration.Account, error) {
	account, ok := e.control.view.Load().catalog.Account(key)
	if !ok {
		return nil, verdict.Refuse(verdict.Unauthenticated, "unknown API key")
	}
	return account, nil
}

// models returns the names of the models.
func (e *Entry) models() []string {
	set := &e.control.view.Load().catalog.Snapshot.Set
	names := make([]string, 0, len(set.Models))
	for _, m := range set.Models {
		names = append(names, m.Name)
	}
	return names
}

// logRefusal counts and logs a refusal or error.
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
