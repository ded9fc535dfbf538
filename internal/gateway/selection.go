package gateway

import (
	"slices"
	"time"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// latencyCostUnit is the mean response time that costs as much as having all
// slots of an upstream in use.
const latencyCostUnit = 50 * time.Millisecond

// Costs in the selection of an upstream of a service without engine.
const (
	// crossZoneCost is added for an upstream in another zone, as a share of its
	// slots.
	crossZoneCost = 0.3
	// failureCost is added for an upstream whose attempts all fail.
	failureCost = 4.0
	// limitedCredit is subtracted for an upstream that limits the rate of requests, so that
	// it gets those that it takes. As it gets few, its mean response time is older than that
	// of the others: without the credit, one slow answer kept requests away.
	limitedCredit = 0.5
	// costJitter is the range of the random part of the cost.
	costJitter = 0.15
)

// peerLoad returns the load that the peers have placed on an upstream.
func (s *state) peerLoad(instance string) pathfinding.Load {
	return s.zonePeers.Load(instance).Plus(s.otherZones.Load(instance))
}

// selectChain selects the chain of a generation. Upstreams that failed the
// request are avoided if others cover their layers. An attempt that runs is not given
// up in favour of one on such upstreams, unless they have refused it a while ago. At the
// limit of upstreams a stream that is cut otherwise returns to those that were only silent.
func (s *state) selectChain(p *servicePool, q *request, now time.Duration) (target, error) {
	found, ok := p.layers.Find(s.chainQuery(p, q, q.excluded, now))
	if !ok {
		limited := s.atUpstreamLimit(q)
		switch {
		case limited && q.resumes():
			found, ok = p.layers.Find(s.chainQuery(p, q, q.excludedAtLimit(now), now))
		case limited:
		case len(q.excluded) > 0 && !q.isHandingOver():
			found, ok = p.layers.Find(s.chainQuery(p, q, nil, now))
		case len(q.refused) > 0:
			found, ok = p.layers.Find(s.chainQuery(p, q, q.excludedBeside(now), now))
		}
	}
	if !ok {
		if s.atUpstreamLimit(q) {
			return target{}, verdict.Refuse(verdict.RetryLimit, "the request has run on as many upstreams as it may")
		}
		return target{}, verdict.Refuse(verdict.NoChain, "no upstreams in service cover all layers of %s", q.service)
	}
	if found.Full {
		return target{}, verdict.Refuse(verdict.QueueFull, "no upstreams of %s have room for %.0f tokens", q.service, q.tokens)
	}
	out := s.chainTarget(found.Stages, found.Fill)
	out.predictedFirst = found.PrefillDelay
	out.prefix = s.expectPrefix(p, q, &found, now)
	return out, nil
}

// chainTarget returns the target for a chain.
func (s *state) chainTarget(chain []relay.Stage, fill float64) target {
	to := target{upstream: chain[0].Upstream, chain: chain, utilization: fill}
	for _, stage := range chain {
		to.activity = append(to.activity, &s.loadOf(stage.Upstream.Instance).activity)
	}
	return to
}

// linkState returns the link between two zones, as a prompt with a number of
// tokens would find it.
func (s *state) linkState(p *servicePool, a, b string, tokens float64, now time.Duration) pathfinding.Link {
	key := linkKey{p.service.Name, pathfinding.LinkName(a, b)}
	return s.linkLimiter(key).Link(s.linkInfo(p.service, key), tokens, now)
}

// linkInfo returns the capacity of a link and its use by other gateways.
func (s *state) linkInfo(service *routing.Service, key linkKey) pathfinding.LinkInfo {
	return pathfinding.LinkInfo{
		Capacity:  service.Engine.InterZoneTokenRate(),
		OtherRate: s.zonePeers.PromptTokenRate(key.service, key.name) + s.otherZones.PromptTokenRate(key.service, key.name),
		Gateways:  s.zonePeers.Len() + 1,
	}
}

// chainQuery returns the search for the chain of a request's next attempt.
func (s *state) chainQuery(p *servicePool, q *request, excluded map[string]bool, now time.Duration) *pathfinding.Query {
	query := s.stageQuery(p, q, excluded, now)
	h := q.history()
	query.PreferFirst = h.firstStage
	query.Urgent = h.lastEvent > 0
	s.addCached(query, p, q, now)
	if s.atUpstreamLimit(q) {
		mayCall, runs := query.MayBeFirst, q.possibleRuns()
		query.MayBeFirst = func(u *fleet.Upstream) bool { return slices.Contains(runs, u.Instance) && mayCall(u) }
	}
	return query
}

// stageQuery returns the search for stages of a request. The load of its own attempts
// that run does not count, since they end once the request continues elsewhere.
func (s *state) stageQuery(p *servicePool, q *request, excluded map[string]bool, now time.Duration) *pathfinding.Query {
	own := q.ownLoad()
	return &pathfinding.Query{
		Zone:         s.zone,
		Tokens:       q.tokens,
		PromptTokens: q.PromptTokens,
		Jitter:       func() float64 { return 1 + costJitter*(s.random()-0.5) },
		Link:         func(a, b string) pathfinding.Link { return s.linkState(p, a, b, float64(q.PromptTokens), now) },
		Suspected:    func(a, b string) bool { return s.linkFaults.Suspected(a, b, now) },
		Load: func(u *fleet.Upstream) pathfinding.Load {
			l, others, mine := s.loadOf(u.Instance), s.peerLoad(u.Instance), own[u.Instance]
			return pathfinding.Load{
				Excluded:    excluded[u.Instance] || s.health.Excluded(u.Instance, now),
				TokenLayers: l.tokenLayers - mine.TokenLayers + others.TokenLayers,
				Requests:    float64(l.requests) - mine.Requests + others.Requests,
				Begun:       float64(l.entering) - mine.Begun + others.Begun,
				Reading:     l.prefillRate.At(now) + others.Reading,
				Backlog:     l.prefillBacklog.At(now),
				Slowdown:    s.health.Pace(u.Instance) * (1 + failureCost*s.health.FailureRate(u.Instance, now)),
			}
		},
		MayBeFirst: func(u *fleet.Upstream) bool { return s.mayBegin(u, now) },
	}
}

// atUpstreamLimit reports whether a request has run on as many upstreams as its
// route allows, so that it must start on one of these. Upstreams that have
// ended or cannot be reached do not count. Those that are only slow, or just
// now failed to answer in time, count, since they may still run it.
func (s *state) atUpstreamLimit(q *request) bool {
	ran := 0
	for _, instance := range q.possibleRuns() {
		if s.upstreams[instance] != nil && !s.health.ConfirmedDown(instance) {
			ran++
		}
	}
	return ran >= q.route.MaxUpstreams
}

// selectUpstream selects the upstream for a call to a service without engine:
// the one with the lowest cost by slots in use, zone, response time and
// failures. While an attempt runs, one that has refused the request a while ago may be
// tried again if no other one can be used.
func (s *state) selectUpstream(p *servicePool, q *request, now time.Duration) (target, error) {
	if s.atUpstreamLimit(q) {
		return target{}, verdict.Refuse(verdict.RetryLimit, "the request has run on as many upstreams as it may")
	}
	best := s.cheapestUpstream(p, q, q.excluded, now)
	if best == nil && q.isHandingOver() && len(q.refused) > 0 {
		best = s.cheapestUpstream(p, q, q.excludedBeside(now), now)
	}
	if best == nil {
		return target{}, verdict.Refuse(verdict.NoUpstream, "no upstream of %s can be used", q.service)
	}
	l := s.loadOf(best.Instance)
	return target{upstream: best, utilization: float64(l.requests+1) / float64(best.Slots), activity: []*stageActivity{&l.activity}}, nil
}

// cheapestUpstream returns the upstream with the lowest cost of those that are not
// excluded and can be used; nil if there is none.
func (s *state) cheapestUpstream(p *servicePool, q *request, excluded map[string]bool, now time.Duration) *fleet.Upstream {
	var best *fleet.Upstream
	least := 0.0
	ignoreSilence := !q.isHandingOver() && s.allSilent(p, now)
	for _, u := range p.members {
		if excluded[u.Instance] || !ignoreSilence && s.health.Excluded(u.Instance, now) || !s.mayBegin(u, now) {
			continue
		}
		cost := s.callCost(u, now)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	return best
}

// allSilent reports whether every upstream of a pool is excluded only because it was
// silent. That says more of the moment, or of this gateway, than of each of them, so
// none is avoided for it.
func (s *state) allSilent(p *servicePool, now time.Duration) bool {
	return !slices.ContainsFunc(p.members, func(u *fleet.Upstream) bool { return !s.health.OnlySilent(u.Instance, now) })
}

// reserve adds an attempt to the load of its upstreams.
func (s *state) reserve(q *request, to target, now time.Duration) {
	if !to.hasEngine() {
		s.loadOf(to.upstream.Instance).requests++
		return
	}
	s.loadOf(to.upstream.Instance).entering++
	s.reserveStages(q, to.chain, to.prefix, to.upstream.Zone, now)
}

// reserveStages adds stages of a generation to the load of their upstreams;
// before is the zone that their activations come from, and prefix what they probably
// cache of the prompt.
func (s *state) reserveStages(q *request, stages []relay.Stage, prefix *expectedPrefix, before string, now time.Duration) {
	pool := s.poolOf(q)
	for i, stage := range stages {
		unread := q.PromptTokens - prefix.saves(i)
		if before != stage.Upstream.Zone {
			s.recordTransfer(q, pool, before, stage.Upstream.Zone, now)
		}
		before = stage.Upstream.Zone
		l := s.loadOf(stage.Upstream.Instance)
		l.requests++
		l.tokenLayers += q.tokens * float64(stage.Layers.Len())
		l.prefillRate.Add(float64(unread*stage.Layers.Len()), now)
		if pool != nil && pool.layers != nil {
			// The other gateways of the zone are expected to send as much.
			reading := pool.layers.PrefillTime(stage.Upstream, unread, stage.Layers.Len())
			l.prefillBacklog.Add(reading*time.Duration(s.zonePeers.Len()+1), now)
		}
	}
}

// recordTransfer records that a prompt is sent from one zone to another.
func (s *state) recordTransfer(q *request, p *servicePool, from, to string, now time.Duration) {
	if p == nil || p.service.Engine == nil {
		return
	}
	key := linkKey{q.service, pathfinding.LinkName(from, to)}
	s.linkLimiter(key).Record(s.linkInfo(p.service, key), float64(q.PromptTokens), now)
}

func (s *state) callCost(u *fleet.Upstream, now time.Duration) float64 {
	cost := (float64(s.loadOf(u.Instance).requests+1) + s.peerLoad(u.Instance).Requests) / float64(u.Slots)
	if u.Zone != s.zone {
		cost += crossZoneCost
	}
	if s.isLimited(u) {
		cost -= limitedCredit
	}
	cost += float64(s.health.MeanLatency(u.Instance, now)) / float64(latencyCostUnit)
	return cost + failureCost*s.health.FailureRate(u.Instance, now) + costJitter*s.random()
}

// zoneChanges returns how often a request crosses between zones on its way
// through the chain and back.
func zoneChanges(zone string, to target) int {
	changes := 0
	at := zone
	for _, stage := range to.chain {
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
