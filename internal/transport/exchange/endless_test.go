package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/standin/endless"
	"lovageport.example/pkg/verdict"
)

// endlessAnswers are answers that never end: a start, and what then comes again and
// again until the connection is closed.
var endlessAnswers = []struct{ name, start, again string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
	{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	{"continued header line", "HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n"},
	{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"informational head", "HTTP/1.1 100 Continue\r\n", "X: y\r\n"},
	{"no HTTP", "", "\x00"},
	{"empty lines", "", "\r\n"},
	{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
	{"body of a stated length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n", "x"},
	{"length of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: y\r\n"},
	{"trailer line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: ", "y"},
}

// TestEndlessAnswers: bytes that never end are given up at a bound, and not
// when the time of the request is up.
func TestEndlessAnswers(t *testing.T) {
	for _, x := range endlessAnswers {
		t.Run(x.name, func(t *testing.T) {
			closed := make(chan struct{})
			p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
				p.read(reader)
				endless.Pour(conn, x.start, x.again)
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := get(ctx, newPool(), p.address)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("given up only when the time was up"))
			qt.Check(t, verdict.Of(err).Run, qt.Equals, verdict.MayHaveRun)
			if x.name != "no HTTP" && x.name != "empty lines" {
				qt.Check(t, verdict.Of(err).Reason, qt.Equals, verdict.UpstreamProtocol, qt.Commentf("%v", err))
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection was not closed at the bound")
			}
		})
	}
}

// TestEndlessAnswersHoldLittleMemory: 50 upstreams that never stop at the same
// time hold at most 1 MB each.
func TestEndlessAnswersHoldLittleMemory(t *testing.T) {
	const (
		exchanges = 50
		most      = exchanges << 20
		largest   = 512 << 10
	)
	for _, x := range endlessAnswers {
		t.Run(x.name, func(t *testing.T) {
			p := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
				p.read(reader)
				endless.Pour(conn, x.start, x.again)
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
					a, err := pool.Do(ctx, &Request{Address: p.address, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
					if err != nil {
						return
					}
					defer a.Close()
					_, err = a.ReadAll(ctx, largest)
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
				qt.Check(t, peak-before < most, qt.IsTrue, qt.Commentf("%d bytes held", peak-before))
			}
		})
	}
}

// heapBytes returns what is in use, garbage included.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// FuzzHead: no bytes make the reading of a head panic, hang or read more than
// its bound.
func FuzzHead(f *testing.F) {
	f.Add([]byte(whole))
	for _, x := range endlessAnswers {
		f.Add([]byte(x.start + strings.Repeat(x.again, 100)))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		source := &boundedReader{from: &endlessReader{text: text}}
		c := &connection{reader: bufio.NewReaderSize(source, bufferSize), source: source}
		response, err := c.readHead("GET")
		if err != nil {
			return
		}
		a := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body}
		_, _ = a.ReadAll(t.Context(), 1<<10)
	})
}

// endlessReader repeats a text for ever.
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

// TestBodyTakesMemoryAsItComes: a body that is read whole allocates no more
// than twice its bytes, and never more than a block ahead of them.
func TestBodyTakesMemoryAsItComes(t *testing.T) {
	const size = 512 << 10
	tests := []struct {
		name        string
		sent        int
		stated, max int64
		most        uint64
		fails       bool
	}{
		{"whole, stated", size, size, size, 2*size + 2*blockBytes, false},
		{"whole, not stated", size, -1, size, 2*size + 2*blockBytes, false},
		{"above the bound", 4 * size, -1, size, size + 2*blockBytes, true},
		{"stated and never sent", 1, size, size, blockBytes + 1024, false},
		{"small", 2, 2, size, blockBytes / 4, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			source := strings.NewReader(strings.Repeat("x", x.sent))
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			before := m.TotalAlloc
			body, err := readWhole(source, x.stated, x.max)
			runtime.ReadMemStats(&m)
			qt.Check(t, err != nil, qt.Equals, x.fails)
			if !x.fails {
				qt.Check(t, len(body), qt.Equals, x.sent)
			}
			qt.Check(t, m.TotalAlloc-before <= x.most, qt.IsTrue, qt.Commentf("%d bytes", m.TotalAlloc-before))
		})
	}
}
