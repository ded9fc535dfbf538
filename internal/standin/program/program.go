// Package program builds the binaries of this module and runs them as
// separate processes, for tests that need real processes.
package program

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
)

// exitFailure is the exit code of tests whose binaries cannot be built.
const exitFailure = 1

// WithBinaries builds all binaries into a temporary directory, calls run with
// that directory and returns the exit code of run. It then removes the
// directory.
func WithBinaries(run func(dir string) int) int {
	dir, err := os.MkdirTemp("", "lovageport")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer os.RemoveAll(dir)
	text, err := exec.Command("go", "build", "-o", dir, "lovageport.example/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, text)
		return exitFailure
	}
	return run(dir)
}

// Process is a started program.
type Process struct {
	Command *exec.Cmd
	// Done is closed when the process has ended.
	Done chan struct{}
}

// Start starts the named binary of a directory. Standard output and standard
// error are written to out.
func Start(dir, name string, out io.Writer, args ...string) (*Process, error) {
	return StartWith(nil, dir, name, out, args...)
}

// StartWith is like [Start] and adds variables of the form NAME=VALUE to the
// environment of the program.
func StartWith(variables []string, dir, name string, out io.Writer, args ...string) (*Process, error) {
	p := &Process{Command: exec.Command(filepath.Join(dir, name), args...), Done: make(chan struct{})}
	p.Command.Env = append(os.Environ(), variables...)
	p.Command.Stdout = out
	p.Command.Stderr = out
	if err := p.Command.Start(); err != nil {
		return nil, fmt.Errorf("program: %w", err)
	}
	go func() {
		// The exit code is in Command.ProcessState.
		_ = p.Command.Wait()
		close(p.Done)
	}()
	return p, nil
}

// Range of the ports that FreeAddress returns. It lies below the ports that
// the kernel assigns to outgoing connections, which could take a port after
// it was found free and before the program listens on it.
const (
	firstPort = 20000
	portCount = 10000
)

// nextPort selects the next port to try. Each test process starts at a
// different one.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97) }

// ErrNoFreePort is returned if all ports of the range are in use.
var ErrNoFreePort = errors.New("program: no port is free")

// FreeAddress returns a loopback address whose port is free at the moment. It
// returns no address twice until it has tried the whole range of ports.
func FreeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		return address, nil
	}
	return "", ErrNoFreePort
}
