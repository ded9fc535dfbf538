package main

import (
	"context"
	"math/rand/v2"
	"os"

	"lovageport.example/internal/gateway"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/setting"
)

// gatewayCommand runs a gateway.
type gatewayCommand struct {
	Config string `env:"LOVAGEPORT_NODE_FILE" required:"" type:"path" help:"Settings file."`
}

// Run serves until it is told to stop.
func (c *gatewayCommand) Run() error {
	settings, err := setting.LoadGateway(c.Config)
	if err != nil {
		return &badInputError{err}
	}
	lines := logging.NewBounded(os.Stdout)
	log, err := logging.New(lines, settings.Log.Level)
	if err != nil {
		return &badInputError{err}
	}
	ctx, drain := stopSignals()
	written := make(chan struct{})
	logging, stopLogging := context.WithCancel(context.Background())
	go func() {
		defer close(written)
		_ = lines.Run(logging)
	}()
	g := &gateway.Gateway{
		Settings: settings,
		Version:  version,
		Log:      log,
		Dropped:  lines.Dropped,
		Random:   rand.Float64,
		Drain:    drain,
	}
	err = g.Run(ctx)
	stopLogging()
	<-written
	return err
}
