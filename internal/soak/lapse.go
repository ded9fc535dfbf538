package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovageport.example/platform/platformtest"
)

// Extent of outages of the store in which entries lapse.
const (
	meanLapseInterval             = 4 * time.Second
	minLapse, maxLapse            = 300 * time.Millisecond, 3 * time.Second
	minReentry, maxReentry        = 200 * time.Millisecond, 1400 * time.Millisecond
	maxTurnAway                   = 4 * time.Second
	lapseStream            uint64 = 1 << 42
)

// lapse is an outage of the store in which entries of upstreams lapse.
type lapse struct {
	length time.Duration
	// reentries holds how long after the store's return the upstreams whose entries lapse
	// register again.
	reentries map[int]time.Duration
	// turnedAway are the gateways that the store does not serve for some longer.
	turnedAway []*gateway
	longer     time.Duration
}

// drawLapses draws outages of the store. The random source is its own, so that the other
// actions of a seed stay what they are.
func drawLapses(p Config, system *system) []action {
	s := &scheduler{rng: rand.New(rand.NewPCG(p.Seed, lapseStream)), system: system}
	var out []action
	for at := s.drawDuration(0, time.Second); at < p.Duration; at += s.drawDuration(0, 2*meanLapseInterval) {
		l := lapse{length: s.drawDuration(minLapse, maxLapse), reentries: make(map[int]time.Duration), longer: s.drawDuration(0, maxTurnAway)}
		all := s.rng.Perm(len(system.upstreams))
		for _, i := range all[:1+s.rng.IntN(len(all))] {
			l.reentries[i] = s.drawDuration(minReentry, maxReentry)
		}
		for _, i := range s.rng.Perm(len(system.gateways))[:s.rng.IntN(1+len(system.gateways)/2)] {
			l.turnedAway = append(l.turnedAway, system.gateways[i])
		}
		out = append(out, action{
			description: fmt.Sprintf("store down for %v, %d entries lapse, %d gateways turned away for %v more", l.length, len(l.reentries), len(l.turnedAway), l.longer),
			at:          at,
			run:         func() { system.lapse(l) },
		})
	}
	return out
}

// lapse plays an outage of the store. Upstreams that are unavailable already keep their
// entries.
func (s *system) lapse(l lapse) {
	s.store.SetDown(true)
	for _, g := range l.turnedAway {
		defer g.storeProxy.Inject(ProxyFault{Reset: true})()
	}
	time.Sleep(l.length)
	var lapsed []int
	for i := range l.reentries {
		if s.markUnavailable(i) {
			s.upstreams[i].Unregister()
			lapsed = append(lapsed, i)
		}
	}
	s.store.SetDown(false)
	var returning sync.WaitGroup
	for _, i := range lapsed {
		returning.Go(func() {
			time.Sleep(l.reentries[i])
			s.markAvailable(i)
		})
	}
	time.Sleep(l.longer)
	// The store has another revision when the gateways that were turned away return.
	s.configure()
	returning.Wait()
}

// checkListed checks that all gateways have all upstreams that are registered.
func (s *system) checkListed() {
	want := make(map[string]int)
	for _, u := range s.upstreams {
		if u.Registered() {
			want[u.Service()]++
		}
	}
	complete := func(g *gateway) bool {
		got := g.listedUpstreams()
		return got[platformtest.EngineService] == want[platformtest.EngineService] && got[platformtest.PlainService] == want[platformtest.PlainService]
	}
	if s.await(recoveryTimeout, complete) {
		return
	}
	for _, g := range s.gateways {
		s.reportViolation("gateways have all upstreams that are registered", fmt.Sprintf("%s has %v, registered are %v", g.name, g.listedUpstreams(), want))
	}
}

// upstreamsMetric is the metric of the number of upstreams of a service.
const upstreamsMetric = `lovageport_gateway_upstreams{service="`

// listedUpstreams returns the numbers of upstreams that a gateway's metrics state, by
// service.
func (g *gateway) listedUpstreams() map[string]int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.metricsAddress + "/metrics")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	out := make(map[string]int)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		metric, ok := strings.CutPrefix(lines.Text(), upstreamsMetric)
		service, value, found := strings.Cut(metric, `"} `)
		if number, err := strconv.Atoi(value); ok && found && err == nil {
			out[service] = number
		}
	}
	return out
}
