package gateway

import (
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/path"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// Costs of an upstream of a plain service.
const (
	// otherZoneCost is that of leaving the zone, in places taken.
	otherZoneCost = 0.3
	// failureCost is that of an upstream all of whose attempts fail.
	failureCost = 4.0
	// noise is by how much the cost of an upstream varies at random.
	noise = 0.15
)

// processes returns how many gateways there are.
func (s *state) processes() int { return s.peerCount + 1 }

// peerCounts returns what the peers have counted for a service.
func (s *state) peerCounts(service string) retry.Counts { return s.otherCounts[service] }

// out says whether an upstream must not get a request.
func (s *state) out(q *query, u *fleet.Upstream, now time.Duration) bool {
	return q.shunned[u.Instance] || s.health.Out(u.Instance, now)
}

// takeChain finds the chain of a generation.
func (s *state) takeChain(p *pool, q *query, now time.Duration) (place, error) {
	found, ok := p.layers.Find(&path.Query{
		Zone:   s.zone,
		Tokens: q.tokens,
		First:  q.first,
		Noise:  func() float64 { return 1 + noise*(s.random()-0.5) },
		Load: func(u *fleet.Upstream) path.Load {
			l, others := s.load(u.Instance), s.others[u.Instance]
			return path.Load{
				Out:         s.out(q, u, now),
				TokenLayers: l.tokenLayers + others.TokenLayers,
				Requests:    float64(l.requests) + others.Requests,
				Slowdown:    1 + failureCost*s.health.Failures(u.Instance, now),
			}
		},
	})
	if !ok {
		return place{}, verdict.RefuseUntil(retryPauseFor, verdict.NoChain, "no upstreams in service cover all layers of %s", q.service)
	}
	s.log.Info("chain chosen", zap.String("request", q.ID), zap.Int("attempt", q.attempts), zap.String("upstream", found.Stages[0].Upstream.Instance),
		zap.Int("stages", len(found.Stages)), zap.Int("zone_changes", zoneChanges(s.zone, found.Stages)), zap.Float64("fill", found.Fill),
		zap.Float64("tokens", q.tokens), zap.Duration("list_age", now-s.listedAt), zap.Int("peers", s.peerCount))
	for _, stage := range found.Stages {
		l := s.load(stage.Upstream.Instance)
		l.requests++
		l.tokenLayers += q.tokens * float64(stage.Layers.Len())
	}
	return place{upstream: found.Stages[0].Upstream, chain: found.Stages, fill: found.Fill}, nil
}

// takeUpstream finds the upstream of a call to a plain service: the one with
// the least of its places taken, in the own zone if that is no worse.
func (s *state) takeUpstream(p *pool, q *query, now time.Duration) (place, error) {
	var best *fleet.Upstream
	least := 0.0
	for _, u := range p.members {
		if s.out(q, u, now) {
			continue
		}
		cost := s.callCost(u, now)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	if best == nil {
		return place{}, verdict.RefuseUntil(retryPauseFor, verdict.NoUpstream, "no upstream of %s can be used", q.service)
	}
	l := s.load(best.Instance)
	l.requests++
	return place{upstream: best, fill: float64(l.requests) / float64(best.Slots)}, nil
}

func (s *state) callCost(u *fleet.Upstream, now time.Duration) float64 {
	cost := (float64(s.load(u.Instance).requests+1) + s.others[u.Instance].Requests) / float64(u.Slots)
	if u.Zone != s.zone {
		cost += otherZoneCost
	}
	return cost + failureCost*s.health.Failures(u.Instance, now) + noise*s.random()
}

// zoneChanges returns how often a chain passes from one zone to another, the
// way there and back included.
func zoneChanges(zone string, stages []relay.Stage) int {
	changes := 0
	at := zone
	for _, stage := range stages {
		if stage.Upstream.Zone != at {
			changes++
			at = stage.Upstream.Zone
		}
	}
	if at != zone {
		changes++
	}
	return changes
}
