package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovageport.example/platform/platformtest"
)

// playInnocent has three servers crash one after the other while ordinary lookups run.
func playInnocent(dir string, r *record) (int, error) {
	store := platformtest.NewStore()
	defer store.Close()
	configure := func(version int, without ...string) {
		store.Configure(platformtest.Configuration{Version: version, Keys: []string{"key"}, StreamAttempts: 2, Edit: func(s *platformtest.Specification) {
			for _, name := range without {
				s.Routes = platformtest.Without(s.Routes, name)
			}
		}})
	}
	configure(3, "look")
	started := 0
	start := func() *platformtest.Upstream {
		started++
		u := platformtest.NewUpstream(store, platformtest.PlainService, "a", "", fmt.Sprint("i-plain", started))
		u.Handler = func(w http.ResponseWriter, _ *http.Request, _ platformtest.Request) {
			time.Sleep(120 * time.Millisecond)
			w.Header().Set("Origin-Stamp", u.Instance)
			fmt.Fprintln(w, "in stock, by", u.Instance)
		}
		return u
	}
	var servers []*platformtest.Upstream
	for range 4 {
		servers = append(servers, start())
	}
	defer func() {
		for _, u := range servers {
			u.Close()
		}
	}()
	gateways, err := newGateways(dir, store.Address, "a", "a", "a")
	if err != nil {
		return 0, err
	}
	for _, g := range gateways {
		if err := g.start(); err != nil {
			return 0, err
		}
		defer g.kill()
	}
	if !awaitReady(gateways, 10*time.Second) {
		return 0, fmt.Errorf("gateways not ready")
	}
	time.Sleep(time.Second)
	r.line("configuration 5 adds the route look")
	configure(5)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	routes := map[string]*counts{"book": {}, "look": {}}
	counting := false
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range gateways {
		for kind, c := range routes {
			for k := range 5 {
				clients.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(50 * time.Millisecond):
						}
						id := fmt.Sprintf("%s-%s-%d-%d", g.name, kind, k, n)
						method, body := "GET", ""
						if kind == "book" {
							method, body = "POST", "booking "+id
						}
						a := call(g, method, "/"+kind+"/rose", id, "key", time.Second, 5, []byte(body))
						if a.status != 200 || n%20 == 0 {
							r.line("%s: status %d, from a server %v, %q %v", id, a.status, platformtest.FromUpstream(a.header), strings.ReplaceAll(a.body[:min(len(a.body), 90)], "\n", " "), a.err)
						}
						mu.Lock()
						if counting {
							c.sent++
							if a.err == nil && a.status == 200 {
								c.served++
							}
						}
						mu.Unlock()
					}
				})
			}
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i := range 4 {
			u := servers[i]
			r.line("server %s crashes", u.Instance)
			u.Close()
			time.Sleep(2 * time.Second)
			servers = append(servers, start())
			r.line("server %s has started in its place", servers[len(servers)-1].Instance)
			time.Sleep(1600 * time.Millisecond)
			u.Unregister()
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	counting = true
	mu.Unlock()
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	first, added := *routes["book"], *routes["look"]
	r.line("first routes in steady state: %d of %d served", first.served, first.sent)
	r.line("added routes in steady state: %d of %d served", added.served, added.sent)
	if added.sent < 20 || first.served < first.sent/2 {
		return 0, fmt.Errorf("too few requests")
	}
	if float64(added.served)/float64(added.sent) < float64(first.served)/float64(first.sent)/4 {
		return broken, nil
	}
	return held, nil
}
