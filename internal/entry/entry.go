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
	"lovageport.example/internal/coordination/selfcheck"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/setting"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/internal/state/claim"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/store"
	"lovageport.example/internal/transport/caller"
	"lovageport.example/internal/transport/drain"
	"lovageport.example/internal/transport/intake"
	"lovageport.example/internal/transport/objectstore"
	"lovageport.example/internal/transport/operator"
	"lovageport.example/internal/transport/peer"
	"lovageport.example/internal/transport/upstream"
)

// Entry is an entry process. Set the exported fields, then call Run once.
type Entry struct {
	Settings *setting.Entry
	// Version is the software version reported to operators.
	Version string
	// Log receives one line per event. If nil, nothing is logged.
	Log *zap.Logger
	// Listen opens the listeners. If nil, net.ListenConfig is used.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	// Dial opens outgoing connections. If nil, net.Dialer is used.
	Dial upstream.DialFunc
	// Random returns a number in [0, 1). If nil, the choice of chains is not
	// randomized and old claims are not removed.
	Random func() float64
	// ChooseChain replaces the routing policy, so that tests can compare
	// policies. If nil, the dispatcher uses its own.
	ChooseChain func(pool *catalog.Pool, state func(*catalog.Candidate) route.Occupancy, prefer map[string]bool) route.Chain
	// Drain starts a graceful shutdown when it is closed. It may be nil.
	Drain <-chan struct{}

	control        *controlLoop
	metrics        *metrics
	objects        store.ObjectAPI
	repository     *configuration.Repository
	claims         *claim.Manager
	engineClient   *upstream.EngineClient
	serviceClient  *upstream.ServiceClient
	peerClient     *peer.Client
	platformClient *objectstore.Client
	retryQueue     *retryQueue
	// standstills records when this process did not run, by the time since
	// startedAt.
	standstills selfcheck.Monitor
	startedAt   time.Time
	// doubted holds the names of upstreams to probe, since a peer reports them as
	// failed.
	doubted chan string
	// adoptSignal wakes the adopter when a newer configuration may exist.
	adoptSignal chan struct{}
	// drainRequested is closed when an operator requests a drain.
	drainRequested chan struct{}
	drainStarted   atomic.Bool
	// requests ends the requests that are at work when the time of a drain is over.
	requests drain.Requests
	// inputMemory bounds the memory of what clients and peers have sent and that is not
	// yet a request.
	inputMemory intake.Memory
	// inFlight counts the callers' requests being processed, including those
	// that continue after their caller has disconnected.
	inFlight atomic.Int64
}

// prepare sets defaults and creates the parts that need no goroutine.
func (e *Entry) prepare() {
	if e.Log == nil {
		e.Log = zap.NewNop()
	}
	if e.Listen == nil {
		e.Listen = (&net.ListenConfig{}).Listen
	}
	e.startedAt = time.Now()
	e.metrics = newMetrics()
	e.inputMemory.Max = e.Settings.Limits.InputBytes()
	e.control = newControlLoop()
	e.control.OnPanic = func(value any, stack []byte) { logging.LogPanic(e.Log, "control loop panicked", value, stack) }
	e.control.onPublish = e.metrics.observeView
	e.adoptSignal = make(chan struct{}, 1)
	e.doubted = make(chan string, maxDoubted)
	e.drainRequested = make(chan struct{})
	e.retryQueue = newRetryQueue()
	e.platformClient = &objectstore.Client{
		Address:    e.Settings.Platform.Address,
		Credential: e.Settings.Platform.Credential,
		Timeout:    e.Settings.Platform.Timeout.Duration,
		Dial:       e.Dial,
	}
	e.objects = e.platformClient.Objects()
	e.repository = &configuration.Repository{Objects: e.objects, Nonce: uuid.NewString}
	e.claims = &claim.Manager{Objects: e.objects, Entry: e.Settings.Name, Nonce: uuid.NewString, RetryLater: e.retryQueue.add}
	e.engineClient = upstream.NewEngineClient(e.Dial)
	e.engineClient.Running = e.running
	e.serviceClient = upstream.NewServiceClient(e.Dial)
	e.serviceClient.Running = e.running
	e.serviceClient.LimitMemory(e.Settings.Limits.AnswerBytes())
	e.peerClient = &peer.Client{Dial: e.Dial, Timeout: peerTimeout}
	e.prepareState()
	e.metrics.gauge("lovageport_in_flight", "Requests of callers in flight.", func() float64 { return float64(e.inFlight.Load()) })
	e.metrics.gauge("lovageport_queued", "Requests that wait for a place.", e.queuedRequests)
}

// queuedRequests returns the number of requests that wait for a placement.
func (e *Entry) queuedRequests() float64 {
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
	s.dispatcher.ChooseFunc = e.ChooseChain
	s.dispatcher.Chooser = route.Chooser{
		Zone:          e.Settings.Zone,
		Latency:       func(from, to string) time.Duration { return e.control.view.Load().catalog.Latency(from, to) },
		Random:        e.Random,
		Jitter:        route.DefaultJitter,
		LoadWeight:    route.DefaultLoadWeight,
		ReuseDiscount: route.DefaultReuseDiscount,
	}
}

// Run serves until ctx ends, a drain completes or a part fails. It closes the
// listeners and clients before it returns.
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
	loop.AddActor(&g, ctx, e.watchStandstills)
	loop.AddActor(&g, ctx, e.watchHead)
	loop.AddActor(&g, ctx, e.pollHead)
	loop.AddActor(&g, ctx, e.runAdopter)
	loop.AddActor(&g, ctx, e.watchWithdrawals)
	loop.AddActor(&g, ctx, e.pollVMs)
	loop.AddActor(&g, ctx, e.runHeartbeats)
	for range doubtProbes {
		loop.AddActor(&g, ctx, e.probeDoubted)
	}
	loop.AddActor(&g, ctx, e.sweepClaims)
	loop.AddActor(&g, ctx, e.retryQueue.run)
	loop.AddActor(&g, ctx, func(ctx context.Context) error {
		return peer.Serve(ctx, e.limitPeers(listeners.peers), e.peerHandler(), e.logPeerError)
	})
	callers, operators := e.limitCallers(listeners.callers), drain.NewListener(listeners.operators)
	e.addServer(&g, callers, e.callerServer().HTTP())
	e.addServer(&g, operators, e.operatorServer())
	loop.AddActor(&g, ctx, func(ctx context.Context) error { return e.drainOnRequest(ctx, callers, operators) })
	e.Log.Info("started", zap.String("entry", e.Settings.Name), zap.String("zone", e.Settings.Zone), zap.String("version", e.Version))
	err = g.Run()
	e.Log.Info("stopped", zap.Error(err))
	return err
}

// addServer adds an HTTP server to the group. A drain of its listener does not end
// the group.
func (e *Entry) addServer(g *run.Group, listener *drain.Listener, server *http.Server) {
	server.Handler = e.closeWhileDraining(server.Handler)
	server.ConnState = drain.Track
	// The level is valid.
	server.ErrorLog, _ = zap.NewStdLogAt(e.Log, zap.WarnLevel)
	stopped := make(chan struct{})
	g.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("entry: %w", err)
		}
		<-stopped
		return nil
	}, func(error) {
		close(stopped)
		server.Close()
	})
}

// listeners holds the listeners of one entry.
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
	e.engineClient.Close()
	e.serviceClient.Close()
	e.peerClient.Close()
	e.platformClient.Close()
}

func (e *Entry) callerServer() *caller.Server {
	return &caller.Server{
		Timeout:      e.Settings.Requests.Timeout.Duration,
		BodyTimeout:  e.Settings.Requests.BodyTimeout.Duration,
		MaxBodyBytes: e.Settings.Requests.MaxBodyBytes,
		BodyMemory:   e.Settings.Limits.BodyBytes(),
		Backend: caller.Backend{
			NewRequest:   e.newRequestID,
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

// limitCallers returns a listener of callers that keeps to the limits.
func (e *Entry) limitCallers(l net.Listener) *drain.Listener {
	d := drain.NewListener(l)
	d.Memory = &e.inputMemory
	d.MaxConns = e.Settings.Limits.CallerConnections()
	d.MaxHeadBytes = func() int64 { return caller.MaxHeaderBytes }
	d.OnClose = e.countClose("callers")
	return d
}

// limitPeers returns a listener of peers that keeps to the limits.
func (e *Entry) limitPeers(l net.Listener) *intake.Listener {
	return &intake.Listener{
		Listener:   l,
		Memory:     &e.inputMemory,
		MaxUnknown: e.Settings.Limits.UnknownPeerConnections(),
		OnClose:    e.countClose("peers"),
	}
}

// countClose returns a function that counts the connections of a listener that were
// closed for a reason.
func (e *Entry) countClose(listener string) func(intake.Reason) {
	return func(reason intake.Reason) {
		e.metrics.closedConns.WithLabelValues(listener, string(reason)).Inc()
	}
}

func (e *Entry) logPeerError(err error) {
	e.Log.Debug("peer connection ended", zap.Error(err))
}
