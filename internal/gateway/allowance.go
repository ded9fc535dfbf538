package gateway

import (
	"time"

	"lovageport.example/internal/coordination/cluster"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/pkg/verdict"
)

// retryWindow returns this gateway's requests and retries of a service.
func (s *state) retryWindow(service string) *retry.Window {
	w := s.retryWindows[service]
	if w == nil {
		w = &retry.Window{}
		s.retryWindows[service] = w
	}
	return w
}

// gatewayCount returns the number of gateways that are alive, including this
// one.
func (s *state) gatewayCount() int { return s.alivePeers + 1 }

// aliveShare returns the part of the gateways that are alive among those that were
// heard.
func (s *state) aliveShare() float64 {
	return float64(s.gatewayCount()) / float64(max(s.recentPeers, s.alivePeers)+1)
}

// effectiveAllowance returns the retry allowance for the gateways that hear
// each other. During a partition each side gets its proportion of the whole.
func (s *state) effectiveAllowance() retry.Allowance {
	a := s.retryAllowance
	a.Slack *= s.aliveShare()
	return a
}

// peerRetryCounts returns the requests and retries that the peers have counted
// for a service.
func (s *state) peerRetryCounts(service string) retry.Counts {
	return s.zoneRetries.Heard(service).Add(s.otherRetries.Heard(service))
}

// countsWholeWindow reports whether this process has counted retries for as long as
// they count.
func (s *state) countsWholeWindow(now time.Duration) bool {
	return now-s.startedAt >= s.retryAllowance.Window
}

// knowsWholeWindow reports whether this process knows how many retries were sent in
// the window: it has counted them, or a peer has told it.
func (s *state) knowsWholeWindow(now time.Duration) bool {
	return s.beforeStart != nil || s.countsWholeWindow(now)
}

// retryView returns what is known of the retries of the other gateways. Those of
// gateways that are no longer heard are shared like the allowance.
func (s *state) retryView(service string, now time.Duration) retry.View {
	v := retry.View{Counts: s.peerRetryCounts(service), Processes: s.gatewayCount(), Age: max(s.zoneRetries.Age(now), s.otherRetries.Age(now))}
	v.Retries += s.aliveShare() * (s.zoneRetries.Gone(service) + s.otherRetries.Gone(service))
	if !s.countsWholeWindow(now) {
		v.Retries += s.beforeStart[service]
	}
	return v
}

// chargeRetry counts an attempt against the retry allowance and reports whether
// it is a retry. It returns an error if the allowance is used up.
func (s *state) chargeRetry(q *request, now time.Duration) (bool, error) {
	w := s.retryWindow(q.service)
	if h := q.history(); !h.sent {
		if h.attempts == 0 {
			w.RecordRequest(s.retryAllowance, now)
		}
		return false, nil
	}
	if !s.knowsWholeWindow(now) {
		return false, verdict.RefuseUntil(repairRetryAfter, verdict.RetryBudget, "no peer has told yet how many retries were sent before the start of this process")
	}
	allowance, peers := s.effectiveAllowance(), s.retryView(q.service, now)
	if !q.resumes() && s.awaitsAllowance(q.service) {
		return false, verdict.RefuseUntil(repairRetryAfter, verdict.RetryBudget, "accepted streams wait for the retry allowance")
	}
	allow := w.Allow
	if q.hasSentNothing() {
		allow = w.AllowLeaving
	}
	if !allow(allowance, peers, now) {
		own := w.Counts(allowance, now)
		return false, verdict.RefuseUntil(repairRetryAfter, verdict.RetryBudget, "too many retries are under way: %.0f here and %.0f at peers, for %.0f and %.0f requests, %.0f allowed without any",
			own.Retries, peers.Retries, own.Requests, peers.Requests, allowance.Slack)
	}
	return true, nil
}

// returnRetry takes back the charge for an attempt that has not arrived at an
// upstream, if it was charged.
func (s *state) returnRetry(q *request, to target) {
	if to.retry {
		s.retryWindow(q.service).Return(s.retryAllowance, s.now())
	}
}

// addCounts adds the requests and retries within the retry window.
func (s *state) addCounts(n *peering.News, now time.Duration) {
	s.addKnownRetries(n, now)
	if s.table == nil {
		return
	}
	for service := range s.countedServices(now) {
		own := s.retryWindow(service).Counts(s.retryAllowance, now)
		sum := own
		if n.OfZone {
			sum = sum.Add(s.zoneRetries.Heard(service))
			sum.Retries += s.zoneRetries.Gone(service)
		}
		n.Services = append(n.Services, peering.ServiceCounts{Service: service, Requests: float32(sum.Requests), Repeats: float32(sum.Retries)})
	}
}

// addKnownRetries adds how far back the counts go and, if a peer has just started, the
// retries of all gateways.
func (s *state) addKnownRetries(n *peering.News, now time.Duration) {
	n.Retries.Reach = max(1, now-s.startedAt)
	if s.table == nil || !s.startingPeers || !s.knowsWholeWindow(now) {
		return
	}
	for service := range s.countedServices(now) {
		known := s.retryWindow(service).Counts(s.retryAllowance, now).Retries + s.retryView(service, now).Retries
		n.Retries.Known = append(n.Retries.Known, peering.ServiceRetries{Service: service, Retries: float32(known)})
	}
}

// countedServices returns the services that the configuration names and those that have
// requests or retries in the window although it no longer does. It drops the windows of
// others.
func (s *state) countedServices(now time.Duration) map[string]bool {
	services := make(map[string]bool, len(s.table.Services))
	for service := range s.table.Services {
		services[service] = true
	}
	for service, w := range s.retryWindows {
		if services[service] {
			continue
		}
		if w.Counts(s.retryAllowance, now) == (retry.Counts{}) {
			delete(s.retryWindows, service)
			continue
		}
		services[service] = true
	}
	s.zoneRetries.AddServices(services)
	return services
}

// retryReport returns the counts in a peer's news.
func retryReport(n *peering.News) retry.Report {
	r := retry.Report{Sender: n.Address.Address, Reach: n.Retries.Reach, Counts: make(map[string]retry.Counts, len(n.Services))}
	for _, c := range n.Services {
		r.Counts[c.Service] = retry.Counts{Requests: float64(c.Requests), Retries: float64(c.Repeats)}
	}
	return r
}

// mergeKnownRetries records what a peer knows of the retries before the start of this
// process.
func (s *state) mergeKnownRetries(n *peering.News, now time.Duration) {
	if len(n.Retries.Known) == 0 || s.countsWholeWindow(now) {
		return
	}
	s.beforeStart = make(map[string]float64, len(n.Retries.Known))
	for _, k := range n.Retries.Known {
		reported := s.retryWindow(k.Service).Counts(s.retryAllowance, now).Retries + s.retryView(k.Service, now).Retries
		s.beforeStart[k.Service] = max(0, float64(k.Retries)-reported)
	}
}

// hasStartingPeer reports whether one of the peers has not counted for a whole window.
func (s *state) hasStartingPeer(peers []*cluster.Member) bool {
	for _, m := range peers {
		if reach := m.News.Retries.Reach; reach > 0 && reach < s.retryAllowance.Window {
			return true
		}
	}
	return false
}
