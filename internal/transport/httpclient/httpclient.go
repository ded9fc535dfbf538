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

// Do sends r and returns the status and the whole body of the response. It
// fails with [ErrResponseTooLarge], without reading further, if the body has
// more than maxBytes bytes.
func Do(c *http.Client, r *http.Request, maxBytes int64) (status int, body []byte, err error) {
	response, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.ContentLength > maxBytes {
		return 0, nil, tooLarge(maxBytes)
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if int64(len(body)) > maxBytes {
		return 0, nil, tooLarge(maxBytes)
	}
	return response.StatusCode, body, err
}

func tooLarge(maxBytes int64) error {
	return fmt.Errorf("%w: above %d bytes", ErrResponseTooLarge, maxBytes)
}
