package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageport.example/internal/standin/program"
)

// Limits that gateways must keep. All but maxMemoryKB are written to their
// settings files.
const (
	stopGracePeriod = 8 * time.Second
	revocationBound = 5 * time.Second
	// In each retryWindow, the number of retries is at most retryShare times
	// the number of requests, plus retrySlack.
	retryShare  = 0.2
	retrySlack  = 30
	retryWindow = 10 * time.Second
	// maxMemoryKB is the memory limit of a gateway on the smallest VMs.
	maxMemoryKB = 184 << 10
)

// gateway runs a gateway process and starts another whenever it ends.
type gateway struct {
	name, zone string
	// callerProxy forwards connections from callers to the gateway,
	// storeProxy those from the gateway to the store.
	callerProxy, storeProxy *Proxy
	// healthAddress and peerAddress are the addresses at which the gateway
	// listens for health checks and for peers.
	healthAddress, peerAddress string
	// metricsAddress is the address at which it listens for readers of its metrics.
	metricsAddress string

	// binDir is the directory of the binary of the next process, otherBinDir
	// that of the other build, if there is one. Guarded by mu.
	binDir, otherBinDir   string
	settingsPath, logPath string
	// writing serializes writes of the settings file.
	writing sync.Mutex
	// earlierSettings leaves out of the settings what earlier builds do not know.
	earlierSettings bool
	// retrySlack is the number of retries in the settings.
	retrySlack int
	// seeds are the peers in the settings file. Guarded by mu.
	seeds []string
	// variables are added to the environment of the processes.
	variables []string
	// report records a violated guarantee.
	report func(guarantee, detail string)

	mu      sync.Mutex
	process *program.Process
	// starts is the number of processes started so far.
	starts int
	// stopRequested is set once SIGTERM has been sent to the process, killed
	// once SIGKILL or SIGSTOP has been sent.
	stopRequested, killed bool
	stopRequestedAt       time.Time
	stopping              bool
	// stops holds when SIGTERM was first sent, by the number of the process.
	stops map[int]time.Time
	// drawDrainStandstill, if set, draws a standstill near the end of the notice period
	// of a drain. It is called with mu held.
	drawDrainStandstill func() (after, length time.Duration)
	// stoodStill is how long the process was made to stand still in all.
	stoodStill time.Duration
	// logSizeAtStart is the size of the log in bytes when the process was
	// started.
	logSizeAtStart int64
}

// newGateway returns a gateway and starts its proxies, but not its process.
func newGateway(name, zone, dir, binDir, storeAddress string) (*gateway, error) {
	g := &gateway{
		name: name, zone: zone, binDir: binDir, stops: make(map[int]time.Time),
		settingsPath: filepath.Join(dir, name+".toml"), logPath: filepath.Join(dir, name+".log"),
	}
	var listen string
	for _, address := range []*string{&listen, &g.healthAddress, &g.peerAddress, &g.metricsAddress} {
		free, err := program.FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	var err error
	if g.callerProxy, err = NewProxy(listen); err != nil {
		return nil, err
	}
	if g.storeProxy, err = NewProxy(storeAddress); err != nil {
		g.callerProxy.Close()
		return nil, err
	}
	return g, nil
}

// writeSettings replaces the settings file. seeds are the addresses of peers.
func (g *gateway) writeSettings(seeds []string) error {
	g.writing.Lock()
	defer g.writing.Unlock()
	g.mu.Lock()
	g.seeds = seeds
	first := g.starts == 0 && !g.earlierSettings
	g.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "Name = %q\nZone = %q\n", g.name, g.zone)
	if first {
		b.WriteString("FirstStart = true\n")
	}
	fmt.Fprintf(&b, "[Listen]\nCallers = %q\nHealth = %q\nPeers = %q\n", g.callerProxy.target, g.healthAddress, g.peerAddress)
	if !g.earlierSettings {
		fmt.Fprintf(&b, "Metrics = %q\n", g.metricsAddress)
	}
	fmt.Fprintf(&b, "[Platform]\nAddress = %q\n", g.storeProxy.Address)
	fmt.Fprintf(&b, "[Peers]\nSeeds = [\"%s\"]\n", strings.Join(seeds, "\", \""))
	fmt.Fprintf(&b, "[Bounds]\nGrace = %q\nRevocation = %q\n", stopGracePeriod, revocationBound)
	fmt.Fprintf(&b, "RetryShare = %v\nRetrySlack = %d\nRetryWindow = %q\n", retryShare, g.retrySlack, retryWindow)
	// A process may be reading the file.
	next := g.settingsPath + ".next"
	if err := os.WriteFile(next, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.settingsPath)
}

// changeSettings changes the order of the peers in the settings file and sends
// SIGHUP.
func (g *gateway) changeSettings() {
	seeds := g.currentSeeds()
	slices.Reverse(seeds)
	if err := g.writeSettings(seeds); err != nil {
		g.report("the settings of a gateway can be written", err.Error())
	}
	g.signal(syscall.SIGHUP)
}

// currentSeeds returns a copy of the peers in the settings file.
func (g *gateway) currentSeeds() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.seeds)
}

// restartDelay is the time between the end of a process and the next start.
const restartDelay = 300 * time.Millisecond

// run starts one process after another until stop is called. It returns an
// error if a process cannot be started.
func (g *gateway) run() error {
	out, err := os.Create(g.logPath)
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
		g.checkExit(p)
		time.Sleep(restartDelay)
	}
}

// memoryPollInterval is the time between two checks of a process's memory.
const memoryPollInterval = 100 * time.Millisecond

// watchMemory checks the peak memory of a process until the process ends.
func (g *gateway) watchMemory(p *program.Process) {
	for {
		select {
		case <-p.Done:
			return
		case <-time.After(memoryPollInterval):
		}
		if peak := peakMemoryKB(p.Command.Process.Pid); peak > maxMemoryKB {
			g.report("a gateway stays within its memory limit", fmt.Sprintf("%s used %d KB", g.name, peak))
			<-p.Done
			return
		}
	}
}

// peakMemoryKB returns the peak resident memory of a process in KB, or 0 if
// the process has ended. It does not use the resource usage that the kernel
// reports for an ended process, because that includes the memory of the
// parent.
func peakMemoryKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	peak := 0
	if _, err := fmt.Sscan(after, &peak); err != nil {
		return 0
	}
	return peak
}

// start starts a process. It returns nil without an error if the gateway has
// been stopped.
func (g *gateway) start(out *os.File) (*program.Process, error) {
	if g.incarnation() == 1 {
		if err := g.writeSettings(g.currentSeeds()); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = nil
	if g.stopping {
		return nil, nil
	}
	g.logSizeAtStart = g.logSize()
	p, err := program.StartWith(g.variables, g.binDir, "lovageport", out, "gateway", "--config", g.settingsPath)
	if err != nil {
		return nil, err
	}
	g.process, g.stopRequested, g.killed, g.stoodStill = p, false, false, 0
	g.starts++
	return p, nil
}

// checkExit checks that a process ended only on request, with exit code 0 and
// within the grace period.
func (g *gateway) checkExit(p *program.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := p.Command.ProcessState
	took := time.Since(g.stopRequestedAt)
	switch {
	case g.killed:
	case !g.stopRequested:
		g.report("a gateway exits only when told to", fmt.Sprintf("%s: %v", g.name, state))
	case state.ExitCode() != 0:
		g.report("a gateway exits with code 0 after SIGTERM", fmt.Sprintf("%s: %v", g.name, state))
	case took > stopGracePeriod+g.stoodStill:
		g.report("a gateway stops within its grace period", fmt.Sprintf("%s took %v", g.name, took))
	}
}

// signal sends a signal to the running process, if there is one. A process
// that has not logged anything yet gets none, since it may not have installed
// its signal handler.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || !g.hasLoggedLocked() {
		return
	}
	switch s {
	case syscall.SIGTERM:
		if !g.stopRequested {
			g.stopRequested, g.stopRequestedAt = true, time.Now()
			g.stops[g.starts] = g.stopRequestedAt
			if g.drawDrainStandstill != nil {
				after, length := g.drawDrainStandstill()
				time.AfterFunc(after, func() { g.standStill(length) })
			}
		}
	case syscall.SIGKILL, syscall.SIGSTOP:
		g.killed = true
	}
	// The process may have ended just now and then needs no signal.
	_ = g.process.Command.Process.Signal(s)
}

// standStill stops the running process for a time, as if it got no processor, and
// continues it. Unlike SIGSTOP by [gateway.signal], it excuses no exit.
func (g *gateway) standStill(length time.Duration) {
	g.mu.Lock()
	p := g.process
	if p == nil || !g.hasLoggedLocked() {
		g.mu.Unlock()
		return
	}
	g.stoodStill += length
	g.mu.Unlock()
	// The process may end at any time and then needs no signal.
	_ = p.Command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = p.Command.Process.Signal(syscall.SIGCONT)
}

// stopRequestedOf returns when SIGTERM was first sent to a process, given by its
// number, and whether it was.
func (g *gateway) stopRequestedOf(incarnation int) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.stops[incarnation]
	return at, ok
}

// logSize returns the size of the log in bytes, or 0 if there is no log.
func (g *gateway) logSize() int64 {
	info, err := os.Stat(g.logPath)
	if err != nil {
		return 0
	}
	return info.Size()
}

// hasLoggedLocked reports whether the process has logged a line. The caller
// holds mu.
func (g *gateway) hasLoggedLocked() bool { return g.logSize() > g.logSizeAtStart }

// changeBuild stops the process, so that the next one is of the other build.
func (g *gateway) changeBuild() {
	g.mu.Lock()
	g.binDir, g.otherBinDir = g.otherBinDir, g.binDir
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
}

// stop ends the process and prevents further starts.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopping = true
	running := g.process != nil
	g.mu.Unlock()
	for end := time.Now().Add(startTimeout); running && !g.hasLogged() && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGTERM)
}

// hasLogged reports whether the process has logged a line.
func (g *gateway) hasLogged() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasLoggedLocked()
}

// incarnation returns the number of the latest process, counted from 1.
func (g *gateway) incarnation() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts
}

// respondsOK reports whether the health listener answers a GET request for
// path with status 200.
func (g *gateway) respondsOK(path string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.healthAddress + path)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
