package setting

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"lovageport.example/pkg/declaration"
)

// Gateway holds the settings of a gateway process, which reads its configuration
// from the users' platform.
type Gateway struct {
	// Name is the unique name of the process.
	Name string
	// Zone is the availability zone of the process.
	Zone     string
	Listen   GatewayListen
	Platform GatewayPlatform
	Peers    GatewayPeers
	Bounds   Bounds
	Prefixes Prefixes `toml:",omitempty"`
	Shares   Shares   `toml:",omitempty"`
	Limits   Limits   `toml:",omitempty"`
	// FirstStart states that the whole system starts for the first time, so that
	// no process has sent anything before.
	FirstStart bool `toml:",omitempty"`
	Log        Log  `toml:",omitempty"`
}

// GatewayListen holds the addresses of the listeners, IP:port.
type GatewayListen struct {
	Callers string
	// Health is where the load balancer checks whether the process accepts new
	// connections.
	Health string
	// Peers is also the address that other gateways call.
	Peers string
	// Metrics serves the metrics; there is no such listener if it is empty.
	Metrics string `toml:",omitempty"`
}

// GatewayPlatform holds the settings for access to the platform's store.
type GatewayPlatform struct {
	Address string
	// Timeout is the timeout of a call; DefaultStoreTimeout if zero.
	Timeout declaration.Duration `toml:",omitempty"`
}

// GatewayPeers holds the settings for the discovery of other gateways.
type GatewayPeers struct {
	// Seeds are addresses of some peers, IP:port; they may be out of date.
	Seeds []string `toml:",omitempty"`
}

// Bounds holds the limits that the users set for the gateway.
type Bounds struct {
	// Grace is how long the process may take to stop.
	Grace declaration.Duration `toml:",omitempty"`
	// Revocation is how long a removed key may still be accepted.
	Revocation declaration.Duration `toml:",omitempty"`
	// Configuration is how long requests may still be served by an older
	// configuration.
	Configuration declaration.Duration `toml:",omitempty"`
	// RetryShare is the number of retries allowed per request, over all
	// processes. RetrySlack further retries are allowed in each RetryWindow.
	RetryShare  float64              `toml:",omitempty"`
	RetrySlack  float64              `toml:",omitempty"`
	RetryWindow declaration.Duration `toml:",omitempty"`
}

// Shares describes how the capacity of a service is divided between client accounts and
// priorities while it is short of room.
type Shares struct {
	// AcrossGateways states that it is divided across all gateways, which must all have
	// the setting, and that they report their demand to each other. Otherwise, as by
	// default, each gateway divides only what its own queue gets.
	AcrossGateways bool `toml:",omitempty"`
}

// Prefixes describes what the engines cache of the prompts that they have read.
type Prefixes struct {
	// Retention is how long an engine keeps the beginning of a prompt that no request
	// uses; 0 if it keeps nothing after a request.
	Retention declaration.Duration `toml:",omitempty"`
	// Shared states that an engine uses for an account what it keeps of the prompts of
	// others.
	Shared bool `toml:",omitempty"`
}

// Defaults of a gateway's settings that may be left out.
const (
	DefaultStoreTimeout = time.Second
	DefaultGrace        = 8 * time.Second
	DefaultRevocation   = 5 * time.Second
	// DefaultConfiguration is the shortest time that users have asked for.
	DefaultConfiguration = 2 * time.Second
	DefaultRetryShare    = 0.1
	DefaultRetrySlack    = 50.0
	DefaultRetryWindow   = 10 * time.Second
)

// LoadGateway reads and checks the settings of a gateway and fills in defaults. The
// error is an [Error] if the file can be read but is invalid.
func LoadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("setting: %w", err)
	}
	return ParseGateway(declaration.File{Name: path, Text: text})
}

// ParseGateway is like LoadGateway, but takes the text of the file.
func ParseGateway(file declaration.File) (*Gateway, error) {
	g := &Gateway{}
	if faults := declaration.DecodeStrict(file, g); len(faults) > 0 {
		return nil, &Error{faults}
	}
	if faults := g.check(file); len(faults) > 0 {
		return nil, &Error{faults}
	}
	g.setDefaults()
	return g, nil
}

// check returns all faults of the settings.
func (g *Gateway) check(file declaration.File) []declaration.Fault {
	c := &checker{file: file}
	c.requireText("", "Name", g.Name)
	c.requireText("", "Zone", g.Zone)
	c.requireAddress("Listen", "Callers", g.Listen.Callers)
	c.requireAddress("Listen", "Health", g.Listen.Health)
	c.requireAddress("Listen", "Peers", g.Listen.Peers)
	if g.Listen.Metrics != "" {
		c.requireAddress("Listen", "Metrics", g.Listen.Metrics)
	}
	c.requireAddress("Platform", "Address", g.Platform.Address)
	for _, seed := range g.Peers.Seeds {
		c.requireAddress("Peers", "Seeds", seed)
	}
	c.requireNotNegative("Platform", "Timeout", g.Platform.Timeout)
	c.requireNotNegative("Bounds", "Grace", g.Bounds.Grace)
	c.requireNotNegative("Bounds", "Revocation", g.Bounds.Revocation)
	c.requireNotNegative("Bounds", "Configuration", g.Bounds.Configuration)
	c.requireNotNegative("Bounds", "RetryWindow", g.Bounds.RetryWindow)
	c.requireNotNegative("Prefixes", "Retention", g.Prefixes.Retention)
	c.require(!g.Prefixes.Shared || g.Prefixes.Retention.Duration != 0, "Prefixes", "Shared", "has no effect without Retention")
	c.require(g.Bounds.RetryShare >= 0, "Bounds", "RetryShare", "must not be negative")
	c.require(g.Bounds.RetrySlack >= 0, "Bounds", "RetrySlack", "must not be negative")
	g.Limits.check(c)
	if g.Log.Level != "" {
		_, err := zapcore.ParseLevel(g.Log.Level)
		c.require(err == nil, "Log", "Level", "%q is not a log level: use debug, info, warn or error", g.Log.Level)
	}
	return c.faults
}

// setDefaults sets unset fields to their defaults.
func (g *Gateway) setDefaults() {
	setDefault(&g.Platform.Timeout, declaration.Span(DefaultStoreTimeout))
	setDefault(&g.Bounds.Grace, declaration.Span(DefaultGrace))
	setDefault(&g.Bounds.Revocation, declaration.Span(DefaultRevocation))
	setDefault(&g.Bounds.Configuration, declaration.Span(DefaultConfiguration))
	setDefault(&g.Bounds.RetryShare, DefaultRetryShare)
	setDefault(&g.Bounds.RetrySlack, DefaultRetrySlack)
	setDefault(&g.Bounds.RetryWindow, declaration.Span(DefaultRetryWindow))
	setDefault(&g.Log.Level, "info")
}
