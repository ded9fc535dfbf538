package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageport.example/platform/platformtest"
)

// program is the gateway as the deploy file builds it, relative to the repository.
const program = "target/lovageport"

// lab holds the processes and the record of a case.
type lab struct {
	began time.Time
	// context lasts as long as the case.
	context context.Context
	// directory holds settings and logs of the processes.
	directory string
	store     *platformtest.Store

	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	gateways []*gateway
}

// newLab creates the record in a directory, and starts an empty store.
func newLab(recordDirectory string) (*lab, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the gateway is not built: %w", err)
	}
	file, err := os.Create(filepath.Join(recordDirectory, "record.txt"))
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	return &lab{began: time.Now(), context: context.Background(), directory: directory, store: platformtest.NewStore(), file: file, out: bufio.NewWriter(file)}, nil
}

// close ends all processes and closes the record, to which lines may still be added.
func (l *lab) close() {
	for _, g := range l.gateways {
		g.kill()
	}
	l.store.Close()
	if os.Getenv("LAB_KEEP") == "" {
		// What is left of the temporary folder does no harm.
		_ = os.RemoveAll(l.directory)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Flush()
}

// abandon ends all processes, which end with this one in any case, and removes the
// temporary folder.
func (l *lab) abandon() {
	for _, g := range l.gateways {
		if g.command != nil && g.command.Process != nil {
			_ = g.command.Process.Kill()
		}
	}
	_ = os.RemoveAll(l.directory)
}

// since returns the time since the case began, for the record.
func (l *lab) since(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(l.began).Seconds()) }

// record adds a line to the record.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%s %s\n", l.since(time.Now()), fmt.Sprintf(format, args...))
	_ = l.out.Flush()
}

// Ports of the gateways. They lie below those that the operating system gives out, which
// connections may take before a gateway listens.
const (
	firstPort = 20000
	portCount = 12000
)

// nextPort counts the ports that were tried.
var nextPort = os.Getpid() * 37

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	for range portCount {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// gateway is a gateway process and what its settings state.
type gateway struct {
	lab        *lab
	name, zone string
	// callers, health, peers and metrics are its listeners, store is the address under
	// which it reaches the store.
	callers, health, peers, metrics, store string
	seeds                                  []string
	firstStart                             bool

	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// newGateway describes a gateway that reaches the store under an address.
func (l *lab) newGateway(name, zone, store string) (*gateway, error) {
	g := &gateway{lab: l, name: name, zone: zone, store: store, firstStart: true}
	for _, address := range []*string{&g.callers, &g.health, &g.peers, &g.metrics} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	l.gateways = append(l.gateways, g)
	return g, nil
}

// settings returns the settings file, filled in like the template of the deploy file with
// the figures of the small deployment.
func (g *gateway) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Name = %q\nZone = %q\n", g.name, g.zone)
	if g.firstStart {
		b.WriteString("FirstStart = true\n")
	}
	fmt.Fprintf(&b, "[Listen]\nCallers = %q\nHealth = %q\nPeers = %q\nMetrics = %q\n", g.callers, g.health, g.peers, g.metrics)
	fmt.Fprintf(&b, "[Platform]\nAddress = %q\n[Peers]\nSeeds = [", g.store)
	for i, seed := range g.seeds {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q", seed)
	}
	b.WriteString("]\n[Bounds]\nGrace = \"8s\"\nRevocation = \"5000ms\"\nConfiguration = \"2000ms\"\nRetryShare = 0.2\nRetrySlack = 196.0\nRetryWindow = \"10s\"\n")
	b.WriteString("[Limits]\nMemoryMB = 284\nMaxDescriptors = 4200\n")
	return b.String()
}

// start starts the process.
func (g *gateway) start() error {
	path := filepath.Join(g.lab.directory, g.name+".toml")
	if err := os.WriteFile(path, []byte(g.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.lab.directory, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.lab.directory, "LOVAGEPORT_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	g.command, g.log, g.ended = command, log, make(chan struct{})
	g.lab.record("%s started as process %d", g.name, command.Process.Pid)
	ended := g.ended
	go func() {
		defer close(ended)
		err := command.Wait()
		g.lab.record("%s ended: %v", g.name, err)
		log.Close()
	}()
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.lab.record("%s gets %v", g.name, s)
	// It fails only if the process has ended.
	_ = g.command.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.ended
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.health + wire.Ready)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.lab.record("%s is ready", g.name)
			return nil
		}
	}
	return errors.New(g.name + " does not get ready")
}
