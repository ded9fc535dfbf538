package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/placement"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// Times of placing layers.
const (
	// placeInterval is how often the plan is looked at.
	placeInterval = 250 * time.Millisecond
	// settleTime is how long the list of upstreams must not have grown before
	// the first plan, since it fills up over the first seconds.
	settleTime = 700 * time.Millisecond
	// orderTimeout bounds the answer to an order.
	orderTimeout = 500 * time.Millisecond
)

// maxReportBytes bounds an engine's report.
const maxReportBytes = 1 << 20

// placeLayers gives orders to engines as long as this process is the one to do
// so, until ctx ends.
func (g *Gateway) placeLayers(ctx context.Context) error {
	plans := make(map[string]*placement.Plans)
	for loop.Wait(ctx, placeInterval) {
		for _, o := range g.dueOrders(plans) {
			go g.order(ctx, o)
		}
		for _, u := range g.overdue() {
			go g.seeHeld(ctx, u)
		}
	}
	return nil
}

// blindAge is the age of the list of upstreams from which it can't show the
// effect of orders.
const blindAge = 1500 * time.Millisecond

// overdue returns the engines that should be asked about their orders.
func (g *Gateway) overdue() []*fleet.Upstream {
	var out []*fleet.Upstream
	g.control.Do(func(s *state) {
		now := g.Now()
		for _, p := range s.pools {
			out = append(out, s.ledger.Overdue(p.members, now-s.listedAt > blindAge, now)...)
		}
	})
	return out
}

// seeHeld asks an engine what it holds.
func (g *Gateway) seeHeld(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.report(ctx, u)
	if err != nil {
		g.Log.Info("engine not asked", zap.String("upstream", u.Instance), zap.Error(err))
		return
	}
	if report.Started != u.Started {
		return
	}
	g.control.Do(func(s *state) {
		s.ledger.Reported(u, report.Orders, report.Busy, g.Now())
		s.setHeld(u, report.Held)
	})
}

// setHeld notes what an engine holds, until the list says otherwise.
func (s *state) setHeld(u *fleet.Upstream, held fleet.Range) {
	known := s.upstreams[u.Instance]
	if known == nil || known.Started != u.Started || known.Held == held {
		return
	}
	changed := *known
	changed.Held = held
	s.upstreams[u.Instance] = &changed
	s.rebuild()
}

// planTask is what the plan of one service is made from. The plan is made
// outside of the control loop, since it takes milliseconds.
type planTask struct {
	service   string
	engine    *fleet.Engine
	upstreams []*fleet.Upstream
	// zones are those whose layers this gateway places.
	zones []string
}

// dueOrders returns the orders to give now, and notes them as given. Only
// placeLayers calls it, which owns plans.
func (g *Gateway) dueOrders(plans map[string]*placement.Plans) []placement.Order {
	var tasks []planTask
	g.control.Do(func(s *state) {
		now := g.Now()
		s.ledger.Prune(now)
		tasks = s.planTasks(s.belief(g, now), now)
	})
	var due []placement.Order
	for _, t := range tasks {
		if plans[t.service] == nil {
			plans[t.service] = &placement.Plans{}
		}
		goal := plans[t.service].Of(t.engine, t.upstreams, t.zones)
		g.control.Do(func(s *state) {
			now := g.Now()
			due = append(due, s.ordersTowards(goal, t.service, s.belief(g, now), now)...)
		})
	}
	return due
}

// planTasks returns what to plan for the zones whose layers this gateway places.
func (s *state) planTasks(own *peering.News, now time.Duration) []planTask {
	var tasks []planTask
	for name, p := range s.pools {
		if p.layers == nil || s.filling(p, now) {
			continue
		}
		t := planTask{service: name, engine: p.service.Engine}
		for _, u := range s.mine(p.members, own, now) {
			if !slices.Contains(t.zones, u.Zone) {
				t.zones = append(t.zones, u.Zone)
			}
		}
		if len(t.zones) > 0 {
			t.upstreams = s.ledger.Expected(s.alive(p.members, now), now)
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// ordersTowards returns the orders that bring a service closer to a plan, and
// notes them as given.
func (s *state) ordersTowards(goal map[string]fleet.Range, service string, own *peering.News, now time.Duration) []placement.Order {
	p := s.pools[service]
	if p == nil {
		return nil
	}
	lacks := func(zone string) bool { return !s.whole[service+" "+zone] }
	return s.ledger.Due(goal, s.mine(p.members, own, now), lacks, now)
}

// What becomes of an order; each is a metric label.
const (
	orderTaken   = "taken"
	orderRefused = "refused"
	// orderUnknown orders may be carried out, at once or late.
	orderUnknown = "unknown"
)

// filling says whether the list of upstreams still fills up after a cold
// start: a plan for half of them would have to be changed at once.
func (s *state) filling(p *pool, now time.Duration) bool {
	for _, h := range p.layers.Holders {
		if h.Upstream.Held.Len() > 0 {
			return false
		}
	}
	return now-s.grownAt < settleTime
}

// alive returns the engines but for those of the own zone that do not answer or
// are overloaded; for other zones the way there may be at fault.
func (s *state) alive(members []*fleet.Upstream, now time.Duration) []*fleet.Upstream {
	var out []*fleet.Upstream
	overloaded := s.overloaded(now)
	for _, u := range members {
		if u.Zone != s.zone || !s.health.PresumedGone(u.Instance) && !overloaded[u.Instance] {
			out = append(out, u)
		}
	}
	return out
}

// mine returns the engines of the zones whose layers this gateway places, but
// for those that it can't reach.
func (s *state) mine(members []*fleet.Upstream, own *peering.News, now time.Duration) []*fleet.Upstream {
	places := make(map[string]bool)
	var out []*fleet.Upstream
	for _, u := range members {
		mine, known := places[u.Zone]
		if !known {
			mine = s.roster.IsPlacementLeader(u.Zone, own, now)
			places[u.Zone] = mine
		}
		if mine && !s.health.Excluded(u.Instance, now) && s.health.MayCall(u.Instance, now) && !s.links.Suspected(s.zone, u.Zone, now) {
			out = append(out, u)
		}
	}
	return out
}

// order gives an order.
func (g *Gateway) order(ctx context.Context, o placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	call, err := platform.EncodePlacement(o.Upstream, o.Placement)
	if err != nil {
		g.Log.Error("order not encoded", zap.Error(err))
		return
	}
	call.Left = orderTimeout
	status := 0
	a, err := g.exchange(ctx, call)
	if err == nil {
		status = a.head.Status
		_, err = a.ReadAll(ctx, maxReportBytes)
		a.Close()
	}
	outcome := orderTaken
	switch {
	case err != nil:
		outcome = orderUnknown
	case !platform.OrderAccepted(status):
		outcome = orderRefused
	}
	g.noteOrder(ctx, o, outcome)
	g.metrics.orders.WithLabelValues(outcome).Inc()
	g.Log.Info("order given", zap.String("upstream", o.Upstream.Instance), zap.Int("from", o.Placement.Layers.From), zap.Int("to", o.Placement.Layers.To),
		zap.Bool("abort", o.Placement.Abort), zap.Int64("if_orders", o.Placement.IfOrders), zap.String("outcome", outcome), zap.Int("status", status), zap.Error(err))
}

// noteOrder notes what became of an order. An engine that refused is asked how
// many orders it has taken.
func (g *Gateway) noteOrder(ctx context.Context, o placement.Order, outcome string) {
	switch outcome {
	case orderTaken:
		g.control.Send(func(s *state) {
			s.ledger.Took(o)
			s.setHeld(o.Upstream, fleet.Range{})
		})
	case orderRefused:
		report, err := g.report(ctx, o.Upstream)
		if err != nil {
			g.Log.Info("engine not asked", zap.String("upstream", o.Upstream.Instance), zap.Error(err))
		}
		g.control.Send(func(s *state) {
			s.ledger.Refused(o, g.Now())
			if err == nil && report.Started == o.Upstream.Started {
				s.ledger.Reported(o.Upstream, report.Orders, report.Busy, g.Now())
			}
		})
	}
}

// report asks an engine for its state.
func (g *Gateway) report(ctx context.Context, u *fleet.Upstream) (relay.Report, error) {
	call := platform.ReportCall(u)
	call.Left = reportTimeout
	a, err := g.exchange(ctx, call)
	if err != nil {
		return relay.Report{}, err
	}
	defer a.Close()
	text, err := a.ReadAll(ctx, maxReportBytes)
	if err != nil {
		return relay.Report{}, err
	}
	return platform.DecodeReport(text)
}
