package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/entry"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/protocol/object"
	"lovageport.example/internal/protocol/openai"
	"lovageport.example/internal/setting"
	standinengine "lovageport.example/internal/standin/engine"
	"lovageport.example/internal/standin/network"
	standinplatform "lovageport.example/internal/standin/platform"
	standinservice "lovageport.example/internal/standin/service"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
	operatorv1 "lovageport.example/pkg/operatorapi/v1"
	"lovageport.example/pkg/operatorapi/v1/operatorv1connect"
	"lovageport.example/pkg/verdict"
)

// The set that every fleet declares: in each availability zone one engine for
// each third of the model, and one plain service.
const (
	testModel    = "textwerk"
	testLayers   = 12
	testKey      = "sk-shop"
	testOperator = "op-admin"
	testService  = "ladentisch"
)

var testZones = []string{"wien", "graz", "linz"}

// fleet is a whole system over a stand-in network, in virtual time.
type fleet struct {
	t        *testing.T
	net      *network.Network
	platform *standinplatform.Platform
	set      declaration.Set
	engines  map[string]*standinengine.Engine
	services map[string]*standinservice.Service
	entries  map[string]*entryVM
	group    sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
	// dial wraps what entries dial with, if set before start.
	dial func(next func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error)
	// link is the time between two upstreams that each token takes, if set.
	link func(from, to string) time.Duration
	// choose replaces the entries' choice of chains, if set.
	choose func() chooseFunc
	// silence of heartbeats and other settings can be changed before start.
	settings func(*setting.Settings)
}

// entryVM is one entry process.
type entryVM struct {
	name, zone string
	cancel     context.CancelFunc
	drain      chan struct{}
	done       chan struct{}
	entry      *entry.Entry
}

// options change the declared set before it is applied.
type option func(*fleet)

// newFleet starts a fleet with one entry in each availability zone and waits
// until all are ready.
func newFleet(t *testing.T, options ...option) *fleet {
	f := newIdleFleet(t, options...)
	for _, zone := range testZones {
		f.startEntry(zone+"-entry", zone)
	}
	f.apply("wien-entry", "first", 0)
	f.awaitReady()
	return f
}

// newIdleFleet starts all but the entries.
func newIdleFleet(t *testing.T, options ...option) *fleet {
	f := &fleet{
		t:        t,
		net:      &network.Network{},
		platform: &standinplatform.Platform{Credential: "vm"},
		engines:  make(map[string]*standinengine.Engine),
		services: make(map[string]*standinservice.Service),
		entries:  make(map[string]*entryVM),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	t.Cleanup(f.close)
	f.set = testSet()
	for _, o := range options {
		o(f)
	}
	f.serve("platform", "platform", "10.0.0.1:80", f.platform)
	for _, u := range f.set.Upstreams {
		f.startUpstream(u)
	}
	f.listVMs()
	return f
}

func testSet() declaration.Set {
	set := declaration.Set{
		Models:    []declaration.Model{{Name: testModel, Layers: testLayers, MaxOutputTokens: 4096}},
		Pipelines: []declaration.Pipeline{{Name: "cards", Model: testModel}},
		Accounts: []declaration.Account{
			{Name: "shop", KeyHashes: []string{catalog.HashKey(testKey)}, Priority: 5},
			{Name: "other", KeyHashes: []string{catalog.HashKey("sk-other")}, Priority: 5},
		},
		Operators: []declaration.Operator{
			{Name: "admin", KeyHash: catalog.HashKey(testOperator), Admin: true},
			{Name: "graz-team", KeyHash: catalog.HashKey("op-graz"), Owners: []string{"graz"}},
		},
	}
	service := declaration.Service{
		Name:          testService,
		Timeout:       declaration.Span(5 * time.Second),
		EchoesAttempt: true,
		Operations: []declaration.Operation{
			{Method: http.MethodGet, Path: "/stock/*", Repeatable: true},
			{Method: http.MethodPost, Path: "/bookings"},
		},
	}
	third := testLayers / 3
	for z, zone := range testZones {
		loan := declaration.Loan{Name: zone, Owner: zone, Pipelines: []string{"cards"}, Accepted: true}
		for i := range 3 {
			u := declaration.Upstream{
				Name: fmt.Sprintf("%s-engine-%d", zone, i), Owner: zone, Zone: zone, Kind: declaration.Engine,
				Address: fmt.Sprintf("10.%d.1.%d:80", z+1, i+1), Slots: 8, LayersPerSecond: 800,
				Held: []declaration.Held{{Model: testModel, LayerRange: declaration.LayerRange{From: i * third, To: (i + 1) * third}}},
			}
			set.Upstreams = append(set.Upstreams, u)
			loan.Upstreams = append(loan.Upstreams, u.Name)
		}
		set.Loans = append(set.Loans, loan)
		service.Upstreams = append(service.Upstreams, zone+"-service")
		set.Upstreams = append(set.Upstreams, declaration.Upstream{
			Name: zone + "-service", Owner: zone, Zone: zone, Kind: declaration.PlainService,
			Address: fmt.Sprintf("10.%d.2.1:80", z+1), Slots: 64,
		})
	}
	set.Services = []declaration.Service{service}
	for i, a := range testZones {
		for _, b := range testZones[i+1:] {
			set.Links = append(set.Links, declaration.Link{From: a, To: b, Latency: declaration.Span(5 * time.Millisecond)})
		}
	}
	return set
}

// serve runs an HTTP server on a host until the fleet stops or the host dies.
func (f *fleet) serve(host, zone, address string, handler http.Handler) {
	listener, err := f.net.Host(host, zone).Listen(f.ctx, "tcp", address)
	qt.Assert(f.t, err, qt.IsNil)
	server := &http.Server{Handler: handler, ErrorLog: quietLog}
	f.group.Go(func() { _ = server.Serve(listener) })
	f.group.Go(func() {
		<-f.ctx.Done()
		server.Close()
	})
}

func (f *fleet) startUpstream(u declaration.Upstream) {
	if u.Kind == declaration.PlainService {
		f.services[u.Name] = &standinservice.Service{Name: u.Name}
		f.serve(u.Name, u.Zone, u.Address, f.services[u.Name])
		return
	}
	e := &standinengine.Engine{
		Name:            u.Name,
		Slots:           u.Slots,
		LayersPerSecond: u.LayersPerSecond,
		PrefillPerToken: 100 * time.Microsecond,
		Dial:            f.net.Host(u.Name, u.Zone).Dial,
		OnCrash:         func() { f.net.Kill(u.Name) },
	}
	if f.link != nil {
		e.NextStageLatency = func(next string) time.Duration { return f.link(u.Name, next) }
	}
	f.engines[u.Name] = e
	f.serve(u.Name, u.Zone, u.Address, e)
	f.group.Go(func() {
		<-f.ctx.Done()
		e.SetFrozen(false)
		e.Close()
	})
}

// listVMs puts all VMs on the platform's list.
func (f *fleet) listVMs(leaving ...string) {
	var vms []object.VM
	for _, u := range f.set.Upstreams {
		state := object.Live
		for _, name := range leaving {
			if name == u.Name {
				state = object.Leaving
			}
		}
		vms = append(vms, object.VM{Name: u.Name, Role: object.RoleUpstream, Zone: u.Zone, Address: u.Address, State: state})
	}
	for _, e := range f.entries {
		vms = append(vms, object.VM{Name: e.name, Role: object.RoleEntry, Zone: e.zone, Address: address(e.name, 3), State: object.Live})
	}
	f.platform.SetVMs(vms)
}

// address returns the address of a listener of an entry: 1 for callers, 2 for
// operators, 3 for peers.
func address(entry string, listener int) string {
	sum := 0
	for _, b := range entry {
		sum = (sum*31 + int(b)) % 60000
	}
	return fmt.Sprintf("10.9.%d.%d:%d", sum/250, sum%250+1, listener)
}

func (f *fleet) startEntry(name, zone string) *entryVM {
	settings := &setting.Settings{
		Name: name,
		Zone: zone,
		Listen: setting.Listen{
			Callers:   address(name, 1),
			Operators: address(name, 2),
			Peers:     address(name, 3),
		},
		Platform:  setting.Platform{Address: "10.0.0.1:80", Credential: "vm", Timeout: declaration.Span(time.Second)},
		Peers:     setting.Peers{Secret: "secret", HeartbeatInterval: declaration.Span(setting.DefaultHeartbeatInterval)},
		Operators: setting.Operators{BootstrapKeyHash: catalog.HashKey(testOperator)},
		Requests: setting.Requests{
			Timeout:      declaration.Span(setting.DefaultRequestTimeout),
			QueueTimeout: declaration.Span(setting.DefaultQueueTimeout),
			BodyTimeout:  declaration.Span(setting.DefaultBodyTimeout),
			MaxBodyBytes: setting.DefaultMaxBodyBytes,
			MaxQueue:     setting.DefaultMaxQueue,
		},
		Drain: setting.Drain{Timeout: declaration.Span(setting.DefaultDrainTimeout), Notice: declaration.Span(setting.DefaultDrainNotice)},
	}
	if f.settings != nil {
		f.settings(settings)
	}
	host := f.net.Host(name, zone)
	dial := host.Dial
	if f.dial != nil {
		dial = f.dial(dial)
	}
	random := rand.New(rand.NewPCG(1, uint64(len(f.entries))))
	var mu sync.Mutex
	vm := &entryVM{name: name, zone: zone, drain: make(chan struct{}), done: make(chan struct{})}
	vm.entry = &entry.Entry{
		Settings: settings,
		Listen:   host.Listen,
		Dial:     dial,
		Drain:    vm.drain,
		Random: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64()
		},
	}
	if os.Getenv("LOVAGEPORT_TEST_LOG") != "" {
		log, err := logging.New(os.Stderr, "debug")
		qt.Assert(f.t, err, qt.IsNil)
		vm.entry.Log = log.Named(name)
	}
	if f.choose != nil {
		vm.entry.Choose = f.choose()
	}
	ctx, cancel := context.WithCancel(f.ctx)
	vm.cancel = cancel
	f.entries[name] = vm
	f.listVMs()
	f.group.Go(func() {
		defer close(vm.done)
		if err := vm.entry.Run(ctx); err != nil && ctx.Err() == nil {
			f.t.Errorf("entry %s: %v", name, err)
		}
	})
	// Its listeners are open before anybody calls.
	synctest.Wait()
	return vm
}

// killEntry ends an entry without warning.
func (f *fleet) killEntry(name string) {
	f.entries[name].cancel()
	f.net.Kill(name)
	<-f.entries[name].done
	delete(f.entries, name)
}

// close ends the fleet.
func (f *fleet) close() {
	f.net.Heal()
	f.stop()
	f.net.Shutdown()
	f.group.Wait()
	// An HTTP server that breaks a connection off lingers for a moment.
	time.Sleep(time.Second)
}

// client returns an HTTP client on a host of its own.
func (f *fleet) client() *http.Client {
	host := f.net.Host("caller", "caller")
	return &http.Client{Transport: &http.Transport{DialContext: host.Dial, DisableKeepAlives: true}}
}

func (f *fleet) operator(entry string) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(f.client(), "http://"+address(entry, 2))
}

func call[T any](key string, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+key)
	return r
}

// tryApply applies the fleet's set through an entry.
func (f *fleet) tryApply(entry, id string, expected int64) (*operatorv1.ApplyResponse, error) {
	text, err := declaration.Format(f.set)
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
	defer cancel()
	answer, err := f.operator(entry).Apply(ctx, call(testOperator, &operatorv1.ApplyRequest{
		ChangeId: id, ExpectedGeneration: expected,
		Files: []*operatorv1.File{{Name: "set.toml", Text: text}},
	}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func (f *fleet) apply(entry, id string, expected int64) *operatorv1.ApplyResponse {
	f.t.Helper()
	answer, err := f.tryApply(entry, id, expected)
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, answer.Faults, qt.HasLen, 0)
	return answer
}

func (f *fleet) status(entry string) *operatorv1.StatusResponse {
	f.t.Helper()
	answer, err := f.operator(entry).Status(f.ctx, call(testOperator, &operatorv1.StatusRequest{}))
	qt.Assert(f.t, err, qt.IsNil)
	return answer.Msg
}

// readyBound is how long a fleet may take to get ready.
const readyBound = 20 * time.Second

func (f *fleet) awaitReady() {
	f.t.Helper()
	end := time.Now().Add(readyBound)
	for name := range f.entries {
		for !f.status(name).Ready {
			if time.Now().After(end) {
				f.t.Fatalf("entry %s not ready", name)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// awaitGeneration waits until an entry has a generation in force, and returns
// how long that took.
func (f *fleet) awaitGeneration(entry string, generation int64, bound time.Duration) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for f.status(entry).Generation < generation {
		if time.Since(begin) > bound {
			f.t.Fatalf("entry %s has generation %d, not %d, after %s", entry, f.status(entry).Generation, generation, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

// errCleanEnd says that a stream ended like a whole one, after a part.
var errCleanEnd = errors.New("stream ended cleanly after a part")

// answer is what a caller gets.
type answer struct {
	request  string
	status   int
	text     string
	tokens   int
	whole    bool
	verdict  string
	reason   verdict.Reason
	retry    int
	replayed bool
	// gaps are the times before each token.
	gaps []time.Duration
	took time.Duration
	err  error
}

// ask is one request for text.
type ask struct {
	entry   string
	key     string
	prompt  string
	tokens  int
	stream  bool
	timeout string
	ctx     context.Context
}

func (f *fleet) chat(a ask) answer {
	body, err := json.Marshal(map[string]any{
		"model": testModel, "stream": a.stream, "max_tokens": a.tokens,
		"prompt": a.prompt,
	})
	qt.Assert(f.t, err, qt.IsNil)
	ctx := a.ctx
	if ctx == nil {
		ctx = f.ctx
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(a.entry, 1)+"/v1/completions", bytes.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	key := a.key
	if key == "" {
		key = testKey
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if a.timeout != "" {
		request.Header.Set("Lovageport-Timeout", a.timeout)
	}
	return f.send(request, a.stream)
}

func (f *fleet) send(request *http.Request, stream bool) answer {
	begin := time.Now()
	out := answer{}
	response, err := f.client().Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	defer response.Body.Close()
	out.request = response.Header.Get("Lovageport-Request")
	out.status = response.StatusCode
	out.verdict = response.Header.Get("Lovageport-Verdict")
	out.replayed = response.Header.Get("Lovageport-Replayed") != ""
	if response.StatusCode == http.StatusOK && stream {
		out.readStream(response.Body, begin)
	} else {
		out.readWhole(response.Body)
	}
	out.took = time.Since(begin)
	return out
}

func (a *answer) readWhole(body io.Reader) {
	text, err := io.ReadAll(body)
	if err != nil {
		a.err = err
		return
	}
	var failure openai.Error
	if json.Unmarshal(text, &failure) == nil && failure.Error.Code != "" {
		a.reason = failure.Error.Code
		a.verdict = failure.Error.Verdict.String()
		a.retry = failure.Error.RetryAfterSeconds
		return
	}
	var whole openai.Response
	if json.Unmarshal(text, &whole) == nil && len(whole.Choices) == 1 && whole.Choices[0].Text != nil {
		a.text = *whole.Choices[0].Text
		a.tokens = whole.Usage.CompletionTokens
		a.whole = true
		return
	}
	a.text = string(text)
	a.whole = true
}

func (a *answer) readStream(body io.Reader, begin time.Time) {
	last := begin
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			continue
		}
		var failure openai.Error
		if json.Unmarshal([]byte(data), &failure) == nil && failure.Error.Code != "" {
			a.reason = failure.Error.Code
			a.verdict = failure.Error.Verdict.String()
			a.retry = failure.Error.RetryAfterSeconds
			continue
		}
		var chunk openai.Response
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			a.err = err
			return
		}
		if text := *chunk.Choices[0].Text; text != "" {
			a.text += text
			a.tokens++
			a.gaps = append(a.gaps, time.Since(last))
			last = time.Now()
		}
	}
	if err := scanner.Err(); err != nil {
		a.err = err
		a.whole = false
	} else if !a.whole {
		a.err = errCleanEnd
	}
}

// book sends a booking, which may not be repeated.
func (f *fleet) book(entry, key, body string) answer {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address(entry, 1)+"/services/"+testService+"/bookings", strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", key)
	return f.send(request, false)
}

// effects returns the side effects with a key, over all services.
func (f *fleet) effects(key string) int {
	n := 0
	for _, s := range f.services {
		for _, e := range s.Effects() {
			if e.Key == key {
				n++
			}
		}
	}
	return n
}

// ranAnywhere says whether an upstream acted on a request.
func (f *fleet) ranAnywhere(request string) bool {
	for _, e := range f.engines {
		for _, attempt := range e.AcceptedAttempts() {
			if strings.HasPrefix(attempt, request+"-") {
				return true
			}
		}
	}
	for _, s := range f.services {
		for _, effect := range s.Effects() {
			if strings.HasPrefix(effect.Attempt, request+"-") {
				return true
			}
		}
	}
	return false
}

// check asserts what must hold for every answer, whatever the fault: a whole
// answer is exactly the undisturbed one, a refusal can't be taken for an
// answer, and one that says not run is in nobody's record.
func (f *fleet) check(a ask, got answer) {
	f.t.Helper()
	qt.Check(f.t, got.err, qt.Not(qt.Equals), errCleanEnd)
	if got.whole && got.status == http.StatusOK {
		qt.Check(f.t, got.text, qt.Equals, standinengine.OutputText(a.prompt, a.tokens), qt.Commentf("answer to %q", a.prompt))
		return
	}
	if got.err != nil && got.reason == "" && got.status == 0 {
		return
	}
	if got.status != http.StatusOK {
		qt.Check(f.t, got.status >= 400, qt.IsTrue)
		qt.Check(f.t, got.reason, qt.Not(qt.Equals), verdict.Reason(""))
	}
	if got.verdict == verdict.NotRun.String() {
		qt.Check(f.t, f.ranAnywhere(got.request), qt.IsFalse, qt.Commentf("refused as not run: %+v", got))
	}
}

var leavingFaults = standinengine.Faults{Leaving: true}

func crashOn(text string) standinengine.Faults { return standinengine.Faults{CrashOnPrompt: text} }
