package gateway

import (
	"time"

	"lovageport.example/internal/coordination/path"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// slowAnswer is the mean time to answer that costs as much as a whole
// upstream's places.
const slowAnswer = 50 * time.Millisecond

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
func (s *state) processes() int { return s.peers + 1 }

// presentAllowance is what the gateways that hear each other may use of the
// allowance for retries. Those that are cut off go on with their part of it.
func (s *state) presentAllowance() retry.Allowance {
	a := s.allowance
	a.Slack *= float64(s.processes()) / float64(max(s.heard, s.peers)+1)
	return a
}

// peerCounts returns what the peers have counted for a service.
func (s *state) peerCounts(service string) retry.Counts {
	return s.near.Counts(service).Add(s.far.Counts(service))
}

// others returns what the peers have under way at an upstream.
func (s *state) others(instance string) path.Load {
	return s.near.Load(instance).Plus(s.far.Load(instance))
}

// findChain finds the chain of a generation. Upstreams that failed the request
// are passed over if others cover the layers.
func (s *state) findChain(p *pool, q *query, now time.Duration) (place, error) {
	found, ok := p.layers.Find(s.chainQuery(p, q, q.shunned, now))
	if !ok && len(q.shunned) > 0 && !s.limited(q) {
		found, ok = p.layers.Find(s.chainQuery(p, q, nil, now))
	}
	if !ok {
		if s.limited(q) {
			return place{}, verdict.Refuse(verdict.RetryLimit, "the request has run on as many upstreams as it may")
		}
		return place{}, verdict.Refuse(verdict.NoChain, "no upstreams in service cover all layers of %s", q.service)
	}
	if found.Full {
		return place{}, verdict.Refuse(verdict.QueueFull, "no upstreams of %s have room for %.0f tokens", q.service, q.tokens)
	}
	out := s.placeOn(found.Stages, found.Fill)
	out.predicted = found.Wait
	return out, nil
}

// placeOn returns the place on a chain.
func (s *state) placeOn(chain []relay.Stage, fill float64) place {
	p := place{upstream: chain[0].Upstream, chain: chain, fill: fill}
	for _, stage := range chain {
		p.activity = append(p.activity, &s.load(stage.Upstream.Instance).activity)
	}
	return p
}

// pipe returns the pipe between two zones as a prompt of some tokens finds it.
func (s *state) pipe(p *pool, a, b string, tokens float64, now time.Duration) path.Pipe {
	key := pipeKey{p.service.Name, path.PipeName(a, b)}
	return s.crossing(key).Pipe(s.share(p.service, key), tokens, now)
}

// share returns what is known of a pipe.
func (s *state) share(service *routing.Service, key pipeKey) path.Share {
	return path.Share{
		Rate:     service.Engine.PipeTokens(),
		Others:   s.near.PromptTokenRate(key.service, key.name) + s.far.PromptTokenRate(key.service, key.name),
		Gateways: s.near.Len() + 1,
	}
}

// chainQuery returns the search for the chain of a request's next attempt. No
// attempt may be under way.
func (s *state) chainQuery(p *pool, q *query, shunned map[string]bool, now time.Duration) *path.Query {
	query := s.stageQuery(p, q, shunned, now)
	query.First = q.first
	query.Urgent = q.lastEvent > 0
	if s.limited(q) {
		mayCall := query.MayBegin
		query.MayBegin = func(u *fleet.Upstream) bool { return q.ranOn[u.Instance] && mayCall(u) }
	}
	return query
}

// stageQuery returns the search for stages of a request. It reads nothing that
// an attempt under way changes outside of the control loop.
func (s *state) stageQuery(p *pool, q *query, shunned map[string]bool, now time.Duration) *path.Query {
	return &path.Query{
		Zone:         s.zone,
		Tokens:       q.tokens,
		PromptTokens: q.PromptTokens,
		Noise:        func() float64 { return 1 + noise*(s.random()-0.5) },
		Pipe:         func(a, b string) path.Pipe { return s.pipe(p, a, b, float64(q.PromptTokens), now) },
		Doubted:      func(a, b string) bool { return s.links.Suspected(a, b, now) },
		Load: func(u *fleet.Upstream) path.Load {
			l, others := s.load(u.Instance), s.others(u.Instance)
			return path.Load{
				Out:         shunned[u.Instance] || s.health.Excluded(u.Instance, now),
				TokenLayers: l.tokenLayers + others.TokenLayers,
				Requests:    float64(l.requests) + others.Requests,
				Begun:       float64(l.begun) + others.Begun,
				Reading:     l.reading.At(now) + others.Reading,
				Backlog:     l.backlog.At(now),
				Slowdown:    s.health.Pace(u.Instance) * (1 + failureCost*s.health.FailureRate(u.Instance, now)),
			}
		},
		MayBegin: func(u *fleet.Upstream) bool { return s.health.MayCall(u.Instance, now) },
	}
}

// limited says whether a request has run on as many upstreams as it may, so
// that it must begin at one of them. Upstreams that have ended or can't be
// reached do not count; those that are only slow, or did not answer in time
// just now, do, since they may run it.
func (s *state) limited(q *query) bool {
	ran := 0
	for instance := range q.ranOn {
		if s.upstreams[instance] != nil && !s.health.ConfirmedDown(instance) {
			ran++
		}
	}
	return ran >= q.route.MaxUpstreams
}

// findUpstream finds the upstream of a call to a plain service: the one with
// the least of its places taken, in the own zone if that is no worse.
func (s *state) findUpstream(p *pool, q *query, now time.Duration) (place, error) {
	if s.limited(q) {
		return place{}, verdict.Refuse(verdict.RetryLimit, "the request has run on as many upstreams as it may")
	}
	var best *fleet.Upstream
	least := 0.0
	for _, u := range p.members {
		if q.shunned[u.Instance] || s.health.Excluded(u.Instance, now) || !s.health.MayCall(u.Instance, now) {
			continue
		}
		cost := s.callCost(u, now)
		if best == nil || cost < least {
			best, least = u, cost
		}
	}
	if best == nil {
		return place{}, verdict.Refuse(verdict.NoUpstream, "no upstream of %s can be used", q.service)
	}
	return place{upstream: best, fill: float64(s.load(best.Instance).requests+1) / float64(best.Slots)}, nil
}

// occupy counts an attempt as load.
func (s *state) occupy(q *query, p place, now time.Duration) {
	if p.chain == nil {
		s.load(p.upstream.Instance).requests++
		return
	}
	s.load(p.upstream.Instance).begun++
	s.occupyStages(q, p.chain, p.upstream.Zone, now)
}

// occupyStages counts stages of a generation as load; before is the zone that
// its activations come from.
func (s *state) occupyStages(q *query, stages []relay.Stage, before string, now time.Duration) {
	var layers *path.Map
	if pool := s.pools[q.service]; pool != nil {
		layers = pool.layers
	}
	for _, stage := range stages {
		if before != stage.Upstream.Zone {
			s.cross(q, before, stage.Upstream.Zone, now)
		}
		before = stage.Upstream.Zone
		l := s.load(stage.Upstream.Instance)
		l.requests++
		l.tokenLayers += q.tokens * float64(stage.Layers.Len())
		l.reading.Add(float64(q.PromptTokens*stage.Layers.Len()), now)
		if layers != nil {
			// The other gateways of the zone send about as much.
			reading := layers.ReadTime(stage.Upstream, q.PromptTokens, stage.Layers.Len())
			l.backlog.Add(reading*time.Duration(s.near.Len()+1), now)
		}
	}
}

// cross notes that a prompt goes from one zone to another.
func (s *state) cross(q *query, from, to string, now time.Duration) {
	service := s.table.Services[q.service]
	if service == nil || service.Engine == nil {
		return
	}
	key := pipeKey{q.service, path.PipeName(from, to)}
	s.crossing(key).Cross(s.share(service, key), float64(q.PromptTokens), now)
}

func (s *state) callCost(u *fleet.Upstream, now time.Duration) float64 {
	cost := (float64(s.load(u.Instance).requests+1) + s.others(u.Instance).Requests) / float64(u.Slots)
	if u.Zone != s.zone {
		cost += otherZoneCost
	}
	cost += float64(s.health.MeanLatency(u.Instance, now)) / float64(slowAnswer)
	return cost + failureCost*s.health.FailureRate(u.Instance, now) + noise*s.random()
}

// zoneChanges returns how often a request passes from one zone to another on
// its way, there and back.
func zoneChanges(zone string, p place) int {
	changes := 0
	at := zone
	for _, stage := range p.chain {
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
