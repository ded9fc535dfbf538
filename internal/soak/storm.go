package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// stormKeptVersions is how many configurations keep a key and its routes in a run
// with storms, so that streams run when their route is removed.
const stormKeptVersions = 8

// Extent of series of configurations.
const (
	minSeriesLength, maxSeriesLength     = 10, 40
	minSeriesInterval, maxSeriesInterval = 30 * time.Millisecond, 350 * time.Millisecond
	// minUnusedRoutes and maxUnusedRoutes bound the size of a large configuration.
	minUnusedRoutes, maxUnusedRoutes = 1000, 3000
	minStandstill, maxStandstill     = 100 * time.Millisecond, 600 * time.Millisecond
	// maxUpstreamStandstill is below plainServiceTimeout.
	maxUpstreamStandstill  = 900 * time.Millisecond
	meanStormInterval      = 2 * time.Second
	meanStandstillInterval = 500 * time.Millisecond
	// drainNotice is how long a gateway serves as before after it was told to stop.
	drainNotice = 2500 * time.Millisecond
)

// stormScheduler draws series of configurations and standstills. It has a random
// source of its own, so that the other actions of a seed stay what they are.
type stormScheduler struct{ scheduler }

// stormStream selects the random source of the storms of a seed.
const stormStream = 1 << 40

func newStormScheduler(p Config, s *system) *stormScheduler {
	return &stormScheduler{scheduler{rng: rand.New(rand.NewPCG(p.Seed, stormStream)), system: s}}
}

// drawSchedule draws the storms and the standstills of a run.
func (s *stormScheduler) drawSchedule(p Config) []action {
	var out []action
	draw := func(mean time.Duration, one func() (string, func())) {
		for at := s.drawDuration(0, mean); at < p.Duration; at += s.drawDuration(0, 2*mean) {
			description, run := one()
			out = append(out, action{description, at, run})
		}
	}
	if p.Storms {
		draw(meanStormInterval, s.drawStorm)
	}
	if p.Standstills {
		draw(meanStandstillInterval, s.drawStandstill)
	}
	return out
}

// drawStandstill draws a standstill of a gateway or, more seldom, one of the machine
// of the upstreams, whose data come late.
func (s *stormScheduler) drawStandstill() (string, func()) {
	if s.rng.IntN(6) == 0 {
		length := s.drawDuration(minStandstill, maxUpstreamStandstill)
		return fmt.Sprintf("upstreams stand still for %v", length), func() { s.system.silenceUpstreams(length) }
	}
	g := s.system.gateways[s.rng.IntN(len(s.system.gateways))]
	length := s.drawDuration(minStandstill, maxStandstill)
	return fmt.Sprintf("stand still %s for %v", g.name, length), func() { g.standStill(length) }
}

// newDrainStandstills returns a function that draws standstills of a gateway, given
// by its index. They begin up to half a second before the notice period of a drain
// ends.
func newDrainStandstills(seed uint64, gateway int) func() (after, length time.Duration) {
	s := scheduler{rng: rand.New(rand.NewPCG(seed, stormStream+1+uint64(gateway)))}
	return func() (after, length time.Duration) {
		return s.drawDuration(drainNotice-500*time.Millisecond, drainNotice), s.drawDuration(minStandstill, maxStandstill)
	}
}

// drawStorm draws a series of configurations, or one that is large.
func (s *stormScheduler) drawStorm() (string, func()) {
	routes := 0
	if s.rng.IntN(2) == 0 {
		routes = minUnusedRoutes + s.rng.IntN(maxUnusedRoutes-minUnusedRoutes+1)
	}
	if s.rng.IntN(3) == 0 {
		return fmt.Sprintf("configure %d unused routes", routes), func() { s.system.configureSize(routes) }
	}
	x := series{
		system: s.system, unusedRoutes: routes,
		length:   minSeriesLength + s.rng.IntN(maxSeriesLength-minSeriesLength+1),
		interval: s.drawDuration(minSeriesInterval, maxSeriesInterval),
	}
	description := fmt.Sprintf("configure %d times, %v apart, %d unused routes", x.length, x.interval, routes)
	for range s.rng.IntN(3) {
		text, run := s.drawCompanion()
		x.companions = append(x.companions, companion{s.rng.IntN(x.length), run})
		description += ", with " + text
	}
	return description, x.run
}

// drawCompanion draws what happens beside a series of configurations.
func (s *stormScheduler) drawCompanion() (string, func()) {
	g := s.system.gateways[s.rng.IntN(len(s.system.gateways))]
	switch s.rng.IntN(4) {
	case 0:
		return "stop " + g.name, func() { g.signal(syscall.SIGTERM) }
	case 1:
		return "change the settings of " + g.name, g.changeSettings
	case 2:
		return "change the settings of and stop " + g.name, func() {
			g.changeSettings()
			g.signal(syscall.SIGTERM)
		}
	}
	i, length := s.rng.IntN(len(s.system.upstreams)), s.drawDuration(time.Second, 4*time.Second)
	return "leave " + s.system.upstreams[i].Instance, func() { s.system.leave(i, length, true) }
}

// companion is an action that begins with one of a series of configurations.
type companion struct {
	at  int
	run func()
}

// series is a series of configurations.
type series struct {
	system       *system
	length       int
	interval     time.Duration
	unusedRoutes int
	companions   []companion
}

// run stores the configurations and runs the companions. It returns when all of them
// have ended.
func (x *series) run() {
	var companions sync.WaitGroup
	for i := range x.length {
		for _, c := range x.companions {
			if c.at == i {
				companions.Go(c.run)
			}
		}
		x.system.configureSize(x.unusedRoutes)
		time.Sleep(x.interval)
	}
	companions.Wait()
}
