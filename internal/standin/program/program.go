// Package program builds the project's programs and runs them as processes of
// their own, for tests that need real ones.
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

// exitFailure is the exit code of tests whose programs can't be built.
const exitFailure = 1

// WithBinaries builds all programs into a directory, removes it after run has had it,
// and returns the exit code of run.
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

// Process is one running program.
type Process struct {
	Command *exec.Cmd
	// Done is closed when it has ended.
	Done chan struct{}
}

// Start runs a program of a directory; out gets what it writes.
func Start(dir, name string, out io.Writer, args ...string) (*Process, error) {
	p := &Process{Command: exec.Command(filepath.Join(dir, name), args...), Done: make(chan struct{})}
	p.Command.Stdout = out
	p.Command.Stderr = out
	if err := p.Command.Start(); err != nil {
		return nil, fmt.Errorf("program: %w", err)
	}
	go func() {
		// The exit code is in the command's state.
		_ = p.Command.Wait()
		close(p.Done)
	}()
	return p, nil
}

// Ports of the programs. They lie below those that the kernel gives to outgoing
// connections, which would take a port between the moment that it is found free
// and the moment that its program listens.
const (
	firstPort = 20000
	portCount = 10000
)

// nextPort is the number of the next port to try; each process begins
// elsewhere.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97) }

// ErrNoFreePort says that no port is free.
var ErrNoFreePort = errors.New("program: no port is free")

// FreeAddress returns an address on loopback that is free just now and was not
// returned before.
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
