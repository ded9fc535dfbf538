// Command cases runs the scripted cases of the review. It starts gateways as the deploy
// file does, and plays the platform's store, the runners and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"watch-cut":     watchCut,
	"stray-entries": strayEntries,
	"plain-stream":  plainStream,
	"flapping":      flappingRunner,
	"retry-window":  retryWindow,
}

// world is what a case plays in.
type world struct {
	*record
	// trouble is false for the same without the disruption.
	trouble bool
	// addRoute is set once the configuration has a further route.
	addRoute bool
	dir      string
	store    *store
	gateways []*gateway
	runners  []*runner
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "cases: no case of that name")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		return exitNotRun
	}
	defer rec.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases:", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer w.stop()
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := play(w)
		ended <- result{broken, err}
	}()
	select {
	case <-interrupted:
		rec.say("end", "interrupted")
		return exitNotRun
	case <-time.After(maxTime):
		rec.say("end", "not over after %v", maxTime)
		return exitNotRun
	case r := <-ended:
		switch {
		case r.err != nil:
			rec.say("end", "the case could not run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.say("end", "the rule was broken")
			return exitBroken
		}
		rec.say("end", "the rule held")
		return exitHeld
	}
}

// stop ends all processes that the case has started.
func (w *world) stop() {
	for _, g := range w.gateways {
		g.kill()
	}
}

// build starts the store, and gateways of the given zones.
func (w *world) build(zones ...string) error {
	if _, err := os.Stat(program); err != nil {
		return err
	}
	a, err := freeAddresses(1)
	if err != nil {
		return err
	}
	if w.store, err = newStore(a[0]); err != nil {
		return err
	}
	for i, zone := range zones {
		g, err := newGateway(w.dir, fmt.Sprintf("front-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// start starts the gateways and waits until all are ready.
func (w *world) start() error {
	var seeds []string
	for _, g := range w.gateways {
		if len(seeds) < 3 {
			seeds = append(seeds, g.peers)
		}
	}
	for _, g := range w.gateways {
		if err := g.start(w.store.address, seeds, true); err != nil {
			return err
		}
		go g.watchReady()
	}
	for range 200 {
		ready := 0
		for _, g := range w.gateways {
			if g.ready.Load() {
				ready++
			}
		}
		if ready == len(w.gateways) {
			w.say("ready", "%d gateways are ready", ready)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, g := range w.gateways {
		select {
		case <-g.exited:
			text, _ := os.ReadFile(filepath.Join(g.dir, g.name+".log"))
			w.say("ended", "%s has ended: %v: %s", g.name, g.cmd.ProcessState, text[max(0, len(text)-500):])
		default:
			w.say("state", "%s is ready: %t", g.name, g.ready.Load())
		}
	}
	return fmt.Errorf("the gateways are not ready after 20 s")
}

// add starts a runner and registers it as ready.
func (w *world) add(service, zone, id string, slots int, work time.Duration) error {
	r, err := newRunner(w.record, service, zone, id, slots, work)
	if err != nil {
		return err
	}
	w.runners = append(w.runners, r)
	w.store.put("servers", id, r.entry("ready"))
	return nil
}

// heartbeat is heartbeat_ms of the sites.
const heartbeat = 1200 * time.Millisecond

// crash ends a runner. The store removes its entry after three heartbeats of silence.
func (w *world) crash(r *runner) {
	r.end()
	time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", r.id) })
}

// Routes and services of the configuration.
const (
	bookPath   = "/puxa403/"
	lookPath   = "/cufi504/"
	streamPath = "/lohu930/"
	shop       = "wuno96b"
	addedPath  = "/volo102/"
	newShop    = "xano55b"
	streamShop = "dele69a"
)

// configure writes a configuration: a route for bookings, which may run once, and one
// for lookups, which may be repeated. Those of calls go to a service. It returns when the store has
// acknowledged it.
func (w *world) configure(version int, service string) time.Time {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": host, wire.PathPrefix: prefix, "kind": kind, "timeout_ms": callTimeout.Milliseconds(),
			wire.Goal: 100, "priority": 2, "service": service, "attempts": 2, "public": false, "sticky": false, "resumable": false,
		}
	}
	stream := route("r-7c0dhe1", streamPath, "stream")
	stream["timeout_ms"], stream[wire.Goal], stream["resumable"], stream[wire.GapAim] = 20000, 500, true, 200
	stream["service"] = streamShop
	described := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": healthPath, wire.MaxConns: 96, "protocol": "h1", "tls": false}
	}
	routes := []any{route("r-2yhvz3p", bookPath, wire.NonIdempotent), route("r-fi6y7z5", lookPath, "idempotent"), stream}
	if w.addRoute {
		added := route("r-b2dkq07", addedPath, "idempotent")
		added["service"] = newShop
		routes = append(routes, added)
	}
	at := w.store.put("config", "main", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{described(shop), described(newShop), described(streamShop)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, wire.APIKeys: []string{apiKey}, "priority": 1}},
	})
	w.say("config", "version %d is acknowledged: the routes of calls go to %s", version, service)
	return at
}

// callTimeout is the timeout of all routes, and how long clients wait.
const callTimeout = 600 * time.Millisecond
