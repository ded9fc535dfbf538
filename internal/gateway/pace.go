package gateway

import (
	"context"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
)

// checkPace asks the engines of a slow chain for their pace.
func (g *Gateway) checkPace(to target) {
	g.control.Send(func(s *state) {
		for _, stage := range to.chain {
			if s.health.PaceQueryDue(stage.Upstream.Instance, g.Now()) {
				g.tasks.run(func(ctx context.Context) { g.fetchPace(ctx, stage.Upstream) })
			}
		}
	})
}

// recheckSlowEngines asks engines that reported to be slow for their pace
// again.
func (g *Gateway) recheckSlowEngines() {
	g.control.Send(func(s *state) {
		for _, instance := range s.health.SlowEnginesDue(g.Now()) {
			if u := s.upstreams[instance]; u != nil {
				g.tasks.run(func(ctx context.Context) { g.fetchPace(ctx, u) })
			}
		}
	})
}

func (g *Gateway) fetchPace(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.fetchReport(ctx, u)
	if err != nil {
		g.Log.Debug("engine pace report failed", zap.String("upstream", u.Instance), zap.Error(err))
		return
	}
	g.control.Send(func(s *state) {
		if s.health.SetPace(u.Instance, report.Pace, g.Now()) {
			g.Log.Info("engine pace changed", zap.String("upstream", u.Instance), zap.Float64("pace", report.Pace))
		}
	})
}
