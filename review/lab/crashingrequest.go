package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovageport.example/platform/platformtest"
)

func init() { cases["crashing-request"] = crashingRequest }

const (
	// engineCount is the number of engines, each of which holds a half of the layers.
	engineCount = 8
	// downTime is how long an engine that has crashed is down.
	downTime = 3 * time.Second
	// tokenTime is how long after the stages of a request are set its first token is made.
	tokenTime = 30 * time.Millisecond
	// stallTime is how long an engine waits for a stage that does not answer: stall_ms.
	stallTime = 3 * time.Second
	// sendFor is how long the request comes again, and sendGap the pause between two.
	sendFor = 40 * time.Second
	sendGap = 500 * time.Millisecond
	// crashesBefore and lateRetries are the bounds of the rule.
	crashesBefore = 3
	lateRetries   = 3
)

// engines are the engines of a service, of which some crash.
type engines struct {
	lab *lab
	// trouble is set if the request crashes engines.
	trouble bool

	mu sync.Mutex
	// byAddress holds the engines that run, and started counts all.
	byAddress map[string]*platformtest.Upstream
	started   int
	// crashes holds when engines crashed, and arrivals when the request reached one.
	crashes, arrivals []time.Time
}

// start starts an engine, which holds no layers.
func (e *engines) start(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started++
	u := platformtest.NewUpstream(e.lab.store, platformtest.EngineService, zone, platformtest.Accelerator, fmt.Sprintf("i-%03d", e.started))
	u.EventInterval = 50 * time.Millisecond
	u.Handler = func(w http.ResponseWriter, r *http.Request, req platformtest.Request) { e.run(u, w, r, req) }
	e.byAddress[u.Address] = u
}

// crash ends the engine at an address, which another one replaces after a while.
func (e *engines) crash(address, request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.byAddress[address]
	if u == nil {
		return
	}
	delete(e.byAddress, address)
	e.crashes = append(e.crashes, time.Now())
	e.lab.record("%s crashes as it makes the first token of %s", u.Instance, request)
	go u.Close()
	time.AfterFunc(expiryTime, func() { e.lab.store.Remove("servers", u.Instance) })
	time.AfterFunc(downTime, func() { e.start(u.Zone) })
}

// run runs a request as its first engine. The last engine of its chain makes the tokens.
func (e *engines) run(u *platformtest.Upstream, w http.ResponseWriter, r *http.Request, req platformtest.Request) {
	if !strings.HasSuffix(r.URL.Path, "/crashing") {
		u.StreamEvents(w, r, req, -1)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	e.mu.Unlock()
	e.lab.record("%s gets %s over %s", u.Instance, req.ID, req.Chain)
	if !e.trouble {
		u.StreamEvents(w, r, req, -1)
		return
	}
	chain := req.Chain
	for end := time.Now().Add(stallTime); time.Now().Before(end) && r.Context().Err() == nil; {
		if ordered := u.OrderedChain(req.ID); ordered != "" && ordered != chain {
			chain = ordered
			e.lab.record("%s is ordered to go on with %s over %s", u.Instance, req.ID, chain)
			end = time.Now().Add(stallTime)
		}
		time.Sleep(tokenTime)
		e.crash(lastStage(chain), req.ID)
	}
	w.Header().Set(wire.NotRun, "1")
	w.Header().Set(wire.Fault, lastStage(chain))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// lastStage returns the address of the last stage of a chain.
func lastStage(chain string) string {
	address, _, _ := strings.Cut(chain[strings.LastIndexByte(chain, ',')+1:], "=")
	return address
}

// closeAll ends all engines.
func (e *engines) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range e.byAddress {
		u.Close()
	}
}

// crashingRequest sends a request again and again, with the same path, caller and body, that
// crashes each engine that makes its first token. It must not go on to reach engines.
func crashingRequest(l *lab, trouble bool) ([]string, error) {
	l.store.Configure(platformtest.Configuration{Version: 1, Keys: []string{apiKey}, StreamAttempts: 2, StreamPause: 200 * time.Millisecond})
	e := &engines{lab: l, trouble: trouble, byAddress: make(map[string]*platformtest.Upstream)}
	defer e.closeAll()
	for i := range engineCount {
		e.start(zones[i%len(zones)])
	}
	if err := l.startFleet(l.directStore); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	served, sound := 0, 0
	for i, end := 0, time.Now().Add(sendFor); time.Now().Before(end); i++ {
		g := l.gateways[i%len(l.gateways)]
		l.send(g, http.MethodPost, "/stream/crashing", apiKey, 3*time.Second)
		if c := l.send(g, http.MethodPost, fmt.Sprintf("/stream/sound-%d", i), apiKey, 3*time.Second); c.status == http.StatusOK && c.err == nil {
			served++
		}
		sound++
		time.Sleep(sendGap)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.record("crashes: %d; the request reached first engines %d times; of %d sound requests %d were served", len(e.crashes), len(e.arrivals), sound, served)
	if served < sound/2 && !trouble {
		return nil, fmt.Errorf("%d of %d sound requests served", served, sound)
	}
	if len(e.crashes) < crashesBefore {
		return nil, nil
	}
	var late []string
	for _, at := range e.arrivals {
		if after := at.Sub(e.crashes[crashesBefore-1]); after > stableWindow {
			late = append(late, fmt.Sprintf("the request reached an engine %v after it had crashed the third, of %d in all", after.Round(time.Millisecond), len(e.crashes)))
		}
	}
	if len(late) <= lateRetries {
		return nil, nil
	}
	return late, nil
}
