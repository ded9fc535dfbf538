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

// probeInterval is how often due probes are started.
const probeInterval = 100 * time.Millisecond

// probeTimeout bounds one probe.
const probeTimeout = 300 * time.Millisecond

// runProbes probes upstreams that failed to answer, asks slow ones for their pace and those
// with a limit whether it still holds, until ctx is done.
func (g *Gateway) runProbes(ctx context.Context) error {
	for loop.Sleep(ctx, probeInterval) {
		g.recheckSlowEngines()
		g.confirmLimits()
		for _, u := range g.dueProbes() {
			g.tasks.run(func(ctx context.Context) { g.probeUpstream(ctx, u) })
		}
	}
	return nil
}

// probeTarget is an upstream and its health check path.
type probeTarget struct {
	*fleet.Upstream
	healthPath string
}

// healthCall returns the health probe.
func (u probeTarget) healthCall() *relay.Call {
	return &relay.Call{Upstream: u.Upstream, Method: http.MethodGet, URI: u.healthPath, Host: u.Address, Timeout: probeTimeout}
}

func (g *Gateway) dueProbes() []probeTarget {
	var due []probeTarget
	g.control.Do(func(s *state) {
		now := g.Now()
		s.setProbeSharing(s.buildSummary(g, now), now)
		if s.table == nil {
			// The configuration says how to probe.
			return
		}
		for _, instance := range s.health.DueProbes(now) {
			u := s.upstreams[instance]
			if u == nil {
				continue
			}
			if service := s.serviceNamed(u.Service); service != nil {
				due = append(due, probeTarget{u, service.HealthPath})
			}
		}
	})
	return due
}

func (g *Gateway) probeUpstream(ctx context.Context, u probeTarget) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := g.Now()
	head, _, err := g.ask(ctx, u.healthCall(), func(head relay.ResponseHead, _ []byte) bool { return head.Instance == u.Instance })
	if err != nil {
		g.recordFailedProbe(u.Upstream, err, began)
		return
	}
	healthy := head.Status/100 == 2
	g.control.Do(func(s *state) {
		if !healthy {
			s.eject(u.Upstream, health.Silent, g.Now())
			return
		}
		if s.health.RecordProbeSuccess(u.Instance, g.Now()) {
			g.Log.Info("upstream recovered", zap.String("upstream", u.Instance), zap.Int("status", head.Status))
		}
	})
}

// recordFailedProbe records the failure of a probe that began at a boot time. If
// this process has stood still since, a timeout shows nothing, nor does a connection
// for which it lacks resources, nor a probe that was not sent: it remains without result.
func (g *Gateway) recordFailedProbe(u *fleet.Upstream, err error, began time.Duration) {
	fault := probeFault(err)
	unknown := fault == health.Silent && (isHeldOff(err) || failedHere(err) || g.pauses.Stalled(began, g.Now()))
	g.Log.Debug("probe failed", zap.String("upstream", u.Instance), zap.Bool("unknown", unknown), zap.Error(err))
	if unknown {
		return
	}
	g.control.Do(func(s *state) {
		s.health.RecordProbeFailure(u.Instance)
		s.eject(u, fault, g.Now())
	})
}

// probeFault returns the fault that a failed probe shows. Even an upstream that
// is well may not answer in time, since a probe may have to wait for a slot
// like a request.
func probeFault(err error) health.Fault {
	if verdict.Of(err).Reason == verdict.UpstreamRefused {
		return health.Unreachable
	}
	return health.Silent
}
