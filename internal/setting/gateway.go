package setting

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"lovageport.example/pkg/declaration"
)

// Gateway holds the settings of a gateway process, which takes its
// configuration from the users' platform.
type Gateway struct {
	// Name tells the process from all others.
	Name string
	// Zone is its availability zone.
	Zone     string
	Listen   GatewayListen
	Platform GatewayPlatform
	Peers    GatewayPeers
	Bounds   Bounds
	Log      Log `toml:",omitempty"`
}

// GatewayListen holds the addresses of the listeners, IP:port.
type GatewayListen struct {
	Callers string
	// Health is where the balancer asks whether new connections are taken.
	Health string
	// Peers is also the address that other gateways call.
	Peers string
	// Metrics serves counters and histograms; nothing listens if it is empty.
	Metrics string `toml:",omitempty"`
}

// GatewayPlatform is how the platform's store is reached.
type GatewayPlatform struct {
	Address string
	// Timeout bounds a call; DefaultStoreTimeout if zero.
	Timeout declaration.Duration `toml:",omitempty"`
}

// GatewayPeers is how other gateways are found.
type GatewayPeers struct {
	// Seeds are addresses of some peers; they may be out of date.
	Seeds []string `toml:",omitempty"`
}

// Bounds are what the users hold the gateway to.
type Bounds struct {
	// Grace is how long a process may take to stop.
	Grace declaration.Duration `toml:",omitempty"`
	// Revocation is how long after its removal a key may still be served.
	Revocation declaration.Duration `toml:",omitempty"`
	// RetryShare is how many retries are allowed for each request, over all
	// processes, beside RetrySlack in each RetryWindow.
	RetryShare  float64              `toml:",omitempty"`
	RetrySlack  float64              `toml:",omitempty"`
	RetryWindow declaration.Duration `toml:",omitempty"`
}

// Defaults of a gateway's settings that may be left out.
const (
	DefaultStoreTimeout = time.Second
	DefaultGrace        = 8 * time.Second
	DefaultRevocation   = 5 * time.Second
	DefaultRetryShare   = 0.1
	DefaultRetrySlack   = 50.0
	DefaultRetryWindow  = 10 * time.Second
)

// LoadGateway reads, checks and completes the settings of a gateway. The error
// is an [Error] if the file can be read but not used.
func LoadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("setting: %w", err)
	}
	return ParseGateway(declaration.File{Name: path, Text: text})
}

// ParseGateway is LoadGateway for a text.
func ParseGateway(file declaration.File) (*Gateway, error) {
	g := &Gateway{}
	if faults := declaration.DecodeStrict(file, g); len(faults) > 0 {
		return nil, &Error{faults}
	}
	if faults := g.check(file); len(faults) > 0 {
		return nil, &Error{faults}
	}
	g.complete()
	return g, nil
}

func (g *Gateway) check(file declaration.File) []declaration.Fault {
	c := &checker{file: file}
	c.text("", "Name", g.Name)
	c.text("", "Zone", g.Zone)
	c.address("Listen", "Callers", g.Listen.Callers)
	c.address("Listen", "Health", g.Listen.Health)
	c.address("Listen", "Peers", g.Listen.Peers)
	if g.Listen.Metrics != "" {
		c.address("Listen", "Metrics", g.Listen.Metrics)
	}
	c.address("Platform", "Address", g.Platform.Address)
	for _, seed := range g.Peers.Seeds {
		c.address("Peers", "Seeds", seed)
	}
	c.duration("Platform", "Timeout", g.Platform.Timeout)
	c.duration("Bounds", "Grace", g.Bounds.Grace)
	c.duration("Bounds", "Revocation", g.Bounds.Revocation)
	c.duration("Bounds", "RetryWindow", g.Bounds.RetryWindow)
	c.require(g.Bounds.RetryShare >= 0, "Bounds", "RetryShare", "must not be negative")
	c.require(g.Bounds.RetrySlack >= 0, "Bounds", "RetrySlack", "must not be negative")
	if g.Log.Level != "" {
		_, err := zapcore.ParseLevel(g.Log.Level)
		c.require(err == nil, "Log", "Level", "%q is no level: use debug, info, warn or error", g.Log.Level)
	}
	return c.faults
}

func (g *Gateway) complete() {
	setDefault(&g.Platform.Timeout, declaration.Span(DefaultStoreTimeout))
	setDefault(&g.Bounds.Grace, declaration.Span(DefaultGrace))
	setDefault(&g.Bounds.Revocation, declaration.Span(DefaultRevocation))
	setDefault(&g.Bounds.RetryShare, DefaultRetryShare)
	setDefault(&g.Bounds.RetrySlack, DefaultRetrySlack)
	setDefault(&g.Bounds.RetryWindow, declaration.Span(DefaultRetryWindow))
	setDefault(&g.Log.Level, "info")
}
