package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/coordination/cluster"
	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/path"
	"lovageport.example/internal/coordination/peerload"
	"lovageport.example/internal/coordination/placement"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// state is the control state. Only the control loop touches it.
type state struct {
	log       *zap.Logger
	zone      string
	allowance retry.Allowance
	random    func() float64
	now       func() time.Duration

	table     *routing.Table
	upstreams map[string]*fleet.Upstream
	// listedAt is the boot time as of which the list of upstreams is known.
	listedAt time.Duration
	// listRevision is the store's as of which it is known.
	listRevision int64
	// listDigest is the sum of the hashes of the listed upstreams, entryHashes.
	listDigest  uint64
	entryHashes map[string]uint64
	pools       map[string]*pool
	loads       map[string]*load
	// crossings are what this gateway sends over pipes, by service and name.
	crossings map[pipeKey]*path.Crossing
	health    health.Tracker
	links     health.Links
	// suspicions are the requests that were in flight where upstreams crashed.
	suspicions quarantine.Tracker
	// told are those told to peers at toldAt.
	told   []peering.Suspicion
	toldAt time.Duration
	// waiting are the requests that wait for a place.
	waiting admission.Queue[*waiter]
	// drained is the rate at which waiting requests get their places, by
	// service.
	drained map[string]*admission.RateEstimator
	windows map[string]*retry.Window
	ledger  placement.Ledger
	roster  cluster.Members
	// near sums what the peers of the own zone carry, by address, and far what
	// other zones do, by zone. peers is how many peers are alive, and heard how
	// many have been heard in the last minute.
	near, far    peerload.Totals
	peers, heard int
	// asksFirst says that this gateway asks lost upstreams of its zone whatever
	// others do.
	asksFirst bool
	// listBackAt is when the list was last read after it could not be, and
	// lapsed are the upstreams, by instance, that are kept until a time though
	// it does not name them.
	listBackAt time.Duration
	lapsed     map[string]time.Duration
	// gone are the last entries, by instance, that the list has ceased to name.
	gone map[string]absence
	// leaving are the upstreams that have said that they are about to end, with
	// when they were last listed.
	leaving map[fleet.Incarnation]time.Duration
	// whole says which zones hold all layers of which services.
	whole map[string]bool
	// grownAt is when the list of upstreams last grew.
	grownAt time.Duration
	// storeLost says what could not be followed when last tried, and storeEmpty
	// what of that the store does not have.
	storeLost, storeEmpty map[string]bool
}

// pool is the upstreams of one service.
type pool struct {
	service *routing.Service
	// members are those that serve, in the order of their instances.
	members []*fleet.Upstream
	// layers is set for engines.
	layers *path.Map
}

// pipeKey names a pipe between two zones that engines of a service share.
type pipeKey struct{ service, name string }

// load is what this process has at work on an upstream.
type load struct {
	requests    int
	tokenLayers float64
	// begun is how many of the requests have it as first stage.
	begun int
	// reading is the rate of prompts, in token-layers.
	reading path.Rate
	// backlog is what prompts wait for there, as far as this process can tell.
	backlog  path.Backlog
	activity activity
}

func (s *state) init(g *Gateway) {
	s.log = g.Log
	s.roster.Self = g.self()
	s.zone = g.Settings.Zone
	s.allowance = g.allowance()
	s.random = g.Random
	s.now = g.Now
	s.health.Random = g.Random
	s.suspicions.CrashLimit = crashLimit
	s.waiting.Max = maxWaiting
	s.upstreams = make(map[string]*fleet.Upstream)
	s.entryHashes = make(map[string]uint64)
	s.loads = make(map[string]*load)
	s.crossings = make(map[pipeKey]*path.Crossing)
	s.leaving = make(map[fleet.Incarnation]time.Duration)
	s.lapsed = make(map[string]time.Duration)
	s.gone = make(map[string]absence)
	s.windows = make(map[string]*retry.Window)
	s.drained = make(map[string]*admission.RateEstimator)
	s.storeLost = make(map[string]bool)
	s.storeEmpty = make(map[string]bool)
}

func (s *state) setTable(t *routing.Table) {
	s.table = t
	s.rebuild()
}

// rebuild makes the pools anew.
func (s *state) rebuild() {
	s.pools = make(map[string]*pool)
	s.keepLeaving(s.now())
	s.forgetGone(s.now())
	if s.table == nil {
		return
	}
	newest := s.newestAt()
	for _, instance := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[instance]
		service := s.table.Services[u.Service]
		if service == nil || u.State != fleet.Serving || s.leaves(u) || u.Registered < newest[u.Address] {
			continue
		}
		p := s.pools[u.Service]
		if p == nil {
			p = &pool{service: service}
			s.pools[u.Service] = p
		}
		p.members = append(p.members, u)
	}
	for _, p := range s.pools {
		if p.service.Engine != nil {
			p.layers = path.NewMap(p.service.Engine, p.members)
		}
	}
	s.logCoverage(s.now())
	live := func(instance string) bool { return s.upstreams[instance] != nil }
	s.health.Retain(live)
	maps.DeleteFunc(s.loads, func(instance string, l *load) bool { return l.requests == 0 && !live(instance) })
}

// newestAt returns when the newest entry of each address was made: an address has
// one upstream, and the entry of one that crashed there lapses late.
func (s *state) newestAt() map[string]int64 {
	newest := make(map[string]int64, len(s.upstreams))
	for _, u := range s.upstreams {
		newest[u.Address] = max(newest[u.Address], u.Registered)
	}
	return newest
}

func (s *state) load(instance string) *load {
	l := s.loads[instance]
	if l == nil {
		l = &load{}
		s.loads[instance] = l
	}
	return l
}

func (s *state) crossing(key pipeKey) *path.Crossing {
	c := s.crossings[key]
	if c == nil {
		c = &path.Crossing{}
		s.crossings[key] = c
	}
	return c
}

func (s *state) window(service string) *retry.Window {
	w := s.windows[service]
	if w == nil {
		w = &retry.Window{}
		s.windows[service] = w
	}
	return w
}
