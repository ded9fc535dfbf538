package caller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"lovageport.example/pkg/verdict"
)

// service handles a call of a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, x *exchange) error {
	if r.URL.RawPath != "" || slices.Contains(strings.Split(r.URL.Path, "/"), "..") {
		return verdict.Refuse(verdict.BadRequest, "path with escaped or upward parts")
	}
	keys := r.Header.Values(IdempotencyKeyHeader)
	if len(keys) > 1 || len(keys) == 1 && len(keys[0]) > maxKeyBytes {
		return verdict.Refuse(verdict.BadRequest, "%s must be sent once, with at most %d bytes", IdempotencyKeyHeader, maxKeyBytes)
	}
	body, err := s.readBody(w, r, x)
	if err != nil {
		return err
	}
	response, err := s.Backend.Invoke(r.Context(), &InvokeRequest{
		RequestID:      x.requestID,
		Account:        x.account,
		Service:        chi.URLParam(r, "service"),
		Method:         r.Method,
		Path:           "/" + chi.URLParam(r, "*"),
		Query:          r.URL.RawQuery,
		Header:         endToEnd(r.Header),
		Body:           body,
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		Timeout:        x.timeout,
	})
	if err != nil {
		return err
	}
	defer response.Release()
	writeResponse(w, response)
	return nil
}

// writeResponse writes the response of a plain service.
func writeResponse(w http.ResponseWriter, response *InvokeResponse) {
	header := w.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	header.Set(VerdictHeader, response.Verdict.String())
	if response.Replayed {
		header.Set(ReplayedHeader, "true")
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(response.Body)
}

// unforwardedHeaders are the hop-by-hop header fields and those addressed to this
// server, which are not forwarded.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Expect", "Host", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// headerPrefix is the prefix of the header fields that are specific to this API.
const headerPrefix = "Lovageport-"

// endToEnd returns a copy of header with only the end-to-end fields that a proxy
// forwards.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		kept.Del(name)
	}
	for name := range kept {
		if strings.HasPrefix(name, headerPrefix) {
			kept.Del(name)
		}
	}
	return kept
}
