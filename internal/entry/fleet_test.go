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

// Names and sizes in the declared set of every fleet, which has in each
// availability zone one engine for each third of the model's layers and one plain
// service.
const (
	testModel    = "textwerk"
	testLayers   = 12
	testKey      = "sk-shop"
	testOperator = "op-admin"
	testService  = "ladentisch"
)

var testZones = []string{"wien", "graz", "linz"}

// fleet is a complete system of entries and stand-ins for the platform, engines
// and services. It runs on a simulated network in virtual time.
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
	// dial, if set before the entries start, wraps their dial function.
	dial func(next func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error)
	// link, if set, returns the latency that each token incurs between two
	// upstreams.
	link func(from, to string) time.Duration
	// chooser, if set, returns a replacement for an entry's routing policy.
	chooser func() chooseFunc
	// settings, if set before an entry starts, changes its settings.
	settings func(*setting.Entry)
}

// entryVM is a running entry process.
type entryVM struct {
	name, zone string
	cancel     context.CancelFunc
	drain      chan struct{}
	done       chan struct{}
	entry      *entry.Entry
}

// option changes a fleet before it starts.
type option func(*fleet)

// newFleet starts a fleet with one entry in each availability zone and waits
// until all entries are ready.
func newFleet(t *testing.T, options ...option) *fleet {
	f := newFleetWithoutEntries(t, options...)
	for _, zone := range testZones {
		f.startEntry(zone+"-entry", zone)
	}
	f.apply("wien-entry", "first", 0)
	f.awaitReady()
	return f
}

// newFleetWithoutEntries starts a fleet that has no entries yet.
func newFleetWithoutEntries(t *testing.T, options ...option) *fleet {
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

// serve runs an HTTP server on a host until the fleet stops.
func (f *fleet) serve(host, zone, address string, handler http.Handler) {
	listener, err := f.net.Host(host, zone).Listen(f.ctx, "tcp", address)
	qt.Assert(f.t, err, qt.IsNil)
	server := &http.Server{Handler: handler, ErrorLog: discardLog}
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

// listVMs sets the platform's VM list to all upstreams and entries. The upstreams
// named in leaving are listed as leaving.
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

// address returns the address of a listener of an entry: 1 is the listener for
// callers, 2 for operators and 3 for peers.
func address(entry string, listener int) string {
	sum := 0
	for _, b := range entry {
		sum = (sum*31 + int(b)) % 60000
	}
	return fmt.Sprintf("10.9.%d.%d:%d", sum/250, sum%250+1, listener)
}

func (f *fleet) startEntry(name, zone string) *entryVM {
	settings := &setting.Entry{
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
	if f.chooser != nil {
		vm.entry.ChooseChain = f.chooser()
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
	// Wait until the listeners are open.
	synctest.Wait()
	return vm
}

// killEntry stops an entry without a drain.
func (f *fleet) killEntry(name string) {
	f.entries[name].cancel()
	f.net.Kill(name)
	<-f.entries[name].done
	delete(f.entries, name)
}

// close stops the fleet and waits for its goroutines.
func (f *fleet) close() {
	f.net.Heal()
	f.stop()
	f.net.Shutdown()
	f.group.Wait()
	// An HTTP server delays closing a connection that it aborts.
	time.Sleep(time.Second)
}

// client returns an HTTP client on the callers' host.
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

// tryApply applies the fleet's declared set through an entry.
func (f *fleet) tryApply(entry, id string, expected int64) (*operatorv1.ApplyResponse, error) {
	text, err := declaration.Format(f.set)
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
	defer cancel()
	response, err := f.operator(entry).Apply(ctx, call(testOperator, &operatorv1.ApplyRequest{
		ChangeId: id, ExpectedGeneration: expected,
		Files: []*operatorv1.File{{Name: "set.toml", Text: text}},
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (f *fleet) apply(entry, id string, expected int64) *operatorv1.ApplyResponse {
	f.t.Helper()
	response, err := f.tryApply(entry, id, expected)
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, response.Faults, qt.HasLen, 0)
	return response
}

func (f *fleet) status(entry string) *operatorv1.StatusResponse {
	f.t.Helper()
	response, err := f.operator(entry).Status(f.ctx, call(testOperator, &operatorv1.StatusRequest{}))
	qt.Assert(f.t, err, qt.IsNil)
	return response.Msg
}

// readyBound is the maximum time for the entries of a fleet to become ready.
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

// awaitGeneration waits until an entry has a generation in force and returns the
// time that took. It fails the test after bound.
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

// errTruncatedStream reports that a stream ended without a connection error
// although its answer was incomplete.
var errTruncatedStream = errors.New("stream ended without an error before the answer was complete")

// callResult is the result of a call as the caller sees it.
type callResult struct {
	request    string
	status     int
	text       string
	tokens     int
	complete   bool
	verdict    string
	reason     verdict.Reason
	retryAfter int
	replayed   bool
	// gaps holds the time before each token.
	gaps     []time.Duration
	duration time.Duration
	err      error
}

// generateRequest is a request for generated text.
type generateRequest struct {
	entry   string
	key     string
	prompt  string
	tokens  int
	stream  bool
	timeout string
	ctx     context.Context
}

// generate sends a request for generated text and returns its result.
func (f *fleet) generate(a generateRequest) callResult {
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

// send sends a request from the callers' host and reads the whole response.
func (f *fleet) send(request *http.Request, stream bool) callResult {
	begin := time.Now()
	out := callResult{}
	response, err := f.client().Do(request)
	if err != nil {
		return callResult{err: err, duration: time.Since(begin)}
	}
	defer response.Body.Close()
	out.request = response.Header.Get("Lovageport-Request")
	out.status = response.StatusCode
	out.verdict = response.Header.Get("Lovageport-Verdict")
	out.replayed = response.Header.Get("Lovageport-Replayed") != ""
	if response.StatusCode == http.StatusOK && stream {
		out.readStream(response.Body, begin)
	} else {
		out.readBody(response.Body)
	}
	out.duration = time.Since(begin)
	return out
}

func (a *callResult) readBody(body io.Reader) {
	text, err := io.ReadAll(body)
	if err != nil {
		a.err = err
		return
	}
	var failure openai.Error
	if json.Unmarshal(text, &failure) == nil && failure.Error.Code != "" {
		a.reason = failure.Error.Code
		a.verdict = failure.Error.Verdict.String()
		a.retryAfter = failure.Error.RetryAfterSeconds
		return
	}
	var response openai.Response
	if json.Unmarshal(text, &response) == nil && len(response.Choices) == 1 && response.Choices[0].Text != nil {
		a.text = *response.Choices[0].Text
		a.tokens = response.Usage.CompletionTokens
		a.complete = true
		return
	}
	a.text = string(text)
	a.complete = true
}

func (a *callResult) readStream(body io.Reader, begin time.Time) {
	last := begin
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.complete = true
			continue
		}
		var failure openai.Error
		if json.Unmarshal([]byte(data), &failure) == nil && failure.Error.Code != "" {
			a.reason = failure.Error.Code
			a.verdict = failure.Error.Verdict.String()
			a.retryAfter = failure.Error.RetryAfterSeconds
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
		a.complete = false
	} else if !a.complete {
		a.err = errTruncatedStream
	}
}

// book sends a booking, a call that may not be repeated.
func (f *fleet) book(entry, key, body string) callResult {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+address(entry, 1)+"/services/"+testService+"/bookings", strings.NewReader(body))
	qt.Assert(f.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", key)
	return f.send(request, false)
}

// effects returns the number of side effects with an idempotency key, over all
// services.
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

// executedAnywhere reports whether any upstream executed a request.
func (f *fleet) executedAnywhere(request string) bool {
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

// checkResult asserts what must hold for every result, whatever the fault: a
// complete answer equals the answer without a fault, a refusal is distinguishable
// from an answer, and no upstream executed a request with the verdict not-run.
func (f *fleet) checkResult(a generateRequest, got callResult) {
	f.t.Helper()
	qt.Check(f.t, got.err, qt.Not(qt.Equals), errTruncatedStream)
	if got.complete && got.status == http.StatusOK {
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
		qt.Check(f.t, f.executedAnywhere(got.request), qt.IsFalse, qt.Commentf("refused as not run: %+v", got))
	}
}

var leavingFaults = standinengine.Faults{Leaving: true}

func crashOn(text string) standinengine.Faults { return standinengine.Faults{CrashOnPrompt: text} }
