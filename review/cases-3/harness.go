package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageport.example/internal/standin/program"
	"lovageport.example/platform"
	"lovageport.example/platform/platformtest"
)

// record is what a case writes to record.txt.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func newRecord() (*record, error) {
	out, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	return &record{out: out, began: time.Now()}, nil
}

// line writes a line with the time since the start of the case.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name, zone                     string
	callers, health, peers, metric string
	dir, settings                  string
	storeAddress                   string
	seeds                          []string
	started                        bool
	command                        *exec.Cmd
	ended                          chan struct{}
}

// Limits in the settings.
var memory, descriptors = 284, 4200

// newGateways returns gateways of zones that do not run yet.
func newGateways(dir, storeAddress string, zones ...string) ([]*gateway, error) {
	var all []*gateway
	var seeds []string
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, dir: dir, storeAddress: storeAddress}
		for _, address := range []*string{&g.callers, &g.health, &g.peers, &g.metric} {
			free, err := program.FreeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		g.settings = filepath.Join(dir, g.name+".toml")
		all = append(all, g)
		seeds = append(seeds, g.peers)
	}
	for _, g := range all {
		g.seeds = seeds[:min(3, len(seeds))]
	}
	return all, nil
}

// start writes the settings, in the form of the template of the deploy file, and starts the
// process.
func (g *gateway) start() error {
	first := ""
	if !g.started {
		first = "FirstStart = true\n"
	}
	text := fmt.Sprintf("Name = %q\nZone = %q\n%s\n[Listen]\nCallers = %q\nHealth = %q\nPeers = %q\nMetrics = %q\n\n[Platform]\nAddress = %q\n\n[Peers]\nSeeds = [\"%s\"]\n\n"+
		"[Bounds]\nGrace = \"8s\"\nRevocation = \"5000ms\"\nConfiguration = \"2000ms\"\nRetryShare = 0.2\nRetrySlack = 196\nRetryWindow = \"10s\"\n\n[Limits]\nMemoryMB = %d\nMaxDescriptors = %d\n",
		g.name, g.zone, first, g.callers, g.health, g.peers, g.metric, g.storeAddress, strings.Join(g.seeds, "\", \""), memory, descriptors)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/lovageport", "gateway")
	command.Dir = root
	command.Env = append(os.Environ(), "LOVAGEPORT_NODE_FILE="+g.settings)
	command.Stdout, command.Stderr = log, log
	// The gateways end with this process, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		log.Close()
		close(ended)
	}()
	g.command, g.ended, g.started = command, ended, true
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// kill ends the process and waits for that.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// ready reports whether the platform's probe is answered with 200.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.health + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func awaitReady(all []*gateway, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range all {
			if g.ready() {
				ready++
			}
		}
		if ready == len(all) {
			return true
		}
	}
	return false
}

// answer is what a client gets.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// call sends a request on a new connection and reads the answer.
func call(g *gateway, method, path, id, key string, wait time.Duration, events int, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	platformtest.SetCall(r, id, key, wait, events)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), header: resp.Header, err: err}
}
