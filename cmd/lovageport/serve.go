package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lovageport.example/internal/entry"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/setting"
	"lovageport.example/pkg/declaration"
)

// serveCommand runs an entry process.
type serveCommand struct {
	Config string `required:"" type:"path" help:"Settings file of the entry."`
}

// Run serves until the process is asked to stop and has drained.
func (c *serveCommand) Run() error {
	settings, err := setting.LoadEntry(c.Config)
	if err != nil {
		return &badInputError{err}
	}
	log, err := logging.New(os.Stderr, settings.Log.Level)
	if err != nil {
		return &badInputError{err}
	}
	if limit := settings.Limits.GoMemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	ctx, drain := stopSignals()
	e := &entry.Entry{
		Settings: settings,
		Version:  version,
		Log:      log,
		Random:   rand.Float64,
		Drain:    drain,
	}
	return e.Run(ctx)
}

// stopSignals returns a channel that the first SIGTERM or SIGINT closes, and a
// context that a later SIGINT cancels. A later SIGTERM has no effect, because a
// supervisor may repeat it while the process drains.
func stopSignals() (context.Context, <-chan struct{}) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	drain := make(chan struct{})
	go func() {
		<-signals
		close(drain)
		for sig := range signals {
			if sig == syscall.SIGINT {
				cancel()
			}
		}
	}()
	return ctx, drain
}

// checkCommand checks settings files and declaration files.
type checkCommand struct {
	Config  string   `type:"path" help:"Settings file of an entry."`
	Gateway string   `type:"path" help:"Settings file of a gateway."`
	Files   []string `short:"f" type:"path" help:"Declaration files; checked as one set."`
}

// Run checks the settings files, then the set. Its error lists all faults of the
// first one that is invalid.
func (c *checkCommand) Run() error {
	if c.Config == "" && c.Gateway == "" && len(c.Files) == 0 {
		return &badInputError{fmt.Errorf("nothing to check: give --config, --gateway or -f")}
	}
	if c.Gateway != "" {
		if _, err := setting.LoadGateway(c.Gateway); err != nil {
			return &badInputError{err}
		}
	}
	if c.Config != "" {
		if _, err := setting.LoadEntry(c.Config); err != nil {
			return &badInputError{err}
		}
	}
	files, err := readFiles(c.Files)
	if err != nil {
		return &badInputError{err}
	}
	if _, faults := declaration.Parse(files); len(faults) > 0 {
		return faultsError(faults)
	}
	fmt.Println("ok")
	return nil
}

// readFiles reads declaration files.
func readFiles(paths []string) ([]declaration.File, error) {
	files := make([]declaration.File, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		files = append(files, declaration.File{Name: path, Text: text})
	}
	return files, nil
}

// faultsError returns an error that lists the faults, one per line.
func faultsError(faults []declaration.Fault) error {
	return &badInputError{&setting.Error{Faults: faults}}
}
