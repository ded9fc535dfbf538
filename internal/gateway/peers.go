package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

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
	// behindTime is how long a peer may have a newer configuration before the
	// own watch is taken to have gone silent.
	behindTime = 300 * time.Millisecond
	// freshListAge is the age up to which a peer's list of upstreams can show
	// that the own one has missed a change.
	freshListAge = 1500 * time.Millisecond
	// borrowPause is the least time between two such calls.
	borrowPause = 300 * time.Millisecond
)

// self is what this gateway is called by.
func (g *Gateway) self() peering.Address {
	return peering.Address{Gateway: g.Settings.Name, Zone: g.Settings.Zone, Address: g.Settings.Listen.Peers}
}

// register makes this gateway known in the store and learns of others there.
// Gateways that are known to others need neither, so that a store that is down
// holds nobody up.
func (g *Gateway) register(ctx context.Context) error {
	me := platform.GatewayEntry{Name: g.Settings.Name, Zone: g.Settings.Zone, Address: g.Settings.Listen.Peers}
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
	g.control.Do(func(s *state) { s.roster.Learn(addresses, false, g.Now()) })
	<-ctx.Done()
	return nil
}

// learnSeeds takes in the peers that the settings name.
func (g *Gateway) learnSeeds(seeds []string) {
	var addresses []peering.Address
	for _, seed := range seeds {
		addresses = append(addresses, peering.Address{Address: seed})
	}
	g.control.Do(func(s *state) { s.roster.Learn(addresses, true, g.Now()) })
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
			for _, m := range s.roster.Due(now) {
				due[m.Address.Address] = s.news(g, m.Zone, now)
			}
		})
		for address, said := range due {
			go g.tellOne(ctx, address, said)
		}
	}
	return nil
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

// confirmList takes a peer's word on how fresh the list of upstreams is, if it
// has the same. It runs in the control loop.
func (s *state) confirmList(n *peering.News, sent time.Duration) {
	if n.ListAge >= 0 && n.ListDigest == s.listDigest && s.listedAt > 0 {
		s.listedAt = max(s.listedAt, sent-n.ListAge)
	}
}

// hear takes in news of a peer.
func (g *Gateway) hear(n *peering.News) {
	g.control.Do(func(s *state) { s.hear(n, g.Now()) })
	// The watch usually brings news within milliseconds.
	if g.behind(n.Table) {
		time.AfterFunc(behindTime, func() {
			if g.behind(n.Table) {
				g.table.missed()
			}
		})
	}
	if digest := g.listDiffers(n); digest != 0 {
		time.AfterFunc(behindTime, func() {
			if g.listDiffers(n) == digest {
				g.list.missed()
			}
		})
	}
}

// listDiffers returns the digest of the own list of upstreams if it differs
// from that of a peer whose list is fresh; 0 if not.
func (g *Gateway) listDiffers(n *peering.News) uint64 {
	if n.ListAge < 0 || n.ListAge > freshListAge {
		return 0
	}
	digest := uint64(0)
	g.control.Do(func(s *state) {
		if s.listDigest != n.ListDigest {
			digest = s.listDigest
		}
	})
	return digest
}

// behind says whether a version is newer than the one in force.
func (g *Gateway) behind(version int64) bool {
	t := g.routing.Table()
	return version > 0 && (t == nil || version > t.Version)
}

// hear runs in the control loop.
func (s *state) hear(n *peering.News, now time.Duration) {
	s.roster.Hear(n, now)
	for _, f := range n.Faults {
		u := s.upstreams[f.Upstream]
		// What a peer of another zone can't reach may be within reach here.
		if u != nil && (n.Zone == s.zone || n.Zone == u.Zone) {
			s.health.Hear(f.Upstream, f.Left, now)
		}
	}
	s.hearSuspicions(n.Suspicions, now)
	switch {
	case n.Address.Address == s.roster.Self.Address:
	case n.Zone == s.zone && !n.OfZone:
		s.near.Put(n.Address.Address, n)
	case n.Zone != s.zone && n.OfZone:
		s.far.Put(n.Zone, n)
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
	s.near.Keep(present)
	s.far.Keep(present)
	s.heard = s.roster.Heard()
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
	for _, o := range s.health.Outs(now) {
		n.Faults = append(n.Faults, peering.UpstreamFault{Upstream: o.Instance, Left: o.Left})
	}
	n.Suspicions = s.wireSuspicions(now)
	n.Peers = s.somePeers(now)
	n.OfZone = zone != s.zone
	s.addLoads(n)
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
		n.ListDigest = s.listDigest
		n.Follows = !s.storeLost[listName]
	}
	return n
}

// addLoads adds what is under way at the upstreams.
func (s *state) addLoads(n *peering.News) {
	for instance := range s.upstreams {
		var sum path.Load
		if l := s.loads[instance]; l != nil {
			sum = path.Load{Requests: float64(l.requests), TokenLayers: l.tokenLayers}
		}
		if n.OfZone {
			sum = sum.Plus(s.near.Load(instance))
		}
		if sum.Requests > 0 {
			n.Loads = append(n.Loads, peering.UpstreamLoad{Upstream: instance, Requests: int(sum.Requests), TokenLayers: float32(sum.TokenLayers)})
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
			sum = sum.Plus(s.near.Counts(service))
		}
		n.Services = append(n.Services, peering.ServiceCounts{Service: service, Requests: float32(sum.Requests), Repeats: float32(sum.Repeats)})
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
		out.ListAge = g.Now() - s.listedAt
		for _, instance := range slices.Sorted(maps.Keys(s.upstreams)) {
			out.Upstreams = append(out.Upstreams, s.upstreams[instance])
		}
	})
	return out
}

// borrowLists keeps the configuration and the list of upstreams fresh through
// the peers while the store can't be followed, until ctx ends.
func (g *Gateway) borrowLists(ctx context.Context) error {
	for loop.Wait(ctx, borrowPause) {
		g.wakeFollowers()
		var from string
		g.control.Do(func(s *state) { from = s.lender(g, g.Now()) })
		if from != "" {
			g.borrow(ctx, from)
		}
	}
	return nil
}

// wakeFollowers ends watches that have waited for too long: nobody has
// confirmed meanwhile what is known here.
func (g *Gateway) wakeFollowers() {
	now := g.Now()
	if age, known := g.routing.Age(now); known && age > borrowAge {
		g.table.awake()
	}
	var listAge time.Duration
	g.control.Do(func(s *state) { listAge = now - s.listedAt })
	if listAge > borrowAge {
		g.list.awake()
	}
}

// lender returns the address of the peer that knows more of the store than
// this gateway does; empty if what is known here is fresh enough.
func (s *state) lender(g *Gateway, now time.Duration) string {
	tableAge, known := g.routing.Age(now)
	listAge := now - s.listedAt
	if known && tableAge < borrowAge && listAge < borrowAge && !s.outdated(g, now) {
		return ""
	}
	best, bestAge := "", max(tableAge, listAge)
	if !known {
		bestAge = now
	}
	for _, m := range s.roster.Alive(now) {
		if m.News.ListAge < 0 || m.News.Table == 0 {
			continue
		}
		if age := max(m.News.TableAge, m.News.ListAge) + now - m.HeardAt; age < bestAge {
			best, bestAge = m.Address.Address, age
		}
	}
	return best
}

// outdated says whether a peer is known to know more while the store can't be
// followed.
func (s *state) outdated(g *Gateway, now time.Duration) bool {
	for _, m := range s.roster.Alive(now) {
		if !m.News.Follows || m.News.ListAge > freshListAge {
			continue
		}
		if s.storeLost[listName] && m.News.ListDigest != s.listDigest || s.storeLost[tableName] && g.behind(m.News.Table) {
			return true
		}
	}
	return false
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
	if lent.ListAge < 0 {
		return
	}
	all := make(map[string]*fleet.Upstream, len(lent.Upstreams))
	for _, u := range lent.Upstreams {
		all[u.Instance] = u
	}
	g.control.Do(func(s *state) {
		if at := sent - lent.ListAge; at > s.listedAt {
			s.setUpstreams(all, at, g.Now())
		}
	})
}
