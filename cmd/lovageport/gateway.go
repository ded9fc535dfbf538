package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/gateway"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/setting"
)

// gatewayCommand runs a gateway.
type gatewayCommand struct {
	Config string `env:"LOVAGEPORT_NODE_FILE" required:"" type:"path" help:"Settings file."`
}

// garbagePercent is by how much the heap grows until garbage is collected. The
// VMs have little memory, and a gateway's heap is a few megabytes.
const garbagePercent = 25

// settingsInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsInterval = 5 * time.Second

// reloads returns a channel that brings the settings whenever they have
// changed, of which hangups may tell. A file that can't be used leaves those in
// force.
func (c *gatewayCommand) reloads(hangups <-chan os.Signal, log *zap.Logger, old *setting.Gateway) <-chan *setting.Gateway {
	reloads := make(chan *setting.Gateway)
	go func() {
		for {
			select {
			case <-hangups:
			case <-time.After(settingsInterval):
			}
			settings, err := setting.LoadGateway(c.Config)
			if err != nil {
				log.Error("settings not reloaded", zap.Error(err))
				continue
			}
			if !reflect.DeepEqual(old, settings) {
				old = settings
				reloads <- settings
			}
		}
	}()
	return reloads
}

// Run serves until it is told to stop.
func (c *gatewayCommand) Run() error {
	// Signals are caught before anything else: until then they end the process.
	ctx, drain := stopSignals()
	debug.SetGCPercent(garbagePercent)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := setting.LoadGateway(c.Config)
	if err != nil {
		return &badInputError{err}
	}
	lines := logging.NewNonBlockingWriter(os.Stdout)
	log, err := logging.New(lines, settings.Log.Level)
	if err != nil {
		return &badInputError{err}
	}
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
		Reload:   c.reloads(hangups, log, settings),
	}
	err = g.Run(ctx)
	stopLogging()
	<-written
	return err
}
