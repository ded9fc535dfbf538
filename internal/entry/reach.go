package entry

import (
	"context"
	"time"

	"lovageport.example/internal/coordination/dispatch"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/transport/upstream"
	"lovageport.example/pkg/declaration"
)

const (
	// maxDoubted is how many upstreams can wait for a probe after a peer's report.
	// Reports beyond that are dropped; the requests sent here show the failure too.
	maxDoubted = 1024
	// doubtProbes is how many of them are probed at once.
	doubtProbes = 16
	// witnessesPerZone is how many engines of each availability zone are probed to
	// find out whether this entry reaches any.
	witnessesPerZone = 2
	// maxWitnesses is how many are probed in all zones together.
	maxWitnesses = 8
	// linkLossTime is the time between two looks at the own links: those that are lost
	// together are not lost at the same moment.
	linkLossTime = 50 * time.Millisecond
)

// doubt has the upstreams probed that peers report as failed. A peer that has lost
// its own links reports all upstreams that it uses.
func (e *Entry) doubt(names []string) {
	for _, name := range names {
		select {
		case e.doubted <- name:
		default:
			return
		}
	}
}

// probeDoubted probes upstreams in doubt, one after the other, until ctx ends.
func (e *Entry) probeDoubted(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case name := <-e.doubted:
			if u, ok := e.control.view.Load().catalog.Upstream(name); ok {
				e.probeUpstream(ctx, u)
			}
		}
	}
}

// probeUpstream probes an upstream and records the result.
func (e *Entry) probeUpstream(ctx context.Context, u *declaration.Upstream) {
	probe := e.engineClient.Probe
	if u.Kind == declaration.PlainService {
		probe = e.serviceClient.Probe
	}
	result := probe(ctx, u.Address)
	if ctx.Err() != nil {
		return
	}
	e.control.Send(func(s *state) {
		switch result {
		case upstream.ProbeAlive:
			s.dispatcher.Ejections.RecordAnswer(u.Name, time.Now())
		case upstream.ProbeRefused, upstream.ProbeUnanswered:
			s.dispatcher.Ejections.RecordFailure(u.Name, time.Now())
		}
	})
}

// confirmCrash returns the fault of an engine of a request. A refusal shows that the
// engine has ended only if this entry reaches another one, and still does a little later;
// otherwise its own links may be at fault, and the request is no suspect.
func (g *generator) confirmCrash(ctx context.Context, fault dispatch.Fault, name string) dispatch.Fault {
	if fault != dispatch.Crashed {
		return fault
	}
	all := g.witnesses(name)
	if len(all) == 0 {
		return fault
	}
	if g.entry.reachesAny(ctx, all) && loop.Sleep(ctx, linkLossTime) && g.entry.reachesAny(ctx, all) {
		return fault
	}
	return dispatch.ConnectionLost
}

// witnesses returns engines that can serve the request, other than the one called
// name, from all availability zones.
func (g *generator) witnesses(name string) []*declaration.Upstream {
	var all []*declaration.Upstream
	perZone := make(map[string]int)
	for _, c := range g.placements.request.Accepted.Candidates {
		u := c.Upstream
		if u.Name == name || perZone[u.Zone] == witnessesPerZone || len(all) == maxWitnesses {
			continue
		}
		perZone[u.Zone]++
		all = append(all, u)
	}
	return all
}

// reachesAny reports whether one of several engines answers a probe.
func (e *Entry) reachesAny(ctx context.Context, engines []*declaration.Upstream) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan upstream.ProbeResult, len(engines))
	for _, u := range engines {
		go func() {
			result := upstream.ProbeUnanswered
			e.contain("", func() { result = e.engineClient.Probe(ctx, u.Address) })
			results <- result
		}()
	}
	for range engines {
		if <-results == upstream.ProbeAlive {
			return true
		}
	}
	return false
}
