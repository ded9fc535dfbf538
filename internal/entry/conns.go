package entry

import (
	"net"
	"net/http"
	"sync"
)

// activeConns tracks the connections on which a request is being read, processed
// or answered. Its zero value is ready to use.
type activeConns struct {
	mu sync.Mutex
	// active is guarded by mu.
	active map[net.Conn]bool
}

// track records a change of a connection's state. It is meant for
// [http.Server.ConnState].
func (a *activeConns) track(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state != http.StateActive {
		delete(a.active, conn)
		return
	}
	if a.active == nil {
		a.active = make(map[net.Conn]bool)
	}
	a.active[conn] = true
}

// count returns the number of active connections.
func (a *activeConns) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.active)
}
