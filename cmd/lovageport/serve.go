package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"lovageport.example/internal/entry"
	"lovageport.example/internal/logging"
	"lovageport.example/internal/setting"
	"lovageport.example/pkg/declaration"
)

// serveCommand runs an entry.
type serveCommand struct {
	Config string `required:"" type:"path" help:"Settings file."`
}

// Run serves until it is told to stop.
func (c *serveCommand) Run() error {
	settings, err := setting.LoadEntry(c.Config)
	if err != nil {
		return &badInputError{err}
	}
	log, err := logging.New(os.Stderr, settings.Log.Level)
	if err != nil {
		return &badInputError{err}
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

// stopSignals returns a channel that the first signal to stop closes, and a
// context that an interrupt after it ends. Being told to stop again changes
// nothing: whoever runs the process may repeat that while it drains.
func stopSignals() (context.Context, <-chan struct{}) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	drain := make(chan struct{})
	go func() {
		<-signals
		close(drain)
		for again := range signals {
			if again == syscall.SIGINT {
				cancel()
			}
		}
	}()
	return ctx, drain
}

// checkCommand checks files.
type checkCommand struct {
	Config  string   `type:"path" help:"Settings file of an entry."`
	Gateway string   `type:"path" help:"Settings file of a gateway."`
	Files   []string `short:"f" type:"path" help:"Declared files; checked as one set."`
}

// Run checks the files and prints every fault.
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

// readFiles reads declared files.
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

// faultsError lists faults, one a line.
func faultsError(faults []declaration.Fault) error {
	return &badInputError{&setting.Error{Faults: faults}}
}
