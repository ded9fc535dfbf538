// Package call makes HTTP calls whose answers are small and read whole.
package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrTooLong says that an answer is longer than was to be read.
var ErrTooLong = errors.New("call: answer too long")

// MaxHeadBytes bounds the heads of answers, for the transports of clients.
const MaxHeadBytes = 64 << 10

// Body returns a request's body that the HTTP library can't send again by
// itself, as it would on a broken connection; nil for no text.
func Body(text []byte) io.Reader {
	if text == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(text)}
}

// Do makes a call and returns the status and the whole answer. It fails with
// [ErrTooLong], and reads no further, if the answer has more than most bytes.
func Do(c *http.Client, r *http.Request, most int64) (status int, text []byte, err error) {
	response, err := c.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.ContentLength > most {
		return 0, nil, tooLong(most)
	}
	text, err = io.ReadAll(io.LimitReader(response.Body, most+1))
	if int64(len(text)) > most {
		return 0, nil, tooLong(most)
	}
	return response.StatusCode, text, err
}

func tooLong(most int64) error { return fmt.Errorf("%w: above %d bytes", ErrTooLong, most) }
