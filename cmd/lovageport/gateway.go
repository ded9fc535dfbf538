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

// gatewayCommand runs a gateway process.
type gatewayCommand struct {
	Config string `env:"LOVAGEPORT_NODE_FILE" required:"" type:"path" help:"Settings file of the gateway."`
}

// gcPercent is the heap growth, in percent, that triggers a garbage collection.
// It is below Go's default of 100 because the VMs have little memory, and a
// gateway's heap is only a few megabytes.
const gcPercent = 25

// settingsPollInterval is how often the settings file is read without SIGHUP,
// because the file may change without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings returns a channel that receives the settings each time they
// change. It reads the file at each signal on hangups and at regular intervals. A
// file that can't be read or is invalid is logged, and the current settings stay
// in force.
func (c *gatewayCommand) watchSettings(hangups <-chan os.Signal, log *zap.Logger, current *setting.Gateway) <-chan *setting.Gateway {
	reloads := make(chan *setting.Gateway)
	go func() {
		for {
			select {
			case <-hangups:
			case <-time.After(settingsPollInterval):
			}
			settings, err := setting.LoadGateway(c.Config)
			if err != nil {
				log.Error("settings not reloaded", zap.Error(err))
				continue
			}
			if !reflect.DeepEqual(current, settings) {
				current = settings
				reloads <- settings
			}
		}
	}()
	return reloads
}

// Run serves until the process is asked to stop and has drained.
func (c *gatewayCommand) Run() error {
	// Handle signals before anything else: until then they kill the process.
	ctx, drain := stopSignals()
	debug.SetGCPercent(gcPercent)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := setting.LoadGateway(c.Config)
	if err != nil {
		return &badInputError{err}
	}
	if limit := settings.Limits.GoMemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	output := logging.NewNonBlockingWriter(os.Stdout)
	log, err := logging.New(output, settings.Log.Level)
	if err != nil {
		return &badInputError{err}
	}
	logged := make(chan struct{})
	logCtx, stopLogging := context.WithCancel(context.Background())
	go func() {
		defer close(logged)
		_ = output.Run(logCtx)
	}()
	g := &gateway.Gateway{
		Settings: settings,
		Version:  version,
		Log:      log,
		Dropped:  output.Dropped,
		Random:   rand.Float64,
		Drain:    drain,
		Reload:   c.watchSettings(hangups, log, settings),
	}
	err = g.Run(ctx)
	stopLogging()
	<-logged
	return err
}
