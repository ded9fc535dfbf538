package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"lovageport.example/platform/platformtest"
)

// Kinds of calls, by the first part of their path.
const (
	streamKind = "stream"
	bookKind   = "book"
	lookKind   = "look"
)

// What callers do.
const (
	// callWait is how long a caller waits for an answer.
	callWait = 3 * time.Second
	// plainWait is how long the configuration lets a plain call take.
	plainWait = time.Second
	// streamEvents is how many events a stream has.
	streamEvents = 25
	// maxCallPause is the longest pause between two calls of a caller.
	maxCallPause = 60 * time.Millisecond
)

// call is one call and what became of it.
type call struct {
	id, kind, key string
	gateway       *gateway
	// incarnation is that of the gateway when the call was sent, and lasted
	// says that it was the same when it ended.
	incarnation int
	lasted      bool
	sent, ended time.Time
	// status is 0 if no answer came; err says that there was none, or that it
	// was cut.
	status int
	header http.Header
	body   string
	err    error
}

// caller sends calls to one gateway, one after another, over one connection as
// long as that holds.
type caller struct {
	name    string
	gateway *gateway
	site    *site
	random  *rand.Rand
	client  *http.Client
	// calls are those that have ended.
	calls []*call
}

func newCaller(name string, g *gateway, s *site, random *rand.Rand) *caller {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: callWait}).DialContext,
		MaxConnsPerHost: 1,
	}
	return &caller{name: name, gateway: g, site: s, random: random, client: &http.Client{Transport: transport}}
}

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		k := c.next()
		c.send(k)
		c.calls = append(c.calls, k)
		time.Sleep(time.Duration(c.random.Float64() * float64(maxCallPause)))
	}
}

// next draws a call.
func (c *caller) next() *call {
	k := &call{id: fmt.Sprintf("%s-%d", c.name, len(c.calls)), gateway: c.gateway, key: stableKey}
	k.kind = []string{streamKind, bookKind, bookKind, lookKind}[c.random.IntN(4)]
	newest, before := c.site.recentKeys()
	switch c.random.IntN(6) {
	case 0:
		k.key = newest
	case 1:
		if before != "" {
			k.key = before
		}
	}
	return k
}

func (k *call) path() string { return "/" + k.kind + "/" + k.id }

// send sends a call and takes the answer.
func (c *caller) send(k *call) {
	// The caller itself waits for longer than it says, to see how late an
	// answer is.
	ctx, cancel := context.WithTimeout(context.Background(), 2*callWait)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if k.kind != lookKind {
		method, body = http.MethodPost, strings.NewReader("body of "+k.id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway.callers.Address+k.path(), body)
	if err != nil {
		k.err = err
		return
	}
	platformtest.SetCall(r, k.id, k.key, callWait, streamEvents)
	k.incarnation = c.gateway.incarnation()
	k.sent = time.Now()
	response, err := c.client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		response.Body.Close()
		k.status, k.header, k.body = response.StatusCode, response.Header, string(text)
	}
	k.err = err
	k.ended = time.Now()
	k.lasted = k.incarnation == c.gateway.incarnation()
}
