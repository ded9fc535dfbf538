package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// dispatchRateTimeConstant is the time constant of the average of the dispatch rates.
// The rate falls at once when several engines fail, and first events are to be normal
// again 3 s later.
const dispatchRateTimeConstant = 2 * time.Second

// waitMargin is how many times the predicted wait must fit in the time that a request
// may wait. Without a margin the queue fills up to where half of its last requests are
// refused only at the end of their queue time.
const waitMargin = 1.25

// Reasons for which requests are refused that wait or would have to; each is a metric label.
const (
	// refusedLocally and refusedByFleet mean that the predicted wait was too long, by
	// the own queue or with the reports of peers.
	refusedLocally = "predicted"
	refusedByFleet = "predicted_with_peers"
	// refusedLate means that the request has waited for as long as it may.
	refusedLate = "waited"
	refusedFull = "queue_full"
)

// returnShare is the part of its remaining time for which a caller waits at most before
// it returns.
const returnShare = 1.0 / 3

// waiting is what the control state knows of requests that wait and of callers that
// were refused.
type waiting struct {
	// returns schedules when refused callers return.
	returns admission.Returns
	// reports are what the peers report of the requests that wait. Only peers whose
	// settings have Shares.AcrossGateways do.
	reports admission.Reports
	// refused counts refusals by reason, and returned the requests that wait by
	// whether they return as told. Both are nil in tests.
	refused, returned *prometheus.CounterVec
}

// mergeWaiting records what a peer, or the peers of a zone, report of the requests that
// wait. An invalid report changes nothing.
func (s *state) mergeWaiting(source string, d *peering.DemandNews, now time.Duration) {
	if d.Check() != nil {
		return
	}
	// The reports number the priorities from the most urgent one, the items of a queue
	// from the least urgent one.
	pools := make([]admission.PoolReport, 0, len(d.Services))
	for _, service := range d.Services {
		p := admission.PoolReport{Pool: service.Service, Rate: float64(service.DispatchRate)}
		for _, c := range service.Classes {
			if c.Waiting > 0 {
				p.Classes = append(p.Classes, admission.ClassReport{
					Account: c.Account, Accounts: float64(c.Accounts), Priority: priorityOf(c.Priority), Waiting: float64(c.Waiting),
				})
			}
		}
		pools = append(pools, p)
	}
	s.waiting.reports.Set(source, pools, bootTime(now))
}

// priorityOf returns the priority of a queue item for the rank of a request.
func priorityOf(rank int) int { return declaration.MaxPriority - min(rank, declaration.MaxPriority) }

// rankOf returns the rank of a request for the priority of a queue item.
func rankOf(priority int) int { return declaration.MaxPriority - priority }

// reportedDispatchRate returns the dispatch rate of a service for peers: the rate while
// requests wait; 0 if none does or the rate is unknown.
func (s *state) reportedDispatchRate(service string, now time.Duration) float64 {
	if s.queue.Len(service) == 0 {
		return 0
	}
	rate, _ := s.dispatchRate(service).Rate(bootTime(now))
	return rate
}

// updateDispatchRates records for which services no request waits any more.
func (s *state) updateDispatchRates(now time.Duration) {
	for service, r := range s.dispatchRates {
		if s.queue.Len(service) == 0 {
			r.Idle(bootTime(now))
		}
	}
}

// itemOf returns the queue item of a request.
func itemOf(q *request) admission.Item {
	return admission.Item{
		Pool:     q.service,
		Account:  q.account,
		Priority: priorityOf(q.rank),
		Cost:     int(q.tokens),
		Deadline: bootTime(q.queueLimit()),
		Begun:    q.history().lastEvent > 0,
	}
}

// isTooLate reports whether a request that would be queued is predicted not to get its
// target in time.
func isTooLate(p admission.Prediction, item admission.Item, now time.Duration) bool {
	wait := time.Duration(waitMargin * float64(p.Wait))
	return p.Known && p.Ahead >= 1 && bootTime(now).Add(wait).After(item.Deadline)
}

// predictWait predicts how long a request waits, and records that for its log lines.
func (s *state) predictWait(q *request, item admission.Item, now time.Duration) admission.Prediction {
	fleet := s.waiting.reports.Fleet(item.Pool, item.Account, item.Priority, bootTime(now))
	p := s.queue.Predict(item, s.dispatchRate(q.service), fleet, bootTime(now))
	q.recordPrediction(p)
	return p
}

// claimReturn reports whether a request that has to wait is one that returns after a
// refusal. Requests without account cannot be told apart.
func (s *state) claimReturn(q *request, item admission.Item, now time.Duration) bool {
	if item.Account == "" || item.Begun || q.mayHaveRun() {
		return false
	}
	returned := s.waiting.returns.Claim(item.Pool, item.Account, item.Priority, bootTime(now))
	if s.waiting.returned != nil {
		label := "new"
		if returned {
			label = "returned"
		}
		s.waiting.returned.WithLabelValues(label).Inc()
	}
	return returned
}

// refuseQueued refuses a request and says when to retry.
func (s *state) refuseQueued(w *waiter, reason verdict.Reason, now time.Duration) {
	s.recordRefusedDemand(w.q, now)
	item := itemOf(w.q)
	p := s.predictWait(w.q, item, now)
	s.countQueueRefusal(reason, now >= w.q.queueLimit(), p)
	after := s.scheduleReturn(w.q, item, p, now)
	err := verdict.RefuseUntil(after, reason, "no upstreams of %s have room in time, %d requests wait", w.q.service, s.queue.Len(w.q.service))
	w.reply <- admissionResult{err: err}
}

// countQueueRefusal counts the refusal of a request that waits or would have to.
func (s *state) countQueueRefusal(reason verdict.Reason, late bool, p admission.Prediction) {
	if s.waiting.refused == nil {
		return
	}
	label := refusedLocally
	switch {
	case reason == verdict.QueueFull:
		label = refusedFull
	case late:
		label = refusedLate
	case p.Peers:
		label = refusedByFleet
	}
	s.waiting.refused.WithLabelValues(label).Inc()
}

// scheduleReturn returns the time after which the caller of a refused request is told
// to return, and keeps the place of its account until then.
func (s *state) scheduleReturn(q *request, item admission.Item, p admission.Prediction, now time.Duration) time.Duration {
	at := bootTime(now)
	f := admission.Refusal{
		Pool: item.Pool, Account: item.Account, Priority: item.Priority,
		Wait:  repairRetryAfter,
		Limit: time.Duration(returnShare * float64(q.deadline-now)),
	}
	if p.Known {
		f.Wait = p.Wait
		f.Rate = s.dispatchRate(q.service).AccountRate(s.waiting.returns.Accounts(item.Pool, item.Priority), at)
	}
	after := s.waiting.returns.Refuse(f, at)
	if item.Account != "" {
		s.queue.Keep(item, at, at.Add(after+admission.ReturnGrace))
	}
	return after
}

// predictionFields returns the log fields of the predicted wait; none if nothing was
// predicted.
func predictionFields(p admission.Prediction) []zap.Field {
	if p == (admission.Prediction{}) {
		return nil
	}
	return []zap.Field{
		zap.Bool("wait_known", p.Known),
		zap.Duration("predicted_wait", p.Wait),
		zap.Float64("ahead", p.Ahead),
		zap.Float64("fleet_waiting", p.Waiting),
		zap.Float64("fleet_rate", p.Rate),
		zap.Bool("peers_used", p.Peers),
		zap.Duration("inputs_age", p.Age),
	}
}

// recordPrediction records the wait that was last predicted for the request.
func (q *request) recordPrediction(p admission.Prediction) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prediction = p
}

// lastPrediction returns the wait that was last predicted for the request.
func (q *request) lastPrediction() admission.Prediction {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.prediction
}
