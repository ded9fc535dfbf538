package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"lovageport.example/platform/platformtest"
)

// Extent of releases.
const (
	meanReleaseInterval                     = 2500 * time.Millisecond
	minReleased, maxReleased                = 1, 3
	minReleasePause, maxReleasePause        = 200 * time.Millisecond, time.Second
	minReleaseLeave, maxReleaseLeave        = 300 * time.Millisecond, 3 * time.Second
	minBodyPause, maxBodyPause              = 50 * time.Millisecond, 600 * time.Millisecond
	releaseKeys                             = 1400
	releaseRetrySlackPerGateway             = 2
	sparesPerZone                           = 12
	releaseStream                    uint64 = 1 << 41
)

// addSpares adds the engines that replace others. They are not registered yet.
func (s *system) addSpares() error {
	for i := range sparesPerZone * len(zones) {
		u, err := s.addUpstream(platformtest.EngineService, zones[i%len(zones)], platformtest.Accelerator, fmt.Sprint("spare", i))
		if err != nil {
			return err
		}
		u.EventInterval = eventInterval
		u.Unregister()
		s.markUnavailable(len(s.upstreams) - 1)
		s.spares = append(s.spares, len(s.upstreams)-1)
	}
	for _, u := range s.upstreams {
		u.StageGone = func(address string) bool {
			_, gone := s.gone.Load(address)
			return gone
		}
		u.RefuseChain = func(chain string) string {
			for stage := range strings.SplitSeq(chain, ",") {
				if address, _, _ := strings.Cut(stage, "="); u.StageGone(address) {
					return address
				}
			}
			return ""
		}
	}
	return nil
}

// takeSpare returns a spare engine of a zone, or false if there is none.
func (s *system) takeSpare(zone string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, i := range s.spares {
		if s.upstreams[i].Zone == zone {
			s.spares = append(s.spares[:n:n], s.spares[n+1:]...)
			return i, true
		}
	}
	return 0, false
}

// release replaces an engine, unless it is unavailable. It leaves after a new engine
// with the same layers has registered: listed as draining, or by removal of its entry
// without notice. At the end it refuses connections, and streams of other engines over
// it stall; the streams that it answers itself go on.
func (s *system) release(engine int, length time.Duration, listed bool) {
	if !s.markUnavailable(engine) {
		return
	}
	u := s.upstreams[engine]
	next, ok := s.takeSpare(u.Zone)
	if !ok {
		s.markAvailable(engine)
		return
	}
	s.upstreams[next].SetLayers(u.Held())
	s.markAvailable(next)
	if listed {
		u.SetLeaving(true)
		u.Register("draining")
	} else {
		u.Unregister()
	}
	from := time.Now()
	time.Sleep(length)
	s.mu.Lock()
	s.leavePeriods = append(s.leavePeriods, leavePeriod{engine, from, time.Now(), listed})
	s.mu.Unlock()
	u.Unregister()
	s.upstreamProxies[engine].stopListening()
	s.gone.Store(u.Address, true)
}

// releaseScheduler draws releases. It has a random source of its own, so that the other
// actions of a seed stay what they are.
type releaseScheduler struct{ scheduler }

func newReleaseScheduler(p Config, s *system) *releaseScheduler {
	return &releaseScheduler{scheduler{rng: rand.New(rand.NewPCG(p.Seed, releaseStream)), system: s}}
}

// drawSchedule draws releases of engines one after the other, each beside a
// configuration and many beside the stop of a gateway.
func (s *releaseScheduler) drawSchedule(p Config) []action {
	var out []action
	for at := s.drawDuration(0, meanReleaseInterval); at < p.Duration; at += s.drawDuration(0, 2*meanReleaseInterval) {
		when := at
		for range minReleased + s.rng.IntN(maxReleased-minReleased+1) {
			choice, length, listed := s.rng.Float64(), s.drawDuration(minReleaseLeave, maxReleaseLeave), s.rng.IntN(2) == 0
			out = append(out,
				action{fmt.Sprintf("release an engine for %v, listed as draining: %v", length, listed), when, func() {
					if i, ok := s.system.servingEngine(choice); ok {
						s.system.release(i, length, listed)
					}
				}},
				action{"configure", when + length, s.system.configure})
			if s.rng.IntN(2) == 0 {
				g := s.system.gateways[s.rng.IntN(len(s.system.gateways))]
				out = append(out, action{"stop " + g.name, when + s.drawDuration(0, length), func() { g.signal(syscall.SIGTERM) }})
			}
			when += s.drawDuration(minReleasePause, maxReleasePause)
		}
	}
	return out
}

// servingEngine returns an engine that is available, selected by a number between 0
// and 1. It reports false if there is none.
func (s *system) servingEngine(which float64) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var serving []int
	for i, u := range s.upstreams {
		if u.Kind != "" && !s.unavailable[i] {
			serving = append(serving, i)
		}
	}
	if len(serving) == 0 {
		return 0, false
	}
	return serving[int(which*float64(len(serving)))], true
}

// drawChunkedBody makes the body of a call one in chunks, sent over a time in some.
func (c *caller) drawChunkedBody(k *call) {
	k.chunked = true
	if c.rng.IntN(2) == 0 {
		k.bodyPause = minBodyPause + time.Duration(c.rng.Float64()*float64(maxBodyPause-minBodyPause))
	}
}

// slowReader returns a text, with a pause before its last byte.
type slowReader struct {
	text  string
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	part := r.text[:max(1, len(r.text)-1)]
	if len(r.text) == 1 {
		time.Sleep(r.pause)
	}
	n := copy(p, part)
	r.text = r.text[n:]
	return n, nil
}
