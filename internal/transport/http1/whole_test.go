package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/pkg/verdict"
)

// cutResponse is a response that is cut at each of its bytes.
type cutResponse struct {
	name, method string
	// text is the response, and body its body.
	text, body string
	// closeDelimited is the number of bytes at the end of text after each of which
	// the close of the connection ends the body.
	closeDelimited int
}

var cutResponses = []cutResponse{
	{name: "length", text: "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 12\r\n\r\ntwelve bytes", body: "twelve bytes"},
	{name: "length first", text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nok", body: "ok"},
	{name: "empty body", text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	{name: "no body", text: "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n"},
	{name: "HEAD", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"},
	{name: "chunks", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n10;x=y\r\nsixteen bytes...\r\n0\r\n\r\n", body: "abcsixteen bytes..."},
	{name: "trailer", text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: y\r\nZ: y\r\n\r\n", body: "ok"},
	{name: "informational responses", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
	{name: "bare line feeds", text: "HTTP/1.1 200 OK\nX: y\nContent-Length: 2\n\nok", body: "ok"},
	{name: "tabs around values", text: "HTTP/1.1 200 OK\r\nContent-Length:\t2\t\r\nX:\r\n\r\nok", body: "ok"},
	{name: "failure", text: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno", body: "no"},
	{name: "ends with connection", text: "HTTP/1.1 200 OK\r\nX: y\r\n\r\nten bytes.", body: "ten bytes.", closeDelimited: 10},
	{name: "HTTP/1.0", text: "HTTP/1.0 200 OK\r\n\r\nok", body: "ok", closeDelimited: 2},
}

// readers read the body of a response to its end.
var readers = []struct {
	name string
	read func(*Response) (string, error)
}{
	{"ReadAll", func(r *Response) (string, error) {
		body, err := r.ReadAll(context.Background(), 1<<20)
		return string(body), err
	}},
	{"Read", func(r *Response) (string, error) {
		var body strings.Builder
		for part := make([]byte, 5); ; {
			n, err := r.Read(part)
			body.Write(part[:n])
			if err == io.EOF {
				return body.String(), nil
			}
			if err != nil {
				return body.String(), err
			}
		}
	}},
}

// endings end a connection.
var endings = []struct {
	name string
	// reset reports whether the connection is reset.
	reset bool
	end   func(net.Conn)
}{
	{"close", false, func(conn net.Conn) { conn.Close() }},
	{"reset", true, func(conn net.Conn) {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}},
}

// exchangeCut makes an exchange whose response is cut after n bytes, on a new
// connection or on one that has carried another request. It returns the body as far as
// it was read, and the error.
func exchangeCut(t *testing.T, x cutResponse, n int, end func(net.Conn), reused bool, read func(*Response) (string, error)) (string, error) {
	s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
		if reused {
			s.read(reader)
			io.WriteString(conn, okResponse)
		}
		s.read(reader)
		io.WriteString(conn, x.text[:n])
		end(conn)
	})
	pool := newPool()
	defer pool.Close()
	if reused {
		_, err := get(t.Context(), pool, s.address)
		qt.Assert(t, err, qt.IsNil)
	}
	method := x.method
	if method == "" {
		method = http.MethodGet
	}
	resp, err := pool.Do(t.Context(), &Request{Address: s.address, Method: method, URI: "/x", Host: "h", Header: http.Header{}})
	qt.Assert(t, s.accepted.Load(), qt.Equals, int32(1))
	if err != nil {
		qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
		return "", err
	}
	defer resp.Close()
	return read(resp)
}

// TestCutResponseIsNotWhole guards against taking a response that stops at any byte
// for a whole one.
func TestCutResponseIsNotWhole(t *testing.T) {
	for _, x := range cutResponses {
		for _, ending := range endings {
			for _, reused := range []bool{false, true} {
				for _, reader := range readers {
					t.Run(fmt.Sprintf("%s/%s/reused=%t/%s", x.name, ending.name, reused, reader.name), func(t *testing.T) {
						t.Parallel()
						for n := range len(x.text) + 1 {
							body, err := exchangeCut(t, x, n, ending.end, reused, reader.read)
							bodyEnds := !ending.reset && n >= len(x.text)-x.closeDelimited
							switch {
							case bodyEnds:
								qt.Check(t, err, qt.IsNil, qt.Commentf("after %d bytes", n))
								qt.Check(t, body, qt.Equals, x.body[:len(x.body)-(len(x.text)-n)], qt.Commentf("after %d bytes", n))
							case n == len(x.text) && x.closeDelimited == 0:
								// The whole response may have been read before the reset.
								qt.Check(t, err != nil || body == x.body, qt.IsTrue, qt.Commentf("%q", body))
							default:
								qt.Check(t, err, qt.IsNotNil, qt.Commentf("after %d bytes: %q", n, body))
							}
						}
					})
				}
			}
		}
	}
}

// informational returns n informational responses before okResponse.
func informational(n int) string {
	return strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", n) + okResponse
}

// TestResponseOfUncertainLengthFails guards against choosing one of several ways to
// read where a response ends, and against taking what is none for a response.
func TestResponseOfUncertainLengthFails(t *testing.T) {
	const (
		body   = "\r\n\r\nok"
		chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	)
	for _, x := range []struct{ name, text string }{
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3" + body},
		{"two lengths in a line", "HTTP/1.1 200 OK\r\nContent-Length: 2, 3" + body},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked" + chunks},
		{"chunks and length", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 12" + chunks},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1" + body},
		{"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +2" + body},
		{"empty length", "HTTP/1.1 200 OK\r\nContent-Length:" + body},
		{"length is no number", "HTTP/1.1 200 OK\r\nContent-Length: 0x2" + body},
		{"length above 64 bits", "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551618" + body},
		{"folded length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n 0" + body},
		{"space after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 20" + body},
		{"space after the name of the encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked" + chunks},
		{"space before the name of the length", "HTTP/1.1 200 OK\r\n Content-Length: 2" + body},
		{"two encodings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked" + chunks},
		{"compressed chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked" + chunks},
		{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunks},
		{"chunks and length of HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2" + body},
		{"chunk lines with bare line feeds", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\nok\n0\n\n"},
		{"signed chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n"},
		{"empty chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n\r\n\r\n"},
		{"chunk longer than its size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n"},
		{"line without colon", "HTTP/1.1 200 OK\r\nX\r\nContent-Length: 2" + body},
		{"carriage return in a line", "HTTP/1.1 200 OK\r\nX: y\rContent-Length: 9\r\nContent-Length: 2" + body},
		{"folded lines", "HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\nX: y\r\n\tz" + body},
		{"names of the length in a folded line", "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 9" + chunks},
		{"folded length beside chunks", "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 9\r\nTransfer-Encoding: chunked" + chunks},
		{"folded first line", "HTTP/1.1 200 OK\r\n y\r\nContent-Length: 2" + body},
		{"informational responses above the limit", informational(maxInformational)},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade" + body},
		{"status below 100", "HTTP/1.1 099 OK\r\n\r\n" + okResponse},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2" + body},
		{"status above 599", "HTTP/1.1 600 OK\r\nContent-Length: 2" + body},
		{"signed status", "HTTP/1.1 +20 OK\r\n\r\n" + okResponse},
		{"status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 2" + body},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2" + body},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\nContent-Length: 2" + body},
	} {
		t.Run(x.name, func(t *testing.T) {
			whole := cutResponse{text: x.text}
			body, err := exchangeCut(t, whole, len(x.text), endings[0].end, true, readers[0].read)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", body))
		})
	}
}

// TestUnusualResponsesAreRead guards against checks that are stricter than HTTP.
func TestUnusualResponsesAreRead(t *testing.T) {
	for _, x := range []struct{ name, text string }{
		{"same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok"},
		{"space around values", "HTTP/1.1 200 OK\r\nContent-Length: \t2 \r\nX:\r\n\r\nok"},
		{"chunked in capitals", "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n2\r\nok\r\n00\r\n\r\n"},
		{"names of the length in a value", "HTTP/1.1 200 OK\r\nX: y Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"informational responses up to the limit", informational(maxInformational - 1)},
		{"informational response with a length", "HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	} {
		t.Run(x.name, func(t *testing.T) {
			body, err := exchangeCut(t, cutResponse{text: x.text}, len(x.text), endings[0].end, true, readers[0].read)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, "ok")
		})
	}
}
