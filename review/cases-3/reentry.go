package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageport.example/platform/platformtest"
)

// storePath is the way of one gateway to the store, which may turn the gateway away.
type storePath struct {
	address string

	mu      sync.Mutex
	refuses bool
	ended   context.Context
	end     context.CancelFunc
}

func newStorePath(store string) (*storePath, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storePath{address: listener.Addr().String()}
	p.ended, p.end = context.WithCancel(context.Background())
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	forward.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		refuses, ended := p.refuses, p.ended
		p.mu.Unlock()
		if refuses {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ended, cancel)()
		forward.ServeHTTP(w, r.WithContext(ctx))
	}))
	return p, nil
}

// set sets whether the path answers all calls with 503. Calls that wait are answered so too.
func (p *storePath) set(refuses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = refuses
	p.end()
	p.ended, p.end = context.WithCancel(context.Background())
}

// counts are the requests on routes of one kind, and those of them that were served.
type counts struct{ sent, served int }

// Times of the case.
const (
	warmUp    = 6 * time.Second
	storeDown = 4500 * time.Millisecond
	turnAway  = 3 * time.Second
	calm      = 6 * time.Second
	measured  = 20 * time.Second
)

// playReentry has the store down for a while, so that the entries of the servers lapse and
// come back, and two gateways turned away by it for a little longer.
func playReentry(dir string, r *record) (int, error) {
	store := platformtest.NewStore()
	defer store.Close()
	version := 3
	configure := func(variants ...string) {
		version += 2
		store.Configure(platformtest.Configuration{Version: version, Keys: []string{"key"}, StreamAttempts: 2, Variants: variants})
	}
	configure()
	var servers []*platformtest.Upstream
	for i := range 3 {
		servers = append(servers, platformtest.NewUpstream(store, platformtest.PlainService, "a", "", fmt.Sprint("i-plain", i+1)))
	}
	for i, from := range []int{0, 8, 0, 8} {
		u := platformtest.NewUpstream(store, platformtest.EngineService, "a", platformtest.Accelerator, fmt.Sprint("i-engine", i+1))
		u.KeepsLayers = true
		u.SetLayers(from, from+platformtest.Layers/2)
		servers = append(servers, u)
	}
	for _, u := range servers {
		defer u.Close()
	}
	gateways, err := newGateways(dir, store.Address, "a", "a", "a", "a", "a", "a")
	if err != nil {
		return 0, err
	}
	var paths []*storePath
	for _, g := range gateways {
		p, err := newStorePath(store.Address)
		if err != nil {
			return 0, err
		}
		paths = append(paths, p)
		g.storeAddress = p.address
		if err := g.start(); err != nil {
			return 0, err
		}
		defer g.kill()
	}
	if !awaitReady(gateways, 10*time.Second) {
		return 0, fmt.Errorf("gateways not ready")
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var first, added, before counts
	steady, later := true, false
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range gateways {
		for _, kind := range []string{"look", "book", "stream", "look-new"} {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(400 * time.Millisecond):
					}
					mu.Lock()
					count, isAdded := steady, kind == "look-new"
					skip := isAdded && !later
					mu.Unlock()
					if skip {
						continue
					}
					id := fmt.Sprintf("%s-%s-%d", g.name, kind, n)
					method := "GET"
					if kind == "book" || kind == "stream" {
						method = "POST"
					}
					a := call(g, method, "/"+kind+"/x", id, "key", time.Second, 5, nil)
					ok := a.err == nil && a.status == 200
					r.line("%s: status %d, from a server %v, %q %v", id, a.status, platformtest.FromUpstream(a.header), strings.ReplaceAll(a.body[:min(len(a.body), 90)], "\n", " "), a.err)
					if !count {
						continue
					}
					mu.Lock()
					c := &first
					if isAdded {
						c = &added
					}
					c.sent++
					if ok {
						c.served++
					}
					mu.Unlock()
				}
			})
		}
	}
	setSteady := func(is, addedToo bool) {
		mu.Lock()
		defer mu.Unlock()
		steady, later = is, addedToo
		r.line("steady state %v; first routes: %d of %d served; added routes: %d of %d served", is, first.served, first.sent, added.served, added.sent)
	}
	time.Sleep(warmUp)
	setSteady(false, false)
	mu.Lock()
	before = first
	mu.Unlock()
	if trouble {
		r.line("the store is down for all, and turns %s and %s away for %v longer", gateways[4].name, gateways[5].name, turnAway)
		for _, p := range paths {
			p.set(true)
		}
		time.Sleep(storeDown)
		for _, u := range servers {
			u.Unregister()
		}
		for _, p := range paths[:4] {
			p.set(false)
		}
		r.line("the store is back; the entries of all servers have lapsed")
		began := time.Now()
		for i, u := range servers {
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * 200 * time.Millisecond)))
			u.Register("ready")
			r.line("server %s has written its entry again", u.Instance)
		}
		time.Sleep(time.Until(began.Add(turnAway)))
		time.AfterFunc(500*time.Millisecond, func() {
			paths[4].set(false)
			paths[5].set(false)
			r.line("the store serves %s and %s again", gateways[4].name, gateways[5].name)
		})
	}
	r.line("configurations in quick succession")
	for range 25 {
		configure("new")
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(calm)
	setSteady(true, true)
	time.Sleep(measured)
	setSteady(false, false)
	close(stop)
	clients.Wait()
	if os.Getenv("RESTART") != "" {
		if err := restartInTurn(gateways, r); err != nil {
			return 0, err
		}
	}
	for _, u := range servers {
		for _, q := range u.Requests() {
			r.line("%s has run %s at %.3f", u.Instance, q.ID, q.At.Sub(r.began).Seconds())
		}
	}
	for _, g := range gateways {
		r.line("%s is ready: %v", g.name, g.ready())
	}
	r.line("first routes before the disruption: %d of %d served", before.served, before.sent)
	r.line("first routes in steady state: %d of %d served", first.served, first.sent)
	r.line("added routes in steady state: %d of %d served", added.served, added.sent)
	if added.sent < 20 || first.sent == 0 {
		return 0, fmt.Errorf("too few requests")
	}
	if float64(added.served)/float64(added.sent) < float64(first.served)/float64(first.sent)/4 {
		return broken, nil
	}
	return held, nil
}

// restartInTurn stops the gateways one after the other and starts them again, and records
// whether they serve then. It decides nothing.
func restartInTurn(gateways []*gateway, r *record) error {
	for _, g := range gateways {
		g.signal(syscall.SIGTERM)
		<-g.ended
		if err := g.start(); err != nil {
			return err
		}
		awaitReady([]*gateway{g}, 5*time.Second)
		r.line("%s has been stopped and started again", g.name)
	}
	time.Sleep(2 * time.Second)
	for _, g := range gateways {
		a := call(g, "GET", "/look/x", g.name+"-after-restart", "key", time.Second, 1, nil)
		r.line("%s after the restarts: status %d, from a server %v", g.name, a.status, platformtest.FromUpstream(a.header))
	}
	return nil
}
