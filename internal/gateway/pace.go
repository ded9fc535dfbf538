package gateway

import (
	"context"

	"go.uber.org/zap"

	"lovageport.example/internal/state/fleet"
)

// askPace asks the engines of a chain that is slow how fast they are.
func (g *Gateway) askPace(p place) {
	g.control.Send(func(s *state) {
		for _, stage := range p.chain {
			if s.health.PaceQueryDue(stage.Upstream.Instance, g.Now()) {
				go g.askPaceOf(stage.Upstream)
			}
		}
	})
}

// askSlow asks the engines that were slow whether they still are.
func (g *Gateway) askSlow() {
	g.control.Send(func(s *state) {
		for _, instance := range s.health.SlowEnginesDue(g.Now()) {
			if u := s.upstreams[instance]; u != nil {
				go g.askPaceOf(u)
			}
		}
	})
}

func (g *Gateway) askPaceOf(u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := g.report(ctx, u)
	if err != nil {
		g.Log.Debug("engine not asked for its pace", zap.String("upstream", u.Instance), zap.Error(err))
		return
	}
	g.control.Send(func(s *state) {
		if s.health.SetPace(u.Instance, report.Pace, g.Now()) {
			g.Log.Info("engine changed its pace", zap.String("upstream", u.Instance), zap.Float64("pace", report.Pace))
		}
	})
}
