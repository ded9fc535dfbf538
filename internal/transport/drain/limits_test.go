package drain_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/transport/drain"
	"lovageport.example/internal/transport/intake"
)

// limited is a server with limits.
type limited struct {
	*server
	limit atomic.Int64
	// served counts the requests that the handler has had.
	served  atomic.Int64
	mu      sync.Mutex
	reasons map[intake.Reason]int
}

// serveLimited starts a server with limits, whose handler waits for release at the path
// /wait.
func serveLimited(t *testing.T, headBytes int64, memory int64, conns int, release chan struct{}) *limited {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := &limited{server: &server{Listener: drain.NewListener(tcp)}, reasons: make(map[intake.Reason]int)}
	l.limit.Store(headBytes)
	l.MaxHeadBytes = l.limit.Load
	l.Memory = &intake.Memory{Max: memory}
	l.MaxConns = conns
	l.OnClose = func(r intake.Reason) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reasons[r]++
	}
	h := &http.Server{ConnState: drain.Track, ReadHeaderTimeout: 20 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.served.Add(1)
		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/wait" {
			<-release
		}
	})}
	go h.Serve(l.Listener)
	t.Cleanup(func() { h.Close() })
	return l
}

// closed returns how many connections were closed for a reason.
func (l *limited) closed(reason intake.Reason) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reasons[reason]
}

// head returns a request whose head has a number of bytes.
func head(path string, size int) string {
	start := "GET " + path + " HTTP/1.1\r\nHost: h\r\nX: "
	return start + strings.Repeat("x", size-len(start)-4) + "\r\n\r\n"
}

// TestHeadLimit guards against heads above the limit, also of later requests on a
// connection and after a change of the limit, and against refusing those within it. What
// follows a head, and the requests before it, do not count.
func TestHeadLimit(t *testing.T) {
	c := qt.New(t)
	const limit = 32 << 10
	l := serveLimited(t, limit, 0, 0, nil)
	client := l.dial(t)
	for range 5 {
		client.write(head("/", limit))
		c.Assert(client.answer(), qt.Equals, http.StatusOK)
	}
	client.write(strings.Replace(head("/", limit), "GET", "POST", 1)[:limit-1] + "Content-Length: 100000\r\n\r\n" + strings.Repeat("b", 100000))
	c.Assert(client.answer(), qt.Equals, http.StatusOK)
	client.write(strings.Repeat(get, 10))
	for range 10 {
		c.Assert(client.answer(), qt.Equals, http.StatusOK)
	}
	client.write(head("/", 2*limit)[:limit+10<<10])
	c.Check(client.answer(), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	c.Check(client.answer(), qt.Equals, 0)
	l.limit.Store(4 * limit)
	client = l.dial(t)
	client.write(head("/", 4*limit))
	c.Check(client.answer(), qt.Equals, http.StatusOK)
	l.limit.Store(limit)
	client.write(head("/", 4*limit)[:limit+10<<10])
	c.Check(client.answer(), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	c.Check(l.closed(intake.HeadTooLarge), qt.Equals, 2)
	c.Check(l.served.Load(), qt.Equals, int64(17))
}

// TestHeadsShareMemory guards against memory that grows with the number of incomplete
// heads, against closing a connection whose request runs, and against refusing ordinary
// requests meanwhile. The refused requests have not run.
func TestHeadsShareMemory(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	l := serveLimited(t, 64<<10, 1<<20, 0, release)
	running := l.dial(t)
	running.write(head("/wait", 60<<10))
	for l.served.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	const clients = 40
	refused := make(chan int, clients)
	for range clients {
		client := l.dial(t)
		go func() {
			client.Write([]byte(head("/", 60<<10)[:50<<10]))
			refused <- client.answer()
		}()
	}
	for l.closed(intake.MemoryFull) < clients-8 {
		// Connections that are being closed may take an eighth more.
		c.Assert(l.Memory.Used() <= 1<<20+1<<17, qt.IsTrue, qt.Commentf("%d bytes", l.Memory.Used()))
		time.Sleep(time.Millisecond)
	}
	c.Check(<-refused, qt.Equals, http.StatusServiceUnavailable)
	client := l.dial(t)
	client.write(get)
	c.Check(client.answer(), qt.Equals, http.StatusOK)
	close(release)
	c.Check(running.answer(), qt.Equals, http.StatusOK)
	running.write(get)
	c.Check(running.answer(), qt.Equals, http.StatusOK)
	c.Check(l.served.Load(), qt.Equals, int64(3))
}

// TestConnectionsMakeRoom guards against connections without a request that keep others
// from being accepted, and against closing those that have one.
func TestConnectionsMakeRoom(t *testing.T) {
	for name, first := range map[string]string{
		"silent":                  "",
		"cut heads":               get[:20],
		"bodies that do not come": postStart,
		"refused bodies":          strings.Replace(postStart, "POST /", "POST /refuse", 1),
	} {
		t.Run(name, func(t *testing.T) { checkRoom(t, first) })
	}
}

// checkRoom has more connections open than may be, on each of which only first was sent.
func checkRoom(t *testing.T, first string) {
	c := qt.New(t)
	release := make(chan struct{})
	const conns = 16
	l := serveLimited(t, 64<<10, 0, conns, release)
	var running []*client
	for range conns / 2 {
		r := l.dial(t)
		r.write(head("/wait", 200))
		running = append(running, r)
	}
	for l.served.Load() < conns/2 {
		time.Sleep(time.Millisecond)
	}
	for range 4 * conns {
		l.dial(t).write(first)
	}
	time.Sleep(longIdle)
	for range conns {
		client := l.dial(t)
		client.write(get)
		c.Assert(client.answer(), qt.Equals, http.StatusOK)
		client.Close()
		c.Assert(l.Open() <= conns+2, qt.IsTrue)
	}
	close(release)
	for _, r := range running {
		c.Check(r.answer(), qt.Equals, http.StatusOK)
	}
	c.Check(l.closed(intake.TooManyConnections) >= 3*conns, qt.IsTrue, qt.Commentf("%d", l.closed(intake.TooManyConnections)))
}

// FuzzHead guards against heads that end the process, that leave memory counted after
// their connection has ended, or that are refused for their size although they are within
// the limit.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		get, get + get, postStart, "\r\n\r\n" + get, "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 4000) + "\r\n",
		head("/", 5000), "GET /" + strings.Repeat("x", 20000), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nz\r\n0\r\nT: u\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", strings.Repeat("\n", 5000), "GET / HTTP/1.0\r\nX:" + strings.Repeat("\x00", 9000),
	} {
		f.Add([]byte(seed), uint8(0))
		f.Add([]byte(seed), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, pieces uint8) {
		pipes := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		l := drain.NewListener(pipes)
		l.Memory = &intake.Memory{Max: 1 << 20}
		l.MaxHeadBytes = func() int64 { return 4 << 10 }
		tooLarge := false
		l.OnClose = func(r intake.Reason) { tooLarge = tooLarge || r == intake.HeadTooLarge }
		ended := make(chan struct{})
		h := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second, ConnState: func(c net.Conn, s http.ConnState) {
			drain.Track(c, s)
			if s == http.StateClosed {
				close(ended)
			}
		}}
		go h.Serve(l)
		defer h.Close()
		client, conn := net.Pipe()
		pipes.conns <- conn
		go io.Copy(io.Discard, client)
		for i := range int(pieces) + 1 {
			part := len(text) / (int(pieces) + 1)
			end := (i + 1) * part
			if i == int(pieces) {
				end = len(text)
			}
			if _, err := client.Write(text[i*part : end]); err != nil {
				break
			}
		}
		client.Close()
		<-ended
		if used := l.Memory.Used(); used != 0 {
			t.Fatalf("%d bytes are counted", used)
		}
		first, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err == nil && first.ContentLength == 0 && len(text) <= 4<<10 && tooLarge {
			t.Fatal("a head within the limit was refused")
		}
	})
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr{} }

// pipeAddr is the address of a pipeListener.
type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
