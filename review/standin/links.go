package main

import (
	"net"
	"sync/atomic"
)

// link is a connection that was accepted. Once it is silent, nothing that is written
// arrives, and nothing more is read.
type link struct {
	net.Conn
	silent atomic.Bool
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
