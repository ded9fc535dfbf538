package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a runner has received, other than health checks and
// requests that it answered with 421.
type arrival struct {
	id, runner string
	at         time.Time
}

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service, zone, address string
	slots                      int
	// events is the number of events of the streams by which requests are answered, one
	// after each eventTime; 0 for plain answers.
	events    int
	eventTime time.Duration
	// work is how long a request takes.
	work atomic.Int64

	record   *record
	listener net.Listener
	server   *http.Server
	busy     chan struct{}
	mu       sync.Mutex
	arrivals []arrival
	// ended is when the process ended; zero while it runs.
	ended time.Time
}

// healthPath is the path of the health checks of all services.
const healthPath = "/healthz"

func newRunner(rec *record, service, zone, id string, slots int, work time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, record: rec, listener: l, busy: make(chan struct{}, slots)}
	r.work.Store(int64(work))
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r, nil
}

// entry is what the runner writes into the store of itself.
func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": state, wire.ColdLeft: 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

// end ends the runner's process: its listener and all its connections.
func (r *runner) end() {
	r.mu.Lock()
	r.ended = time.Now()
	r.mu.Unlock()
	r.server.Close()
}

// running returns the number of requests at work.
func (r *runner) running() int { return len(r.busy) }

func (r *runner) arrived() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	at := time.Now()
	h := w.Header()
	if q.URL.Path == healthPath && q.Header.Get("Request-Id") == "" {
		h.Set(wire.InstanceID, r.id)
		return
	}
	id := q.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := q.Header.Get(wire.ExpectInstance); want != "" && want != r.id {
		h.Set(wire.InstanceID, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(q.Body)
	if id == "" {
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, r.id, at})
	r.mu.Unlock()
	timeout, _ := strconv.Atoi(q.Header.Get(wire.Timeout))
	deadline := time.After(time.Duration(timeout) * time.Millisecond)
	select {
	case r.busy <- struct{}{}:
	case <-deadline:
		h.Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.busy }()
	r.record.log("run", "%s runs %s %s %s, %d bytes", r.id, id, q.Method, q.URL.Path, len(body))
	if r.events > 0 {
		r.serveStream(w, q, id)
		return
	}
	select {
	case <-time.After(time.Duration(r.work.Load())):
	case <-deadline:
		h.Set(wire.OriginStamp, r.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-q.Context().Done():
		r.record.log("dropped", "%s drops %s: its connection has ended", r.id, id)
		return
	}
	answer := strings.Repeat(fmt.Sprintf("%s by %s\n", id, r.id), 20)
	h.Set(wire.OriginStamp, r.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(w, answer)
	r.record.log("ran", "%s ends %s", r.id, id)
}
