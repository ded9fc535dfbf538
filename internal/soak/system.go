package soak

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"lovageport.example/internal/standin/endless"
	"lovageport.example/platform/platformtest"
)

// system is a small deployment: a store, upstreams and gateways in two zones.
type system struct {
	store *platformtest.Store
	// upstreams holds the simulated upstreams. upstreamProxies holds the
	// proxies in front of them, by the same index.
	upstreams       []*platformtest.Upstream
	upstreamProxies []*Proxy
	gateways        []*gateway
	// endlessPeer is among the seeds in the gateways' settings and sends an
	// endless response.
	endlessPeer net.Listener
	// processes tracks the gateways, and serving the endless peer.
	processes, serving sync.WaitGroup

	// began is when the first action could start.
	began time.Time

	mu sync.Mutex
	// versions holds the configurations that the store has acknowledged,
	// oldest first.
	versions []configurationVersion
	// leavePeriods holds the past periods in which upstreams were
	// leaving.
	leavePeriods []leavePeriod
	violations   []Violation
	// limitPeriods holds the past periods in which upstreams stated limits, and
	// limitedCalls is how many calls to them were checked.
	limitPeriods []limitPeriod
	limitedCalls int
	// unavailable holds the indexes of the upstreams that are leaving, refuse
	// calls or have crashed.
	unavailable map[int]bool
	// keptVersions is how many of the newest configurations' keys and routes are
	// valid.
	keptVersions int
	// storms is set if each key has routes of its own and streams may last for
	// seconds.
	storms bool
	// releases is set if engines are released. spares holds the indexes of the engines
	// that have not started yet. gone holds the addresses of those that have ended.
	releases bool
	spares   []int
	gone     sync.Map
	// retrySlack is the number of retries that are allowed beside a share.
	retrySlack int
	// standstill is the longest standstill of a process that a run has.
	standstill time.Duration
	// recoveryCalls holds the calls of checkRecovery.
	recoveryCalls []*call
}

// leavePeriod is a period in which an upstream was leaving. listed is set if
// its entry in the store was marked as draining too.
type leavePeriod struct {
	upstream int
	from, to time.Time
	listed   bool
}

// Violation is a guarantee that did not hold.
type Violation struct{ Guarantee, Detail string }

// entryExpiry is how long after a crash the entry of an upstream is removed
// from the store.
const entryExpiry = time.Second

// eventInterval is the time between the events of a stream.
const eventInterval = 20 * time.Millisecond

var zones = []string{"a", "b"}

// newSystem starts a store, upstreams and gateways. If it returns an error,
// the caller still has to close the system.
func newSystem(p Config) (*system, error) {
	s := &system{store: platformtest.NewStore(), unavailable: make(map[int]bool), keptVersions: 1, storms: p.Storms, releases: p.Releases, retrySlack: retrySlack}
	if p.Storms {
		s.keptVersions = stormKeptVersions
	}
	s.store.SetEra(1)
	// Each zone has one engine for either half of the layers, a spare engine
	// and two plain services.
	for i, held := range []int{0, 8, -1, 0, 8, -1} {
		u, err := s.addUpstream(platformtest.EngineService, zones[i/3], platformtest.Accelerator, fmt.Sprint("engine", i))
		if err != nil {
			return s, err
		}
		u.EventInterval = eventInterval
		if held >= 0 {
			u.SetLayers(held, held+platformtest.Layers/2)
		}
	}
	for i := range 4 {
		if _, err := s.addUpstream(platformtest.PlainService, zones[i/2], "", fmt.Sprint("plain", i)); err != nil {
			return s, err
		}
	}
	if p.Releases {
		s.retrySlack = releaseRetrySlackPerGateway * p.Gateways
		if err := s.addSpares(); err != nil {
			return s, err
		}
	}
	s.configure()
	for i := range p.Gateways {
		g, err := newGateway(fmt.Sprint("gateway", i), zones[i%len(zones)], p.Dir, p.BinDir, s.store.Address)
		if err != nil {
			return s, err
		}
		g.retrySlack = s.retrySlack
		if p.EarlierBinDir != "" {
			g.binDir, g.otherBinDir = p.EarlierBinDir, p.BinDir
		}
		g.earlierSettings = p.EarlierSettings || p.EarlierBinDir != ""
		if p.MaxProcs > 0 {
			g.variables = []string{fmt.Sprint("GOMAXPROCS=", p.MaxProcs)}
		}
		if p.Standstills {
			s.standstill = maxStandstill
			g.drawDrainStandstill = newDrainStandstills(p.Seed, i)
		}
		g.report = s.reportViolation
		s.gateways = append(s.gateways, g)
	}
	return s, s.startGateways()
}

// addUpstream starts an upstream with a proxy in front of it and registers
// it.
func (s *system) addUpstream(service, zone, kind, instance string) (*platformtest.Upstream, error) {
	u := platformtest.NewUpstream(s.store, service, zone, kind, instance)
	s.upstreams = append(s.upstreams, u)
	p, err := NewProxy(u.Address)
	if err != nil {
		return u, err
	}
	s.upstreamProxies = append(s.upstreamProxies, p)
	u.Address = p.Address
	u.Register("ready")
	return u, nil
}

// seedsPerGateway is how many other gateways the settings of a gateway name
// as seeds.
const seedsPerGateway = 3

// startGateways writes the settings of the gateways and starts them.
func (s *system) startGateways() error {
	var err error
	if s.endlessPeer, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	server := endless.Server{Repeat: endlessHeaderBlock}
	s.serving.Go(func() { server.Serve(s.endlessPeer) })
	for i, g := range s.gateways {
		seeds := []string{s.endlessPeer.Addr().String()}
		for k := range min(seedsPerGateway, len(s.gateways)-1) {
			seeds = append(seeds, s.gateways[(i+k+1)%len(s.gateways)].peerAddress)
		}
		if err := g.writeSettings(seeds); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		s.processes.Go(func() {
			if err := g.run(); err != nil {
				s.reportViolation("gateway processes can be started", err.Error())
			}
		})
	}
	return nil
}

// close stops all that newSystem has started.
func (s *system) close() {
	for _, g := range s.gateways {
		g.stop()
	}
	s.processes.Wait()
	// The gateways call this port while they run, so it must not be reused
	// before.
	if s.endlessPeer != nil {
		s.endlessPeer.Close()
	}
	s.serving.Wait()
	for _, g := range s.gateways {
		g.callerProxy.Close()
		g.storeProxy.Close()
	}
	for _, l := range s.upstreamProxies {
		l.Close()
	}
	for _, u := range s.upstreams {
		u.Close()
	}
	s.store.Close()
}

// restoreStore restores the store from a copy of a given age. The store is away for
// some time before, and what was lost is written again some time after.
func (s *system) restoreStore(age, away, rewrite time.Duration) {
	earlier := s.store.Copy()
	time.Sleep(age)
	s.store.SetDown(true)
	time.Sleep(away)
	s.store.Restore(earlier)
	s.store.SetDown(false)
	time.Sleep(rewrite)
	s.writeAgain()
}

// writeAgain has the operator and the upstreams write what they wrote last.
func (s *system) writeAgain() {
	s.mu.Lock()
	s.putLatest()
	s.mu.Unlock()
	for _, u := range s.upstreams {
		u.WriteAgain()
	}
}

// leave makes an upstream leave for a duration, unless it is unavailable
// already. All its responses announce this, and so does its entry in the
// store if listed is set. Afterwards the upstream is restarted.
func (s *system) leave(upstream int, length time.Duration, listed bool) {
	if !s.markUnavailable(upstream) {
		return
	}
	s.upstreams[upstream].SetLeaving(true)
	if listed {
		s.upstreams[upstream].Register("draining")
	}
	from := time.Now()
	time.Sleep(length)
	s.mu.Lock()
	s.leavePeriods = append(s.leavePeriods, leavePeriod{upstream, from, time.Now(), listed})
	s.mu.Unlock()
	s.upstreams[upstream].SetLeaving(false)
	s.upstreams[upstream].Restart()
	s.markAvailable(upstream)
}

// refuse makes an upstream refuse all calls for length, and ask each time for
// a pause of wait, unless it is unavailable already.
func (s *system) refuse(upstream int, wait, length time.Duration) {
	if !s.markUnavailable(upstream) {
		return
	}
	s.upstreams[upstream].Refuse(wait)
	time.Sleep(length)
	s.upstreams[upstream].Refuse(0)
	s.markAvailable(upstream)
}

// silenceUpstreams holds back all data from the upstreams for a time.
func (s *system) silenceUpstreams(length time.Duration) {
	for _, p := range s.upstreamProxies {
		defer p.Inject(ProxyFault{StallFromTarget: true})()
	}
	time.Sleep(length)
}

// crash resets the connections to an upstream for a duration, unless it is
// unavailable already. Its entry is removed from the store after entryExpiry.
func (s *system) crash(upstream int, length time.Duration) {
	if !s.markUnavailable(upstream) {
		return
	}
	end := s.upstreamProxies[upstream].Inject(ProxyFault{Reset: true})
	defer end()
	untilExpiry := min(length, entryExpiry)
	time.Sleep(untilExpiry)
	if untilExpiry < length {
		s.upstreams[upstream].Unregister()
		time.Sleep(length - untilExpiry)
	}
	s.markAvailable(upstream)
}

// markUnavailable marks an upstream as unavailable and reports whether it was
// available before.
func (s *system) markUnavailable(upstream int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.unavailable[upstream]
	s.unavailable[upstream] = true
	return !was
}

// markAvailable registers an upstream again.
func (s *system) markAvailable(upstream int) {
	s.upstreams[upstream].Register("ready")
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unavailable, upstream)
}

// reportViolation records that a guarantee did not hold.
func (s *system) reportViolation(guarantee, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, Violation{guarantee, detail})
}

// readLog returns the log of a gateway, or the text of the error if it cannot
// be read.
func (s *system) readLog(g *gateway) string {
	text, err := os.ReadFile(g.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
