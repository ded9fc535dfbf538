package httpclient

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformedHead is returned for a response whose head net/http accepts although it
// leaves open what the response says.
var ErrMalformedHead = errors.New("call: malformed head of the answer")

// maxStatus is the highest status that HTTP defines.
const maxStatus = 599

// HeadFault returns what is wrong with the head of a response; empty if nothing is.
func HeadFault(response *http.Response) string {
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return fmt.Sprintf("status %.40q", response.Status)
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			// A space before the colon hides a length from net/http.
			return fmt.Sprintf("field name %.40q", name)
		}
	}
	return ""
}

// Transport is an [http.Transport] whose calls fail with [ErrMalformedHead] if the head of
// the response has a fault.
type Transport struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if fault := HeadFault(response); fault != "" {
		response.Body.Close()
		return nil, fmt.Errorf("%w: %s", ErrMalformedHead, fault)
	}
	return response, nil
}
