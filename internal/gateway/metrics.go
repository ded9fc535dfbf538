package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the Prometheus metrics of one gateway.
type metrics struct {
	registry *prometheus.Registry
	// answers counts requests by service and outcome.
	answers  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	// queueRefusals counts requests that were refused because they wait too long or
	// would have to, by reason.
	queueRefusals *prometheus.CounterVec
	// queuedReturns counts requests of accounts that had to wait, by whether they
	// return after a refusal.
	queuedReturns *prometheus.CounterVec
	retries       *prometheus.CounterVec
	// firstByte is the time from a request to the first event or the response.
	firstByte   *prometheus.HistogramVec
	requestTime *prometheus.HistogramVec
	connections prometheus.Counter
	// closedConns counts the connections that were closed because of a limit, by
	// listener and reason.
	closedConns *prometheus.CounterVec
	storeCalls  *prometheus.CounterVec
	// upstreams are the upstreams in service, by service, and upstreamsGone counts
	// those that are no longer listed, by reason. contradictions counts those that a
	// peer's list lacked although the store has not deleted them.
	upstreams      *prometheus.GaugeVec
	upstreamsGone  *prometheus.CounterVec
	contradictions prometheus.Counter
	orders         *prometheus.CounterVec
	// lostStages counts the stages that streams have lost, by whether they were
	// replaced.
	lostStages *prometheus.CounterVec
	// notices counts the responses in which upstreams announce that they leave
	// or ask for no requests.
	notices *prometheus.CounterVec
	// cutStreams counts the streams that ended after their header without their
	// end, by reason and who closed them.
	cutStreams *prometheus.CounterVec
	// keptStreams counts how often a silent attempt was kept because no other one
	// could follow, by reason.
	keptStreams *prometheus.CounterVec
	// tunnels counts the connections that peers were asked for, by outcome.
	tunnels *prometheus.CounterVec
	// peerMessages counts the messages to peers, by kind.
	peerMessages *prometheus.CounterVec
	// held counts the requests that waited because their class used its share, and
	// rejectedDemand the reports of demand by peers that do not count, by reason.
	held, rejectedDemand *prometheus.CounterVec
	// panics counts requests whose handler panicked.
	panics prometheus.Counter
	// containedPanics counts panics of goroutines and timers beside the handlers.
	containedPanics prometheus.Counter
	// prefixTokens counts prompt tokens that engines were expected to cache, by what
	// the first event has shown.
	prefixTokens *prometheus.CounterVec
	// limitedUpstreams are the upstreams that state a rate, limitedRequests the requests
	// that went elsewhere or were refused because of that, and invalidLimits the responses
	// that state no valid one, by class of upstream.
	limitedUpstreams               *prometheus.GaugeVec
	limitedRequests, invalidLimits *prometheus.CounterVec
	// pauses is how long this process stood still at a time.
	pauses       prometheus.Histogram
	tableVersion prometheus.Gauge
	// storeRestorations counts how often the store was restored from a copy.
	storeRestorations prometheus.Counter
}

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_answers_total", Help: "Requests by service and how they ended.",
		}, []string{"service", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_refusals_total", Help: "Requests refused or failed, by reason and verdict.",
		}, []string{"reason", "verdict"}),
		queueRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_queue_refusals_total", Help: "Requests refused because they wait too long, or would have to, by reason.",
		}, []string{"reason"}),
		queuedReturns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_queued_total", Help: "Requests of accounts that had to wait, by whether they return after a refusal as told.",
		}, []string{"kind"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_retries_total", Help: "Attempts that failed and were followed by another, by reason.",
		}, []string{"reason"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lovageport_gateway_first_byte_seconds", Help: "Time from a request to the first event or the answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.8, 14),
		}, []string{"service"}),
		requestTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lovageport_gateway_request_seconds", Help: "Time from a request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.8, 16),
		}, []string{"service"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_gateway_upstream_connections_total", Help: "Connections opened to upstreams.",
		}),
		closedConns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_closed_connections_total", Help: "Connections of clients and peers that were closed because of a limit, by listener and reason.",
		}, []string{"listener", "reason"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_store_calls_total", Help: "Calls of the platform's store, by method.",
		}, []string{"method"}),
		upstreams: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lovageport_gateway_upstreams", Help: "Upstreams that may get requests by what is registered, by service.",
		}, []string{"service"}),
		upstreamsGone: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_upstreams_gone_total", Help: "Upstreams that are no longer registered, by how this gateway learned of it.",
		}, []string{"reason"}),
		contradictions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_gateway_list_contradictions_total", Help: "Upstreams that a peer's list lacked although the store has not deleted them.",
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_orders_total", Help: "Orders to engines, by outcome.",
		}, []string{"outcome"}),
		lostStages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_lost_stages_total", Help: "Stages that streams have lost, by whether others took their place.",
		}, []string{"outcome"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_upstream_notices_total", Help: "Answers whose upstream says that it leaves, or wants no requests for a while.",
		}, []string{"notice"}),
		cutStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_cut_streams_total", Help: "Streams that ended after their header without their end, by reason and who closed them.",
		}, []string{"reason", "closed_by"}),
		keptStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_kept_streams_total", Help: "Silent attempts that were kept because no other could follow, by reason.",
		}, []string{"reason"}),
		tunnels: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_tunnels_total", Help: "Connections to upstreams that peers were asked for, by outcome.",
		}, []string{"outcome"}),
		peerMessages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_peer_messages_total", Help: "Messages to peers, by kind: within the zone, reports to other zones, heartbeats to other zones.",
		}, []string{"kind"}),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_share_held_total", Help: "Requests that were queued because their account or priority used its share, by service and reason.",
		}, []string{"service", "reason"}),
		rejectedDemand: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_demand_rejected_total", Help: "Reports of demand by peers that do not count, by reason.",
		}, []string{"reason"}),
		containedPanics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_gateway_contained_panics_total", Help: "Panics of goroutines and timers beside the handlers of requests.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_gateway_handler_panics_total", Help: "Requests whose handler panicked.",
		}),
		prefixTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_prefix_tokens_total", Help: "Prompt tokens that engines were expected to cache (predicted), and those of them that the first event confirmed or missed.",
		}, []string{"outcome"}),
		limitedUpstreams: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "lovageport_gateway_limited_upstreams", Help: "Upstreams that state how many requests a second they take, by service and kind of accelerator.",
		}, []string{"service", "accelerator"}),
		limitedRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_limited_requests_total", Help: "Requests for which an upstream's rate was used up here, by its service and kind of accelerator and whether others took them.",
		}, []string{"service", "accelerator", "outcome"}),
		invalidLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lovageport_gateway_invalid_limits_total", Help: "Answers that state a rate that cannot be used, by service and kind of accelerator.",
		}, []string{"service", "accelerator"}),
		pauses: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lovageport_gateway_pause_seconds", Help: "Times that this process stood still.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 8),
		}),
		tableVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "lovageport_gateway_configuration_version", Help: "Version of the configuration in force.",
		}),
		storeRestorations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lovageport_gateway_store_restorations_total", Help: "Times that the platform's store was restored from a copy.",
		}),
	}
	inFlight := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lovageport_gateway_in_flight", Help: "Requests at work.",
	}, func() float64 { return float64(g.inFlight.Load()) })
	reporter := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lovageport_gateway_zone_reporter", Help: "1 if this gateway reports the load of its zone to the others.",
	}, func() float64 {
		if g.reporting.Load() {
			return 1
		}
		return 0
	})
	invalidReports := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lovageport_gateway_invalid_reports_total", Help: "Reports of other zones that could not be used.",
	}, func() float64 { return float64(g.invalidReports.Load()) })
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "lovageport_gateway_log_lines_dropped_total", Help: "Log lines dropped above the limit.",
	}, func() float64 {
		if g.Dropped == nil {
			return 0
		}
		return float64(g.Dropped())
	})
	m.registry.MustRegister(
		m.answers, m.refusals, m.queueRefusals, m.queuedReturns, m.retries, m.firstByte, m.requestTime,
		m.connections, m.closedConns, m.storeCalls, m.upstreams, m.upstreamsGone, m.contradictions, m.orders, m.lostStages, m.notices, m.cutStreams, m.keptStreams,
		m.tunnels, m.held, m.rejectedDemand, m.panics, m.containedPanics, m.prefixTokens, m.pauses, m.tableVersion,
		m.storeRestorations, m.limitedUpstreams, m.limitedRequests, m.invalidLimits, m.peerMessages, inFlight, reporter, invalidReports, dropped,
	)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
