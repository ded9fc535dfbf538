package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"lovageport.example/internal/coordination/route"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/setting"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/internal/state/claim"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/store"
	"lovageport.example/internal/transport/caller"
	"lovageport.example/internal/transport/objectstore"
	"lovageport.example/internal/transport/operator"
	"lovageport.example/internal/transport/peer"
	"lovageport.example/internal/transport/upstream"
)

// Entry is one entry process. Set the exported fields, then call Run.
type Entry struct {
	Settings *setting.Entry
	// Version is shown to operators.
	Version string
	// Log takes one line per event; nothing is logged if nil.
	Log *zap.Logger
	// Listen opens the listeners; the network's if nil.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Dial opens connections; the network's if nil.
	Dial upstream.DialFunc
	// Random returns a number in [0, 1); no randomness if nil.
	Random func() float64
	// Choose replaces the choice of chains, to compare policies.
	Choose func(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, prefer map[string]bool) route.Chain
	// Drain starts the graceful stop when it is closed. It may be nil.
	Drain <-chan struct{}

	control  *control
	metrics  *metrics
	objects  store.ObjectAPI
	stored   *configuration.Repository
	claims   *claim.Manager
	engines  *upstream.EngineClient
	services *upstream.ServiceClient
	clients  *peer.Client
	platform *objectstore.Client
	later    *laterQueue
	// wake tells the follower that a newer configuration may be there.
	wake chan struct{}
	// drainAsked is closed when an operator asks for the stop.
	drainAsked chan struct{}
	drainOnce  atomic.Bool
	// inFlight counts the callers' requests at work; some go on without their
	// caller.
	inFlight atomic.Int64
	// callers are the connections with a request from its first byte to the
	// last one of its answer.
	callers busyConns
}

// prepare makes the parts that need no goroutine.
func (e *Entry) prepare() {
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	if e.Listen == nil {
		e.Listen = (&net.ListenConfig{}).Listen
	}
	e.metrics = newMetrics()
	e.control = newControl()
	e.control.changed = e.metrics.observeView
	e.wake = make(chan struct{}, 1)
	e.drainAsked = make(chan struct{})
	e.later = newLaterQueue()
	e.platform = &objectstore.Client{
		Address:    e.Settings.Platform.Address,
		Credential: e.Settings.Platform.Credential,
		Timeout:    e.Settings.Platform.Timeout.Duration,
		Dial:       e.Dial,
	}
	e.objects = e.platform.Objects()
	e.stored = &configuration.Repository{Objects: e.objects, Nonce: uuid.NewString}
	e.claims = &claim.Manager{Objects: e.objects, Entry: e.Settings.Name, Nonce: uuid.NewString, RetryLater: e.later.add}
	e.engines = upstream.NewEngineClient(e.Dial)
	e.services = upstream.NewServiceClient(e.Dial)
	e.clients = &peer.Client{Dial: e.Dial, Timeout: peerTimeout}
	e.prepareState()
	e.metrics.gauge("lovageport_in_flight", "Requests of callers in flight.", func() float64 { return float64(e.inFlight.Load()) })
	e.metrics.gauge("lovageport_queued", "Requests that wait for a place.", e.queued)
}

// queued returns how many requests wait for a place.
func (e *Entry) queued() float64 {
	queued := 0
	e.control.Do(func(s *state) { _, queued = s.dispatcher.Counts() })
	return float64(queued)
}

func (e *Entry) prepareState() {
	s := &e.control.State
	s.members.Self = e.Settings.Name
	s.members.SetListed(e.seeds())
	s.dispatcher.Zone = e.Settings.Zone
	s.dispatcher.Queue.Max = e.Settings.Requests.MaxQueue
	s.dispatcher.Confirmed = s.confirmed
	s.dispatcher.ChooseFunc = e.Choose
	s.dispatcher.Chooser = route.Chooser{
		Zone:          e.Settings.Zone,
		Latency:       func(from, to string) time.Duration { return e.control.view.Load().catalog.Latency(from, to) },
		Random:        e.Random,
		Jitter:        route.DefaultJitter,
		LoadWeight:    route.DefaultLoadWeight,
		ReuseDiscount: route.DefaultReuseDiscount,
	}
}

// Run serves until ctx ends, or until a drain has ended.
func (e *Entry) Run(ctx context.Context) error {
	e.prepare()
	defer e.closeClients()
	listeners, err := e.listen(ctx)
	if err != nil {
		return err
	}
	var g run.Group
	loop.AddActor(&g, ctx, e.control.Run)
	loop.AddActor(&g, ctx, e.control.tick)
	loop.AddActor(&g, ctx, e.drainWhenAsked)
	loop.AddActor(&g, ctx, e.followHead)
	loop.AddActor(&g, ctx, e.pollHead)
	loop.AddActor(&g, ctx, e.adoptWhenWoken)
	loop.AddActor(&g, ctx, e.followWithdrawals)
	loop.AddActor(&g, ctx, e.followVMs)
	loop.AddActor(&g, ctx, e.beat)
	loop.AddActor(&g, ctx, e.sweepClaims)
	loop.AddActor(&g, ctx, e.later.run)
	loop.AddActor(&g, ctx, func(ctx context.Context) error {
		return peer.Serve(ctx, listeners.peers, e.peerHandler(), e.logPeerError)
	})
	callers := e.callerServer().HTTP()
	callers.ConnState = e.callers.observe
	e.serve(&g, listeners.callers, callers)
	e.serve(&g, listeners.operators, e.operatorServer())
	e.Log.Info("started", zap.String("entry", e.Settings.Name), zap.String("zone", e.Settings.Zone), zap.String("version", e.Version))
	err = g.Run()
	e.Log.Info("stopped", zap.Error(err))
	return err
}

// serve adds an HTTP server.
func (e *Entry) serve(g *run.Group, listener net.Listener, server *http.Server) {
	g.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("entry: %w", err)
		}
		return nil
	}, func(error) { server.Close() })
}

// listeners are those of one entry.
type listeners struct {
	callers, operators, peers net.Listener
}

func (e *Entry) listen(ctx context.Context) (l listeners, err error) {
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var listener net.Listener
		listener, err = e.Listen(ctx, "tcp", address)
		return listener
	}
	l.callers = open(e.Settings.Listen.Callers)
	l.operators = open(e.Settings.Listen.Operators)
	l.peers = open(e.Settings.Listen.Peers)
	if err != nil {
		for _, opened := range []net.Listener{l.callers, l.operators, l.peers} {
			if opened != nil {
				opened.Close()
			}
		}
		return l, fmt.Errorf("entry: %w", err)
	}
	return l, nil
}

func (e *Entry) closeClients() {
	e.engines.Close()
	e.services.Close()
	e.clients.Close()
	e.platform.Close()
}

func (e *Entry) callerServer() *caller.Server {
	return &caller.Server{
		Timeout:      e.Settings.Requests.Timeout.Duration,
		BodyTimeout:  e.Settings.Requests.BodyTimeout.Duration,
		MaxBodyBytes: e.Settings.Requests.MaxBodyBytes,
		Backend: caller.Backend{
			NewRequest:   e.newRequest,
			Authenticate: e.authenticate,
			Models:       e.models,
			Generate:     e.generate,
			Invoke:       e.invoke,
			OnError:      e.logRefusal,
		},
	}
}

func (e *Entry) operatorServer() *http.Server {
	return (&operator.Server{
		Backend: e.operatorBackend(),
		Metrics: e.metrics.handler(),
		Ready:   func() bool { v := e.control.view.Load(); return v.ready && !v.draining },
	}).HTTP()
}

func (e *Entry) logPeerError(err error) {
	e.Log.Debug("peer connection ended", zap.Error(err))
}
