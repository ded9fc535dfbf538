package main

import (
	"fmt"
	"net/http"
	"time"

	"lovageport.example/platform/platformtest"
)

func init() { cases["odd-entry"] = oddEntry }

const (
	// laterService and laterRoute are added by a later version.
	laterService = "kasse"
	laterRoute   = "till"
	// settleTime is how long the gateways run before and after the odd entry is written.
	settleTime = 5 * time.Second
	// steadyTries is the number of requests on each route.
	steadyTries = 100
)

// oddEntry has another writer leave an entry whose service the configuration does not name,
// with the address of the only runner of a service that a later version has added. The
// entry names no runner, so that requests on the later route are served like the others.
func oddEntry(l *lab, trouble bool) ([]string, error) {
	configuration := platformtest.Configuration{Version: 1, Keys: []string{apiKey}, StreamAttempts: 2}
	l.store.Configure(configuration)
	first := platformtest.NewUpstream(l.store, platformtest.PlainService, "wien", "", "i-001")
	defer first.Close()
	defer l.recordRuns(first)
	if err := l.startFleet(l.directStore); err != nil {
		return nil, err
	}
	later := platformtest.NewUpstream(l.store, laterService, "graz", "", "i-002")
	defer later.Close()
	defer l.recordRuns(later)
	configuration.Version = 2
	configuration.Edit = func(s *platformtest.Specification) {
		s.Services = append(s.Services, map[string]any{"name": laterService, "health_path": "/healthz", "max_conns": 96})
		s.Routes = append(s.Routes, map[string]any{
			"name": laterRoute, "host": platformtest.Host, "path_prefix": "/" + laterRoute + "/", "kind": "idempotent", "service": laterService,
			"timeout_ms": 1000, "goal_ms": 500, "priority": 1, "attempts": 2,
		})
	}
	l.store.Configure(configuration)
	l.record("version 2 adds the route /%s/ to %s", laterRoute, laterService)
	time.Sleep(settleTime)
	if trouble {
		l.store.Put("servers", "spare-7", map[string]any{
			"service": "retired", "address": later.Address, "zone": "graz", "version": "v0", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
		})
		l.record("another writer leaves an entry of a service that no version names, with the address of %s", later.Instance)
	}
	time.Sleep(settleTime)
	served := make(map[string]int)
	for i := range steadyTries {
		for _, path := range []string{"/look/", "/" + laterRoute + "/"} {
			c := l.get(l.gateways[i%len(l.gateways)], path+"1", apiKey)
			if c.status == http.StatusOK && c.err == nil {
				served[path]++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.record("served of %d on each route: %v", steadyTries, served)
	onFirst, onLater := served["/look/"], served["/"+laterRoute+"/"]
	if onFirst < steadyTries*9/10 {
		return nil, fmt.Errorf("only %d of %d requests on the first route were served", onFirst, steadyTries)
	}
	if 4*onLater < onFirst {
		return []string{fmt.Sprintf("in steady state %d of %d requests on the route added later were served, and %d of %d on the first route", onLater, steadyTries, onFirst, steadyTries)}, nil
	}
	return nil, nil
}
