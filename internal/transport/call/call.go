// Package call makes HTTP calls whose answers are small and read whole.
package call

import (
	"bytes"
	"io"
	"net/http"
)

// Body returns a request's body that the HTTP library can't send again by
// itself, as it would on a broken connection; nil for no text.
func Body(text []byte) io.Reader {
	if text == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(text)}
}

// Do makes a call and returns the status and at most the first most bytes of
// the answer.
func Do(c *http.Client, r *http.Request, most int64) (status int, text []byte, err error) {
	response, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(io.LimitReader(response.Body, most))
	return response.StatusCode, text, err
}
