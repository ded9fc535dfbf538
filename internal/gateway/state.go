package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/coordination/cluster"
	"lovageport.example/internal/coordination/fairshare"
	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/outage"
	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/coordination/peerload"
	"lovageport.example/internal/coordination/placement"
	"lovageport.example/internal/coordination/prefixcache"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/coordination/reach"
	"lovageport.example/internal/coordination/restoration"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/coordination/throttle"
	"lovageport.example/internal/coordination/zonereport"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/registry"
	"lovageport.example/internal/state/revision"
	"lovageport.example/internal/state/routing"
)

// state is the control state. It is accessed only from the control loop.
type state struct {
	log            *zap.Logger
	zone           string
	retryAllowance retry.Allowance
	random         func() float64
	now            func() time.Duration

	table *routing.Table
	// list is the list of upstreams as it is known of the store, and upstreams those
	// that this gateway may use: the list with the retained and the withheld ones, and
	// with the layers that engines have reported since.
	list      registry.List
	upstreams map[string]*fleet.Upstream
	// listedAt is the boot time at which the list of upstreams is known to have
	// been current.
	listedAt time.Duration
	// eras follows the restorations of the store. withheld holds, by instance,
	// the entries that a restored store lists as serving although the upstream
	// was seen draining or removed before; s.upstreams holds them as draining.
	eras     restoration.Tracker
	withheld map[string]*fleet.Upstream
	// changedSince holds the instances whose entries have changed since the
	// store was restored.
	changedSince map[string]bool
	pools        map[string]*servicePool
	// formerPools are those of services that running requests were accepted for,
	// and that the table no longer describes alike.
	formerPools []*formerPool
	loads       map[string]*upstreamLoad
	// linkLimiters limit what this gateway sends over links between zones, by
	// service and link name.
	linkLimiters map[linkKey]*pathfinding.LinkLimiter
	health       health.Tracker
	linkFaults   health.Links
	// limits keeps the calls to upstreams within the rates that they state, and limited
	// holds, by instance, how the limits in force became known. limitsKnown publishes
	// whether there are any.
	limits  throttle.Limits
	limited map[string]knownLimit
	// limitReturns holds, by service and rank, the boot time at which the next caller is told to
	// return that is refused because of limits.
	limitReturns map[returnKey]time.Duration
	limitsKnown  *atomic.Bool
	// reach decides over which paths upstreams are called.
	reach reach.Tracker
	// relayed publishes since when upstreams are called through peers, by address.
	relayed *atomic.Pointer[map[string]time.Duration]
	// startPathCheck begins a check of the path to an address; nil for none.
	startPathCheck func(address string)
	// suspicions are the requests that were in flight on upstreams that
	// crashed.
	suspicions quarantine.Tracker
	// parts are the parts of prompts that may crash engines.
	parts quarantine.Parts
	// prefixes estimates which engines cache the beginning of a prompt.
	prefixes prefixcache.Cache
	// cachedSuspicions are the suspicions for peers, as computed at
	// suspicionsCachedAt.
	cachedSuspicions   []peering.Suspicion
	suspicionsCachedAt time.Duration
	// queue holds the requests that wait for a target.
	queue admission.Queue[*waiter]
	// resumptions are the streams that wait to be resumed outside the queue, which they
	// would hold up, the most urgent first.
	resumptions []*waiter
	// dispatchRates are the rates at which queued requests get their targets,
	// by service.
	dispatchRates map[string]*admission.RateEstimator
	// waiting holds what peers report of waiting requests, and the callers that were
	// refused.
	waiting waiting
	// sharesAcross is set if the settings ask for shares across all gateways. Otherwise
	// shares stays empty.
	sharesAcross bool
	// shares divides the capacity of each service between the classes of its requests.
	shares map[string]*fairshare.Service
	// sentDemand holds the demand of this gateway and that of its zone.
	sentDemand [2]cachedDemand
	// metrics is nil in states that belong to no running gateway.
	metrics      *metrics
	retryWindows map[string]*retry.Window
	// zoneRetries and otherRetries hold the requests and retries reported by the
	// peers of the own zone, by address, and by other zones, by name.
	zoneRetries, otherRetries retry.Reports
	// startedAt is the boot time since which this process counts retries.
	startedAt time.Duration
	// beforeStart holds, by service, the retries before startedAt that no report
	// contains, as peers have told; nil if none has.
	beforeStart map[string]float64
	// startingPeers reports whether a peer has not counted retries for a whole
	// window yet.
	startingPeers bool
	reconciler    placement.Reconciler
	members       cluster.Members
	// zonePeers sums the load reported by the peers of the own zone, by
	// address, and otherZones that of other zones, by zone. alivePeers is the
	// number of peers that are alive, and recentPeers the number heard from in
	// the last minute.
	zonePeers, otherZones   peerload.Totals
	alivePeers, recentPeers int
	// zoneReports holds the newest reports of other zones, of which otherZones and
	// otherRetries are derived.
	zoneReports zonereport.Reports
	// invalidReports counts the reports of other zones that could not be used.
	invalidReports *atomic.Int64
	// probesAlone reports whether this gateway probes the lost upstreams of its
	// zone without sharing that work with its peers.
	probesAlone bool
	// outage dates the outages of the store. retained holds, by instance, the upstreams
	// that are kept although the list no longer contains them.
	outage   outage.Tracker
	retained map[string]retention
	// unconfirmed holds, by instance, the upstreams that the list lacks without a
	// deletion in the store's changes.
	unconfirmed map[string]absence
	// keptDraining holds, by instance, the list revision at which the upstreams
	// were known to drain that a later list of a peer shows as serving.
	keptDraining map[string]revision.Revision
	// listSourcesLeft holds, by address, until when peers are not asked for their
	// lists.
	listSourcesLeft map[string]time.Duration
	// leaving holds the upstreams that have announced their shutdown, with the
	// time at which they were last listed.
	leaving map[fleet.Incarnation]time.Duration
	// covered says, by service and zone, whether the engines of the zone hold
	// all layers.
	covered map[string]bool
	// listGrewAt is when the list of upstreams last grew.
	listGrewAt time.Duration
	// storeFailed says, by name, which objects of the store could not be read
	// or watched at the last attempt, and storeMissing which of them do not
	// exist there.
	storeFailed, storeMissing map[string]bool
}

// linkKey identifies a link between two zones, which all engines of a service
// share.
type linkKey struct{ service, name string }

// upstreamLoad is the load that this process has placed on an upstream.
type upstreamLoad struct {
	requests    int
	tokenLayers float64
	// entering is the number of requests that have the upstream as their first
	// stage.
	entering int
	// prefillRate is the rate at which prompts are sent to the upstream, in
	// token-layers.
	prefillRate pathfinding.Rate
	// prefillBacklog estimates how long a new prompt waits for those sent
	// before.
	prefillBacklog pathfinding.Backlog
	activity       stageActivity
}

func (s *state) init(g *Gateway) {
	s.log = g.Log
	s.members.Self = g.selfAddress()
	s.zone = g.Settings.Zone
	s.retryAllowance = g.retryAllowance()
	s.random = g.Random
	s.now = g.Now
	s.startedAt = g.Now()
	if g.Settings.FirstStart {
		// Before it there is nothing to know of.
		s.startedAt -= s.retryAllowance.Window
	}
	s.relayed = &g.relayed
	s.invalidReports = &g.invalidReports
	s.health.Random = g.Random
	s.limits.Random, s.limits.Use = g.Random, s.limitUse
	s.limitsKnown = &g.limitsKnown
	s.limited = make(map[string]knownLimit)
	s.limitReturns = make(map[returnKey]time.Duration)
	s.suspicions.CrashLimit = crashLimit
	s.prefixes.Retention, s.prefixes.Shared = g.Settings.Prefixes.Retention.Duration, g.Settings.Prefixes.Shared
	s.queue.Max = maxQueued
	if g.metrics != nil {
		s.waiting.refused, s.waiting.returned = g.metrics.queueRefusals, g.metrics.queuedReturns
	}
	s.upstreams = make(map[string]*fleet.Upstream)
	s.loads = make(map[string]*upstreamLoad)
	s.linkLimiters = make(map[linkKey]*pathfinding.LinkLimiter)
	s.listSourcesLeft = make(map[string]time.Duration)
	s.leaving = make(map[fleet.Incarnation]time.Duration)
	s.retained = make(map[string]retention)
	s.unconfirmed = make(map[string]absence)
	s.withheld = make(map[string]*fleet.Upstream)
	s.changedSince = make(map[string]bool)
	s.retryWindows = make(map[string]*retry.Window)
	s.dispatchRates = make(map[string]*admission.RateEstimator)
	s.shares = make(map[string]*fairshare.Service)
	s.sharesAcross = g.Settings.Shares.AcrossGateways
	s.metrics = g.metrics
	s.storeFailed = make(map[string]bool)
	s.storeMissing = make(map[string]bool)
}

func (s *state) loadOf(instance string) *upstreamLoad {
	l := s.loads[instance]
	if l == nil {
		l = &upstreamLoad{}
		s.loads[instance] = l
	}
	return l
}

func (s *state) linkLimiter(key linkKey) *pathfinding.LinkLimiter {
	l := s.linkLimiters[key]
	if l == nil {
		l = &pathfinding.LinkLimiter{}
		s.linkLimiters[key] = l
	}
	return l
}
