package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/dial"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
	"lovageport.example/platform"
	"lovageport.example/platform/platformtest"
)

// configuration returns a configuration whose route /added/ exists only from version 2
// on, and whose route /moved/ leads to the service of the version's number.
func configuration(version int) map[string]any {
	route := func(name, service string) map[string]any {
		return map[string]any{"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": "idempotent", "attempts": 1, "service": service, "public": true}
	}
	routes := []any{route("moved", "s"+string(rune('0'+version)))}
	if version > 1 {
		routes = append(routes, route("added", "s2"))
	}
	return map[string]any{"version": version, "routes": routes, "services": []any{map[string]any{"name": "s1"}, map[string]any{"name": "s2"}}, "tenants": []any{}, "limits": map[string]any{}}
}

// configuredGateway is a gateway that follows the configuration of a store, on behalf of
// which another gateway of its zone reads.
type configuredGateway struct {
	*Gateway
	store *platformtest.Store
	// passed is the boot time.
	passed atomic.Int64
}

func newConfiguredGateway(t *testing.T) *configuredGateway {
	g := &configuredGateway{store: platformtest.NewStore()}
	t.Cleanup(g.store.Close)
	g.passed.Store(int64(time.Minute))
	s := newState(t)
	settings := testSettings()
	settings.Bounds.Configuration = declaration.Span(2 * time.Second)
	g.Gateway = &Gateway{
		Settings: settings, Log: zap.NewNop(), control: loop.New[state](), metrics: newMetrics(&Gateway{}),
		Now:   func() time.Duration { return time.Duration(g.passed.Load()) },
		store: &platform.Store{Address: g.store.Address, Timeout: time.Second, Dial: dial.New(time.Second, time.Second)},
	}
	g.Gateway.store.Open()
	t.Cleanup(g.Gateway.store.Close)
	g.control.State = *s
	g.tableWatcher = g.newTableWatcher()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.control.Run(ctx)
	g.closePeersTried = func() {}
	g.peersTried = make(chan struct{})
	close(g.peersTried)
	// The watch of a gateway that does not read for its zone may lag.
	g.store.Lag = time.Hour
	g.store.Put("config", "main", configuration(1))
	at, err := g.readTable(ctx)
	qt.Assert(t, err, qt.IsNil)
	g.control.Do(func(s *state) {
		s.members.Update(&peering.News{Version: peering.Version, Address: peering.Address{Gateway: "a", Zone: s.zone, Address: "0"}, Follows: true}, g.Now())
	})
	qt.Assert(t, g.watchOptions(at).AllowStale, qt.IsTrue)
	go g.tableWatcher.run(ctx)
	return g
}

// serve has the gateway accept a request.
func (g *configuredGateway) serve(path string) (*request, error) {
	q := &request{http: httptest.NewRequest(http.MethodGet, "http://h"+path, nil), arrived: g.Now()}
	return q, g.accept(httptest.NewRecorder(), q)
}

// TestOldConfigurationIsNotServed guards against requests that are served by a
// configuration that may have been replaced for longer than the users allow, although
// the store can be read: the gateway that has read for this one has just ended.
func TestOldConfigurationIsNotServed(t *testing.T) {
	g := newConfiguredGateway(t)
	q, err := g.serve("/moved/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, "s1")
	_, err = g.serve("/added/")
	qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UnknownRoute)

	g.store.Put("config", "main", configuration(2))
	g.passed.Add(int64(2 * time.Second))
	q, err = g.serve("/added/")
	qt.Check(t, err, qt.IsNil, qt.Commentf("a route that was added"))
	q, err = g.serve("/moved/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, "s2", qt.Commentf("a route that was moved"))
}

// TestMovedRouteIsServedInTime is like TestOldConfigurationIsNotServed for the first
// request after the bound, which an older configuration allows too.
func TestMovedRouteIsServedInTime(t *testing.T) {
	g := newConfiguredGateway(t)
	g.store.Put("config", "main", configuration(2))
	g.passed.Add(int64(2 * time.Second))
	q, err := g.serve("/moved/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, "s2")
}

// TestOldConfigurationServesWithoutStore checks that a gateway without the store serves
// what it can: only what an old configuration does not prove is refused.
func TestOldConfigurationServesWithoutStore(t *testing.T) {
	g := newConfiguredGateway(t)
	g.store.SetDown(true)
	g.tableWatchFailed.Store(true)
	g.passed.Add(int64(3 * time.Second))
	q, err := g.serve("/moved/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, "s1")
	_, err = g.serve("/added/")
	qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.NotReady)
}
