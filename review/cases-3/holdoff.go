package main

import (
	_ "embed"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovageport.example/platform/platformtest"
)

// notRunField is the header field by which a server states that it has not run a request. The
// platform's names stay out of the sources.
//
//go:embed notrun.txt
var notRunField string

// Times of the case.
const (
	// holdOff is what the overloaded servers state as Retry-After, in seconds, and answerTime
	// how long they take to refuse a request.
	holdOff    = 20
	answerTime = 20 * time.Millisecond
	// The entry of a server that is cut off from the store expires after three heartbeats, and
	// is written again once the cut has ended.
	expiry, absent = 3600 * time.Millisecond, 1400 * time.Millisecond
	// excused is how long after a refusal requests may still arrive.
	excused = 500 * time.Millisecond
)

// asked are the refusals of one server to one gateway.
type asked struct {
	first time.Time
	late  int
}

// overload makes a server refuse all requests and records those that it gets.
type overload struct {
	server *platformtest.Upstream
	r      *record

	mu   sync.Mutex
	from map[string]*asked
}

func (o *overload) refuse(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	gateway, _, _ := strings.Cut(id, "/")
	now := time.Now()
	time.Sleep(answerTime)
	o.r.line("%s refuses %s", o.server.Instance, id)
	o.mu.Lock()
	a := o.from[gateway]
	switch {
	case a == nil:
		a = &asked{first: time.Now()}
		o.from[gateway] = a
	case now.After(a.first.Add(excused)) && now.Before(a.first.Add(holdOff*time.Second)):
		a.late++
		o.r.line("%s gets %s, %.3f s after its first 503 with Retry-After: %d to %s", o.server.Instance, id, now.Sub(a.first).Seconds(), holdOff, gateway)
	}
	o.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set(strings.TrimSpace(notRunField), "1")
	w.Header().Set("Retry-After", fmt.Sprint(holdOff))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// playHoldOff has the entry of an overloaded server expire and return.
func playHoldOff(dir string, r *record) (int, error) {
	store := platformtest.NewStore()
	defer store.Close()
	store.Configure(platformtest.Configuration{Version: 3, Keys: []string{"key"}, StreamAttempts: 2})
	var servers []*overload
	for i := range 3 {
		u := platformtest.NewUpstream(store, platformtest.PlainService, "a", "", fmt.Sprint("i-plain", i+1))
		defer u.Close()
		servers = append(servers, &overload{server: u, r: r, from: make(map[string]*asked)})
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
	for _, o := range servers {
		o.server.AnswerEarly(o.refuse)
	}
	r.line("all servers refuse requests: 503, Not-Executed, Retry-After: %d", holdOff)
	time.Sleep(time.Second)
	if trouble {
		r.line("%s is cut off from the store", servers[0].server.Instance)
		time.Sleep(expiry)
		servers[0].server.Unregister()
		r.line("its entry expires")
		time.Sleep(absent)
		servers[0].server.Register("ready")
		r.line("the cut has ended, its entry is back")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	r.line("answers, by status: %v", answers)
	most := 0
	for _, o := range servers {
		for _, q := range o.server.Requests() {
			r.line("%s has run %s at %.3f", o.server.Instance, q.ID, q.At.Sub(r.began).Seconds())
		}
		o.mu.Lock()
		for gateway, a := range o.from {
			r.line("%s: %d requests from %s in the time for which it asked for none, without the first half second", o.server.Instance, a.late, gateway)
			most = max(most, a.late)
		}
		o.mu.Unlock()
	}
	if len(servers[0].from) == 0 {
		return 0, fmt.Errorf("no request was refused")
	}
	r.line("at most %d requests from a gateway; 2 are allowed", most)
	if most > 2 {
		return broken, nil
	}
	return held, nil
}
