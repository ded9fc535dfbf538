package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/placement"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// Timeouts and intervals of the placement of layers.
const (
	// planInterval is how often the plan is compared with the layers held.
	planInterval = 250 * time.Millisecond
	// settleTime is how long the list of upstreams must not have grown before
	// the first plan; after a cold start it fills up over the first seconds.
	settleTime = 700 * time.Millisecond
	// orderTimeout bounds the response to an order.
	orderTimeout = 500 * time.Millisecond
)

// placeLayers sends orders to the engines whose layers this gateway places,
// until ctx is done.
func (g *Gateway) placeLayers(ctx context.Context) error {
	plans := make(map[string]*placement.PlanCache)
	for loop.Sleep(ctx, planInterval) {
		for _, o := range g.dueOrders(plans) {
			g.tasks.run(func(ctx context.Context) { g.sendOrder(ctx, o) })
		}
		for _, u := range g.overdueEngines() {
			g.tasks.run(func(ctx context.Context) { g.refreshHeldLayers(ctx, u) })
		}
	}
	return nil
}

// staleListAge is the age of the list of upstreams above which it cannot show
// the effect of orders.
const staleListAge = 1500 * time.Millisecond

// overdueEngines returns the engines that are to be asked about their orders.
func (g *Gateway) overdueEngines() []*fleet.Upstream {
	var out []*fleet.Upstream
	g.control.Do(func(s *state) {
		now := g.Now()
		for _, p := range s.pools {
			out = append(out, s.reconciler.DueStatusChecks(p.members, now-s.listedAt > staleListAge, now)...)
		}
	})
	return out
}

// refreshHeldLayers asks an engine which layers it holds.
func (g *Gateway) refreshHeldLayers(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.fetchReport(ctx, u)
	if err != nil {
		g.Log.Info("engine report failed", zap.String("upstream", u.Instance), zap.Error(err))
		return
	}
	if report.Started != u.Started {
		return
	}
	g.control.Do(func(s *state) {
		s.reconciler.RecordReport(u, report.Orders, report.Busy, g.Now())
		s.setHeldLayers(u, report.Held)
	})
}

// setHeldLayers records the layers that an engine holds until the list changes.
func (s *state) setHeldLayers(u *fleet.Upstream, held fleet.Range) {
	known := s.upstreams[u.Instance]
	if known == nil || known.Started != u.Started || known.Held == held {
		return
	}
	changed := *known
	changed.Held = held
	s.upstreams[u.Instance] = &changed
	s.rebuildPools()
}

// planTask is the input to the plan of one service. The plan is computed
// outside of the control loop, since that takes milliseconds.
type planTask struct {
	service   string
	engine    *fleet.Engine
	upstreams []*fleet.Upstream
	// zones are those whose layers this gateway places.
	zones []string
}

// dueOrders returns the orders to send now, and records them. It may be called
// only by placeLayers, which owns plans.
func (g *Gateway) dueOrders(plans map[string]*placement.PlanCache) []placement.Order {
	var tasks []planTask
	g.control.Do(func(s *state) {
		now := g.Now()
		s.reconciler.Prune(now)
		tasks = s.planTasks(s.buildSummary(g, now), now)
	})
	var due []placement.Order
	for _, t := range tasks {
		if plans[t.service] == nil {
			plans[t.service] = &placement.PlanCache{}
		}
		goal := plans[t.service].Get(t.engine, t.upstreams, t.zones)
		g.control.Do(func(s *state) {
			now := g.Now()
			due = append(due, s.ordersTowards(goal, t.service, s.buildSummary(g, now), now)...)
		})
	}
	return due
}

// planTasks returns the planning input for the zones whose layers this gateway
// places.
func (s *state) planTasks(own *peering.News, now time.Duration) []planTask {
	var tasks []planTask
	for name, p := range s.pools {
		if p.layers == nil || s.listFilling(p, now) {
			continue
		}
		t := planTask{service: name, engine: p.service.Engine}
		for _, u := range s.enginesToOrder(p.members, own, now) {
			if !slices.Contains(t.zones, u.Zone) {
				t.zones = append(t.zones, u.Zone)
			}
		}
		if len(t.zones) > 0 {
			t.upstreams = s.reconciler.Expected(s.plannableEngines(p.members, now), now)
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// ordersTowards returns the orders that bring a service closer to a plan, and
// records them.
func (s *state) ordersTowards(goal map[string]fleet.Range, service string, own *peering.News, now time.Duration) []placement.Order {
	p := s.pools[service]
	if p == nil {
		return nil
	}
	lacks := func(zone string) bool { return !s.covered[service+" "+zone] }
	return s.reconciler.IssueOrders(goal, s.enginesToOrder(p.members, own, now), lacks, now)
}

// Outcomes of an order; each is a metric label.
const (
	orderTaken   = "taken"
	orderRefused = "refused"
	// orderUnknown means that the engine may carry out the order, at once or
	// later.
	orderUnknown = "unknown"
)

// listFilling reports whether the list of upstreams is still filling up after a
// cold start: a plan for half of them would have to be changed at once.
func (s *state) listFilling(p *servicePool, now time.Duration) bool {
	for _, h := range p.layers.Holders {
		if h.Upstream.Held.Len() > 0 {
			return false
		}
	}
	return now-s.listGrewAt < settleTime
}

// plannableEngines returns the engines without those of the own zone that are
// lost or overloaded. In other zones the link may be at fault instead of the
// engine.
func (s *state) plannableEngines(members []*fleet.Upstream, now time.Duration) []*fleet.Upstream {
	var out []*fleet.Upstream
	overloaded := s.overloaded(now)
	for _, u := range members {
		if u.Zone != s.zone || !s.health.PresumedGone(u.Instance) && !overloaded[u.Instance] {
			out = append(out, u)
		}
	}
	return out
}

// enginesToOrder returns the reachable engines of the zones whose layers this
// gateway places.
func (s *state) enginesToOrder(members []*fleet.Upstream, own *peering.News, now time.Duration) []*fleet.Upstream {
	byZone := make(map[string]bool)
	var out []*fleet.Upstream
	for _, u := range members {
		placed, known := byZone[u.Zone]
		if !known {
			placed = s.members.IsPlacementLeader(u.Zone, own, now)
			byZone[u.Zone] = placed
		}
		if placed && !s.health.Excluded(u.Instance, now) && s.health.MayCall(u.Instance, now) && !s.linkFaults.Suspected(s.zone, u.Zone, now) {
			out = append(out, u)
		}
	}
	return out
}

// sendOrder sends an order to an engine.
func (g *Gateway) sendOrder(ctx context.Context, o placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	call, err := platform.EncodePlacement(o.Upstream, o.Placement)
	if err != nil {
		g.Log.Error("order encoding failed", zap.Error(err))
		return
	}
	call.Timeout = orderTimeout
	status := 0
	resp, err := g.exchange(ctx, call)
	if err == nil {
		status = resp.head.Status
		_, err = resp.ReadAll(ctx, maxReportBytes)
		resp.Close()
	}
	outcome := orderTaken
	switch {
	case err != nil:
		outcome = orderUnknown
	case !platform.OrderAccepted(status):
		outcome = orderRefused
	}
	g.recordOrder(ctx, o, outcome)
	g.metrics.orders.WithLabelValues(outcome).Inc()
	g.Log.Info("order given", zap.String("upstream", o.Upstream.Instance), zap.Int("from", o.Placement.Layers.From), zap.Int("to", o.Placement.Layers.To),
		zap.Bool("abort", o.Placement.Abort), zap.Int64("if_orders", o.Placement.IfOrders), zap.String("outcome", outcome), zap.Int("status", status), zap.Error(err))
}

// recordOrder records the outcome of an order. An engine that refused is asked
// how many orders it has accepted.
func (g *Gateway) recordOrder(ctx context.Context, o placement.Order, outcome string) {
	switch outcome {
	case orderTaken:
		g.control.Send(func(s *state) {
			s.reconciler.RecordAccepted(o)
			s.setHeldLayers(o.Upstream, fleet.Range{})
		})
	case orderRefused:
		report, err := g.fetchReport(ctx, o.Upstream)
		if err != nil {
			g.Log.Info("engine report failed", zap.String("upstream", o.Upstream.Instance), zap.Error(err))
		}
		g.control.Send(func(s *state) {
			s.reconciler.RecordRefused(o, g.Now())
			if err == nil && report.Started == o.Upstream.Started {
				s.reconciler.RecordReport(o.Upstream, report.Orders, report.Busy, g.Now())
			}
		})
	}
}

// fetchReport asks an engine for its state.
func (g *Gateway) fetchReport(ctx context.Context, u *fleet.Upstream) (relay.Report, error) {
	call := platform.ReportCall(u)
	call.Timeout = reportTimeout
	head, text, err := g.ask(ctx, call, func(head relay.ResponseHead, text []byte) bool {
		_, err := decodeReport(head, text)
		return err == nil
	})
	if err != nil {
		return relay.Report{}, err
	}
	return decodeReport(head, text)
}

// decodeReport decodes the response to a report call.
func decodeReport(head relay.ResponseHead, text []byte) (relay.Report, error) {
	if head.Status != http.StatusOK {
		return relay.Report{}, protocolError("report has status " + strconv.Itoa(head.Status))
	}
	return platform.DecodeReport(text)
}
