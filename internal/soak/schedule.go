package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"lovageport.example/internal/coordination/restoration"
)

// action is something that happens to the system at a time drawn beforehand:
// planned maintenance or a fault.
type action struct {
	description string
	at          time.Duration
	run         func()
}

// scheduler draws actions from a seeded random source and runs them.
type scheduler struct {
	rng    *rand.Rand
	system *system
	// running tracks the actions in progress.
	running sync.WaitGroup
}

// drawDuration draws a duration between least and most.
func (s *scheduler) drawDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Float64()*float64(most-least))
}

// injectFor returns a function that injects a fault into a proxy for a
// duration.
func (s *scheduler) injectFor(p *Proxy, f ProxyFault, length time.Duration) func() {
	return func() {
		end := p.Inject(f)
		time.Sleep(length)
		end()
	}
}

// drawProxyFault draws a fault to inject into a proxy.
func (s *scheduler) drawProxyFault() ProxyFault {
	faults := []ProxyFault{
		{Delay: s.drawDuration(20*time.Millisecond, 400*time.Millisecond)},
		{StallToTarget: true},
		{StallFromTarget: true},
		{StallToTarget: true, StallFromTarget: true},
		{Reset: true},
		{EndlessResponse: true},
	}
	return faults[s.rng.IntN(len(faults))]
}

// drawMaintenance draws planned maintenance. It returns a description and the
// function that performs it.
func (s *scheduler) drawMaintenance() (string, func()) {
	g := s.system.gateways[s.rng.IntN(len(s.system.gateways))]
	switch s.rng.IntN(7) {
	case 0:
		return "stop " + g.name, func() { g.signal(syscall.SIGTERM) }
	case 1:
		return "stop twice " + g.name, func() {
			g.signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
			g.signal(syscall.SIGHUP)
		}
	case 2:
		return "reload " + g.name, func() { g.signal(syscall.SIGHUP) }
	case 3:
		return "configure", s.system.configure
	case 4:
		return "drop the history of the store", s.system.store.DropHistory
	case 5:
		i, wait, length := s.rng.IntN(len(s.system.upstreams)), s.drawDuration(time.Second, 3*time.Second), s.drawDuration(500*time.Millisecond, 3*time.Second)
		return fmt.Sprintf("refuse calls at %s for %v, with a hold-off of %v each", s.system.upstreams[i].Instance, length, wait), func() { s.system.refuse(i, wait, length) }
	}
	i, length, listed := s.rng.IntN(len(s.system.upstreams)), s.drawDuration(time.Second, 6*time.Second), s.rng.IntN(2) == 0
	return fmt.Sprintf("leave %s for %v, listed as draining: %v", s.system.upstreams[i].Instance, length, listed), func() { s.system.leave(i, length, listed) }
}

// drawFault draws a fault of a process, the store, an upstream or a proxy. It
// returns a description and the function that performs it.
func (s *scheduler) drawFault() (string, func()) {
	g := s.system.gateways[s.rng.IntN(len(s.system.gateways))]
	i := s.rng.IntN(len(s.system.upstreams))
	length := s.drawDuration(200*time.Millisecond, 5*time.Second)
	switch s.rng.IntN(8) {
	case 0:
		return "kill " + g.name, func() { g.signal(syscall.SIGKILL) }
	case 1:
		return fmt.Sprintf("freeze %s for %v", g.name, length), func() {
			g.signal(syscall.SIGSTOP)
			time.Sleep(length)
			g.signal(syscall.SIGCONT)
		}
	case 2:
		return fmt.Sprintf("stop %s and kill it", g.name), func() {
			g.signal(syscall.SIGTERM)
			time.Sleep(length / 10)
			g.signal(syscall.SIGKILL)
		}
	case 3:
		return fmt.Sprintf("store down for %v", length), func() {
			s.system.store.SetDown(true)
			time.Sleep(length)
			s.system.store.SetDown(false)
		}
	case 4:
		h := s.drawProxyFault()
		return fmt.Sprintf("connections of %s to the store: %+v for %v", g.name, h, length), s.injectFor(g.storeProxy, h, length)
	case 5:
		h := s.drawProxyFault()
		// Callers get their responses from the gateway itself, which sends no
		// endless ones.
		h.EndlessResponse = false
		return fmt.Sprintf("connections of callers to %s: %+v for %v", g.name, h, length), s.injectFor(g.callerProxy, h, length)
	case 6:
		return fmt.Sprintf("crash %s for %v", s.system.upstreams[i].Instance, length), func() { s.system.crash(i, length) }
	}
	h := s.drawProxyFault()
	return fmt.Sprintf("connections to %s: %+v for %v", s.system.upstreams[i].Instance, h, length), s.injectFor(s.system.upstreamProxies[i], h, length)
}

// drawRestoration draws a restoration of the store from a copy. It returns a
// description and the function that performs it.
func (s *scheduler) drawRestoration() (string, func()) {
	age, away := s.drawDuration(0, 3*time.Second), s.drawDuration(0, time.Second)
	rewrite := s.drawDuration(0, restoration.RewriteTime)
	return fmt.Sprintf("restore the store, away for %v, from a copy %v old, written again after %v", away, age, rewrite),
		func() { s.system.restoreStore(age, away, rewrite) }
}

// drawUpgrade draws a gateway whose process is replaced by one of the other build.
// It returns a description and the function that performs it.
func (s *scheduler) drawUpgrade() (string, func()) {
	g := s.system.gateways[s.rng.IntN(len(s.system.gateways))]
	return "change the build of " + g.name, g.changeBuild
}

// drawSchedule draws the actions of a run: planned maintenance and, unless
// p.MaintenanceOnly is set, faults.
func (s *scheduler) drawSchedule(p Config) []action {
	const meanInterval = 700 * time.Millisecond
	var out []action
	for at := s.drawDuration(0, meanInterval); at < p.Duration; at += s.drawDuration(0, 2*meanInterval) {
		var f action
		f.at = at
		switch {
		case p.EarlierBinDir != "" && s.rng.IntN(3) == 0:
			f.description, f.run = s.drawUpgrade()
		case p.Restorations && s.rng.IntN(6) == 0:
			f.description, f.run = s.drawRestoration()
		case p.MaintenanceOnly || s.rng.IntN(3) == 0:
			f.description, f.run = s.drawMaintenance()
		default:
			f.description, f.run = s.drawFault()
		}
		out = append(out, f)
	}
	return out
}

// runSchedule starts each action when it is due and waits until all have
// ended.
func (s *scheduler) runSchedule(actions []action, began time.Time) {
	for _, f := range actions {
		time.Sleep(time.Until(began.Add(f.at)))
		s.running.Go(f.run)
	}
	s.running.Wait()
}
