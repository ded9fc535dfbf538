package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to a target. Its open connections can be silenced: nothing
// passes any more, in either direction, and neither end is told. New ones work.
type proxy struct {
	address, target string
	listener        net.Listener

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is a connection through a proxy.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
	// end is closed when the link must end.
	end chan struct{}
}

// newProxy starts a proxy on loopback.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, listener: listener, links: make(map[*link]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	k := &link{client: client, server: server, end: make(chan struct{})}
	p.mu.Lock()
	p.links[k] = struct{}{}
	p.mu.Unlock()
	var once sync.Once
	finish := func() {
		once.Do(func() {
			client.Close()
			server.Close()
			p.mu.Lock()
			delete(p.links, k)
			p.mu.Unlock()
		})
	}
	go func() { defer finish(); k.copy(server, client) }()
	go func() { defer finish(); k.copy(client, server) }()
}

// copy forwards what from sends until either end closes. On a silent link it discards it,
// and the end of one side does not reach the other.
func (k *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if k.silent.Load() {
			if err != nil {
				<-k.end
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// silence silences all open connections and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.links {
		k.silent.Store(true)
	}
	return len(p.links)
}

// close ends the proxy.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.links {
		select {
		case <-k.end:
		default:
			close(k.end)
		}
		k.client.Close()
		k.server.Close()
	}
}
