package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lovageport.example/platform"
)

// Config describes a run. Dir, BinDir, Gateways and Duration must be set.
type Config struct {
	// Seed determines the actions and the calls.
	Seed uint64
	// MaintenanceOnly leaves out all faults, so that only planned maintenance
	// takes place.
	MaintenanceOnly bool
	// Restorations adds restorations of the store from a copy to the faults.
	Restorations bool
	// Storms adds series of configurations, some of them large and some beside
	// signals and leaving upstreams. Streams may last for seconds.
	Storms bool
	// Releases adds planned releases of engines beside configurations and signals: one
	// engine after the other is replaced by a new one and ends, and streams over it
	// stall. Callers send bodies in chunks, and the retry allowance is small. It
	// includes Storms.
	Releases bool
	// Limits lets upstreams state for a while how many calls a second they take.
	Limits bool
	// Lapses adds outages of the store in which entries of upstreams lapse, some with
	// gateways that the store turns away for longer. At the end all gateways must have all
	// upstreams.
	Lapses bool
	// Standstills adds short standstills of processes. With MaintenanceOnly they are
	// the only faults.
	Standstills bool
	// MaxProcs, if positive, limits the processors that a gateway uses at a time.
	MaxProcs int
	// EarlierBinDir, if set, is the directory of the binaries of an earlier build,
	// with which the gateways start. Each of them may change its build several
	// times.
	EarlierBinDir string
	// Gateways is the number of gateway processes, Callers the number of
	// callers of each one.
	Gateways, Callers int
	// Duration is the time within which actions start.
	Duration time.Duration
	// Dir is the directory for settings and logs, BinDir the one of the built
	// binaries.
	Dir, BinDir string
	// EarlierSettings tells that the binaries in BinDir are of an earlier build, which
	// does not know all settings.
	EarlierSettings bool
}

// Report is the outcome of a run.
type Report struct {
	// Actions describes the planned maintenance and the faults, in order of
	// their start.
	Actions []string
	// Calls is the number of calls sent, Succeeded the number of those that
	// got a complete successful response.
	Calls, Succeeded int
	// Versions is the number of configurations. Beside counts the streams that were
	// cut beside one of them, Outside those that were cut at other times.
	Versions int
	// LimitedCalls is how many calls to upstreams with limits were checked.
	LimitedCalls    int
	Beside, Outside Cuts
	// CutStreams describes the streams that were cut, each with the time since the
	// first action could start.
	CutStreams []string
	Violations []Violation
	// Logs holds the logs of the gateways, by name.
	Logs map[string]string
}

// Time limits at the start and the end of a run.
const (
	startTimeout = 15 * time.Second
	// recoveryTimeout is how long after the end of the last action all
	// gateways must serve again.
	recoveryTimeout = 10 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// Run performs a run. It returns an error if the system cannot be started;
// violated guarantees are in the report.
func Run(p Config) (*Report, error) {
	p.Storms = p.Storms || p.Releases
	s, err := newSystem(p)
	if err != nil {
		s.close()
		return nil, fmt.Errorf("soak: %w", err)
	}
	if !s.awaitReady(startTimeout) {
		s.reportViolation("gateways become ready", fmt.Sprintf("not within %v", startTimeout))
	}
	callers := s.newCallers(p)
	ctx, cancel := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for _, c := range callers {
		calling.Go(func() { c.run(ctx) })
	}
	d := &scheduler{rng: rand.New(rand.NewPCG(p.Seed, 1)), system: s}
	actions := d.drawSchedule(p)
	if p.Storms || p.Standstills {
		actions = append(actions, newStormScheduler(p, s).drawSchedule(p)...)
	}
	if p.Releases {
		actions = append(actions, newReleaseScheduler(p, s).drawSchedule(p)...)
	}
	if p.Limits {
		actions = append(actions, drawLimits(p, s)...)
	}
	if p.Lapses {
		actions = append(actions, drawLapses(p, s)...)
	}
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	s.began = time.Now()
	d.runSchedule(actions, s.began)
	s.checkRecovery(p.Seed)
	if p.Lapses && !p.EarlierSettings && p.EarlierBinDir == "" {
		s.checkListed()
	}
	cancel()
	calling.Wait()
	s.close()
	return s.report(p, actions, callers), nil
}

// report checks the calls and returns the report, once all processes have
// ended.
func (s *system) report(p Config, actions []action, callers []*caller) *Report {
	calls := s.recoveryCalls
	for _, c := range callers {
		calls = append(calls, c.calls...)
	}
	s.check(calls, p.MaintenanceOnly)
	r := &Report{Calls: len(calls), Versions: len(s.versions), LimitedCalls: s.limitedCalls, Violations: s.violations, Logs: make(map[string]string)}
	r.Beside, r.Outside = s.countCuts(calls)
	for _, f := range actions {
		r.Actions = append(r.Actions, fmt.Sprintf("%v %s", f.at.Round(time.Millisecond), f.description))
	}
	for _, k := range calls {
		if k.status/100 == 2 && k.err == nil {
			r.Succeeded++
		}
		if k.wasCut() {
			r.CutStreams = append(r.CutStreams, s.describeCut(k))
		}
	}
	for _, g := range s.gateways {
		r.Logs[g.name] = s.readLog(g)
	}
	return r
}

func (s *system) newCallers(p Config) []*caller {
	var out []*caller
	for i, g := range s.gateways {
		for k := range p.Callers {
			rng := rand.New(rand.NewPCG(p.Seed, uint64(2+i*p.Callers+k)))
			out = append(out, newCaller(fmt.Sprintf("%s-%d", g.name, k), g, s, rng))
		}
	}
	return out
}

// awaitReady waits until all gateways are ready and reports whether they are
// within bound.
func (s *system) awaitReady(bound time.Duration) bool {
	return s.await(bound, func(g *gateway) bool { return g.respondsOK(platform.ReadyPath) })
}

// await waits until holds returns true for each gateway and reports whether
// it does within bound.
func (s *system) await(bound time.Duration, holds func(*gateway) bool) bool {
	end := time.Now().Add(bound)
	for _, g := range s.gateways {
		for !holds(g) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(pollInterval)
		}
	}
	return true
}

// checkRecovery checks that all gateways serve all kinds of calls again.
func (s *system) checkRecovery(seed uint64) {
	n := 0
	serves := func(g *gateway) bool {
		for _, kind := range []string{streamKind, writeKind, readKind} {
			n++
			c := newCaller(fmt.Sprint("recovery", n), g, s, rand.New(rand.NewPCG(seed, 0)))
			k := c.drawCall()
			k.kind, k.key = kind, stableKey
			c.send(k)
			c.client.CloseIdleConnections()
			s.recoveryCalls = append(s.recoveryCalls, k)
			if k.status/100 != 2 || k.err != nil {
				return false
			}
		}
		return true
	}
	if !s.await(recoveryTimeout, serves) {
		s.reportViolation("gateways serve again after the last fault", fmt.Sprintf("not within %v", recoveryTimeout))
	}
}
