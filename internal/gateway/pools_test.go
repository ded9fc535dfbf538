package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
)

// TestPoolOfFormerService checks that the pool of a service that the table no longer
// describes alike follows the list of upstreams, and is kept until the requests that
// were accepted for the service have ended.
func TestPoolOfFormerService(t *testing.T) {
	for _, x := range []struct {
		name     string
		services map[string]*routing.Service
		former   bool
	}{
		{"described alike", map[string]*routing.Service{"llm": {Name: "llm", Engine: &fleet.Engine{Layers: 10}}}, false},
		{"removed", nil, true},
		{"other layers", map[string]*routing.Service{"llm": {Name: "llm", Engine: &fleet.Engine{Layers: 20}}}, true},
		{"plain", map[string]*routing.Service{"llm": {Name: "llm"}}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := newState(t)
			now := time.Second
			s.now = func() time.Duration { return now }
			q := &request{service: "llm", accepted: s.table.Services["llm"], deadline: 5 * time.Second}
			s.setTable(&routing.Table{Version: 2, Services: x.services})
			p := s.poolOf(q)
			c.Assert(p, qt.IsNotNil)
			c.Check(p.layers.Engine.Layers, qt.Equals, 10)
			c.Check(p.members, qt.HasLen, 1)
			c.Check(s.poolOf(q), qt.Equals, p)
			c.Check(len(s.formerPools) == 1, qt.Equals, x.former)

			// The upstream may start again while the request runs.
			delete(s.upstreams, "e")
			s.rebuildPools()
			c.Check(s.poolOf(q), qt.IsNil)
			s.upstreams["e"] = &fleet.Upstream{Instance: "e", Service: "llm", Held: fleet.Range{From: 0, To: 10}}
			s.rebuildPools()
			c.Check(s.poolOf(q), qt.IsNotNil)

			now = q.deadline
			s.rebuildPools()
			c.Check(len(s.formerPools) == 1, qt.Equals, x.former)
			now++
			s.rebuildPools()
			c.Check(s.formerPools, qt.HasLen, 0)
		})
	}
}

// TestServiceNamed checks which description counts for the probes of an upstream.
func TestServiceNamed(t *testing.T) {
	s := newState(t)
	known := s.table.Services["llm"]
	qt.Check(t, s.serviceNamed("llm"), qt.Equals, known)
	s.setTable(&routing.Table{Version: 2})
	qt.Check(t, s.serviceNamed("llm"), qt.Equals, known, qt.Commentf("requests that were accepted before may run"))
	s.now = func() time.Duration { return time.Second }
	s.rebuildPools()
	qt.Check(t, s.serviceNamed("llm"), qt.IsNil)
	s.poolOf(&request{service: "llm", accepted: known, deadline: time.Minute})
	qt.Check(t, s.serviceNamed("llm"), qt.Equals, known)
}

// TestFormerPoolHasNoEngineOfNewModel guards against a stream that is resumed on
// engines which hold layers of the model that its service has now.
func TestFormerPoolHasNoEngineOfNewModel(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(u *fleet.Upstream)
		usable bool
	}{
		{"unchanged", func(*fleet.Upstream) {}, true},
		{"other entry", func(u *fleet.Upstream) { u.Slots++ }, true},
		{"other layers", func(u *fleet.Upstream) { u.Held = fleet.Range{From: 0, To: 5} }, false},
		{"restarted", func(u *fleet.Upstream) { u.Started++ }, false},
		{"new", func(u *fleet.Upstream) { u.Instance = "n" }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := newState(t)
			q := &request{service: "llm", accepted: s.table.Services["llm"], deadline: time.Minute}
			s.setTable(&routing.Table{Version: 2, Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &fleet.Engine{Layers: 20}}}})
			u := *s.upstreams["e"]
			x.change(&u)
			delete(s.upstreams, "e")
			s.upstreams[u.Instance] = &u
			s.rebuildPools()
			c.Check(s.poolOf(q) != nil, qt.Equals, x.usable)
		})
	}
}
