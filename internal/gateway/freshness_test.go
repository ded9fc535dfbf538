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

// configure writes a configuration. From version 2 on /look/ leads to another service and
// /look-added/ exists.
func configure(store *platformtest.Store, version int) {
	c := platformtest.Configuration{Version: version, Keys: []string{"key"}}
	if version > 1 {
		c.Variants = []string{"added"}
		c.Edit = func(s *platformtest.Specification) {
			platformtest.Named(s.Routes, "look")["service"] = platformtest.EngineService
		}
	}
	store.Configure(c)
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
	settings.Bounds.Configuration, settings.Bounds.Revocation = declaration.Span(2*time.Second), declaration.Span(5*time.Second)
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
	configure(g.store, 1)
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
	r := httptest.NewRequest(http.MethodGet, "http://"+platformtest.Host+path, nil)
	r.Header.Set("Authorization", "Bearer key")
	q := &request{Request: platform.DecodeRequest(r.Header), http: r, arrived: g.Now()}
	return q, g.accept(httptest.NewRecorder(), q)
}

// TestOldConfigurationIsNotServed guards against requests that are served by a
// configuration that may have been replaced for longer than the users allow, although
// the store can be read: the gateway that has read for this one has just ended.
func TestOldConfigurationIsNotServed(t *testing.T) {
	g := newConfiguredGateway(t)
	q, err := g.serve("/look/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, platformtest.PlainService)
	_, err = g.serve("/look-added/")
	qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UnknownRoute)

	configure(g.store, 2)
	g.passed.Add(int64(2 * time.Second))
	_, err = g.serve("/look-added/")
	qt.Check(t, err, qt.IsNil, qt.Commentf("a route that was added"))
	q, err = g.serve("/look/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, platformtest.EngineService, qt.Commentf("a route that was moved"))
}

// TestMovedRouteIsServedInTime is like TestOldConfigurationIsNotServed for the first
// request after the bound, which an older configuration allows too.
func TestMovedRouteIsServedInTime(t *testing.T) {
	g := newConfiguredGateway(t)
	configure(g.store, 2)
	g.passed.Add(int64(2 * time.Second))
	q, err := g.serve("/look/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, platformtest.EngineService)
}

// TestOldConfigurationServesWithoutStore checks that a gateway without the store serves
// what it can: only what an old configuration does not prove is refused.
func TestOldConfigurationServesWithoutStore(t *testing.T) {
	g := newConfiguredGateway(t)
	g.store.SetDown(true)
	g.tableWatchFailed.Store(true)
	g.passed.Add(int64(3 * time.Second))
	q, err := g.serve("/look/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, q.service, qt.Equals, platformtest.PlainService)
	_, err = g.serve("/look-added/")
	qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.NotReady)
}

// TestUnconfirmedConfigurationDelaysNoRequest guards against requests that wait for a
// confirmation that the store cannot give: it was restored from a copy.
func TestUnconfirmedConfigurationDelaysNoRequest(t *testing.T) {
	g := newConfiguredGateway(t)
	g.control.Do(func(s *state) {
		s.eras.Observe(1, g.Now())
		s.eras.Observe(2, g.Now())
	})
	g.passed.Add(int64(1900 * time.Millisecond))
	began := time.Now()
	for range 5 {
		_, err := g.serve("/look/")
		qt.Check(t, err, qt.IsNil)
	}
	qt.Check(t, time.Since(began) < refreshTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
