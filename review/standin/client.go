package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes, and apiKey the key of the tenant.
const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// attempt is one attempt of a client.
type attempt struct {
	id, path string
	sent     time.Time
	status   int
	stamp    string
	body     string
	err      error
	answered time.Time
}

// clients send requests at a steady rate.
type clients struct {
	record       *record
	gateways     []*gateway
	prefix       string
	http         *http.Client
	turn, number atomic.Int64

	mu       sync.Mutex
	attempts []attempt
	running  sync.WaitGroup
}

func newClients(rec *record, gateways []*gateway, prefix string) *clients {
	return &clients{record: rec, gateways: gateways, prefix: prefix, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// keep has the clients keep connections for further requests.
func (c *clients) keep() {
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
}

// pick returns the next gateway that the platform has in rotation; if there is none, any.
func (c *clients) pick() *gateway {
	n := int(c.turn.Add(1))
	for i := range c.gateways {
		if g := c.gateways[(n+i)%len(c.gateways)]; g.ready.Load() {
			return g
		}
	}
	return c.gateways[n%len(c.gateways)]
}

// send makes one attempt, which ends within the time that the client waits.
func (c *clients) send(method, path, body string, timeout time.Duration) attempt {
	g := c.pick()
	a := attempt{id: fmt.Sprintf("%s%014x", c.prefix, c.number.Add(1)), path: path, sent: time.Now()}
	r, err := http.NewRequest(method, "http://"+g.callers+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	// The HTTP library must send none twice.
	r.GetBody = nil
	r.Header.Set("Request-Id", a.id)
	r.Header.Set(wire.Timeout, fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Accept-Encoding", "identity")
	client := *c.http
	client.Timeout = timeout + 500*time.Millisecond
	c.record.log("sent", "%s %s %s to %s", a.id, method, path, g.name)
	resp, err := client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.stamp, a.body = resp.StatusCode, resp.Header.Get(wire.OriginStamp), string(text)
	}
	a.err, a.answered = err, time.Now()
	switch {
	case err != nil:
		c.record.log("failed", "%s after %.3f s: %v", a.id, a.answered.Sub(a.sent).Seconds(), errors.Unwrap(err))
	default:
		c.record.log("answered", "%s %d stamp %q %s", a.id, a.status, a.stamp, firstLine(a.body))
	}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

func firstLine(s string) string { line, _, _ := strings.Cut(s, "\n"); return line }

// run sends requests at a rate per second until done is closed.
func (c *clients) run(done <-chan struct{}, perSecond int, send func()) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			c.running.Go(send)
		}
	}
}

func (c *clients) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
