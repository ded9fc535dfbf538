package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/httpclient"
	"lovageport.example/pkg/verdict"
)

// AttemptHeader carries the ID of an attempt to a plain service, which may echo
// it in its response.
const AttemptHeader = "Lovageport-Attempt"

// Limits of the response bodies of plain services, which are held whole.
const (
	// MaxResponseBytes limits one body.
	MaxResponseBytes = 8 << 20
	// defaultResponseMemory limits what the bodies of a client take together, in bytes,
	// unless LimitMemory sets another limit. The first [buffer.FreeBytes] of each do
	// not count.
	defaultResponseMemory = 64 << 20
)

// ServiceCall is one attempt to call a plain service.
type ServiceCall struct {
	Upstream string
	Address  string
	Method   string
	// Path is the path with the query string.
	Path   string
	Header http.Header
	Body   []byte
	// Attempt is the ID of this attempt.
	Attempt string
	// Repeatable reports whether the call is idempotent.
	Repeatable bool
	// EchoesAttempt reports whether the response must echo Attempt.
	EchoesAttempt bool
	// BeforeSend is called right before the first byte is sent, if not nil, and
	// for a call with a connection of its own only once that is open. An error
	// prevents the call and is returned.
	BeforeSend func() error
}

// ownConnection reports whether the call needs a connection that carries no other
// call: it must not be sent twice, or its response cannot be told from that of
// another call, which a service may write once more.
func (c *ServiceCall) ownConnection() bool { return !c.Repeatable || !c.EchoesAttempt }

// Response is the whole response of a plain service. It must be released.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	share *buffer.Share
}

// Release returns the memory of the body, which is no longer held.
func (r *Response) Release() { r.share.Release() }

// ServiceClient calls plain services.
type ServiceClient struct {
	// Running returns how much of a span this process ran.
	Running RunningFunc

	pooled *http.Client
	dial   DialFunc
	// memory bounds the bodies of responses.
	memory buffer.Budget
}

// NewServiceClient returns a client that connects with dial, or with a net.Dialer
// if dial is nil.
func NewServiceClient(dial DialFunc) *ServiceClient {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	s := &ServiceClient{memory: buffer.Budget{Max: defaultResponseMemory}}
	s.dial = limitDial(dial, &s.Running)
	s.pooled = newServiceClient(&http.Transport{
		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
		DialContext:            s.dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
	})
	return s
}

// LimitMemory limits what the bodies of responses take together, in bytes. It must not be
// called after the first call.
func (s *ServiceClient) LimitMemory(bytes int64) { s.memory.Max = bytes }

func newServiceClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: httpclient.Transport{Transport: transport},
		// A redirect is returned to the caller: following it would make a call
		// that the configuration does not declare.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (s *ServiceClient) Close() { s.pooled.CloseIdleConnections() }

// Do makes a call and returns the whole response. The error is a [verdict.Error],
// or the one that c.BeforeSend returned.
func (s *ServiceClient) Do(ctx context.Context, c *ServiceCall) (*Response, error) {
	client := s.pooled
	if c.ownConnection() {
		fresh, err := s.freshClient(ctx, c)
		if err != nil {
			return nil, err
		}
		defer fresh.CloseIdleConnections()
		client = fresh
	} else if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			return nil, err
		}
	}
	request, err := newServiceRequest(ctx, c)
	if err != nil {
		return nil, verdict.Refuse(verdict.BadRequest, "call can't be encoded: %v", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, callError(c, err)
	}
	defer response.Body.Close()
	return s.readResponse(c, response)
}

// freshClient returns a client with a single new connection. When a reused connection breaks, net/http resends a
// request that it considers idempotent, which includes any with an
// Idempotency-Key header. It does not resend on a new connection, and this
// client cannot open a second one.
func (s *ServiceClient) freshClient(ctx context.Context, c *ServiceCall) (*http.Client, error) {
	conn, err := s.dial(ctx, "tcp", c.Address)
	if err != nil {
		return nil, callError(c, err)
	}
	if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			conn.Close()
			return nil, err
		}
	}
	used := false
	return newServiceClient(&http.Transport{
		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used {
				return nil, errors.New("upstream: only one connection per call is allowed")
			}
			used = true
			return conn, nil
		},
	}), nil
}

func newServiceRequest(ctx context.Context, c *ServiceCall) (*http.Request, error) {
	var body io.Reader
	if len(c.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(c.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, body)
	if err != nil {
		return nil, err
	}
	request.Header = c.Header.Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	request.Header.Set(AttemptHeader, c.Attempt)
	request.ContentLength = int64(len(c.Body))
	return request, nil
}

// callError returns the verdict on a failed call. The call is certain not to have
// run only if no connection was made.
func callError(c *ServiceCall, err error) *verdict.Error {
	var connectErr *connectError
	if errors.As(err, &connectErr) {
		return connectErr.verdict(c.Upstream, err)
	}
	if errors.Is(err, httpclient.ErrMalformedHead) {
		return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamProtocol, Upstream: c.Upstream, Err: err}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamSilent, Upstream: c.Upstream, Err: err}
	}
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamLost, Upstream: c.Upstream, Err: err}
}

// readResponse reads the whole response. It rejects one that may be truncated,
// because its length is not given, or that may belong to another call. If the responses
// of all calls take all memory that they may, the call may have run.
func (s *ServiceClient) readResponse(c *ServiceCall, response *http.Response) (*Response, error) {
	protocolError := func(format string, args ...any) error {
		return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamProtocol, Upstream: c.Upstream, Message: fmt.Sprintf(format, args...)}
	}
	echoed := response.Header.Values(AttemptHeader)
	if c.EchoesAttempt && len(echoed) == 0 || slices.ContainsFunc(echoed, func(id string) bool { return id != c.Attempt }) {
		return nil, protocolError("answer to another attempt")
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, protocolError("answer without length")
	}
	share := &buffer.Share{Budget: &s.memory}
	body, err := buffer.ReadAll(response.Body, response.ContentLength, MaxResponseBytes, share)
	if err == nil {
		return &Response{response.StatusCode, response.Header, body, share}, nil
	}
	share.Release()
	switch {
	case errors.Is(err, buffer.ErrTooLarge):
		return nil, protocolError("answer above %d bytes", MaxResponseBytes)
	case errors.Is(err, buffer.ErrExhausted):
		return nil, &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.AnswerMemoryFull, Message: "the answers of services take all memory that they may", Err: err}
	}
	return nil, callError(c, err)
}
