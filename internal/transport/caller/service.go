package caller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"lovageport.example/pkg/verdict"
)

// service calls a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request, x *exchange) error {
	if r.URL.RawPath != "" || slices.Contains(strings.Split(r.URL.Path, "/"), "..") {
		return verdict.Refuse(verdict.BadRequest, "path with escaped or upward parts")
	}
	keys := r.Header.Values(KeyHeader)
	if len(keys) > 1 || len(keys) == 1 && len(keys[0]) > maxKeyBytes {
		return verdict.Refuse(verdict.BadRequest, "%s must be sent once, with at most %d bytes", KeyHeader, maxKeyBytes)
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	reply, err := s.Backend.Invoke(r.Context(), &Invocation{
		Request: x.request,
		Account: x.account,
		Service: chi.URLParam(r, "service"),
		Method:  r.Method,
		Path:    "/" + chi.URLParam(r, "*"),
		Query:   r.URL.RawQuery,
		Header:  forwarded(r.Header),
		Body:    body,
		Key:     r.Header.Get(KeyHeader),
		Timeout: x.timeout,
	})
	if err != nil {
		return err
	}
	writeReply(w, reply)
	return nil
}

func writeReply(w http.ResponseWriter, reply *Reply) {
	header := w.Header()
	for name, values := range forwarded(reply.Header) {
		header[name] = values
	}
	header.Set(VerdictHeader, reply.Verdict.String())
	if reply.Replayed {
		header.Set(ReplayedHeader, "true")
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	// A caller that has gone is nobody to report to.
	_, _ = w.Write(reply.Body)
}

// ownHeaders are meant for one connection, or for this service alone.
var ownHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Expect", "Host", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// ownPrefix starts the names of this service's headers.
const ownPrefix = "Lovageport-"

// forwarded returns the headers that go on to the other side.
func forwarded(header http.Header) http.Header {
	kept := header.Clone()
	for _, names := range header.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range ownHeaders {
		kept.Del(name)
	}
	for name := range kept {
		if strings.HasPrefix(name, ownPrefix) {
			kept.Del(name)
		}
	}
	return kept
}
