package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// links is a listener whose open connections can go silent for good, without a reset,
// while new ones work.
type links struct {
	net.Listener

	mu   sync.Mutex
	open []*link
}

// link is a connection that was accepted. Once it is silent, nothing that is written
// arrives, and nothing more is read.
type link struct {
	net.Conn
	silent atomic.Bool
}

func (l *links) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &link{Conn: c}
	l.mu.Lock()
	l.open = append(l.open, k)
	l.mu.Unlock()
	return k, nil
}

// silence makes all open connections silent.
func (l *links) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.open {
		k.silent.Store(true)
	}
	l.open = nil
}

func (k *link) Read(p []byte) (int, error) {
	for {
		n, err := k.Conn.Read(p)
		if !k.silent.Load() || err != nil {
			return n, err
		}
	}
}

func (k *link) Write(p []byte) (int, error) {
	if k.silent.Load() {
		return len(p), nil
	}
	return k.Conn.Write(p)
}

// Close leaves a silent connection open: its other end must not notice.
func (k *link) Close() error {
	if k.silent.Load() {
		return nil
	}
	return k.Conn.Close()
}
