package httpclient

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOversizedResponse guards against reading a response without end: one above
// the limit is an error and is not read further.
func TestOversizedResponse(t *testing.T) {
	for _, x := range []struct {
		name  string
		write func(w http.ResponseWriter)
	}{
		{"body", func(w http.ResponseWriter) {
			for {
				if _, err := io.WriteString(w, strings.Repeat(" ", 1<<10)); err != nil {
					return
				}
			}
		}},
		{"stated length", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "99999999") }},
		{"head", func(w http.ResponseWriter) { w.Header().Set("X", strings.Repeat("x", 1<<20)) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { x.write(w) }))
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: MaxHeaderBytes}}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			qt.Assert(t, err, qt.IsNil)
			response, err := Do(client, r, 1<<10)
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, response.Body, qt.IsNil)
			if x.name != "head" {
				qt.Check(t, errors.Is(err, ErrResponseTooLarge), qt.IsTrue)
			}
		})
	}
}

func TestResponseOfMaximumSize(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "12345") }))
	defer server.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	qt.Assert(t, err, qt.IsNil)
	response, err := Do(http.DefaultClient, r, 5)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, response.Status, qt.Equals, 200)
	qt.Check(t, string(response.Body), qt.Equals, "12345")
}
