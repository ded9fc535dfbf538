package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"lovageport.example/internal/coordination/cluster"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
)

// When the configuration and the list of upstreams are fetched from peers.
const (
	// staleAge is the age of the list, or of the configuration if its bound allows
	// as much, above which a peer's fresher knowledge is fetched.
	staleAge = 2200 * time.Millisecond
	// minFreshnessGain is by how much the peer's knowledge must be fresher.
	minFreshnessGain = 300 * time.Millisecond
	// peerSyncInterval is the least time between two such calls.
	peerSyncInterval = 150 * time.Millisecond
	// minListSourcePause and maxListSourcePause bound the time for which a peer is
	// not asked again that could not answer.
	minListSourcePause = 300 * time.Millisecond
	maxListSourcePause = 600 * time.Millisecond
)

// Limits on the configurations that are sent to peers. A route takes about 200 bytes,
// and small VMs have 20 Mbit/s, which callers use too. Whoever has got the configuration
// passes it on.
const (
	listRoutesPerSecond = 8000
	listRoutesBurst     = 4000
)

// errListsBusy is returned to a peer that should ask another one or later.
var errListsBusy = errors.New("gateway: the configuration is being sent to others")

// newListLimiter returns the limiter of the routes that are sent to peers.
func newListLimiter() *rate.Limiter { return rate.NewLimiter(listRoutesPerSecond, listRoutesBurst) }

// buildLists returns the configuration, if it is newer than the one that the
// peer has, and the list of upstreams. It fails while too many peers get the
// configuration.
func (g *Gateway) buildLists(req *peering.ListsRequest) (*peering.Lists, error) {
	out := &peering.Lists{Version: peering.Version, ListAge: -1}
	if t := g.routing.Table(); t != nil {
		out.InForce = t.Version
		out.TableAge, _ = g.routing.Age(g.Now())
		if t.Version > req.Table {
			if !g.listLimiter.AllowN(bootTime(g.Now()), min(len(t.Routes), listRoutesBurst)) {
				return nil, errListsBusy
			}
			out.Table = t
		}
	}
	g.control.Do(func(s *state) {
		if s.listedAt == 0 {
			return
		}
		out.ListAge = g.Now() - s.listedAt
		at := s.list.Revision()
		out.ListRevision, out.ListEra = at.Number, at.Era
		out.Upstreams = s.list.Entries()
	})
	return out, nil
}

// syncWithPeers fetches the configuration and the list of upstreams from peers
// that have them newer or fresher, until ctx is done.
func (g *Gateway) syncWithPeers(ctx context.Context) error {
	for loop.Sleep(ctx, peerSyncInterval) {
		var source string
		g.control.Do(func(s *state) { source = s.bestListSource(g, g.Now()) })
		if source != "" {
			g.fetchLists(ctx, source)
		}
		g.wakeStaleWatchers()
	}
	return nil
}

// wakeStaleWatchers wakes watchers whose knowledge neither the store nor a peer
// has confirmed recently. During an outage of the store the watchers retry by
// themselves.
func (g *Gateway) wakeStaleWatchers() {
	now := g.Now()
	tableAge, known := g.routing.Age(now)
	var wakeTable, wakeList bool
	g.control.Do(func(s *state) {
		wakeTable = known && tableAge > min(staleAge, g.currentAge()) && !s.storeFailed[tableName]
		wakeList = now-s.listedAt > staleAge && !s.storeFailed[listName]
	})
	if wakeTable {
		g.tableWatcher.wakeUp()
	}
	if wakeList {
		g.upstreamWatcher.wakeUp()
	}
}

// bestListSource returns the address of a peer with newer or fresher knowledge
// of the store, preferably of the own zone; empty if there is none.
func (s *state) bestListSource(g *Gateway, now time.Duration) string {
	tableAge, known := g.routing.Age(now)
	age := max(tableAge, now-s.listedAt)
	if !known {
		age = now
	}
	best, bestRank := "", 0
	alive := s.members.Alive(now)
	first := int(s.random() * float64(len(alive)))
	for i := range alive {
		// Start at a random peer to spread the calls.
		m := alive[(first+i)%len(alive)]
		rank := s.listSourceRank(g, m, age, now)
		if rank > bestRank {
			best, bestRank = m.Address.Address, rank
		}
	}
	return best
}

// listSourceRank ranks a peer by how useful its lists are here, given the age of
// the own ones; 0 means of no use.
func (s *state) listSourceRank(g *Gateway, m *cluster.Member, age, now time.Duration) int {
	n := &m.News
	if n.ListAge < 0 || n.Table == 0 || now < s.listSourcesLeft[m.Address.Address] {
		return 0
	}
	at, known := s.peerRevision(n.Store.ListEra, n.ListRevision)
	if !known || at.Era < s.list.Revision().Era {
		return 0
	}
	newer := at.After(s.list.Revision()) && n.ListDigest != s.list.Digest() || g.isNewerTable(n.Table)
	fresher := age > staleAge && max(n.TableAge, n.ListAge)+now-m.LastHeard < age-minFreshnessGain
	switch {
	case !newer && !fresher:
		return 0
	case m.Zone == s.zone:
		return 2
	}
	return 1
}

// leaveListSource has a peer that could not answer left alone for a while, which differs
// between gateways.
func (s *state) leaveListSource(address string, now time.Duration) {
	for a, until := range s.listSourcesLeft {
		if now >= until {
			delete(s.listSourcesLeft, a)
		}
	}
	pause := minListSourcePause + time.Duration(s.random()*float64(maxListSourcePause-minListSourcePause))
	s.listSourcesLeft[address] = now + pause
}

// fetchLists takes over the configuration and the list of upstreams of a peer if
// they are newer.
func (g *Gateway) fetchLists(ctx context.Context, address string) {
	req := &peering.ListsRequest{Version: peering.Version}
	if t := g.routing.Table(); t != nil {
		req.Table = t.Version
	}
	sent := g.Now()
	lists, err := g.peerClients.Lists(ctx, address, req)
	if err != nil {
		g.Log.Info("fetching lists from peer failed", zap.String("peer", address), zap.Error(err))
		g.control.Do(func(s *state) { s.leaveListSource(address, g.Now()) })
		// Peers may be too busy to send a large configuration for a while.
		notify(g.tableWatcher.resume)
		notify(g.upstreamWatcher.resume)
		return
	}
	if lists.Table != nil && g.routing.Adopt(lists.Table) {
		g.applyTable(tableOrigin{source: "peer", peer: address, sent: sent})
	}
	g.Log.Info("lists fetched from peer", zap.String("peer", address), zap.Int64("configuration", lists.InForce), zap.Duration("configuration_age", lists.TableAge),
		zap.Int64("revision", lists.ListRevision), zap.Duration("list_age", lists.ListAge))
	l := upstreamList{upstreams: make(map[string]*fleet.Upstream, len(lists.Upstreams)), asOf: sent - lists.ListAge, peer: address}
	for _, u := range lists.Upstreams {
		l.upstreams[u.Instance] = u
	}
	trusted := false
	g.control.Do(func(s *state) {
		l.revision, trusted = s.peerRevision(lists.ListEra, lists.ListRevision)
		if trusted && lists.ListAge >= 0 {
			s.replaceUpstreams(l, g.Now())
		}
	})
	if trusted {
		g.routing.Confirm(lists.InForce, sent-lists.TableAge)
	}
}
