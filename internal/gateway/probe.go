package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// probeTick is how often it is looked at which upstreams to probe.
const probeTick = 100 * time.Millisecond

// probeTimeout bounds the answer to a probe.
const probeTimeout = 300 * time.Millisecond

// probe asks upstreams that did not answer, or were slow, whether they are well
// now, until ctx ends.
func (g *Gateway) probe(ctx context.Context) error {
	for loop.Wait(ctx, probeTick) {
		g.askSlow()
		for _, u := range g.dueProbes() {
			go g.probeOne(ctx, u)
		}
	}
	return nil
}

// probed is an upstream and the path of its health.
type probed struct {
	*fleet.Upstream
	healthPath string
}

func (g *Gateway) dueProbes() []probed {
	var due []probed
	g.control.Do(func(s *state) {
		now := g.Now()
		s.shareQuestions(s.belief(g, now), now)
		for _, instance := range s.health.DueProbes(now) {
			u := s.upstreams[instance]
			if u == nil {
				continue
			}
			p := probed{Upstream: u}
			if service := s.table.Services[u.Service]; service != nil {
				p.healthPath = service.HealthPath
			}
			due = append(due, p)
		}
	})
	return due
}

func (g *Gateway) probeOne(ctx context.Context, u probed) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	call := &relay.Call{Upstream: u.Upstream, Method: http.MethodGet, URI: u.healthPath, Host: u.Address, Left: probeTimeout}
	a, err := g.exchange(ctx, call)
	if err != nil {
		g.Log.Debug("upstream does not answer", zap.String("upstream", u.Instance), zap.Error(err))
		g.control.Do(func(s *state) {
			s.health.RecordProbeFailure(u.Instance)
			s.blameFor(u.Upstream, probeFault(err), g.Now())
		})
		return
	}
	defer a.Close()
	well := a.head.Status/100 == 2
	g.control.Do(func(s *state) {
		if !well {
			s.blameFor(u.Upstream, health.Silent, g.Now())
			return
		}
		if s.health.RecordProbeSuccess(u.Instance, g.Now()) {
			g.Log.Info("upstream answers again", zap.String("upstream", u.Instance), zap.Int("status", a.head.Status))
		}
	})
}

// probeFault returns what it says of an upstream that a probe has failed. A
// probe may have to wait for a place like a request.
func probeFault(err error) health.Fault {
	if verdict.Of(err).Reason == verdict.UpstreamRefused {
		return health.Unreachable
	}
	return health.Silent
}
