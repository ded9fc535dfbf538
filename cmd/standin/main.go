// Command standin runs a stand-in for a platform, an engine or a plain service, to
// test an entry over a real network.
package main

import (
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"lovageport.example/internal/standin/engine"
	"lovageport.example/internal/standin/platform"
	"lovageport.example/internal/standin/service"
)

// commands holds the subcommands.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run a stand-in for the platform."`
	Engine   engineCommand   `cmd:"" help:"Run a stand-in for an engine."`
	Service  serviceCommand  `cmd:"" help:"Run a stand-in for a plain service."`
}

func main() {
	var c commands
	command := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for the platform and the upstreams of lovageport."))
	command.FatalIfErrorf(command.Run())
}

// listenFlags holds the flags for the address of a stand-in.
type listenFlags struct {
	Listen string `required:"" help:"Address to serve on, IP:port."`
}

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

func (l *listenFlags) serve(handler http.Handler) error {
	server := &http.Server{Addr: l.Listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}

// platformCommand runs a stand-in for the platform.
type platformCommand struct {
	listenFlags
	Credential string `help:"Credential that clients must send; any if empty."`
}

// Run serves until the process ends.
func (c *platformCommand) Run() error {
	return c.serve(&platform.Platform{Credential: c.Credential})
}

// engineCommand runs a stand-in for an engine.
type engineCommand struct {
	listenFlags
	Name            string        `required:"" help:"Declared name of the upstream."`
	Slots           int           `help:"Maximum number of concurrent requests; unlimited if 0."`
	LayersPerSecond float64       `help:"Layers per second for a single stream; no delay if 0."`
	BatchCost       float64       `help:"Fraction by which each further stream slows down all streams."`
	PrefillPerToken time.Duration `help:"Time to process one prompt token."`
	Unrecorded      bool          `help:"Keep no record of the processed tokens."`
}

// Run serves until the process ends.
func (c *engineCommand) Run() error {
	return c.serve(&engine.Engine{
		Name:            c.Name,
		Slots:           c.Slots,
		LayersPerSecond: c.LayersPerSecond,
		BatchCost:       c.BatchCost,
		PrefillPerToken: c.PrefillPerToken,
		Unrecorded:      c.Unrecorded,
	})
}

// serviceCommand runs a stand-in for a plain service.
type serviceCommand struct {
	listenFlags
	Name string `required:"" help:"Declared name of the upstream."`
}

// Run serves until the process ends.
func (c *serviceCommand) Run() error { return c.serve(&service.Service{Name: c.Name}) }
