package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
)

// TestPeerFaultBeforeFirstConfiguration guards against a process that ends because
// a peer reports a fault of a listed upstream before a configuration is known. The
// upstream is probed once there is one.
func TestPeerFaultBeforeFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newState(t)
	table := s.table
	s.table = nil
	s.rebuildPools()
	g := &Gateway{Log: s.log, Now: func() time.Duration { return time.Minute }, control: loop.New[state]()}
	s.now, s.listedAt = g.Now, time.Minute
	g.control.State = *s
	g.control.State.members.Self = peering.Address{Gateway: "g1", Zone: "a", Address: "10.0.0.1:1"}
	g.control.State.zone = "a"
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go g.control.Run(ctx)
	c.Assert(g.dueProbes(), qt.HasLen, 0)
	news := &peering.News{Version: peering.Version, ListAge: -1, Faults: []peering.UpstreamFault{{Upstream: "e", Left: time.Second}}}
	news.Address = peering.Address{Gateway: "g2", Zone: "a", Address: "10.0.0.2:1"}
	g.control.Do(func(s *state) { s.mergeNews(news, time.Minute) })
	c.Assert(g.dueProbes(), qt.HasLen, 0)
	g.control.Do(func(s *state) { s.setTable(table) })
	due := g.dueProbes()
	c.Assert(due, qt.HasLen, 1)
	c.Check(due[0].Instance, qt.Equals, "e")
}

// TestUpstreamOfUnknownServiceIsNotProbed guards against probes without a path, of an
// upstream whose service the configuration does not name.
func TestUpstreamOfUnknownServiceIsNotProbed(t *testing.T) {
	c := qt.New(t)
	s := newState(t)
	g := &Gateway{Log: s.log, Now: func() time.Duration { return time.Minute }, control: loop.New[state]()}
	g.control.State = *s
	go g.control.Run(t.Context())
	g.control.Do(func(s *state) {
		s.upstreams["e"].Service = "other"
		s.health.RequestProbe("e", time.Minute)
	})
	c.Check(g.dueProbes(), qt.HasLen, 0)
}
