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

// site is a small deployment: a store, upstreams and gateways in two zones.
type site struct {
	store *platformtest.Store
	// servers are the stand-ins of upstreams, and links lead to them, by index.
	servers  []*platformtest.Upstream
	links    []*Proxy
	gateways []*gateway
	// stranger is among the peers that gateways are told of; what it says never
	// ends.
	stranger net.Listener
	running  sync.WaitGroup

	mu sync.Mutex
	// versions are the configurations that the store has acknowledged.
	versions []version
	// leaves are the times at which upstreams were leaving.
	leaves     []leave
	violations []Violation
	// away are the upstreams that leave or have crashed, by index.
	away map[int]bool
	// extra are calls beside those of the callers.
	extra []*call
}

// version is an acknowledged configuration.
type version struct {
	number int
	// key is valid beside the one that always is.
	key string
	// at is when the store had it.
	at time.Time
}

// leave is the time in which an upstream was leaving, and whether its entry said
// so too.
type leave struct {
	server   int
	from, to time.Time
	listed   bool
}

// Violation is a promise that did not hold.
type Violation struct{ Guarantee, Detail string }

// stableKey is in all configurations.
const stableKey = "stable"

// lapseTime is how long after a crash an upstream's entry goes.
const lapseTime = time.Second

// eventPause is the time between the events of a stream.
const eventPause = 20 * time.Millisecond

var zones = []string{"a", "b"}

// newSite starts a store, upstreams and gateways.
func newSite(dir, programs string, gateways int) (*site, error) {
	s := &site{store: platformtest.NewStore(), away: make(map[int]bool)}
	// In each zone a spare engine beside one for each half, and two plain
	// services.
	for i, held := range []int{0, 8, -1, 0, 8, -1} {
		u, err := s.addServer(platformtest.EngineService, zones[i/3], platformtest.Accelerator, fmt.Sprint("engine", i))
		if err != nil {
			return s, err
		}
		u.EventInterval = eventPause
		if held >= 0 {
			u.SetLayers(held, held+platformtest.Layers/2)
		}
	}
	for i := range 4 {
		if _, err := s.addServer(platformtest.PlainService, zones[i/2], "", fmt.Sprint("plain", i)); err != nil {
			return s, err
		}
	}
	s.configure()
	for i := range gateways {
		g, err := newGateway(fmt.Sprint("gateway", i), zones[i%len(zones)], dir, programs, s.store.Address)
		if err != nil {
			return s, err
		}
		g.found = s.found
		s.gateways = append(s.gateways, g)
	}
	return s, s.startGateways()
}

func (s *site) addServer(service, zone, kind, instance string) (*platformtest.Upstream, error) {
	u := platformtest.NewUpstream(s.store, service, zone, kind, instance)
	s.servers = append(s.servers, u)
	l, err := NewProxy(u.Address)
	if err != nil {
		return u, err
	}
	s.links = append(s.links, l)
	u.Address = l.Address
	u.Register("ready")
	return u, nil
}

// seedPeers is how many peers a gateway's settings name.
const seedPeers = 3

func (s *site) startGateways() error {
	var err error
	if s.stranger, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	stranger := endless.Server{Repeat: endlessHead}
	s.running.Go(func() { stranger.Serve(s.stranger) })
	for i, g := range s.gateways {
		seeds := []string{s.stranger.Addr().String()}
		for k := range min(seedPeers, len(s.gateways)-1) {
			seeds = append(seeds, s.gateways[(i+k+1)%len(s.gateways)].peers)
		}
		if err := g.configure(seeds); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		s.running.Go(func() {
			if err := g.run(); err != nil {
				s.found("the soak can run gateways", err.Error())
			}
		})
	}
	return nil
}

// close ends all that the site has started.
func (s *site) close() {
	for _, g := range s.gateways {
		g.stop()
	}
	if s.stranger != nil {
		s.stranger.Close()
	}
	s.running.Wait()
	for _, g := range s.gateways {
		g.callers.Close()
		g.store.Close()
	}
	for _, l := range s.links {
		l.Close()
	}
	for _, u := range s.servers {
		u.Close()
	}
	s.store.Close()
}

// configure writes the next configuration, with another key.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := 3*len(s.versions) + 1
	v := version{number: number, key: fmt.Sprint("key", number)}
	s.store.Configure(platformtest.Configuration{Version: number, Keys: []string{stableKey, v.key}, StreamAttempts: 2})
	v.at = time.Now()
	s.versions = append(s.versions, v)
}

// recentKeys returns the keys of the newest configuration and of the one
// before it, which is empty if there is none.
func (s *site) recentKeys() (newest, before string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.versions)
	if n > 1 {
		before = s.versions[n-2].key
	}
	return s.versions[n-1].key, before
}

// leave has an upstream leave for a time, unless it is away already: all its
// answers say so, and its entry too if listed is set. It comes back as another
// start of the same upstream.
func (s *site) leave(server int, length time.Duration, listed bool) {
	if !s.takeAway(server) {
		return
	}
	s.servers[server].SetLeaving(true)
	if listed {
		s.servers[server].Register("draining")
	}
	from := time.Now()
	time.Sleep(length)
	s.mu.Lock()
	s.leaves = append(s.leaves, leave{server, from, time.Now(), listed})
	s.mu.Unlock()
	s.servers[server].SetLeaving(false)
	s.servers[server].Restart()
	s.bringBack(server)
}

// refuse has an upstream refuse all requests for a time, and ask for none for
// wait each time, unless it is away already.
func (s *site) refuse(server int, wait, length time.Duration) {
	if !s.takeAway(server) {
		return
	}
	s.servers[server].Refuse(wait)
	time.Sleep(length)
	s.servers[server].Refuse(0)
	s.bringBack(server)
}

// crash takes an upstream away for a time, unless it is away already. Its entry
// lapses a while after.
func (s *site) crash(server int, length time.Duration) {
	if !s.takeAway(server) {
		return
	}
	end := s.links[server].Inject(ProxyFault{Reset: true})
	defer end()
	lapse := min(length, lapseTime)
	time.Sleep(lapse)
	if lapse < length {
		s.servers[server].Unregister()
		time.Sleep(length - lapse)
	}
	s.bringBack(server)
}

// takeAway notes that an upstream is away, and says whether it was not.
func (s *site) takeAway(server int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.away[server]
	s.away[server] = true
	return !was
}

func (s *site) bringBack(server int) {
	s.servers[server].Register("ready")
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.away, server)
}

// found notes a promise that did not hold.
func (s *site) found(promise, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, Violation{promise, detail})
}

// readLog returns the log of a gateway.
func (s *site) readLog(g *gateway) string {
	text, err := os.ReadFile(g.log)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
