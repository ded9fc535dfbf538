package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"lovageport.example/internal/protocol/engine"
	"lovageport.example/internal/transport/httpclient"
)

// ProbeResult is the result of a health check on a new connection.
type ProbeResult uint8

// The probe results.
const (
	// ProbeAlive means that the upstream responded.
	ProbeAlive ProbeResult = iota
	// ProbeRefused means that the VM refused the connection: the process has
	// ended.
	ProbeRefused
	// ProbeUnanswered means that no response arrived, for example within
	// [ProbeTimeout].
	ProbeUnanswered
	// ProbeUnknown means that this process could not probe: it did not run all the
	// time, or lacked a resource.
	ProbeUnknown
)

// Probe checks the health of an engine on a new connection, so that a fault of an
// existing connection does not affect the result.
func (e *EngineClient) Probe(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	begin := time.Now()
	result := e.probe(ctx, address)
	if result == ProbeUnanswered && ctx.Err() != nil && e.Running.of(begin, time.Now()) < ProbeTimeout {
		return ProbeUnknown
	}
	return result
}

// Probe opens a connection to a plain service, within [ConnectTimeout]. It sends
// nothing, since a service has no call that may be made at any time.
func (s *ServiceClient) Probe(ctx context.Context, address string) ProbeResult {
	conn, err := s.dial(ctx, "tcp", address)
	if err != nil {
		return dialResult(err)
	}
	conn.Close()
	return ProbeAlive
}

// dialResult returns the result of a probe that could not connect.
func dialResult(err error) ProbeResult {
	var failed *connectError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProbeRefused
	case isLocal(err), errors.As(err, &failed) && failed.own:
		return ProbeUnknown
	}
	return ProbeUnanswered
}

func (e *EngineClient) probe(ctx context.Context, address string) ProbeResult {
	conn, err := e.Dial(ctx, "tcp", address)
	if err != nil {
		return dialResult(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+engine.HealthPath, nil)
	if err != nil {
		return ProbeUnanswered
	}
	request.Close = true
	if err := request.Write(conn); err != nil {
		return ProbeUnanswered
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, httpclient.MaxHeaderBytes)), request)
	if err != nil || httpclient.HeadFault(response) != "" {
		return ProbeUnanswered
	}
	response.Body.Close()
	return ProbeAlive
}
