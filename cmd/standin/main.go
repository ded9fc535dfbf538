// Command standin runs one stand-in as a process of its own, for trying an
// entry over a real network: a platform, an engine or a plain service.
package main

import (
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"lovageport.example/internal/standin/engine"
	"lovageport.example/internal/standin/platform"
	"lovageport.example/internal/standin/service"
)

// commands are those of the command line.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run a platform."`
	Engine   engineCommand   `cmd:"" help:"Run an engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for what lovageport meets."))
	parsed.FatalIfErrorf(parsed.Run())
}

// listen is where a stand-in serves.
type listen struct {
	Listen string `required:"" help:"Address, IP:port."`
}

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 10 * time.Second

func (l *listen) serve(handler http.Handler) error {
	server := &http.Server{Addr: l.Listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	return server.ListenAndServe()
}

// platformCommand runs a platform.
type platformCommand struct {
	listen
	Credential string `help:"What callers must send; any if empty."`
}

// Run serves until the process ends.
func (c *platformCommand) Run() error {
	return c.serve(&platform.Platform{Credential: c.Credential})
}

// engineCommand runs an engine.
type engineCommand struct {
	listen
	Name            string        `required:"" help:"Declared name of the upstream."`
	Slots           int           `help:"Requests that run at a time; no bound if 0."`
	LayersPerSecond float64       `help:"Speed for one stream; no time passes if 0."`
	BatchCost       float64       `help:"Share by which each further stream slows all."`
	PrefillPerToken time.Duration `help:"Time to take in one token of a prompt."`
	Unrecorded      bool          `help:"Keep no record of the tokens run."`
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

// serviceCommand runs a plain service.
type serviceCommand struct {
	listen
	Name string `required:"" help:"Declared name of the upstream."`
}

// Run serves until the process ends.
func (c *serviceCommand) Run() error { return c.serve(&service.Service{Name: c.Name}) }
