package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageport.example/internal/standin/program"
)

// Bounds that gateways are given, and held to.
const (
	grace      = 8 * time.Second
	revocation = 5 * time.Second
	// retryShare and retrySlack bound the retries within retryWindow.
	retryShare  = 0.2
	retrySlack  = 30
	retryWindow = 10 * time.Second
	// memoryBound is that of the smallest VMs, in KB.
	memoryBound = 184 << 10
)

// gateway is a gateway process that is started again whenever it has ended.
type gateway struct {
	name, zone string
	// callers and store are the links to its callers and to the store.
	callers, store *Proxy
	// health and peers are where it listens.
	health, peers string

	programs, settings, log string
	// found is told of what breaks a promise.
	found func(promise, detail string)

	mu      sync.Mutex
	process *program.Process
	// starts counts the processes so far.
	starts int
	// told says that the process was told to end, killed that it was killed or
	// frozen meanwhile.
	told, killed bool
	toldAt       time.Time
	stopped      bool
	// loggedBefore is the size of the log when the process was started.
	loggedBefore int64
}

// newGateway makes a gateway in a zone with links; it does not run yet.
func newGateway(name, zone, dir, programs, store string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, programs: programs, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	var listen string
	for _, address := range []*string{&listen, &g.health, &g.peers} {
		free, err := program.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	var err error
	if g.callers, err = NewProxy(listen); err != nil {
		return nil, err
	}
	if g.store, err = NewProxy(store); err != nil {
		g.callers.Close()
		return nil, err
	}
	return g, nil
}

// configure writes its settings file.
func (g *gateway) configure(seeds []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Name = %q\nZone = %q\n", g.name, g.zone)
	fmt.Fprintf(&b, "[Listen]\nCallers = %q\nHealth = %q\nPeers = %q\n", g.callers.target, g.health, g.peers)
	fmt.Fprintf(&b, "[Platform]\nAddress = %q\n", g.store.Address)
	fmt.Fprintf(&b, "[Peers]\nSeeds = [\"%s\"]\n", strings.Join(seeds, "\", \""))
	fmt.Fprintf(&b, "[Bounds]\nGrace = %q\nRevocation = %q\n", grace, revocation)
	fmt.Fprintf(&b, "RetryShare = %v\nRetrySlack = %d\nRetryWindow = %q\n", retryShare, retrySlack, retryWindow)
	return os.WriteFile(g.settings, []byte(b.String()), 0o600)
}

// restartPause is the time between the end of a process and the next start.
const restartPause = 300 * time.Millisecond

// run keeps a process running until stop.
func (g *gateway) run() error {
	out, err := os.Create(g.log)
	if err != nil {
		return err
	}
	defer out.Close()
	for {
		p, err := g.start(out)
		if p == nil {
			return err
		}
		g.watchMemory(p)
		g.checkEnd(p)
		time.Sleep(restartPause)
	}
}

// memoryPause is the time between two looks at the memory of a process.
const memoryPause = 100 * time.Millisecond

// watchMemory looks at the most memory that a process has had, until it ends.
func (g *gateway) watchMemory(p *program.Process) {
	for {
		select {
		case <-p.Done:
			return
		case <-time.After(memoryPause):
		}
		if most := mostMemory(p.Command.Process.Pid); most > memoryBound {
			g.found("a gateway keeps within its memory", fmt.Sprintf("%s took %d KB", g.name, most))
			<-p.Done
			return
		}
	}
}

// mostMemory returns the most memory that a process has had, in KB; 0 if it has
// ended. What the kernel says of an ended process counts its parent's, too.
func mostMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	most := 0
	if _, err := fmt.Sscan(after, &most); err != nil {
		return 0
	}
	return most
}

// start starts a process, or returns none if the gateway has been stopped.
func (g *gateway) start(out *os.File) (*program.Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = nil
	if g.stopped {
		return nil, nil
	}
	g.loggedBefore = g.logSize()
	p, err := program.Start(g.programs, "lovageport", out, "gateway", "--config", g.settings)
	if err != nil {
		return nil, err
	}
	g.process, g.told, g.killed = p, false, false
	g.starts++
	return p, nil
}

// checkEnd checks how a process ended.
func (g *gateway) checkEnd(p *program.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := p.Command.ProcessState
	took := time.Since(g.toldAt)
	switch {
	case g.killed:
	case !g.told:
		g.found("a gateway does not end by itself", fmt.Sprintf("%s: %v", g.name, state))
	case state.ExitCode() != 0:
		g.found("a gateway that is told to stop exits with 0", fmt.Sprintf("%s: %v", g.name, state))
	case took > grace:
		g.found("a gateway stops within its grace", fmt.Sprintf("%s took %v", g.name, took))
	}
}

// signal sends a signal to the process, if one runs. One that has not logged
// yet gets none: it may not have come as far as to catch it.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || !g.logs() {
		return
	}
	switch s {
	case syscall.SIGTERM:
		if !g.told {
			g.told, g.toldAt = true, time.Now()
		}
	case syscall.SIGKILL, syscall.SIGSTOP:
		g.killed = true
	}
	// A process that has just ended needs no signal.
	_ = g.process.Command.Process.Signal(s)
}

// logSize returns the size of the log.
func (g *gateway) logSize() int64 {
	info, err := os.Stat(g.log)
	if err != nil {
		return 0
	}
	return info.Size()
}

// logs says whether the process has logged a line.
func (g *gateway) logs() bool { return g.logSize() > g.loggedBefore }

// stop ends the process, and has no other started.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopped = true
	running := g.process != nil
	g.mu.Unlock()
	for end := time.Now().Add(startBound); running && !g.hasLogged() && time.Now().Before(end); {
		time.Sleep(pollPause)
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGTERM)
}

func (g *gateway) hasLogged() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.logs()
}

// incarnation numbers the processes.
func (g *gateway) incarnation() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts
}

// ready says whether it says that it serves.
func (g *gateway) ready(path string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.health + path)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
