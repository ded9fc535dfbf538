package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"lovageport.example/platform/platformtest"
)

// Kinds of calls. The kind is the first element of a call's path. Engines
// answer stream calls; plain services answer write calls, which are not
// idempotent, and read calls, which are.
const (
	streamKind = "stream"
	writeKind  = "book"
	readKind   = "look"
)

const (
	// callTimeout is the timeout that callers state in their calls.
	callTimeout = 3 * time.Second
	// plainServiceTimeout is the timeout of calls to plain services in the
	// configuration of the gateways.
	plainServiceTimeout = time.Second
	// streamEvents is the number of events in a stream, longStreamEvents the most
	// in runs with storms, where longCallTimeout is the timeout of streams.
	streamEvents     = 25
	longStreamEvents = 150
	longCallTimeout  = 10 * time.Second
	// maxCallInterval is the longest pause between two calls of a caller.
	maxCallInterval = 60 * time.Millisecond
	// refusedPause is how long a caller waits in runs with releases after a call whose
	// connection no process took. Otherwise these are most calls while a gateway drains.
	refusedPause = 300 * time.Millisecond
)

// call is one call and its outcome.
type call struct {
	id, kind, key string
	gateway       *gateway
	// variant is the set of routes that the call uses; empty for the stable ones.
	variant string
	// events is the number of events that a stream should have, timeout the timeout
	// that the call states.
	events  int
	timeout time.Duration
	// incarnation numbers the process of the gateway when the call was sent.
	// sameProcess is set if that was still the latest process when the call
	// ended.
	incarnation int
	sameProcess bool
	sent, ended time.Time
	// status is 0 if no response came. err is set if no response came or its
	// body was cut off.
	status int
	header http.Header
	body   string
	err    error
	// conn is the client's address of the last connection of the call.
	conn string
	// dialed is that connection itself.
	dialed *dialedConn
	// executions is the number of requests of the call that reached upstreams. The
	// checks set it.
	executions int
	// chunked is set if the body is sent in chunks, with bodyPause before its last byte.
	chunked   bool
	bodyPause time.Duration
	// resent holds when the client sent the call once more because its connection
	// had ended without an answer.
	resent []time.Time
}

// caller sends calls to one gateway, one after another. It uses a single
// connection and opens another only when that one is closed.
type caller struct {
	name    string
	gateway *gateway
	system  *system
	rng     *rand.Rand
	client  *http.Client
	// calls holds the calls that have ended.
	calls []*call
}

func newCaller(name string, g *gateway, s *system, rng *rand.Rand) *caller {
	transport := &http.Transport{
		DialContext:     dial,
		MaxConnsPerHost: 1,
	}
	return &caller{name: name, gateway: g, system: s, rng: rng, client: &http.Client{Transport: transport}}
}

// dialedConn is a client's connection that records when it ended.
type dialedConn struct {
	net.Conn
	mu      sync.Mutex
	endedAt time.Time
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: callTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &dialedConn{Conn: conn}, nil
}

// Read implements [io.Reader].
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.endedAt.IsZero() {
			c.endedAt = time.Now()
		}
	}
	return n, err
}

// untilEnd returns how long after it was sent a call that failed had its end. That of
// its connection counts if it came earlier, since the client reports it only once it has
// read a slow body.
func (k *call) untilEnd() time.Duration {
	took := k.ended.Sub(k.sent)
	if k.dialed == nil {
		return took
	}
	k.dialed.mu.Lock()
	defer k.dialed.mu.Unlock()
	if k.dialed.endedAt.IsZero() {
		return took
	}
	return min(took, k.dialed.endedAt.Sub(k.sent))
}

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		k := c.drawCall()
		c.send(k)
		c.calls = append(c.calls, k)
		if c.system.releases && k.status == 0 {
			time.Sleep(refusedPause)
		}
		time.Sleep(time.Duration(c.rng.Float64() * float64(maxCallInterval)))
	}
}

// drawCall draws the kind and the API key of the next call. The key is
// stableKey, or that of the newest configuration or the one before it.
func (c *caller) drawCall() *call {
	k := &call{id: fmt.Sprintf("%s-%d", c.name, len(c.calls)), gateway: c.gateway, key: stableKey, events: streamEvents, timeout: callTimeout}
	k.kind = []string{streamKind, writeKind, writeKind, readKind}[c.rng.IntN(4)]
	newest, before := c.system.recentKeys()
	switch c.rng.IntN(6) {
	case 0:
		k.key = newest
	case 1:
		if before != "" {
			k.key = before
		}
	}
	if c.system.storms {
		c.drawStormCall(k)
	}
	if c.system.releases && k.kind != readKind {
		c.drawChunkedBody(k)
	}
	return k
}

// drawStormCall draws the rest of a call in a run with storms: streams may be long,
// and a key that does not stay is used with the routes that come and go with it.
func (c *caller) drawStormCall(k *call) {
	if k.kind == streamKind {
		k.events, k.timeout = streamEvents+c.rng.IntN(longStreamEvents-streamEvents+1), longCallTimeout
	}
	if c.rng.IntN(4) == 0 {
		k.key = c.system.keptKey(c.rng.Float64())
	}
	if k.key != stableKey {
		k.variant = k.key
	}
}

func (k *call) path() string {
	if k.variant != "" {
		return "/" + k.kind + "-" + k.variant + "/" + k.id
	}
	return "/" + k.kind + "/" + k.id
}

// trace returns hooks that record the connection of the call, and when the client
// takes another one than the first.
func (k *call) trace() *httptrace.ClientTrace {
	first := true
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		k.conn = info.Conn.LocalAddr().String()
		k.dialed, _ = info.Conn.(*dialedConn)
		if !first {
			k.resent = append(k.resent, time.Now())
		}
		first = false
	}}
}

// send sends a call and records its outcome.
func (c *caller) send(k *call) {
	// Wait for longer than the stated timeout, to see how late a response is.
	ctx, cancel := context.WithTimeout(context.Background(), 2*k.timeout)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if k.kind != readKind {
		method, body = http.MethodPost, strings.NewReader("body of "+k.id)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway.callerProxy.Address+k.path(), body)
	if err != nil {
		k.err = err
		return
	}
	if k.chunked {
		r.Body, r.ContentLength, r.GetBody = io.NopCloser(&slowReader{text: "body of " + k.id, pause: k.bodyPause}), -1, nil
	}
	platformtest.SetCall(r, k.id, k.key, k.timeout, k.events)
	k.incarnation = c.gateway.incarnation()
	r = r.WithContext(httptrace.WithClientTrace(ctx, k.trace()))
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
	k.sameProcess = k.incarnation == c.gateway.incarnation()
}
