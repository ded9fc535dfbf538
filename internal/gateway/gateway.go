package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"lovageport.example/internal/clock"
	"lovageport.example/internal/coordination/retry"
	"lovageport.example/internal/coordination/selfcheck"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/setting"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/dial"
	"lovageport.example/internal/transport/drain"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/internal/transport/intake"
	"lovageport.example/internal/transport/peer"
	"lovageport.example/internal/transport/tunnel"
	"lovageport.example/platform"
)

// Timeouts and intervals of connections.
const (
	// connectTimeout bounds connecting to an upstream or a peer; a round trip
	// takes a few milliseconds.
	connectTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// connection is closed.
	unackedTimeout = 1500 * time.Millisecond
	// idleSweepInterval is how often idle connections are checked for expiry.
	idleSweepInterval = time.Second
)

// Gateway is one gateway process. Set the exported fields, then call Run.
type Gateway struct {
	Settings *setting.Gateway
	// Version is the software version that is logged at startup.
	Version string
	// Log receives one line per event; nothing is logged if it is nil.
	Log *zap.Logger
	// Dropped returns the number of dropped log lines; it may be nil.
	Dropped func() int64
	// DialUpstream opens direct connections to upstreams; if nil, over the network.
	DialUpstream dial.Func
	// Listen opens the listeners; if nil, they are opened on the network.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Random returns a pseudo-random number in [0, 1).
	Random func() float64
	// Now returns the time since boot; if nil, the clock of the VM is used.
	Now func() time.Duration
	// Drain starts the graceful shutdown when it is closed. It may be nil.
	Drain <-chan struct{}
	// Reload receives the settings each time they have been reloaded. It may be
	// nil.
	Reload <-chan *setting.Gateway

	control     *loop.Loop[state]
	routing     routing.Store
	store       *platform.Store
	connPool    *http1.Pool
	peerClients *peer.Client
	// tableWatcher and upstreamWatcher keep the configuration and the list of
	// upstreams up to date.
	tableWatcher, upstreamWatcher *watcher
	metrics                       *metrics
	// storedVersion is the version of the configuration in the store. It is
	// accessed only by tableWatcher.
	storedVersion int64
	// registerAgain wakes register after the store was restored.
	registerAgain chan struct{}
	// peersTried is closed when a peer has answered, or all seeds have been
	// called in vain.
	peersTried      chan struct{}
	closePeersTried func()
	// tableWatchFailed reports whether the last attempt to read or watch the
	// configuration failed.
	tableWatchFailed atomic.Bool
	// tableReadAt is the boot time at which the last read of the configuration that
	// has ended was sent.
	tableReadAt atomic.Int64
	// listLimiter limits the configurations that are sent to peers.
	listLimiter *rate.Limiter
	// dialDirect opens direct connections to upstreams, and dialPeer those to peers.
	dialDirect, dialPeer dial.Func
	// relayed holds, by address, the upstreams that are called through peers, and the
	// boot times since which they are. tunnelPeers are the peers that open tunnels.
	relayed     atomic.Pointer[map[string]time.Duration]
	tunnelPeers atomic.Pointer[[]tunnelPeer]
	// tunnels serves the tunnels that peers open.
	tunnels tunnel.Server
	// reportCalls merges concurrent calls that fetch the report of the same
	// engine.
	reportCalls singleflight.Group
	// probeCalls merges concurrent health probes of the same upstream without engine
	// for which streams wait.
	probeCalls singleflight.Group
	// noticeReceived is set once any upstream has announced that it leaves or
	// has asked for no requests for some time. Until then the checks for
	// notices skip the control loop.
	noticeReceived atomic.Bool
	// limitsKnown reports whether an upstream is known to limit the rate of requests.
	// Until then the checks for limits skip the control loop.
	limitsKnown atomic.Bool
	// pauses records when this process stood still.
	pauses selfcheck.Monitor
	// reporting reports whether this gateway reports for its zone.
	reporting atomic.Bool
	// invalidReports counts the reports of other zones that could not be used.
	invalidReports atomic.Int64
	// zoneIsolated reports whether gateways of other zones were heard and no
	// longer are.
	zoneIsolated atomic.Bool
	// draining is set when the graceful shutdown has begun.
	draining atomic.Bool
	// drainTimes are the times of the graceful shutdown; nil before it.
	drainTimes atomic.Pointer[drainTimes]
	// streamTimes predicts how long streams take.
	streamTimes streamTimes
	// requests ends the requests that are at work when the time of a drain is over.
	requests drain.Requests
	// answerMemory and bodyMemory bound the memory of the answers and of the bodies of
	// requests that are held whole.
	answerMemory, bodyMemory buffer.Budget
	// inputMemory bounds the memory of what clients and peers have sent and that is not
	// yet a request.
	inputMemory intake.Memory
	// goneStreams bounds the lines of streams whose callers have ended them.
	goneStreams logLimit
	// inFlight is the number of callers' requests being processed.
	inFlight atomic.Int64
	// tasks are the calls that run in the background. They end with Run.
	tasks taskGroup
}

func (g *Gateway) prepare() {
	if g.Log == nil {
		g.Log = zap.NewNop()
	}
	if g.Listen == nil {
		g.Listen = (&net.ListenConfig{}).Listen
	}
	if g.Now == nil {
		g.Now = clock.SinceBoot
	}
	g.Log = g.Log.With(zap.String("gateway", g.Settings.Name))
	g.metrics = newMetrics(g)
	dialer := dial.New(connectTimeout, unackedTimeout)
	g.dialPeer = dialer
	g.dialDirect = g.DialUpstream
	if g.dialDirect == nil {
		g.dialDirect = dialer
	}
	g.setBudgets()
	g.connPool = &http1.Pool{Dial: g.dialUpstream, Memory: &g.answerMemory, OnDial: g.metrics.connections.Inc, Keep: g.keepsConn}
	g.tunnels.Connect = g.connectForPeer
	g.tunnels.Guard = g.guard()
	g.tunnels.Log = func(err error) { g.Log.Debug("tunnel ended", zap.Error(err)) }
	g.store = &platform.Store{
		Address: g.Settings.Platform.Address,
		Timeout: g.Settings.Platform.Timeout.Duration,
		Dial:    dialer,
		OnCall:  func(method string) { g.metrics.storeCalls.WithLabelValues(method).Inc() },
		OnEra:   g.observeEra,
	}
	g.store.Open()
	g.peerClients = &peer.Client{Dial: dialer, Timeout: peerCallTimeout, ListsTimeout: peerListsTimeout}
	g.listLimiter = newListLimiter()
	g.registerAgain = make(chan struct{}, 1)
	g.peersTried = make(chan struct{})
	g.closePeersTried = sync.OnceFunc(func() { close(g.peersTried) })
	g.tableWatcher = g.newTableWatcher()
	g.upstreamWatcher = g.newUpstreamWatcher()
	g.control = loop.New[state]()
	g.control.OnPanic = g.logLoopPanic
	g.control.State.init(g)
}

// retryAllowance returns the limits that the settings place on retries.
func (g *Gateway) retryAllowance() retry.Allowance {
	b := g.Settings.Bounds
	return retry.Allowance{Share: b.RetryShare, Slack: b.RetrySlack, Window: b.RetryWindow.Duration}
}

// Run serves until ctx is done or a drain has completed.
func (g *Gateway) Run(ctx context.Context) error {
	g.prepare()
	defer g.store.Close()
	defer g.connPool.Close()
	defer g.peerClients.Close()
	g.tasks.start(ctx, g.guard())
	g.control.State.startPathCheck = g.startPathCheck
	defer g.tasks.stop()
	peerListener, err := g.Listen(ctx, "tcp", g.Settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	var group run.Group
	loop.AddActor(&group, ctx, g.control.Run)
	loop.AddActor(&group, ctx, g.tableWatcher.run)
	loop.AddActor(&group, ctx, g.upstreamWatcher.run)
	loop.AddActor(&group, ctx, g.placeLayers)
	loop.AddActor(&group, ctx, g.register)
	loop.AddActor(&group, ctx, g.gossip)
	loop.AddActor(&group, ctx, g.syncWithPeers)
	loop.AddActor(&group, ctx, g.dispatchQueued)
	loop.AddActor(&group, ctx, g.runProbes)
	loop.AddActor(&group, ctx, g.closeIdleConnections)
	loop.AddActor(&group, ctx, g.applyReloads)
	loop.AddActor(&group, ctx, g.checkPaths)
	tunnels, calls, split := tunnel.Split(g.limitPeers(peerListener))
	loop.AddActor(&group, ctx, split)
	loop.AddActor(&group, ctx, func(ctx context.Context) error { return g.tunnels.Serve(ctx, tunnels) })
	loop.AddActor(&group, ctx, func(ctx context.Context) error {
		return peer.Serve(ctx, calls, g.peerHandler(), func(err error) { g.Log.Debug("peer connection ended", zap.Error(err)) })
	})
	callerListener, err := g.Listen(ctx, "tcp", g.Settings.Listen.Callers)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	callers := g.limitCallers(callerListener)
	g.addServer(&group, callers, &http.Server{Handler: g.callerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: drain.Track, ConnContext: drain.WithConn})
	servers := []struct {
		name, address string
		server        *http.Server
	}{
		{"health", g.Settings.Listen.Health, toolServer(g.healthHandler())},
		{"metrics", g.Settings.Listen.Metrics, toolServer(g.metricsHandler())},
	}
	for _, s := range servers {
		if s.address == "" {
			continue
		}
		listener, err := g.Listen(ctx, "tcp", s.address)
		if err != nil {
			return fmt.Errorf("gateway: %w", err)
		}
		g.addServer(&group, g.limitTool(listener, s.name), s.server)
	}
	loop.AddActor(&group, ctx, func(ctx context.Context) error { return g.drainOnRequest(ctx, callers) })
	g.Log.Info("started", zap.String("zone", g.Settings.Zone), zap.String("version", g.Version))
	err = group.Run()
	g.Log.Info("stopped", zap.Bool("drained", g.draining.Load()), zap.Int64("in_flight", g.inFlight.Load()), zap.Int("connections", callers.Open()), zap.Error(err))
	return err
}

// addServer adds a server to the group.
func (g *Gateway) addServer(group *run.Group, listener net.Listener, server *http.Server) {
	stopped := make(chan struct{})
	// The level is valid.
	server.ErrorLog, _ = zap.NewStdLogAt(g.Log, zap.WarnLevel)
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("gateway: %w", err)
		}
		// The process ends when the drain, or another member of the group,
		// returns.
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		server.Close()
	})
}

// applyReloads applies reloaded settings until ctx is done.
func (g *Gateway) applyReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case settings := <-g.Reload:
			g.Log.Info("settings reloaded", zap.Strings("seeds", settings.Peers.Seeds))
			g.addSeeds(settings.Peers.Seeds)
		}
	}
}

// closeIdleConnections periodically closes idle connections until ctx is done.
func (g *Gateway) closeIdleConnections(ctx context.Context) error {
	for loop.Sleep(ctx, idleSweepInterval) {
		g.connPool.CloseExpired(time.Now())
	}
	return nil
}
