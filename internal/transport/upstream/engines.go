// Package upstream calls upstreams: model engines and plain services.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/httpclient"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Timeouts and limits of calls to engines.
const (
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout = 500 * time.Millisecond
	// SilenceTimeout is the time without a frame or heartbeat after which a stage
	// of a chain is suspected to have failed.
	SilenceTimeout = 700 * time.Millisecond
	// ProbeTimeout limits a probe, including the time to connect.
	ProbeTimeout = 300 * time.Millisecond
	// maxRefusalBytes limits the body of a refusal.
	maxRefusalBytes = 4 << 10
	// streamBufferBytes is the size of a stream's read buffer.
	streamBufferBytes = 4 << 10
	maxIdlePerHost    = 64
)

// EngineClient runs attempts on chains of engines.
type EngineClient struct {
	// Dial opens the connections of probes.
	Dial DialFunc
	// Running returns how much of a span this process ran.
	Running RunningFunc

	client *http.Client
}

// NewEngineClient returns a client that connects with dial, or with a net.Dialer
// if dial is nil.
func NewEngineClient(dial DialFunc) *EngineClient {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	e := &EngineClient{Dial: dial}
	e.client = &http.Client{Transport: httpclient.Transport{Transport: &http.Transport{
		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
		DialContext:            limitDial(dial, &e.Running),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
	}}}
	return e
}

// Close closes idle connections.
func (e *EngineClient) Close() { e.client.CloseIdleConnections() }

// post sends an attempt to the engine at address.
func (e *EngineClient) post(ctx context.Context, address string, body []byte) (*http.Response, error) {
	// The type of the body hides from net/http how to rewind it, so that it never
	// sends an attempt twice.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engine.RunPath, reader)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return e.client.Do(request)
}
