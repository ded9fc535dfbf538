package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"lovageport.example/platform/platformtest"
)

// Figures of the case.
const (
	// serverLimit is how many requests a second each server takes, by its Server-Limit, and
	// workTime how long it works on one.
	serverLimit = 2.0
	workTime    = 60 * time.Millisecond
	// limitWindow is the window of the rule, limitFactor and limitExtra what it allows beside the
	// limit, and limitStart from when on it counts, after a server first named its limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitStart  = 3 * time.Second
)

// arrivals are the requests that a server has got since it first named a limit.
type arrivals struct {
	mu    sync.Mutex
	first time.Time
	at    []time.Time
}

// arrive records a request; named is set if the server names a limit.
func (a *arrivals) arrive(named bool) {
	if !named {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.first.IsZero() {
		a.first = time.Now()
	}
	a.at = append(a.at, time.Now())
}

// most returns the largest number of arrivals in a window that counts, and when that began.
func (a *arrivals) most() (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	best, when := 0, time.Time{}
	for i, began := range a.at {
		if began.Sub(a.first) < limitStart {
			continue
		}
		n := 0
		for _, at := range a.at[i:] {
			if at.Sub(began) < limitWindow {
				n++
			}
		}
		if n > best {
			best, when = n, began
		}
	}
	return best, when
}

// playLimitLapse has the entry of a server that names a limit expire and return.
func playLimitLapse(dir string, r *record) (int, error) {
	store := platformtest.NewStore()
	defer store.Close()
	store.Configure(platformtest.Configuration{Version: 3, Keys: []string{"key"}, StreamAttempts: 2})
	var servers []*platformtest.Upstream
	got := make(map[string]*arrivals)
	// named is set once the servers name their limits.
	var named atomic.Bool
	for i := range 3 {
		u := platformtest.NewUpstream(store, platformtest.PlainService, "a", "", fmt.Sprint("i-plain", i+1))
		defer u.Close()
		a := &arrivals{}
		got[u.Instance] = a
		u.OnBody = func([]byte) {
			a.arrive(named.Load())
			time.Sleep(workTime)
		}
		servers = append(servers, u)
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
	var mu sync.Mutex
	answers := make(map[int]int)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, g := range gateways {
		for k := range 25 {
			clients.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					a := call(g, "GET", "/look/x", fmt.Sprintf("%s/%d/%d", g.name, k, n), "key", time.Second, 1, nil)
					r.line("%s/%d/%d is answered %d, from a server %v, %v", g.name, k, n, a.status, platformtest.FromUpstream(a.header), a.err)
					mu.Lock()
					answers[a.status]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	r.line("answers so far, by status: %v", answers)
	named.Store(true)
	for _, u := range servers {
		u.SetLimit(fmt.Sprint(serverLimit))
	}
	r.line("all servers name a limit of %v", serverLimit)
	time.Sleep(5 * time.Second)
	if trouble {
		r.line("%s is cut off from the store", servers[0].Instance)
		time.Sleep(expiry)
		servers[0].Unregister()
		r.line("its entry expires")
		time.Sleep(absent)
		servers[0].Register("ready")
		r.line("the cut has ended, its entry is back")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	r.line("answers, by status: %v", answers)
	allowed := int(limitFactor*serverLimit*limitWindow.Seconds()) + limitExtra
	code := held
	for _, u := range servers {
		for _, q := range u.Requests() {
			r.line("%s has run %s at %.3f", u.Instance, q.ID, q.At.Sub(r.began).Seconds())
		}
		n, when := got[u.Instance].most()
		r.line("%s: at most %d requests in %v, from %.3f s on; %d are allowed", u.Instance, n, limitWindow, when.Sub(r.began).Seconds(), allowed)
		if n > allowed {
			code = broken
		}
	}
	return code, nil
}
