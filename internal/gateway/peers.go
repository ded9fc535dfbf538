package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/peer"
)

// Timeouts and intervals of the exchange between gateways.
const (
	// gossipInterval is how often it is checked which peers are due to be
	// called.
	gossipInterval = 50 * time.Millisecond
	// peerCallTimeout bounds a call to a peer.
	peerCallTimeout = 400 * time.Millisecond
	// peerListsTimeout bounds the call that fetches a peer's configuration and list,
	// up to a megabyte over a link that callers use too.
	peerListsTimeout = time.Second
)

// selfAddress returns the address under which this gateway is known to its
// peers.
func (g *Gateway) selfAddress() peering.Address {
	return peering.Address{Gateway: g.Settings.Name, Zone: g.Settings.Zone, Address: g.Settings.Listen.Peers}
}

// addSeeds adds the peers that the settings name.
func (g *Gateway) addSeeds(seeds []string) {
	var addresses []peering.Address
	for _, seed := range seeds {
		addresses = append(addresses, peering.Address{Address: seed})
	}
	g.control.Do(func(s *state) { s.members.AddAddresses(addresses, true, g.Now()) })
}

// gossip sends news to the peers that are due, until ctx is done.
func (g *Gateway) gossip(ctx context.Context) error {
	g.addSeeds(g.Settings.Peers.Seeds)
	for first := true; first || loop.Sleep(ctx, gossipInterval); first = false {
		due := make(map[string]*peering.News)
		g.control.Do(func(s *state) {
			now := g.Now()
			s.members.Prune(now)
			s.dropSilentPeers(now)
			g.setZoneIsolated(s.members.OtherZonesLost(now))
			s.updateReporting(g, now)
			for _, m := range s.members.TakeDue(now) {
				due[m.Address.Address] = g.buildCounted(s, recipient{zone: m.Zone, address: m.Address.Address, relay: &m.News.Relay})
			}
		})
		var calls sync.WaitGroup
		for address, news := range due {
			calls.Add(1)
			g.tasks.run(func(ctx context.Context) {
				defer calls.Done()
				g.sendNews(ctx, address, news)
			})
		}
		if first {
			g.tasks.run(func(context.Context) {
				calls.Wait()
				g.closePeersTried()
			})
		}
	}
	return nil
}

// setZoneIsolated records and logs whether this zone is isolated from the
// others.
func (g *Gateway) setZoneIsolated(isolated bool) {
	if g.zoneIsolated.Swap(isolated) == isolated {
		return
	}
	age, _ := g.routing.Age(g.Now())
	g.Log.Info("zone isolation changed", zap.Bool("cut_off", isolated), zap.Duration("configuration_age", age))
}

func (g *Gateway) sendNews(ctx context.Context, address string, news *peering.News) {
	sent := g.Now()
	reply, err := g.peerClients.News(ctx, address, news)
	if err != nil {
		g.Log.Debug("peer not reached", zap.String("peer", address), zap.Error(err))
		return
	}
	trusted := g.receiveNews(reply, sent)
	g.receiveLimits(reply, sent)
	g.closePeersTried()
	// The ages are as of when the reply was created. Counting them from when
	// the call was sent, which was earlier, never makes them look too fresh.
	if trusted {
		g.routing.Confirm(reply.Table, sent-reply.TableAge)
	}
	g.control.Send(func(s *state) { s.confirmListAge(reply, sent) })
}

// receiveNews merges a peer's news, whose ages count from the boot time asOf, into the
// state. It reports whether the ages that the peer states of what the store holds count.
func (g *Gateway) receiveNews(n *peering.News, asOf time.Duration) bool {
	var restored, trusted bool
	g.control.Do(func(s *state) {
		now := g.Now()
		restored = s.eras.ObservePeer(n.Store.Era, n.Store.EraAge, now)
		trusted = s.trustsPeer(n.Store.Era)
		s.mergeNews(n, now)
		s.mergeRelayed(n, asOf, now)
	})
	g.store.RecordEra(n.Store.Era)
	if restored {
		g.startEra(n.Store.Era, n.Address.Address)
	}
	return trusted
}

// isNewerTable reports whether a version is newer than that of the table in
// force.
func (g *Gateway) isNewerTable(version int64) bool {
	t := g.routing.Table()
	return version > 0 && (t == nil || version > t.Version)
}

// mergeNews merges a peer's news into the state.
func (s *state) mergeNews(n *peering.News, now time.Duration) {
	s.checkDemand(n)
	s.members.Update(n, now)
	s.mergeFaults(n, now)
	s.mergeFindings(n, now)
	s.mergeLeaving(n, now)
	s.mergeWithheld(n)
	s.mergeSuspicions(n.Suspicions, now)
	s.mergeParts(n.Parts, now)
	switch {
	case n.Address.Address == s.members.Self.Address:
	case n.Zone == s.zone && !n.OfZone:
		s.zonePeers.Set(n.Address.Address, n)
		s.zoneRetries.Set(n.Address.Address, retryReport(n), s.retryAllowance.Window, now)
		s.mergePeerDemand(n.Address.Address, n, now)
	case n.Zone != s.zone && n.OfZone:
		s.mergeDirect(n, now)
	}
	s.mergeKnownRetries(n, now)
}

// mergeFaults merges the faults that a peer has seen, unless they are probably its
// own.
func (s *state) mergeFaults(n *peering.News, now time.Duration) {
	if n.FaultNews.Own {
		return
	}
	for i, f := range n.Faults {
		u := s.upstreams[f.Upstream]
		// A peer of another zone may fail to reach an upstream that can be
		// reached from here.
		if u == nil || n.Zone != s.zone && n.Zone != u.Zone {
			continue
		}
		s.recordPeerFault(f, n.FaultNews.Seen, i, now)
		if s.probesAlone && u.Zone == s.zone {
			s.health.RequestProbe(f.Upstream, now)
		}
	}
}

// recordPeerFault records the fault at index i of a peer's news, as seen by the peer
// if it says so.
func (s *state) recordPeerFault(f peering.UpstreamFault, seen []peering.SeenFault, i int, now time.Duration) {
	if i >= len(seen) {
		s.health.RecordPeerExclusion(f.Upstream, f.Left, now)
		return
	}
	x := health.Exclusion{Instance: f.Upstream, Remaining: f.Left}
	s.health.RecordPeerFault(health.PeerFault{Exclusion: x, Age: seen[i].Age, Answered: seen[i].Answered}, now)
}

// addFaults adds the faults of upstreams that this gateway has seen.
func (s *state) addFaults(n *peering.News, now time.Duration) {
	faults, own := s.health.PeerFaults(now)
	n.FaultNews.Own = own
	for _, f := range faults {
		n.Faults = append(n.Faults, peering.UpstreamFault{Upstream: f.Instance, Left: f.Remaining})
		n.FaultNews.Seen = append(n.FaultNews.Seen, peering.SeenFault{Age: f.Age, Answered: f.Answered})
	}
}

// mergeFindings merges probe results of a peer of the own zone, which reaches
// the upstreams over the same network path.
func (s *state) mergeFindings(n *peering.News, now time.Duration) {
	if n.Zone != s.zone {
		return
	}
	for _, f := range n.Findings {
		if s.upstreams[f.Upstream] == nil {
			continue
		}
		if s.health.MergeObservation(health.Observation{Instance: f.Upstream, Age: f.Age, Pace: float64(f.Pace)}, now) {
			s.log.Info("upstream state updated by peer", zap.String("upstream", f.Upstream), zap.String("peer", n.Gateway), zap.Duration("age", f.Age), zap.Float32("pace", f.Pace))
		}
	}
}

// addFindings adds this gateway's probe results, for peers of the own zone.
func (s *state) addFindings(n *peering.News, now time.Duration) {
	if n.OfZone {
		return
	}
	for _, f := range s.health.Observations(now) {
		if len(n.Findings) < peering.MaxListItems {
			n.Findings = append(n.Findings, peering.UpstreamFinding{Upstream: f.Instance, Age: f.Age, Pace: float32(f.Pace)})
		}
	}
}

// setProbeSharing sets among how many gateways of the zone the probes are
// shared. The gateway that places the layers of the zone probes as if it were
// alone, since it must know which engines are lost.
func (s *state) setProbeSharing(own *peering.News, now time.Duration) {
	s.probesAlone = s.members.IsPlacementLeader(s.zone, own, now)
	s.health.SharingGateways = s.zonePeers.Len() + 1
	if s.probesAlone {
		s.health.SharingGateways = 1
	}
}

// dropSilentPeers drops the load reported by peers that were not heard from
// recently, and that of zones of which no report was.
func (s *state) dropSilentPeers(now time.Duration) {
	alive := s.members.Alive(now)
	heard := make(map[string]bool)
	for _, m := range alive {
		heard[m.Address.Address] = true
	}
	present := func(source string) bool { return heard[source] }
	s.zonePeers.Retain(present)
	s.zoneRetries.Retain(present, s.retryAllowance.Window, now)
	s.dropOldReports(now)
	s.dropSilentDemand(present)
	s.startingPeers = s.hasStartingPeer(alive)
	s.recentPeers = s.members.HeardCount()
	if s.alivePeers != len(alive) {
		s.alivePeers = len(alive)
		s.log.Info("peers changed", zap.Int("alive", s.alivePeers), zap.Int("near", s.zonePeers.Len()))
	}
	s.updateLimits(now)
}

// buildNews returns the news for a peer of a zone whose build relays no reports. A peer
// of another zone gets the sums of the own zone, since it often calls one gateway of the
// zone but each single one rarely.
func (s *state) buildNews(g *Gateway, zone string, now time.Duration) *peering.News {
	return s.newsTo(g, recipient{zone: zone, relay: &peering.RelayNews{}}, now)
}

// newsTo returns the news for a recipient.
func (s *state) newsTo(g *Gateway, to recipient, now time.Duration) *peering.News {
	n := s.buildSummary(g, now)
	s.addFaults(n, now)
	n.Suspicions = s.suspicionsToSend(now)
	n.Parts = s.partsToSend(now)
	n.Peers = s.samplePeers(now)
	n.OfZone = to.zone != s.zone
	s.addNotices(n, now)
	s.addFindings(n, now)
	s.addRelay(n, to, now)
	if n.OfZone && n.Relay.Sequence == 0 {
		return s.asHeartbeat(n, now)
	}
	s.addLoads(n, now)
	s.addLinkUse(n, now)
	s.addCounts(n, now)
	s.addDemand(n, now)
	return n
}

// buildSummary returns this gateway's news without its load.
func (s *state) buildSummary(g *Gateway, now time.Duration) *peering.News {
	n := &peering.News{Version: peering.Version, Address: s.members.Self, Draining: g.draining.Load(), ListAge: -1}
	if t := g.routing.Table(); t != nil {
		n.Table = t.Version
		n.TableAge, _ = g.routing.Age(now)
	}
	if s.listedAt > 0 {
		n.ListAge = now - s.listedAt
		n.ListDigest, n.ListRevision = s.list.Digest(), s.list.Revision().Number
		n.Follows = s.followsStore()
	}
	n.Store = s.storeNews(now)
	n.Reach = s.reachNews(g)
	return n
}

// addLoads adds the load on the upstreams.
func (s *state) addLoads(n *peering.News, now time.Duration) {
	for instance := range s.upstreams {
		var sum pathfinding.Load
		if l := s.loads[instance]; l != nil {
			sum = pathfinding.Load{Requests: float64(l.requests), Begun: float64(l.entering), TokenLayers: l.tokenLayers, Reading: l.prefillRate.At(now)}
		}
		if n.OfZone {
			sum = sum.Plus(s.zonePeers.Load(instance))
		}
		if sum.Requests > 0 {
			n.Loads = append(n.Loads, peering.UpstreamLoad{Upstream: instance, Requests: int(sum.Requests), Begun: int(sum.Begun), TokenLayers: float32(sum.TokenLayers), Reading: float32(sum.Reading)})
		}
	}
}

// minLinkRate is the rate, in prompt tokens per second, below which the use of
// a link is not reported.
const minLinkRate = 1.0

// addLinkUse adds the use of links between zones.
func (s *state) addLinkUse(n *peering.News, now time.Duration) {
	for key, l := range s.linkLimiters {
		sum := l.Rate(now)
		if n.OfZone {
			sum += s.zonePeers.PromptTokenRate(key.service, key.name)
		}
		if sum >= minLinkRate {
			n.Pipes = append(n.Pipes, peering.PipeUse{Service: key.service, Pipe: key.name, Reading: float32(sum)})
		}
	}
}

// maxNamedPeers is how many peers are named in one message, and maxNamedPeersOfMany if
// there are so many that reports are relayed: a peer takes 50 bytes, and each gateway gets
// some 60 messages a second. They are picked at random, so that all are named over several
// messages.
const (
	maxNamedPeers       = 6
	maxNamedPeersOfMany = 4
)

// samplePeers returns some of the peers that are alive, from a random one on.
func (s *state) samplePeers(now time.Duration) []peering.Address {
	alive := s.members.Alive(now)
	var out []peering.Address
	first := int(s.random() * float64(len(alive)))
	named := maxNamedPeers
	if s.members.RelaysReports() {
		named = maxNamedPeersOfMany
	}
	for i := range min(named, len(alive)) {
		out = append(out, alive[(first+i)%len(alive)].Address)
	}
	return out
}

// peerHandler returns the handler of peers' calls.
func (g *Gateway) peerHandler() *peer.Handler {
	return &peer.Handler{
		Guard: g.guard(),
		News: func(_ context.Context, news *peering.News) (*peering.News, error) {
			received := g.Now()
			g.receiveNews(news, received)
			// The peer has sent the call at most that long ago.
			g.receiveLimits(news, received-peerCallTimeout)
			var reply *peering.News
			from := recipient{zone: news.Zone, address: news.Address.Address, relay: &news.Relay, answers: true}
			g.control.Do(func(s *state) { reply = g.buildCounted(s, from) })
			return reply, nil
		},
		Lists: func(_ context.Context, req *peering.ListsRequest) (*peering.Lists, error) {
			return g.buildLists(req)
		},
	}
}
