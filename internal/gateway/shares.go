package gateway

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/fairshare"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// demandInterval is how long the demand of this gateway is sent to peers before it is
// computed again. That of its zone is kept longer by a factor that increases with the
// peers, in steps of demandPeers, so that the cost per second does not.
const (
	demandInterval = 100 * time.Millisecond
	demandPeers    = 16
)

// Reasons for which demand that peers report is ignored; each is a metric label.
const (
	demandInvalid        = "invalid"
	demandUnknownService = "unknown_service"
)

// cachedDemand is the demand for peers, as computed at a boot time.
type cachedDemand struct {
	news peering.DemandNews
	at   time.Duration
}

// sharesOf returns the division of a service's capacity.
func (s *state) sharesOf(service string) *fairshare.Service {
	f := s.shares[service]
	if f == nil {
		f = &fairshare.Service{Self: s.members.Self.Address}
		s.shares[service] = f
	}
	return f
}

// classOf returns the class of a request.
func classOf(q *request) fairshare.Class {
	return fairshare.Class{Account: q.account, Priority: min(max(q.rank, 0), declaration.MaxPriority)}
}

// costOf returns what a request uses of its service: tokens of a generation, or 1.
func costOf(q *request) float64 { return max(1, q.tokens) }

// countStart counts a request that has got a target.
func (s *state) countStart(q *request, now time.Duration) {
	if s.sharesAcross {
		s.sharesOf(q.service).Start(classOf(q), costOf(q), now)
	}
}

// countEnd counts a request out whose target is released.
func (s *state) countEnd(q *request, to target) {
	if !s.sharesAcross {
		return
	}
	f, now := s.sharesOf(q.service), s.now()
	f.End(classOf(q), costOf(q), now)
	if at, refused := q.refused[to.upstream.Instance]; refused && at >= to.assignedAt {
		f.RecordWasted(costOf(q), at-to.assignedAt, now)
	}
}

// recordRefusedDemand records the demand of a request that is refused for lack of room.
func (s *state) recordRefusedDemand(q *request, now time.Duration) {
	if s.sharesAcross {
		s.sharesOf(q.service).RecordRefused(classOf(q), costOf(q), now)
	}
}

// recordLackOfRoom records that the upstreams had no room for a request, if err says so.
func (s *state) recordLackOfRoom(q *request, err error, now time.Duration) {
	if err == nil || !s.sharesAcross {
		return
	}
	lacks := false
	switch verdict.Of(err).Reason {
	case verdict.QueueFull:
		lacks = true
	case verdict.NoUpstream, verdict.NoChain, verdict.RetryBudget, verdict.RetryLimit:
		// An upstream has refused it for lack of room, and no other one can be used.
		lacks = len(q.refused) > 0
	}
	if lacks {
		s.sharesOf(q.service).RecordFull(costOf(q), now)
	}
}

// mayStart returns whether requests of an account at a priority of the queue may get a
// target; nil if all may.
func (s *state) mayStart(service string) func(account string, priority int) bool {
	f := s.shares[service]
	if f == nil || !f.Limiting() {
		return nil
	}
	return func(account string, priority int) bool {
		return f.MayStart(fairshare.Class{Account: account, Priority: rankOf(priority)})
	}
}

// isHeld reports whether a request has to wait because its class uses its share. One
// whose stream has begun, or of which an attempt runs, is never held.
func (s *state) isHeld(q *request) bool {
	f := s.shares[q.service]
	if f == nil || !f.Limiting() || q.isHandingOver() || q.history().lastEvent > 0 {
		return false
	}
	c := classOf(q)
	if f.MayStart(c) {
		return false
	}
	if s.metrics != nil {
		s.metrics.held.WithLabelValues(q.service, f.Reason(c)).Inc()
	}
	return true
}

// othersGoFirst reports whether a request of the queue for a service may get a target
// before one that arrives.
func (s *state) othersGoFirst(service string) bool {
	if s.queue.Len(service) == 0 {
		return false
	}
	allowed := s.mayStart(service)
	if allowed == nil {
		return true
	}
	_, _, waits := s.queue.PeekFunc(service, allowed)
	return waits
}

// mayWaitForShare reports whether a request may be queued although more requests wait than
// are served in time: while others are limited, a class below its share gets what they free.
func (s *state) mayWaitForShare(q *request, now time.Duration) bool {
	f := s.shares[q.service]
	return f != nil && f.Limiting() && now < q.queueLimit() && !f.IsLimited(classOf(q))
}

// refreshShares computes the shares of the services that are short of room.
func (s *state) refreshShares(now time.Duration) {
	for service, f := range s.shares {
		if !f.IsDue(now) {
			continue
		}
		f.SetWaiting(s.waitingClasses(service), now)
		for _, c := range f.Refresh(now) {
			s.logLimit(service, c)
		}
	}
}

// waitingClasses returns the queued requests of a service by class.
func (s *state) waitingClasses(service string) []fairshare.Waiting {
	var out []fairshare.Waiting
	for _, c := range s.queue.Classes(service) {
		class := fairshare.Class{Account: c.Account, Priority: rankOf(c.Priority)}
		out = append(out, fairshare.Waiting{Class: class, Requests: c.Requests, Cost: c.Cost})
	}
	return out
}

// logLimit logs that a class has begun or ceased to be limited.
func (s *state) logLimit(service string, c fairshare.Change) {
	message := "share limit ended"
	if c.Limited {
		message = "share limit began"
	}
	s.log.Info(message,
		zap.String("service", service), zap.String("account", c.Class.Account),
		zap.Int("priority", c.Class.Priority), zap.Bool("others", c.Class.Others), zap.String("reason", c.Reason),
		zap.String("share", amount(c.Share)), zap.String("used", amount(c.Used)), zap.String("demand", amount(c.Demand)),
		zap.String("capacity", amount(c.Capacity)), zap.Int("reports", c.Reports), zap.Duration("oldest_report", c.Oldest))
}

// amount formats a cost for a log line.
func amount(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }

// addDemand adds the demand for the services that are or were just short of room: that of
// this gateway, or of its zone.
func (s *state) addDemand(n *peering.News, now time.Duration) {
	if !s.sharesAcross {
		return
	}
	cached, interval := &s.sentDemand[0], demandInterval
	if n.OfZone {
		cached, interval = &s.sentDemand[1], demandInterval*time.Duration(1+s.zonePeers.Len()/demandPeers)
	}
	if cached.at == 0 || now-cached.at >= interval {
		*cached = cachedDemand{news: s.demandNews(n.OfZone, now), at: now}
	}
	n.Demand = cached.news.After(now - cached.at)
}

// demandNews returns the demand of this gateway, or of its zone.
func (s *state) demandNews(ofZone bool, now time.Duration) peering.DemandNews {
	var news peering.DemandNews
	for service, f := range s.shares {
		if len(news.Services) == peering.MaxDemandServices {
			break
		}
		if d, ok := f.Digest(ofZone, now); ok {
			d.Service = service
			d.DispatchRate += float32(s.reportedDispatchRate(service, now))
			news.Services = append(news.Services, d)
		}
	}
	return news
}

// checkDemand drops the demand in a peer's news if it is invalid.
func (s *state) checkDemand(n *peering.News) {
	if err := n.Demand.Check(); err != nil {
		n.Demand = peering.DemandNews{}
		s.countRejectedDemand(demandInvalid)
		s.log.Debug("demand rejected", zap.String("peer", n.Gateway), zap.Error(err))
	}
}

// countRejectedDemand counts demand of a peer that is ignored.
func (s *state) countRejectedDemand(reason string) {
	if s.metrics != nil {
		s.metrics.rejectedDemand.WithLabelValues(reason).Inc()
	}
}

// mergePeerDemand merges the demand that a peer reports, for the shares and for the
// prediction of waits. It changes nothing unless the settings ask for shares across all
// gateways.
func (s *state) mergePeerDemand(source string, n *peering.News, madeAt time.Duration) {
	if !s.sharesAcross {
		return
	}
	s.mergeDemand(n, madeAt)
	s.mergeWaiting(source, &n.Demand, madeAt)
}

// mergeDemand merges the demand that a peer reports for itself or its zone.
func (s *state) mergeDemand(n *peering.News, now time.Duration) {
	source, ownZone := n.Address.Address, n.Zone == s.zone
	if source == s.members.Self.Address || ownZone == n.OfZone {
		return
	}
	if !ownZone {
		source = n.Zone
	}
	reported := make(map[string]bool, len(n.Demand.Services))
	for i := range n.Demand.Services {
		d := &n.Demand.Services[i]
		if s.table == nil || s.table.Services[d.Service] == nil {
			s.countRejectedDemand(demandUnknownService)
			continue
		}
		s.sharesOf(d.Service).SetReport(source, ownZone, d, now)
		reported[d.Service] = true
	}
	for service, f := range s.shares {
		if !reported[service] {
			f.SetReport(source, ownZone, nil, now)
		}
	}
}

// dropSilentDemand drops the demand of peers for which heard returns false, and of zones
// of which no recent report is held.
func (s *state) dropSilentDemand(heard func(address string) bool) {
	present := func(source string) bool {
		_, reported := s.zoneReports.MadeAt(source)
		return reported || heard(source)
	}
	s.waiting.reports.Retain(present)
	for _, f := range s.shares {
		f.RetainSources(present)
	}
}

// dropRemovedDemand drops the demand of services and accounts that the configuration no
// longer names.
func (s *state) dropRemovedDemand() {
	accounts := make(map[string]bool)
	if s.table != nil && len(s.shares) > 0 {
		for _, a := range s.table.Accounts {
			accounts[a.Name] = true
		}
	}
	for service, f := range s.shares {
		f.RetainAccounts(func(account string) bool { return accounts[account] })
		if f.Empty() && (s.table == nil || s.table.Services[service] == nil) {
			delete(s.shares, service)
		}
	}
}
