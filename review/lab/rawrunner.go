package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"

	"lovageport.example/platform/platformtest"
)

// rawRunner is a runner of a plain service whose answers are written byte by byte.
type rawRunner struct {
	lab          *lab
	id, zone     string
	listener     net.Listener
	registration map[string]any
	// answer answers a request that the runner runs, and reports whether the connection
	// goes on.
	answer func(c *net.TCPConn, from *bufio.Reader, r *http.Request) bool

	mu    sync.Mutex
	conns map[*net.TCPConn]bool
}

// receiveBuffer is the size of the socket buffers of a runner, which make small windows.
const receiveBuffer = 64 << 10

// newRawRunner starts a runner and registers it.
func (l *lab) newRawRunner(id, zone string, answer func(c *net.TCPConn, from *bufio.Reader, r *http.Request) bool) (*rawRunner, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return set
	}}
	listener, err := config.Listen(l.context, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &rawRunner{lab: l, id: id, zone: zone, listener: listener, answer: answer, conns: make(map[*net.TCPConn]bool)}
	u.registration = map[string]any{
		"service": platformtest.PlainService, "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": 6,
		"state": "ready", wire.ColdLeft: 0, "seq": 1, "born": l.began.UnixMilli(),
	}
	l.store.Put("servers", id, u.registration)
	go u.serve()
	return u, nil
}

func (u *rawRunner) serve() {
	for {
		accepted, err := u.listener.Accept()
		if err != nil {
			return
		}
		c := accepted.(*net.TCPConn)
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				u.mu.Lock()
				delete(u.conns, c)
				u.mu.Unlock()
			}()
			u.converse(c)
		}()
	}
}

// converse serves one request after the other.
func (u *rawRunner) converse(c *net.TCPConn) {
	from := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		switch expected := r.Header.Get(wire.Expected); {
		case expected != "" && expected != u.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", id, wire.Instance, u.id)
			return
		case r.URL.Path == "/healthz":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.Instance, u.id)
			continue
		}
		u.lab.record("%s runs %s", u.id, id)
		if !u.answer(c, from, r) {
			return
		}
	}
}

// open returns the number of open connections.
func (u *rawRunner) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// crash ends the runner as the end of its process would: it stops to listen, and its
// connections are reset.
func (u *rawRunner) crash() {
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		// It fails only if the connection has ended.
		_ = c.SetLinger(0)
		c.Close()
	}
}
