// Package httpclient makes HTTP requests whose responses are read whole, up to
// a size limit.
package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrResponseTooLarge is returned for a response body above the size limit.
var ErrResponseTooLarge = errors.New("call: answer too long")

// MaxHeaderBytes limits the status line and header of a response. Clients set it
// as the MaxResponseHeaderBytes of their transports.
const MaxHeaderBytes = 64 << 10

// SingleUseBody returns text as a request body, or nil if text is nil. The type
// hides from net/http how to rewind the body, so that it never resends a request
// by itself when a reused connection breaks.
func SingleUseBody(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// Response is a response that was read whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends r and returns the response with its whole body. It fails with
// [ErrResponseTooLarge], without reading further, if the body has more than
// maxBytes bytes.
func Do(c *http.Client, r *http.Request, maxBytes int64) (Response, error) {
	response, err := c.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if response.ContentLength > maxBytes {
		return Response{}, tooLarge(maxBytes)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if int64(len(body)) > maxBytes {
		return Response{}, tooLarge(maxBytes)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, err
}

func tooLarge(maxBytes int64) error {
	return fmt.Errorf("%w: above %d bytes", ErrResponseTooLarge, maxBytes)
}
