package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lovageport.example/internal/transport/call"
	"lovageport.example/pkg/verdict"
)

// Request is what is sent.
type Request struct {
	Address string
	// Method, URI and Host make the head's first lines.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
}

// Answer is what came back. Its body must be read to its end or given up, and
// then the answer must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body; negative if it is not stated.
	Length int64
	// Unframed says that the body ends with its connection.
	Unframed bool

	body    io.Reader
	pool    *Pool
	address string
	conn    *connection
	stop    func() bool
	// sent is closed when the request has left; nil if it has already.
	sent chan error
	// keep is how long the connection may be kept; negative forbids it.
	keep  time.Duration
	whole bool
}

// aLongTimeAgo as a deadline ends reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// largeBody is the size from which a body is sent while the answer is read,
// since an upstream may answer before it has read it all.
const largeBody = 16 << 10

// Do sends a request and reads the head of the answer. The error is a
// [verdict.Error]: not-run if no connection was made. When ctx ends, so does
// the exchange.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	conn, err := p.take(ctx, r.Address, time.Now())
	if err != nil {
		return nil, &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamRefused, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(aLongTimeAgo) })
	fail := func(err error) error {
		if stop() {
			p.noteForgotten(r.Address, conn, time.Now())
		}
		conn.abort()
		return lost(ctx, err)
	}
	sent, err := send(conn, r)
	if err != nil {
		return nil, fail(err)
	}
	response, err := conn.readHead(r.Method)
	if err != nil {
		return nil, fail(err)
	}
	return &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Length:   response.ContentLength,
		Unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		body:     response.Body,
		pool:     p,
		address:  r.Address,
		conn:     conn,
		stop:     stop,
		sent:     sent,
		keep:     keepFor(response),
	}, nil
}

// keepFor returns how long the connection of an answer may be kept; negative
// if it may not.
func keepFor(response *http.Response) time.Duration {
	if response.Close {
		return -1
	}
	return 0
}

// send writes the request. Small ones are written at once; of large ones the
// rest is written beside, and its end comes on the channel.
func send(conn *connection, r *Request) (chan error, error) {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&head); err != nil {
		return nil, err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(r.Body) < largeBody {
		head.Write(r.Body)
		_, err := conn.Write(head.Bytes())
		return nil, err
	}
	if _, err := conn.Write(head.Bytes()); err != nil {
		return nil, err
	}
	sent := make(chan error, 1)
	go func() {
		_, err := conn.Write(r.Body)
		sent <- err
	}()
	return sent, nil
}

// maxInformational bounds the 1xx answers before the real one.
const maxInformational = 4

// readHead reads the head of the answer and those of the informational answers
// before it, of at most [call.MaxHeadBytes] together: the HTTP library keeps
// a head in memory until it ends.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.source.limit(call.MaxHeadBytes)
	defer c.source.unlimit()
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.source.reached() {
			// The library may take the cut line for the fault.
			return nil, fmt.Errorf("%w: head above %d bytes", ErrMalformed, call.MaxHeadBytes)
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, fmt.Errorf("%w: no final answer", ErrMalformed)
}

// lost is the verdict on an exchange that broke after the request may have
// left.
func lost(ctx context.Context, err error) *verdict.Error {
	out := &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamLost, Err: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Reason = verdict.UpstreamSilent
	case ctx.Err() != nil:
		out.Reason = verdict.CallerGone
	case errors.Is(err, ErrMalformed):
		out.Reason = verdict.UpstreamProtocol
	}
	return out
}

// SetKeepAlive says how long the upstream keeps the connection open.
func (a *Answer) SetKeepAlive(d time.Duration) {
	if a.keep >= 0 {
		a.keep = d
	}
}

// Read reads the body. It returns io.EOF only after the whole body, or at the
// clean end of a connection if the body is unframed. The error is
// [ErrMalformed] if the framing of the body is.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.whole = a.whole || err == io.EOF
	return n, bodyError(err)
}

// ReadAll reads the whole body, of at most max bytes.
func (a *Answer) ReadAll(ctx context.Context, max int64) ([]byte, error) {
	body, err := readWhole(a, a.Length, max)
	if err != nil {
		return nil, lost(ctx, err)
	}
	return body, nil
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and the request has left whole.
func (a *Answer) Close() {
	running := a.stop()
	switch {
	case !running, !a.whole, !a.hasLeft():
		a.conn.abort()
		return
	case a.Unframed, a.keep < 0, a.conn.reader.Buffered() > 0:
		a.conn.Close()
		return
	}
	a.pool.put(a.address, a.conn, a.keep, time.Now())
}

// hasLeft says whether the whole request was written.
func (a *Answer) hasLeft() bool {
	if a.sent == nil {
		return true
	}
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}
