package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"lovageport.example/internal/clock"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/setting"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/dial"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/internal/transport/peer"
	"lovageport.example/platform"
)

// Times of connections.
const (
	// connectTimeout bounds connecting; a round trip takes a few milliseconds.
	connectTimeout = 400 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay unacknowledged.
	silenceTimeout = 1500 * time.Millisecond
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
)

// Gateway is one gateway process. Set the exported fields, then call Run.
type Gateway struct {
	Settings *setting.Gateway
	// Version is shown at start.
	Version string
	// Log takes one line per event; nothing is logged if nil.
	Log *zap.Logger
	// Dropped returns how many log lines were dropped; it may be nil.
	Dropped func() int64
	// Listen opens the listeners; the network's if nil.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Random returns a number in [0, 1).
	Random func() float64
	// Now is the boot clock; the VM's if nil.
	Now func() time.Duration
	// Drain starts the graceful stop when it is closed. It may be nil.
	Drain <-chan struct{}
	// Reload is sent to when the settings may have changed. It may be nil.
	Reload <-chan *setting.Gateway

	control *loop.Loop[state]
	routing routing.Store
	store   *platform.Store
	pool    *http1.Pool
	peers   *peer.Client
	// table and list follow the configuration and the upstreams.
	table, list *follower
	metrics     *metrics
	// tableLost says that the configuration could not be followed when last
	// tried.
	tableLost atomic.Bool
	// asking shares the answers of engines between streams that ask at the same
	// time.
	asking singleflight.Group
	// noticed says that an upstream has given notice that it leaves, or wants no
	// requests for a while.
	noticed atomic.Bool
	// cutOff says that no gateway of another zone has been heard lately.
	cutOff atomic.Bool
	// draining says that the graceful stop has begun.
	draining atomic.Bool
	// inFlight counts the callers' requests at work.
	inFlight atomic.Int64
}

func (g *Gateway) prepare() {
	if g.Log == nil {
		g.Log = zap.NewNop()
	}
	if g.Listen == nil {
		g.Listen = (&net.ListenConfig{}).Listen
	}
	if g.Now == nil {
		g.Now = clock.Boot
	}
	g.Log = g.Log.With(zap.String("gateway", g.Settings.Name))
	g.metrics = newMetrics(g)
	dialer := dial.New(connectTimeout, silenceTimeout)
	g.pool = &http1.Pool{Dial: dialer, OnDial: g.metrics.connections.Inc}
	g.store = &platform.Store{
		Address: g.Settings.Platform.Address,
		Timeout: g.Settings.Platform.Timeout.Duration,
		Dial:    dialer,
		OnCall:  func(method string) { g.metrics.storeCalls.WithLabelValues(method).Inc() },
	}
	g.store.Open()
	g.peers = &peer.Client{Dial: dialer, Timeout: newsTimeout}
	g.table = g.tableFollower()
	g.list = g.listFollower()
	g.control = loop.New[state]()
	g.control.State.init(g)
}

// allowance is what the users allow for retries.
func (g *Gateway) allowance() retry.Allowance {
	b := g.Settings.Bounds
	return retry.Allowance{Share: b.RetryShare, Slack: b.RetrySlack, Window: b.RetryWindow.Duration}
}

// Run serves until ctx ends, or until a drain has ended.
func (g *Gateway) Run(ctx context.Context) error {
	g.prepare()
	defer g.store.Close()
	defer g.pool.Close()
	defer g.peers.Close()
	peers, err := g.Listen(ctx, "tcp", g.Settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	var group run.Group
	loop.Add(&group, ctx, g.control.Run)
	loop.Add(&group, ctx, g.table.run)
	loop.Add(&group, ctx, g.list.run)
	loop.Add(&group, ctx, g.placeLayers)
	loop.Add(&group, ctx, g.register)
	loop.Add(&group, ctx, g.tellNews)
	loop.Add(&group, ctx, g.borrowLists)
	loop.Add(&group, ctx, g.dispatch)
	loop.Add(&group, ctx, g.probe)
	loop.Add(&group, ctx, g.sweep)
	loop.Add(&group, ctx, g.reloadWhenAsked)
	loop.Add(&group, ctx, func(ctx context.Context) error {
		return peer.Serve(ctx, peers, g.peerHandler(), func(err error) { g.Log.Debug("peer connection ended", zap.Error(err)) })
	})
	callers := &http.Server{Handler: g.callerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	servers := []struct {
		address string
		server  *http.Server
	}{
		{g.Settings.Listen.Callers, callers},
		{g.Settings.Listen.Health, &http.Server{Handler: g.healthHandler(), ReadHeaderTimeout: headerTimeout}},
		{g.Settings.Listen.Metrics, &http.Server{Handler: g.metrics.handler(), ReadHeaderTimeout: headerTimeout}},
	}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		if err := g.serve(&group, ctx, s.address, s.server); err != nil {
			return err
		}
	}
	loop.Add(&group, ctx, func(ctx context.Context) error { return g.drainWhenAsked(ctx, callers) })
	g.Log.Info("started", zap.String("zone", g.Settings.Zone), zap.String("version", g.Version))
	err = group.Run()
	g.Log.Info("stopped", zap.Error(err))
	return err
}

// serve opens a listener and adds its server.
func (g *Gateway) serve(group *run.Group, ctx context.Context, address string, server *http.Server) error {
	listener, err := g.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("gateway: %w", err)
		}
		// The drain, or the end of another actor, says when the process ends.
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		server.Close()
	})
	return nil
}

// reloadWhenAsked takes in settings that have changed, until ctx ends.
func (g *Gateway) reloadWhenAsked(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case settings := <-g.Reload:
			g.Log.Info("settings reloaded", zap.Strings("seeds", settings.Peers.Seeds))
			g.learnSeeds(settings.Peers.Seeds)
		}
	}
}

// sweep closes idle connections from time to time, until ctx ends.
func (g *Gateway) sweep(ctx context.Context) error {
	for loop.Wait(ctx, sweepInterval) {
		g.pool.CloseExpired(time.Now())
	}
	return nil
}
