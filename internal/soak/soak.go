package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lovageport.example/platform"
)

// Config says what a run does. Its zero value is no run: Dir, Programs, Gateways
// and Length must be set.
type Config struct {
	// Seed draws the faults and the calls.
	Seed uint64
	// MaintenanceOnly leaves all faults out but planned work.
	MaintenanceOnly bool
	// Gateways is the number of processes, Callers how many send to each.
	Gateways, Callers int
	// Duration is how long faults are injected.
	Duration time.Duration
	// Dir gets settings and logs; BinDir holds the built binaries.
	Dir, BinDir string
}

// Report is what came of a run.
type Report struct {
	Actions []string
	// Calls is how many calls were sent, Succeeded how many got a whole success.
	Calls, Succeeded int
	Violations       []Violation
	// Logs are those of the gateways, by name.
	Logs map[string]string
}

// Bounds of the begin and the end of a run.
const (
	startBound = 15 * time.Second
	// recoverBound is how long after the last fault all gateways serve again.
	recoverBound = 10 * time.Second
	pollPause    = 50 * time.Millisecond
)

// Run plays a plan. It fails if the soak itself can't run.
func Run(p Config) (*Report, error) {
	s, err := newSite(p.Dir, p.BinDir, p.Gateways)
	if err != nil {
		s.close()
		return nil, fmt.Errorf("soak: %w", err)
	}
	if !s.awaitReady(startBound) {
		s.found("gateways become ready", fmt.Sprintf("not within %v", startBound))
	}
	callers := s.newCallers(p)
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for _, c := range callers {
		calling.Go(func() { c.run(ctx) })
	}
	d := &drawer{random: rand.New(rand.NewPCG(p.Seed, 1)), site: s}
	faults := d.draw(p.Duration, p.MaintenanceOnly)
	d.play(faults, time.Now())
	s.checkRecovery(p.Seed)
	cancel()
	calling.Wait()
	s.close()
	return s.report(p, faults, callers), nil
}

// report checks what happened, after all has ended.
func (s *site) report(p Config, faults []fault, callers []*caller) *Report {
	calls := s.extra
	for _, c := range callers {
		calls = append(calls, c.calls...)
	}
	s.check(calls, p.MaintenanceOnly)
	r := &Report{Calls: len(calls), Violations: s.violations, Logs: make(map[string]string)}
	for _, f := range faults {
		r.Actions = append(r.Actions, fmt.Sprintf("%v %s", f.at.Round(time.Millisecond), f.what))
	}
	for _, k := range calls {
		if k.status/100 == 2 && k.err == nil {
			r.Succeeded++
		}
	}
	for _, g := range s.gateways {
		r.Logs[g.name] = s.readLog(g)
	}
	return r
}

func (s *site) newCallers(p Config) []*caller {
	var out []*caller
	for i, g := range s.gateways {
		for k := range p.Callers {
			random := rand.New(rand.NewPCG(p.Seed, uint64(2+i*p.Callers+k)))
			out = append(out, newCaller(fmt.Sprintf("%s-%d", g.name, k), g, s, random))
		}
	}
	return out
}

// awaitReady waits until all gateways are ready, and says whether they are.
func (s *site) awaitReady(bound time.Duration) bool {
	return s.await(bound, func(g *gateway) bool { return g.ready(platform.ReadyPath) })
}

// await waits until something holds of all gateways, and says whether it does.
func (s *site) await(bound time.Duration, holds func(*gateway) bool) bool {
	end := time.Now().Add(bound)
	for _, g := range s.gateways {
		for !holds(g) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(pollPause)
		}
	}
	return true
}

// checkRecovery checks that all gateways serve all kinds of calls again.
func (s *site) checkRecovery(seed uint64) {
	n := 0
	serves := func(g *gateway) bool {
		for _, kind := range []string{streamKind, bookKind, lookKind} {
			n++
			c := newCaller(fmt.Sprint("recovery", n), g, s, rand.New(rand.NewPCG(seed, 0)))
			k := c.next()
			k.kind, k.key = kind, stableKey
			c.send(k)
			c.client.CloseIdleConnections()
			s.extra = append(s.extra, k)
			if k.status/100 != 2 || k.err != nil {
				return false
			}
		}
		return true
	}
	if !s.await(recoverBound, serves) {
		s.found("gateways serve again after the last fault", fmt.Sprintf("not within %v", recoverBound))
	}
}
