package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"lovageport.example/internal/transport/httpclient"
)

// maxInformational limits the number of responses read until one is not an
// informational (1xx) one.
const maxInformational = 4

// readHeader reads the header of the response. Together with those of
// informational responses before it, it is limited to
// [httpclient.MaxHeaderBytes], since net/http buffers a header until it ends.
func (c *connection) readHeader(method string) (*http.Response, error) {
	c.source.limit(httpclient.MaxHeaderBytes)
	defer c.source.unlimit()
	c.source.keep(true)
	defer c.source.keep(false)
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.source.reached() {
			// net/http may report the line that the limit cut as malformed.
			return nil, fmt.Errorf("%w: head above %d bytes", ErrMalformed, httpclient.MaxHeaderBytes)
		}
		if err != nil {
			return nil, err
		}
		text := c.source.take(c.reader.Buffered())
		if err := checkHead(response, text); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, fmt.Errorf("%w: no final answer", ErrMalformed)
}

// checkHead checks what [http.ReadResponse] accepts of a header, whose text is
// given, although it leaves open what the response says or where it ends.
func checkHead(response *http.Response, text []byte) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", ErrMalformed, response.Proto)
	case response.StatusCode == http.StatusSwitchingProtocols:
		// No request asks for another protocol.
		return fmt.Errorf("%w: status %.40q", ErrMalformed, response.Status)
	}
	if fault := httpclient.HeadFault(response); fault != "" {
		return fmt.Errorf("%w: %s", ErrMalformed, fault)
	}
	if hasFoldedLine(text) {
		// One that names a field is none to net/http, and may be one to the upstream.
		return fmt.Errorf("%w: folded line", ErrMalformed)
	}
	return checkFraming(response, text)
}

// Names of the header fields that say where a body ends.
const (
	encodingField = "Transfer-Encoding"
	lengthField   = "Content-Length"
)

// checkFraming checks that the body ends by one rule. net/http prefers chunks to a
// length, ignores chunks in HTTP/1.0, and removes the fields that show it.
func checkFraming(response *http.Response, text []byte) error {
	if !hasField(text, encodingField) {
		return nil
	}
	switch {
	case !response.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: chunks in %s", ErrMalformed, response.Proto)
	case hasField(text, lengthField):
		return fmt.Errorf("%w: length and chunks", ErrMalformed)
	}
	return nil
}

// hasFoldedLine reports whether a line of the text of a header continues the one before.
func hasFoldedLine(text []byte) bool {
	return bytes.Contains(text, []byte("\n ")) || bytes.Contains(text, []byte("\n\t"))
}

// hasField reports whether the text of a header has a field.
func hasField(text []byte, name string) bool {
	for line := range bytes.Lines(text) {
		field, _, found := bytes.Cut(line, []byte(":"))
		if found && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}
