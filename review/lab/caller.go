package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"lovageport.example/platform/platformtest"
)

// call is a request of a client and its outcome.
type call struct {
	id, gateway, path string
	sent, ended       time.Time
	// status is 0 if no answer came.
	status int
	header http.Header
	body   string
	err    error
}

var lastCall atomic.Int64

// newID returns the ID of a new request.
func newID() string { return fmt.Sprintf("%016x", lastCall.Add(1)) }

// send sends a request over a new connection.
func (l *lab) send(g *gateway, method, path, key string, timeout time.Duration) *call {
	if method == http.MethodGet {
		return l.exchange(g, method, path, key, nil, timeout)
	}
	return l.exchange(g, method, path, key, []byte("a short body"), timeout)
}

// sendBody sends a POST request with a body over a new connection.
func (l *lab) sendBody(g *gateway, path, key string, body []byte, timeout time.Duration) *call {
	return l.exchange(g, http.MethodPost, path, key, body, timeout)
}

// exchange sends a request over a new connection and reads the answer.
func (l *lab) exchange(g *gateway, method, path, key string, text []byte, timeout time.Duration) *call {
	c := &call{id: newID(), gateway: g.name, path: path}
	ctx, cancel := context.WithTimeout(l.context, timeout+time.Second)
	defer cancel()
	var body io.Reader
	if text != nil {
		// The client must not be able to send the body again by itself.
		body = struct{ io.Reader }{bytes.NewReader(text)}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.callers+path, body)
	if err != nil {
		c.err = err
		return c
	}
	r.ContentLength = int64(len(text))
	platformtest.SetCall(r, c.id, key, timeout, 10)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c.sent = time.Now()
	response, err := transport.RoundTrip(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
		c.status, c.header, c.body = response.StatusCode, response.Header, string(text)
	}
	c.err, c.ended = err, time.Now()
	l.record("%s %s %s with %d bytes at %s, sent %s: status %d, %v, stamp %q, %d bytes, %.40q", c.id, method, path, len(text), g.name, l.since(c.sent), c.status, c.err, c.header.Get(wire.Origin), len(c.body), strings.TrimSpace(c.body))
	return c
}

// sendEvery sends requests to a gateway one after the other, at an interval, until stop is
// closed.
func (l *lab) sendEvery(g *gateway, interval time.Duration, stop <-chan struct{}, next func() *call) []*call {
	var calls []*call
	for {
		select {
		case <-stop:
			return calls
		case <-time.After(interval):
			calls = append(calls, next())
		}
	}
}
