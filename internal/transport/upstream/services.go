package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"lovageport.example/internal/transport/call"
	"lovageport.example/pkg/verdict"
)

// AttemptHeader carries the ID of an attempt to a plain service, which may
// send it back.
const AttemptHeader = "Lovageport-Attempt"

// MaxAnswerBytes bounds the answer of a plain service.
const MaxAnswerBytes = 8 << 20

// Call is one call of a plain service.
type Call struct {
	Upstream string
	Address  string
	Method   string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
	// Attempt names this try.
	Attempt string
	// Repeatable says that running the call twice does no harm.
	Repeatable bool
	// EchoesAttempt says that the answer must name the attempt.
	EchoesAttempt bool
	// MaySend is asked on the ready connection, right before the first byte.
	// Nil allows.
	MaySend func() error
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Services calls plain services.
type Services struct {
	pooled *http.Client
	dial   Dialer
}

// NewServices returns Services that connect with dial; nil for the network's.
func NewServices(dial Dialer) *Services {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Services{
		dial: limitDial(dial),
		pooled: newServiceClient(&http.Transport{
			MaxResponseHeaderBytes: call.MaxHeadBytes,
			DialContext:            limitDial(dial),
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     true,
		}),
	}
}

func newServiceClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		// A redirect goes back to the caller: following it would run a call
		// that nobody declared.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (s *Services) Close() { s.pooled.CloseIdleConnections() }

// Do makes a call and returns its whole answer. An error carries a verdict.
func (s *Services) Do(ctx context.Context, c *Call) (*Answer, error) {
	client := s.pooled
	if !c.Repeatable {
		fresh, err := s.freshClient(ctx, c)
		if err != nil {
			return nil, err
		}
		defer fresh.CloseIdleConnections()
		client = fresh
	} else if c.MaySend != nil {
		if err := c.MaySend(); err != nil {
			return nil, err
		}
	}
	request, err := newServiceRequest(ctx, c)
	if err != nil {
		return nil, verdict.Refuse(verdict.BadRequest, "call can't be encoded: %v", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, explain(c, err)
	}
	defer response.Body.Close()
	return readAnswer(c, response)
}

// freshClient returns a client with one connection of its own. The HTTP
// library resends a call whose reused connection breaks, if it takes the call
// for idempotent, as it does when an Idempotency-Key header is there; it never
// does so on a connection that has carried nothing before, and the client
// can't make a second one.
func (s *Services) freshClient(ctx context.Context, c *Call) (*http.Client, error) {
	conn, err := s.dial(ctx, "tcp", c.Address)
	if err != nil {
		return nil, explain(c, err)
	}
	if c.MaySend != nil {
		if err := c.MaySend(); err != nil {
			conn.Close()
			return nil, err
		}
	}
	used := false
	return newServiceClient(&http.Transport{
		MaxResponseHeaderBytes: call.MaxHeadBytes,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used {
				return nil, errors.New("upstream: one connection a call")
			}
			used = true
			return conn, nil
		},
	}), nil
}

func newServiceRequest(ctx context.Context, c *Call) (*http.Request, error) {
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

// explain gives a failed call its verdict: it has not run only if no
// connection was made.
func explain(c *Call, err error) *verdict.Error {
	var unconnected *unconnectedError
	if errors.As(err, &unconnected) {
		return &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamRefused, Upstream: c.Upstream, Err: err}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamSilent, Upstream: c.Upstream, Err: err}
	}
	return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamLost, Upstream: c.Upstream, Err: err}
}

// readAnswer reads an answer to its end, and refuses one that can't be known
// to be whole or to be the answer to this call.
func readAnswer(c *Call, response *http.Response) (*Answer, error) {
	protocol := func(format string, args ...any) error {
		return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamProtocol, Upstream: c.Upstream, Message: fmt.Sprintf(format, args...)}
	}
	echoed := response.Header.Get(AttemptHeader)
	if echoed != c.Attempt && (echoed != "" || c.EchoesAttempt) {
		return nil, protocol("answer to another attempt")
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, protocol("answer without length")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, explain(c, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, protocol("answer above %d bytes", MaxAnswerBytes)
	}
	return &Answer{response.StatusCode, response.Header, body}, nil
}
