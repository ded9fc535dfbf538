package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/cluster"
	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/path"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/transport/peer"
	"lovageport.example/platform"
)

// Times of talk between gateways.
const (
	// newsTick is how often it is looked at which peers to call.
	newsTick = 50 * time.Millisecond
	// newsTimeout bounds a call of a peer.
	newsTimeout = 400 * time.Millisecond
	// registerPause is the pause after a failed try to register.
	registerPause = time.Second
	// borrowAge is the age of the own knowledge from which a peer's is asked
	// for.
	borrowAge = 2200 * time.Millisecond
	// borrowGain is by how much fresher it must be.
	borrowGain = 300 * time.Millisecond
	// borrowPause is the least time between two such calls.
	borrowPause = 150 * time.Millisecond
)

// self is what this gateway is called by.
func (g *Gateway) self() peering.Address {
	return peering.Address{Gateway: g.Settings.Name, Zone: g.Settings.Zone, Address: g.Settings.Listen.Peers}
}

// register makes this gateway known in the store and learns of others there.
// Gateways that are known to others need neither, so that a store that is down
// holds nobody up.
func (g *Gateway) register(ctx context.Context) error {
	me := platform.GatewayRegistration{Name: g.Settings.Name, Zone: g.Settings.Zone, Address: g.Settings.Listen.Peers}
	for {
		err := g.store.Register(ctx, me)
		if err == nil {
			break
		}
		g.Log.Warn("gateway not registered", zap.Error(err))
		if !loop.Wait(ctx, registerPause) {
			return nil
		}
	}
	listed, err := g.store.Gateways(ctx)
	if err != nil {
		g.Log.Warn("gateways not listed", zap.Error(err))
	}
	var addresses []peering.Address
	for _, l := range listed {
		addresses = append(addresses, peering.Address{Gateway: l.Name, Zone: l.Zone, Address: l.Address})
	}
	g.control.Do(func(s *state) { s.roster.AddAddresses(addresses, false, g.Now()) })
	<-ctx.Done()
	return nil
}

// learnSeeds takes in the peers that the settings name.
func (g *Gateway) learnSeeds(seeds []string) {
	var addresses []peering.Address
	for _, seed := range seeds {
		addresses = append(addresses, peering.Address{Address: seed})
	}
	g.control.Do(func(s *state) { s.roster.AddAddresses(addresses, true, g.Now()) })
}

// tellNews calls the peers that are due, until ctx ends.
func (g *Gateway) tellNews(ctx context.Context) error {
	g.learnSeeds(g.Settings.Peers.Seeds)
	for loop.Wait(ctx, newsTick) {
		due := make(map[string]*peering.News)
		g.control.Do(func(s *state) {
			now := g.Now()
			s.roster.Prune(now)
			s.dropSilent(now)
			g.noteCutOff(s.roster.OtherZonesLost(now))
			for _, m := range s.roster.TakeDue(now) {
				due[m.Address.Address] = s.news(g, m.Zone, now)
			}
		})
		for address, said := range due {
			go g.tellOne(ctx, address, said)
		}
	}
	return nil
}

// noteCutOff notes whether this zone is cut off from the others.
func (g *Gateway) noteCutOff(cutOff bool) {
	if g.cutOff.Swap(cutOff) == cutOff {
		return
	}
	age, _ := g.routing.Age(g.Now())
	g.Log.Info("other zones", zap.Bool("cut_off", cutOff), zap.Duration("configuration_age", age))
}

func (g *Gateway) tellOne(ctx context.Context, address string, said *peering.News) {
	sent := g.Now()
	answer, err := g.peers.News(ctx, address, said)
	if err != nil {
		g.Log.Debug("peer not reached", zap.String("peer", address), zap.Error(err))
		return
	}
	g.hear(answer)
	// The answer was made after the call was sent.
	g.routing.Confirm(answer.Table, sent-answer.TableAge)
	g.control.Send(func(s *state) { s.confirmList(answer, sent) })
}

// hear takes in news of a peer.
func (g *Gateway) hear(n *peering.News) {
	g.control.Do(func(s *state) { s.hear(n, g.Now()) })
}

// behind says whether a version is newer than the one in force.
func (g *Gateway) behind(version int64) bool {
	t := g.routing.Table()
	return version > 0 && (t == nil || version > t.Version)
}

// hear runs in the control loop.
func (s *state) hear(n *peering.News, now time.Duration) {
	s.roster.Update(n, now)
	for _, f := range n.Faults {
		u := s.upstreams[f.Upstream]
		// What a peer of another zone can't reach may be within reach here.
		if u != nil && (n.Zone == s.zone || n.Zone == u.Zone) {
			s.health.RecordPeerExclusion(f.Upstream, f.Left, now)
			if s.asksFirst && u.Zone == s.zone {
				s.health.RequestProbe(f.Upstream, now)
			}
		}
	}
	s.hearFindings(n, now)
	s.hearLeaving(n, now)
	s.hearSuspicions(n.Suspicions, now)
	switch {
	case n.Address.Address == s.roster.Self.Address:
	case n.Zone == s.zone && !n.OfZone:
		s.near.Set(n.Address.Address, n)
	case n.Zone != s.zone && n.OfZone:
		s.far.Set(n.Zone, n)
	}
}

// hearFindings takes in what upstreams have answered a peer of the own zone,
// which reaches them on the same way.
func (s *state) hearFindings(n *peering.News, now time.Duration) {
	if n.Zone != s.zone {
		return
	}
	for _, f := range n.Findings {
		if s.upstreams[f.Upstream] == nil {
			continue
		}
		if s.health.MergeObservation(health.Observation{Instance: f.Upstream, Age: f.Age, Pace: float64(f.Pace)}, now) {
			s.log.Info("upstream found by peer", zap.String("upstream", f.Upstream), zap.String("peer", n.Gateway), zap.Duration("age", f.Age), zap.Float32("pace", f.Pace))
		}
	}
}

// addFindings adds what upstreams have answered this gateway, for peers of the
// own zone.
func (s *state) addFindings(n *peering.News, now time.Duration) {
	if n.OfZone {
		return
	}
	for _, f := range s.health.Observations(now) {
		if len(n.Findings) < peering.MaxNews {
			n.Findings = append(n.Findings, peering.UpstreamFinding{Upstream: f.Instance, Age: f.Age, Pace: float32(f.Pace)})
		}
	}
}

// shareQuestions says how many gateways of the zone ask the upstreams. The one
// that places the layers asks as if it were alone: it must know which engines
// are lost.
func (s *state) shareQuestions(own *peering.News, now time.Duration) {
	s.asksFirst = s.roster.IsPlacementLeader(s.zone, own, now)
	s.health.SharingGateways = s.near.Len() + 1
	if s.asksFirst {
		s.health.SharingGateways = 1
	}
}

// dropSilent forgets what peers carry that have not been heard lately, and
// zones of which none has.
func (s *state) dropSilent(now time.Duration) {
	alive := s.roster.Alive(now)
	heard := make(map[string]bool)
	for _, m := range alive {
		heard[m.Address.Address] = true
		heard[m.Zone] = true
	}
	present := func(source string) bool { return heard[source] }
	s.near.Retain(present)
	s.far.Retain(present)
	s.heard = s.roster.HeardCount()
	if s.peers != len(alive) {
		s.peers = len(alive)
		s.log.Info("peers changed", zap.Int("alive", s.peers), zap.Int("near", s.near.Len()))
	}
}

// news returns what this gateway says to a peer of a zone. Peers of other zones
// get the sums of the own one: they call each of its gateways seldom, but one
// of them often.
func (s *state) news(g *Gateway, zone string, now time.Duration) *peering.News {
	n := s.belief(g, now)
	for _, o := range s.health.Exclusions(now) {
		n.Faults = append(n.Faults, peering.UpstreamFault{Upstream: o.Instance, Left: o.Remaining})
	}
	n.Suspicions = s.wireSuspicions(now)
	n.Peers = s.somePeers(now)
	n.OfZone = zone != s.zone
	s.addNotices(n, now)
	s.addFindings(n, now)
	s.addLoads(n, now)
	s.addPipes(n, now)
	s.addCounts(n, now)
	return n
}

// belief returns what this gateway says of itself but for what it carries.
func (s *state) belief(g *Gateway, now time.Duration) *peering.News {
	n := &peering.News{Version: peering.Version, Address: s.roster.Self, Draining: g.draining.Load(), ListAge: -1}
	if t := g.routing.Table(); t != nil {
		n.Table = t.Version
		n.TableAge, _ = g.routing.Age(now)
	}
	if s.listedAt > 0 {
		n.ListAge = now - s.listedAt
		n.ListDigest, n.ListRevision = s.listDigest, s.listRevision
		n.Follows = s.follows()
	}
	return n
}

// addLoads adds what is under way at the upstreams.
func (s *state) addLoads(n *peering.News, now time.Duration) {
	for instance := range s.upstreams {
		var sum path.Load
		if l := s.loads[instance]; l != nil {
			sum = path.Load{Requests: float64(l.requests), Begun: float64(l.begun), TokenLayers: l.tokenLayers, Reading: l.reading.At(now)}
		}
		if n.OfZone {
			sum = sum.Plus(s.near.Load(instance))
		}
		if sum.Requests > 0 {
			n.Loads = append(n.Loads, peering.UpstreamLoad{Upstream: instance, Requests: int(sum.Requests), Begun: int(sum.Begun), TokenLayers: float32(sum.TokenLayers), Reading: float32(sum.Reading)})
		}
	}
}

// leastCrossing is the rate of prompt tokens below which a pipe is not told of.
const leastCrossing = 1.0

// addPipes adds what is sent over pipes.
func (s *state) addPipes(n *peering.News, now time.Duration) {
	for key, c := range s.crossings {
		sum := c.At(now)
		if n.OfZone {
			sum += s.near.PromptTokenRate(key.service, key.name)
		}
		if sum >= leastCrossing {
			n.Pipes = append(n.Pipes, peering.PipeUse{Service: key.service, Pipe: key.name, Reading: float32(sum)})
		}
	}
}

// addCounts adds the requests and repeats within the retry window.
func (s *state) addCounts(n *peering.News, now time.Duration) {
	if s.table == nil {
		return
	}
	for service := range s.table.Services {
		sum := s.window(service).Counts(s.allowance, now)
		if n.OfZone {
			sum = sum.Add(s.near.Counts(service))
		}
		n.Services = append(n.Services, peering.ServiceCounts{Service: service, Requests: float32(sum.Requests), Repeats: float32(sum.Retries)})
	}
}

// toldPeers is how many peers are named to another at a time; over several
// calls all are.
const toldPeers = 6

// somePeers returns some of the peers that are alive.
func (s *state) somePeers(now time.Duration) []peering.Address {
	alive := s.roster.Alive(now)
	var out []peering.Address
	first := int(s.random() * float64(len(alive)))
	for i := range min(toldPeers, len(alive)) {
		out = append(out, alive[(first+i)%len(alive)].Address)
	}
	return out
}

// peerHandler answers peers.
func (g *Gateway) peerHandler() *peer.Handler {
	return &peer.Handler{
		News: func(_ context.Context, said *peering.News) (*peering.News, error) {
			g.hear(said)
			var answer *peering.News
			g.control.Do(func(s *state) { answer = s.news(g, said.Zone, g.Now()) })
			return answer, nil
		},
		Lists: func(_ context.Context, asked *peering.ListsRequest) (*peering.Lists, error) {
			return g.lists(asked), nil
		},
	}
}

// lists returns the own configuration and list of upstreams.
func (g *Gateway) lists(asked *peering.ListsRequest) *peering.Lists {
	out := &peering.Lists{Version: peering.Version, ListAge: -1}
	if t := g.routing.Table(); t != nil {
		out.InForce = t.Version
		out.TableAge, _ = g.routing.Age(g.Now())
		if t.Version > asked.Table {
			out.Table = t
		}
	}
	g.control.Do(func(s *state) {
		if s.listedAt == 0 {
			return
		}
		out.ListAge, out.ListRevision = g.Now()-s.listedAt, s.listRevision
		out.Upstreams = s.lent()
	})
	return out
}

// borrowLists keeps the configuration and the list of upstreams as new and as
// fresh as those of the peers, until ctx ends.
func (g *Gateway) borrowLists(ctx context.Context) error {
	for loop.Wait(ctx, borrowPause) {
		var from string
		g.control.Do(func(s *state) { from = s.lender(g, g.Now()) })
		if from != "" {
			g.borrow(ctx, from)
		}
		g.wakeFollowers()
	}
	return nil
}

// wakeFollowers ends watches that have waited for too long: neither they nor
// the peers have confirmed what is known here. A store that is lost is tried
// again without that.
func (g *Gateway) wakeFollowers() {
	now := g.Now()
	tableAge, known := g.routing.Age(now)
	var wakeTable, wakeList bool
	g.control.Do(func(s *state) {
		wakeTable = known && tableAge > borrowAge && !s.storeLost[tableName]
		wakeList = now-s.listedAt > borrowAge && !s.storeLost[listName]
	})
	if wakeTable {
		g.table.awake()
	}
	if wakeList {
		g.list.awake()
	}
}

// lender returns the address of a peer that knows more of the store than this
// gateway does, as near as there is one; empty if there is none.
func (s *state) lender(g *Gateway, now time.Duration) string {
	tableAge, known := g.routing.Age(now)
	age := max(tableAge, now-s.listedAt)
	if !known {
		age = now
	}
	best, bestRank := "", 0
	alive := s.roster.Alive(now)
	first := int(s.random() * float64(len(alive)))
	for i := range alive {
		// From a random one on, so that the calls are spread.
		m := alive[(first+i)%len(alive)]
		rank := s.lenderRank(g, m, age, now)
		if rank > bestRank {
			best, bestRank = m.Address.Address, rank
		}
	}
	return best
}

// lenderRank ranks a peer by what it can bring; 0 is for nothing. What is known
// here is of an age.
func (s *state) lenderRank(g *Gateway, m *cluster.Member, age, now time.Duration) int {
	n := &m.News
	if n.ListAge < 0 || n.Table == 0 {
		return 0
	}
	newer := n.ListRevision > s.listRevision && n.ListDigest != s.listDigest || g.behind(n.Table)
	fresher := age > borrowAge && max(n.TableAge, n.ListAge)+now-m.LastHeard < age-borrowGain
	switch {
	case !newer && !fresher:
		return 0
	case m.Zone == s.zone:
		return 2
	}
	return 1
}

func (g *Gateway) borrow(ctx context.Context, address string) {
	asked := &peering.ListsRequest{Version: peering.Version}
	if t := g.routing.Table(); t != nil {
		asked.Table = t.Version
	}
	sent := g.Now()
	lent, err := g.peers.Lists(ctx, address, asked)
	if err != nil {
		g.Log.Info("lists not borrowed", zap.String("peer", address), zap.Error(err))
		return
	}
	if lent.Table != nil && g.routing.Adopt(lent.Table) {
		g.tableAdopted("peer")
	}
	g.routing.Confirm(lent.InForce, sent-lent.TableAge)
	g.Log.Info("lists borrowed", zap.String("peer", address), zap.Int64("configuration", lent.InForce), zap.Duration("configuration_age", lent.TableAge),
		zap.Int64("revision", lent.ListRevision), zap.Duration("list_age", lent.ListAge))
	if lent.ListAge < 0 {
		return
	}
	l := wholeList{upstreams: make(map[string]*fleet.Upstream, len(lent.Upstreams)), revision: lent.ListRevision, at: sent - lent.ListAge, lent: true}
	for _, u := range lent.Upstreams {
		l.upstreams[u.Instance] = u
	}
	g.control.Do(func(s *state) { s.setUpstreams(l, g.Now()) })
}
