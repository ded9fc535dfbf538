package entry

import (
	"net"
	"net/http"
	"sync"
)

// busyConns counts the connections on which a request is being read, served or
// answered. Its zero value is ready to use.
type busyConns struct {
	mu sync.Mutex
	// busy is guarded by mu.
	busy map[net.Conn]bool
}

// observe follows the states of a server's connections.
func (b *busyConns) observe(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state != http.StateActive {
		delete(b.busy, conn)
		return
	}
	if b.busy == nil {
		b.busy = make(map[net.Conn]bool)
	}
	b.busy[conn] = true
}

// count returns how many connections are busy.
func (b *busyConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.busy)
}
