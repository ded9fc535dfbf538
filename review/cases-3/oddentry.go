package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lovageport.example/platform/platformtest"
)

// playOddEntry has another writer leave entries that lack fields among those of the servers.
func playOddEntry(dir string, r *record) (int, error) {
	store := platformtest.NewStore()
	defer store.Close()
	configure := func(version int, without ...string) {
		store.Configure(platformtest.Configuration{Version: version, Keys: []string{"key"}, StreamAttempts: 2, Edit: func(s *platformtest.Specification) {
			for _, name := range without {
				s.Routes = platformtest.Without(s.Routes, name)
			}
		}})
	}
	configure(3, "book", "look")
	var plain, servers []*platformtest.Upstream
	for i := range 3 {
		plain = append(plain, platformtest.NewUpstream(store, platformtest.PlainService, "a", "", fmt.Sprint("i-plain", i+1)))
	}
	servers = append(servers, plain...)
	for i, from := range []int{0, 8} {
		u := platformtest.NewUpstream(store, platformtest.EngineService, "a", platformtest.Accelerator, fmt.Sprint("i-engine", i+1))
		u.KeepsLayers = true
		u.SetLayers(from, from+platformtest.Layers/2)
		servers = append(servers, u)
	}
	for _, u := range servers {
		defer u.Close()
	}
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
	r.line("configuration 5 adds the routes book and look")
	configure(5)
	time.Sleep(4 * time.Second)
	if trouble {
		for _, u := range plain {
			name := "inventory-" + u.Instance
			entry := map[string]any{"service": platformtest.PlainService, "address": u.Address, "zone": "a", "slots": 6, "state": "ready"}
			store.Put("servers", name, entry)
			r.line("another writer leaves the entry %s, which lacks version, seq, cold_left_ms and born: %v", name, entry)
		}
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	routes := map[string]*counts{"stream": {}, "book": {}, "look": {}}
	var clients sync.WaitGroup
	for _, g := range gateways {
		for kind, c := range routes {
			clients.Go(func() {
				for n := range 60 {
					time.Sleep(200 * time.Millisecond)
					id := fmt.Sprintf("%s-%s-%d", g.name, kind, n)
					method := "POST"
					if kind == "look" {
						method = "GET"
					}
					a := call(g, method, "/"+kind+"/x", id, "key", time.Second, 5, nil)
					r.line("%s: status %d, from a server %v, %q %v", id, a.status, platformtest.FromUpstream(a.header), strings.ReplaceAll(a.body[:min(len(a.body), 90)], "\n", " "), a.err)
					mu.Lock()
					c.sent++
					if a.err == nil && a.status == 200 {
						c.served++
					}
					mu.Unlock()
				}
			})
		}
	}
	clients.Wait()
	first := *routes["stream"]
	added := counts{routes["book"].sent + routes["look"].sent, routes["book"].served + routes["look"].served}
	for _, u := range plain {
		r.line("%s has run %d requests; it was sent %d in all, probes included", u.Instance, len(u.Requests()), len(u.Arrivals()))
	}
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
