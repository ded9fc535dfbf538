package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/oklog/run"

	"lovageport.example/internal/entry"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/setting"
	standinengine "lovageport.example/internal/standin/engine"
	standinplatform "lovageport.example/internal/standin/platform"
	standinservice "lovageport.example/internal/standin/service"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/pkg/declaration"
	operatorv1 "lovageport.example/pkg/operatorapi/v1"
)

// Keys and sizes of the configuration that dev declares.
const (
	devKey         = "sk-dev"
	devOperatorKey = "op-dev"
	devModel       = "florist-7b"
	devLayers      = 24
	devLayerRate   = 2000 // layers per second
	devSlots       = 16
	// devHeaderBytes limits the heads of requests to the stand-ins.
	devHeaderBytes = 64 << 10
)

// devCommand runs an entry and stand-ins for the platform and the upstreams in
// one process.
type devCommand struct {
	Callers   string `default:"127.0.0.1:8080" help:"Address to serve callers on."`
	Operators string `default:"127.0.0.1:8081" help:"Address to serve operators on."`
	Log       string `default:"warn" help:"Log level: debug, info, warn or error."`
}

// Run serves until the process is asked to stop and has drained.
func (c *devCommand) Run() error {
	ctx, drain := stopSignals()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	set := devSet()
	platformAddress, err := c.startPlatform(&g)
	if err != nil {
		return err
	}
	for i := range set.Upstreams {
		if err := startUpstream(&g, &set.Upstreams[i]); err != nil {
			return err
		}
	}
	log, err := logging.New(os.Stderr, c.Log)
	if err != nil {
		return &badInputError{err}
	}
	settings, err := c.settings(platformAddress)
	if err != nil {
		return err
	}
	e := &entry.Entry{Settings: settings, Version: version, Log: log, Random: rand.Float64, Drain: drain}
	g.Add(func() error { return e.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error {
		if err := c.applySet(ctx, set); err != nil {
			return err
		}
		c.printUsage()
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	return g.Run()
}

// serveLoopback adds to g a server for handler on a free loopback port and returns
// its address.
func serveLoopback(g *run.Group, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: devHeaderBytes}
	g.Add(func() error { return server.Serve(listener) }, func(error) { server.Close() })
	return listener.Addr().String(), nil
}

func (c *devCommand) startPlatform(g *run.Group) (string, error) {
	return serveLoopback(g, &standinplatform.Platform{})
}

func (c *devCommand) settings(platformAddress string) (*setting.Entry, error) {
	text := fmt.Sprintf(`
Name = "dev-1"
Zone = "wien"
[Listen]
Callers = %q
Operators = %q
Peers = "127.0.0.1:0"
[Platform]
Address = %q
Credential = "dev"
[Peers]
Secret = "dev"
[Operators]
BootstrapKeyHash = %q
[Drain]
Notice = "1ms"
`, c.Callers, c.Operators, platformAddress, catalog.HashKey(devOperatorKey))
	return setting.ParseEntry(declaration.File{Name: "dev", Text: []byte(text)})
}

// devSet returns a configuration with a model spread over the engines of three
// teams, and a plain service.
func devSet() declaration.Set {
	set := declaration.Set{
		Models:    []declaration.Model{{Name: devModel, Layers: devLayers, MaxOutputTokens: 1024}},
		Pipelines: []declaration.Pipeline{{Name: "cards", Model: devModel}},
		Accounts: []declaration.Account{
			{Name: "shop-1", KeyHashes: []string{catalog.HashKey(devKey)}, Priority: 5},
		},
		Services: []declaration.Service{{
			Name:      "ladentisch",
			Upstreams: []string{"ladentisch-1"},
			Timeout:   declaration.Span(5 * time.Second),
			Operations: []declaration.Operation{
				{Method: http.MethodGet, Path: "/stock/*", Repeatable: true},
				{Method: http.MethodPost, Path: "/bookings"},
			},
		}},
		Operators: []declaration.Operator{
			{Name: "dev", KeyHash: catalog.HashKey(devOperatorKey), Admin: true},
		},
	}
	for i, team := range []string{"wien", "graz", "linz"} {
		name := team + "-1"
		layers := devLayers / 3
		set.Upstreams = append(set.Upstreams, declaration.Upstream{
			Name: name, Owner: team, Zone: "wien", Kind: declaration.Engine,
			Slots: devSlots, LayersPerSecond: devLayerRate,
			Held: []declaration.Held{{Model: devModel, LayerRange: declaration.LayerRange{From: i * layers, To: (i + 1) * layers}}},
		})
		set.Loans = append(set.Loans, declaration.Loan{
			Name: team, Owner: team, Upstreams: []string{name}, Pipelines: []string{"cards"}, Accepted: true,
		})
	}
	set.Upstreams = append(set.Upstreams, declaration.Upstream{
		Name: "ladentisch-1", Owner: "wien", Zone: "wien", Kind: declaration.PlainService, Slots: devSlots,
	})
	return set
}

// startUpstream starts a stand-in for u and sets u.Address.
func startUpstream(g *run.Group, u *declaration.Upstream) error {
	var handler http.Handler = &standinservice.Service{Name: u.Name}
	if u.Kind == declaration.Engine {
		handler = &standinengine.Engine{Name: u.Name, Slots: u.Slots, LayersPerSecond: u.LayersPerSecond}
	}
	address, err := serveLoopback(g, handler)
	u.Address = address
	return err
}

// applySet applies the set, retrying until the entry is reachable, and waits until
// the entry is ready.
func (c *devCommand) applySet(ctx context.Context, set declaration.Set) error {
	text, err := declaration.Format(set)
	if err != nil {
		return err
	}
	api := &clientFlags{Server: "http://" + c.Operators, Key: devOperatorKey}
	message := &operatorv1.ApplyRequest{
		ChangeId: "dev",
		Files:    []*operatorv1.File{{Name: "dev.toml", Text: text}},
	}
	for ctx.Err() == nil {
		response, err := api.client().Apply(ctx, newRequest(api, message))
		if err == nil && len(response.Msg.Faults) > 0 {
			return faultsError(faultsFromProto(response.Msg.Faults))
		}
		if err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return c.awaitReady(ctx)
}

func (c *devCommand) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + c.Operators + "/readyz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}

func (c *devCommand) printUsage() {
	fmt.Printf(`ready. Try:

curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -d '{"model":"%[4]s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"a card for Mother"}]}'

curl http://%[1]s/services/ladentisch/bookings -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: 1' -d '{"bouquet":"roses"}'

lovageport status --server http://%[2]s --key %[5]s
`, c.Callers, c.Operators, devKey, devModel, devOperatorKey)
}
