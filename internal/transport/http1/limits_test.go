package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/standin/endless"
	"lovageport.example/internal/transport/buffer"
	"lovageport.example/internal/transport/dial"
	"lovageport.example/internal/transport/httpclient"
	"lovageport.example/pkg/verdict"
)

// endlessResponses are responses without end: a start, and the text that is then
// repeated until the connection is closed.
var endlessResponses = []struct{ name, start, repeat string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
	{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	{"continued header line", "HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n"},
	{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"informational header", "HTTP/1.1 100 Continue\r\n", "X: y\r\n"},
	{"not HTTP", "", "\x00"},
	{"empty lines", "", "\r\n"},
	{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
	{"body with stated length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n", "x"},
	{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: y\r\n"},
	{"trailer line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: ", "y"},
}

// TestEndlessResponse guards against reading a response without end until the
// request times out: it fails at a size limit.
func TestEndlessResponse(t *testing.T) {
	for _, x := range endlessResponses {
		t.Run(x.name, func(t *testing.T) {
			closed := make(chan struct{})
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				s.read(reader)
				endless.WriteUntilError(conn, x.start, x.repeat)
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := get(ctx, newPool(), s.address)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("failed only at the deadline of the request"))
			qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
			if x.name != "not HTTP" && x.name != "empty lines" {
				qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UpstreamProtocol, qt.Commentf("%v", err))
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection was not closed at the size limit")
			}
		})
	}
}

// TestEndlessResponsesUseLittleMemory guards against running out of memory when
// many upstreams send without end: 50 at a time use at most 1 MB each.
func TestEndlessResponsesUseLittleMemory(t *testing.T) {
	const (
		exchanges = 50
		maxHeap   = exchanges << 20
		maxBody   = 512 << 10
	)
	for _, x := range endlessResponses {
		t.Run(x.name, func(t *testing.T) {
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				s.read(reader)
				endless.WriteUntilError(conn, x.start, x.repeat)
			})
			pool := newPool()
			runtime.GC()
			before := heapBytes()
			done := make(chan struct{})
			var group sync.WaitGroup
			for range exchanges {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					resp, err := pool.Do(ctx, &Request{Address: s.address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
					if err != nil {
						return
					}
					defer resp.Close()
					_, err = resp.ReadAll(ctx, maxBody)
					qt.Check(t, err, qt.IsNotNil)
				})
			}
			go func() {
				group.Wait()
				close(done)
			}()
			peak := uint64(0)
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(5 * time.Millisecond):
					peak = max(peak, heapBytes())
				}
			}
			if peak > before {
				qt.Check(t, peak-before < maxHeap, qt.IsTrue, qt.Commentf("%d bytes in use", peak-before))
			}
		})
	}
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestFramingCountsTowardsLimit guards against reading several times the limit of a
// body because its chunks are small.
func TestFramingCountsTowardsLimit(t *testing.T) {
	const maxBody = 512 << 10
	for _, x := range endlessResponses {
		t.Run(x.name, func(t *testing.T) {
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				s.read(reader)
				endless.WriteUntilError(conn, x.start, x.repeat)
			})
			var read atomic.Int64
			open := dial.New(time.Second, time.Second)
			pool := &Pool{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := open(ctx, network, address)
				return countingConn{conn, &read}, err
			}}
			resp, err := pool.Do(t.Context(), &Request{Address: s.address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
			if err == nil {
				defer resp.Close()
				_, err = resp.ReadAll(t.Context(), maxBody)
			}
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, read.Load() <= 2*maxBody+httpclient.MaxHeaderBytes, qt.IsTrue, qt.Commentf("%d bytes read", read.Load()))
		})
	}
}

// TestSmallChunksAreRead guards against a limit on framing that is stricter than
// the size of bodies requires.
func TestSmallChunksAreRead(t *testing.T) {
	const maxBody = 3 << 10
	for _, size := range []int{1, maxBody / 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newTestServer(t, func(s *testServer, conn net.Conn, reader *bufio.Reader) {
				s.read(reader)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", size)+"0\r\n\r\n")
			})
			resp, err := newPool().Do(t.Context(), &Request{Address: s.address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
			qt.Assert(t, err, qt.IsNil)
			defer resp.Close()
			body, err := resp.ReadAll(t.Context(), maxBody)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(body), qt.Equals, strings.Repeat("x", size))
		})
	}
}

// heapBytes returns the size of the allocated heap, including garbage that was
// not collected yet.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// FuzzHead checks that no input makes the reading of a response panic, or hang on
// endless data.
func FuzzHead(f *testing.F) {
	f.Add([]byte(okResponse))
	for _, x := range endlessResponses {
		f.Add([]byte(x.start + strings.Repeat(x.repeat, 100)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		source := &boundedReader{source: &endlessReader{text: text}}
		c := &connection{reader: bufio.NewReaderSize(source, bufferSize), source: source}
		response, err := c.readHeader("GET")
		if err != nil {
			return
		}
		resp := &Response{Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength, body: response.Body, conn: c}
		_, _ = resp.ReadAll(t.Context(), 1<<10)
	})
}

// endlessReader repeats a text endlessly.
type endlessReader struct {
	text []byte
	at   int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	if len(r.text) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

// TestBodyMemoryFollowsReceivedData guards against allocating by the stated
// length: reading a body allocates at most twice its size, and at most a block
// more than was received.
func TestBodyMemoryFollowsReceivedData(t *testing.T) {
	const size = 512 << 10
	tests := []struct {
		name        string
		sent        int
		stated, max int64
		maxAlloc    uint64
		fails       bool
	}{
		{"complete, length stated", size, size, size, 2*size + 2*buffer.BlockBytes, false},
		{"complete, length not stated", size, -1, size, 2*size + 2*buffer.BlockBytes, false},
		{"above the limit", 4 * size, -1, size, size + 2*buffer.BlockBytes, true},
		{"length stated but not sent", 1, size, size, buffer.BlockBytes + 1024, false},
		{"small", 2, 2, size, buffer.BlockBytes / 4, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			source := strings.NewReader(strings.Repeat("x", x.sent))
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			before := m.TotalAlloc
			body, err := readBody(source, x.stated, x.max, &buffer.Share{})
			runtime.ReadMemStats(&m)
			qt.Check(t, err != nil, qt.Equals, x.fails)
			if !x.fails {
				qt.Check(t, len(body), qt.Equals, x.sent)
			}
			qt.Check(t, m.TotalAlloc-before <= x.maxAlloc, qt.IsTrue, qt.Commentf("%d bytes allocated", m.TotalAlloc-before))
		})
	}
}
