package gateway

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/routing"
)

// gatewayWithRoutes returns a gateway whose table has a number of routes, and its boot
// time.
func gatewayWithRoutes(t *testing.T, routes int) (*Gateway, *atomic.Int64) {
	var passed atomic.Int64
	passed.Store(int64(time.Minute))
	g := &Gateway{Log: zap.NewNop(), control: loop.New[state](), listLimiter: newListLimiter(), Now: func() time.Duration { return time.Duration(passed.Load()) }}
	g.control.State = *newState(t)
	go g.control.Run(t.Context())
	table := &routing.Table{Version: 2, Services: map[string]*routing.Service{"llm": {Name: "llm"}}}
	for i := range routes {
		table.Routes = append(table.Routes, &routing.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Backends: []routing.Backend{{Service: "llm", Weight: 1}}})
	}
	qt.Assert(t, table.Prepare(), qt.IsNil)
	g.routing.Adopt(table)
	return g, &passed
}

// TestLargeTableIsSentToFewAtOnce guards against a gateway whose link is taken up by
// sending a large configuration to all peers of its zone at once, so that none of them
// gets it in time.
func TestLargeTableIsSentToFewAtOnce(t *testing.T) {
	const peers = 30
	for _, x := range []struct{ routes, atOnce, perSecond int }{
		{1650, 2, 5},
		{3000, 1, 3},
		{2 * listRoutesBurst, 1, 2},
		{100, peers, peers},
	} {
		t.Run(fmt.Sprint(x.routes), func(t *testing.T) {
			g, passed := gatewayWithRoutes(t, x.routes)
			answered := func() int {
				n := 0
				for range peers {
					if _, err := g.buildLists(&peering.ListsRequest{Version: peering.Version, Table: 1}); err == nil {
						n++
					}
				}
				return n
			}
			qt.Check(t, answered(), qt.Equals, x.atOnce)
			later := 0
			for range 10 {
				passed.Add(int64(100 * time.Millisecond))
				later += answered()
			}
			qt.Check(t, later >= x.perSecond-1, qt.IsTrue, qt.Commentf("%d in a second", later))
			qt.Check(t, x.atOnce == peers || later <= x.perSecond, qt.IsTrue, qt.Commentf("%d in a second", later))
			lists, err := g.buildLists(&peering.ListsRequest{Version: peering.Version, Table: 2})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("a peer that has the configuration"))
			qt.Check(t, lists.Table, qt.IsNil)
		})
	}
}

// TestBusySourceIsLeftAlone guards against asking the same peer for its lists again and
// again, which it could not send in time or refused.
func TestBusySourceIsLeftAlone(t *testing.T) {
	g, passed := gatewayWithRoutes(t, 1)
	newer := func(host string) *peering.News {
		return &peering.News{Version: peering.Version, Address: peering.Address{Gateway: host, Zone: "a", Address: host + ":1"}, Table: 3}
	}
	source := func() string {
		var found string
		g.control.Do(func(s *state) {
			for _, host := range []string{"g1", "g2"} {
				s.members.Update(newer(host), g.Now())
			}
			found = s.bestListSource(g, g.Now())
		})
		return found
	}
	first := source()
	qt.Assert(t, first, qt.Not(qt.Equals), "")
	g.control.Do(func(s *state) { s.leaveListSource(first, g.Now()) })
	second := source()
	qt.Check(t, second, qt.Not(qt.Equals), "")
	qt.Check(t, second, qt.Not(qt.Equals), first)
	g.control.Do(func(s *state) { s.leaveListSource(second, g.Now()) })
	qt.Check(t, source(), qt.Equals, "")
	passed.Add(int64(maxListSourcePause))
	qt.Check(t, source(), qt.Not(qt.Equals), "")
}
