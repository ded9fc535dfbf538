package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/socket"
	"lovageport.example/pkg/verdict"
)

// Request is a request to one upstream.
type Request struct {
	Address string
	// Method and URI make up the request line, and Host is the Host header field.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Fresh requires a connection that has carried no other request, for a
	// request whose response has nothing else that shows whose it is.
	Fresh bool
	// OnConn is called with the connection before the request is sent on it, which it must
	// not use; it may be nil.
	OnConn func(net.Conn)
}

// Response is the response to a [Request]. It must be closed, also if its body
// was not read to the end.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or negative if it is not stated.
	ContentLength int64
	// CloseDelimited reports whether the body has neither a length nor chunks and
	// so ends with the connection.
	CloseDelimited bool
	// Reused reports whether the connection has carried other requests before,
	// so that the response may be one to an earlier request.
	Reused bool

	body io.Reader
	// share is what the body that ReadAll reads takes of the pool's memory; nil once
	// TakeShare has returned it.
	share   atomic.Pointer[buffer.Share]
	pool    *Pool
	address string
	conn    *connection
	stop    func() bool
	// sent receives the result of writing the request body in the background. It
	// is nil if the request was written before the response was read.
	sent chan error
	// keep is how long the connection may stay idle: 0 for the default, negative
	// to close it.
	keep time.Duration
	// whole reports whether the body was read to its end.
	whole bool
}

// aLongTimeAgo is a deadline that makes pending reads and writes fail at once.
var aLongTimeAgo = time.Unix(1, 0)

// largeBody is the size in bytes from which a body is written while the response
// is read, since an upstream may respond before it has read the whole body.
const largeBody = 16 << 10

// errEarlyData is returned if data has arrived before the request, so that it is
// not the response to it.
var errEarlyData = fmt.Errorf("%w: data before the request", ErrMalformed)

// Do sends a request and reads the header of the response. The error is a
// [verdict.Error], with the verdict not-run if no connection could be opened. The
// end of ctx aborts the exchange, including the reading of the body.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	message := encode(r)
	conn, err := p.take(ctx, r, time.Now())
	if err != nil {
		return nil, dialError(ctx, err)
	}
	if r.OnConn != nil {
		r.OnConn(conn.Conn)
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(aLongTimeAgo) })
	conn.beginExchange(arrivalAfter(len(r.Body)))
	fail := func(err error) error {
		if stop() && !errors.Is(err, ErrMalformed) {
			p.reduceIdleLimit(r.Address, conn, time.Now())
		}
		conn.endExchange()
		conn.abort()
		return exchangeError(ctx, err, conn.reused)
	}
	if _, err := conn.Write(message); err != nil {
		return nil, fail(err)
	}
	if conn.reused && conn.hasDataBefore(len(message)) {
		return nil, fail(errEarlyData)
	}
	var sent chan error
	if len(r.Body) >= largeBody {
		sent = conn.writeInBackground(r.Body)
	}
	response, err := conn.readHeader(r.Method)
	if err != nil {
		return nil, fail(err)
	}
	out := &Response{
		Status:         response.StatusCode,
		Header:         response.Header,
		ContentLength:  response.ContentLength,
		CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		Reused:         conn.reused,
		body:           response.Body,
		pool:           p,
		address:        r.Address,
		conn:           conn,
		stop:           stop,
		sent:           sent,
		keep:           keepDuration(response),
	}
	out.share.Store(&buffer.Share{Budget: p.Memory})
	return out, nil
}

// arrivalAfter returns after what time a request counts as arrived. An upstream need not
// read a large body at once, and a closed window is a silence too.
func arrivalAfter(body int) time.Duration {
	if body >= largeBody {
		return 0
	}
	return arrivalTime
}

// keepDuration returns the value of Response.keep for a response.
func keepDuration(response *http.Response) time.Duration {
	if response.Close {
		return -1
	}
	return 0
}

// encode returns the request as it is sent, without its body if that is large.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer cannot fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) < largeBody {
		b.Write(r.Body)
	}
	return b.Bytes()
}

// writeInBackground writes the body of a request. The channel receives the result.
func (c *connection) writeInBackground(body []byte) chan error {
	sent := make(chan error, 1)
	go func() {
		_, err := c.Write(body)
		sent <- err
	}()
	return sent
}

// dialError returns the verdict on an upstream to which no connection could be
// opened. Only one that refuses the connection is known to have ended: if no
// answer comes, the network or this process may be at fault.
func dialError(ctx context.Context, err error) *verdict.Error {
	out := &verdict.Error{Run: verdict.NotRun, Reason: verdict.UpstreamSilent, Err: err}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		out.Reason = verdict.UpstreamRefused
	case errors.Is(ctx.Err(), context.Canceled):
		out.Reason = verdict.CallerGone
	}
	return out
}

// reusedError is the error of an exchange on a connection that has carried other
// requests before.
type reusedError struct{ error }

func (e reusedError) Unwrap() error { return e.error }

// OnReused reports whether the error is that of an exchange on a connection that has
// carried other requests before, so that their upstream may have closed it, or sent
// what was read, on account of these.
func OnReused(err error) bool {
	var e reusedError
	return errors.As(err, &e)
}

// exchangeError returns the verdict on an exchange that failed after the
// request may have been sent.
func exchangeError(ctx context.Context, err error, reused bool) *verdict.Error {
	if reused {
		err = reusedError{err}
	}
	out := &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamLost, Err: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		out.Reason = verdict.UpstreamSilent
	case ctx.Err() != nil:
		out.Reason = verdict.CallerGone
	case errors.Is(err, ErrMalformed):
		out.Reason = verdict.UpstreamProtocol
	case errors.Is(err, buffer.ErrExhausted):
		out.Reason = verdict.AnswerMemoryFull
	}
	return out
}

// SetKeepAlive sets how long the upstream keeps an idle connection open. It has
// no effect if the response closes the connection.
func (r *Response) SetKeepAlive(d time.Duration) {
	if r.keep >= 0 {
		r.keep = d
	}
}

// Read reads the body. It returns io.EOF only after the whole body, or when the
// upstream closes the connection if the body is close-delimited. The error is
// [ErrMalformed] if the framing of the body is invalid.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.whole = r.whole || err == io.EOF
	return n, bodyError(err)
}

// ReadAll reads the whole body, which may have at most max bytes. The framing of
// chunks, which may be several times as long as their data, may take as many. The
// body counts for the memory of the pool until Close, or until the share that TakeShare
// returns is released. The error is a [verdict.Error].
func (r *Response) ReadAll(ctx context.Context, max int64) ([]byte, error) {
	r.conn.source.limit(2*max + bufferSize)
	defer r.conn.source.unlimit()
	body, err := readBody(r, r.ContentLength, max, r.share.Load())
	if err != nil {
		return nil, exchangeError(ctx, err, r.Reused)
	}
	return body, nil
}

// TakeShare returns what the body takes of the memory of the pool. The caller must
// release it once the body is no longer held.
func (r *Response) TakeShare() *buffer.Share { return r.share.Swap(nil) }

// Close ends the exchange. The connection is kept for reuse only if the whole
// response was read and the whole request was written.
func (r *Response) Close() {
	r.share.Load().Release()
	running := r.stop()
	r.conn.endExchange()
	switch {
	case !running, !r.whole, !r.requestSent():
		r.conn.abort()
		return
	case r.CloseDelimited, r.keep < 0, r.conn.reader.Buffered() > 0:
		r.conn.Close()
		return
	}
	r.pool.put(r.address, r.conn, r.keep, time.Now())
}

// EndMark is what shows the end of a body.
type EndMark string

// The marks of the end of a body.
const (
	LengthReached    EndMark = "length"
	LastChunk        EndMark = "last_chunk"
	ConnectionClosed EndMark = "connection"
)

// Ending is how the end of a body was known.
type Ending struct {
	// Mark is empty if the body was not read to its end.
	Mark EndMark
	// State is the state of the connection, and Failure the error that an operation on it
	// has got, for ConnectionClosed.
	State   socket.TCPState
	Failure error
}

// Ending returns how the end of the body was known. It must be called before Close.
func (r *Response) Ending() Ending {
	switch {
	case !r.whole:
		return Ending{}
	case r.ContentLength >= 0:
		return Ending{Mark: LengthReached}
	case !r.CloseDelimited:
		return Ending{Mark: LastChunk}
	}
	e := Ending{Mark: ConnectionClosed}
	e.State, _ = socket.State(r.conn.Conn)
	if c, ok := r.conn.Conn.(*socket.Conn); ok {
		e.Failure = c.Failure()
	}
	return e
}

// requestSent reports whether the whole request was written.
func (r *Response) requestSent() bool {
	if r.sent == nil {
		return true
	}
	select {
	case err := <-r.sent:
		return err == nil
	default:
		return false
	}
}
