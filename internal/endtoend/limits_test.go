package endtoend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcwire"

	"lovageport.example/internal/transport/tunnel"
	"lovageport.example/platform"
	"lovageport.example/platform/platformtest"
)

// The load of clients that ignore limits, and what a process may use under it. They are
// scaled down from the smallest VMs, which have 136 MB and 2,870 descriptors.
const (
	// floodConns is the number of connections, and floodBytes what is sent on each.
	floodConns = 320
	floodBytes = 768 << 10
	// limitMemoryMB is the memory that the settings of the processes state. It bounds
	// their resident memory.
	limitMemoryMB = 64
	// manyDescriptors lets a process accept all connections, fewDescriptors does not.
	// The settings state one of them, which bounds the open descriptors.
	manyDescriptors = 900
	fewDescriptors  = 300
	// usualHeadBytes and largeHeadBytes are limits of heads in the configuration. With
	// the latter the heads of all connections exceed the memory, although none exceeds
	// its limit.
	usualHeadBytes = 16 << 10
	largeHeadBytes = 256 << 10
	// largestBodyBytes is the limit of bodies.
	largestBodyBytes = 2 << 20
)

// recoveryTimeout is how long a process may take to answer requests after a flood.
const recoveryTimeout = 20 * time.Second

// flood is what a client that ignores limits sends on a connection: start, and then
// again up to floodBytes. It then keeps the connection open.
type flood struct{ name, start, again string }

// gatewayFloods are the floods at the listeners of a gateway.
func gatewayFloods() []struct {
	listener    string
	descriptors int
	headBytes   int
	floods      []flood
} {
	get := "GET / HTTP/1.1\r\nHost: h\r\n"
	r, err := http.NewRequest(http.MethodPost, "http://"+platformtest.Host+"/book/x", nil)
	if err != nil {
		panic(err)
	}
	platformtest.SetCall(r, "flood", "k1", 10*time.Second, 6)
	var fields bytes.Buffer
	if err := r.Header.Write(&fields); err != nil {
		panic(err)
	}
	line := "POST /book/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n"
	post := line + fields.String() + "Transfer-Encoding: chunked\r\n\r\n"
	heads := []flood{
		{"request line without end", "GET /", strings.Repeat("x", 512)},
		{"header value without end", get + "X: ", strings.Repeat("x", 512)},
		{"header lines without end", get, "X-A: b\r\nX-C: d\r\n"},
		{"short header lines without end", get, "A:\r\n"},
	}
	silent := []flood{
		{"silent connections", "", ""},
		{"heads that are cut", get + "X: ", ""},
	}
	return []struct {
		listener    string
		descriptors int
		headBytes   int
		floods      []flood
	}{
		{"callers", manyDescriptors, usualHeadBytes, append(heads,
			flood{"empty lines", "", "\r\n"},
			flood{"chunk extensions without end", post + "1;x=", strings.Repeat("y", 512)},
			flood{"chunks with extensions without end", post, "1;x=" + strings.Repeat("y", 64) + "\r\nz\r\n"},
			flood{"chunks without end", post, "200\r\n" + strings.Repeat("z", 512) + "\r\n"},
			flood{"trailers without end", post + "0\r\n", "X-Trailer: y\r\n"},
			flood{"requests without reading", "", get + "\r\n"},
		)},
		{"callers", manyDescriptors, largeHeadBytes, heads},
		{"callers", fewDescriptors, usualHeadBytes, append(silent,
			flood{"bodies that do not come", line + fields.String() + "Content-Length: 1000\r\n\r\n", ""},
			flood{"bodies of strangers that do not come", line + "Content-Length: 1000\r\n\r\n", ""},
		)},
		{"health", fewDescriptors, usualHeadBytes, append(silent, heads[1])},
		{"metrics", fewDescriptors, usualHeadBytes, append(silent, heads[1])},
		{"peers", manyDescriptors, usualHeadBytes, peerFloods()},
		{"peers", fewDescriptors, usualHeadBytes, []flood{{"silent connections", "", ""}, {"cut tunnel prefix", tunnel.Prefix[:3], ""}}},
	}
}

// peerFloods are floods at the listener of peers.
func peerFloods() []flood {
	frame := func(kind drpcwire.Kind, size int) string {
		return string(drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, size), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind}))
	}
	return []flood{
		{"message without end", "", frame(drpcwire.KindInvoke, 4<<10)},
		{"metadata without end", "", frame(drpcwire.KindInvokeMetadata, 4<<10)},
		{"one frame without end", frame(drpcwire.KindInvoke, 1000<<10)[:16], strings.Repeat("\x00", 512)},
		{"empty frames without end", "", frame(drpcwire.KindInvoke, 0)},
		{"no message", "", strings.Repeat("x", 512)},
	}
}

// TestGatewayLimitsClients guards against clients that end a gateway, or leave others
// without an answer, by sending what no limit allows: the memory and the descriptors of
// the process stay below what its settings state, and afterwards it answers an ordinary
// request and the largest one that the limits allow.
func TestGatewayLimitsClients(t *testing.T) {
	for _, x := range gatewayFloods() {
		for _, f := range x.floods {
			t.Run(fmt.Sprintf("%s, heads of %d KB/%s", x.listener, x.headBytes>>10, f.name), func(t *testing.T) {
				g := startGateway(t, x.descriptors, x.headBytes)
				addresses := map[string]string{"callers": g.callers, "health": g.health, "metrics": g.metrics, "peers": g.peers}
				use := runFlood(t, g.process, addresses[x.listener], f)
				checkUse(t, g.process, use, x.descriptors)
				for _, call := range []func() (int, error){g.call, g.callLargest, g.checkHealth} {
					awaitAnswer(t, call)
				}
				checkUse(t, g.process, use, x.descriptors)
			})
		}
	}
}

// TestEntryLimitsClients is like TestGatewayLimitsClients for an entry.
func TestEntryLimitsClients(t *testing.T) {
	for _, x := range []struct {
		listener string
		floods   []flood
	}{
		{"callers", []flood{{"header value without end", "GET / HTTP/1.1\r\nHost: h\r\nX: ", strings.Repeat("x", 512)}}},
		{"operators", []flood{{"header value without end", "GET / HTTP/1.1\r\nHost: h\r\nX: ", strings.Repeat("x", 512)}}},
		{"peers", peerFloods()[:1]},
	} {
		for _, f := range x.floods {
			t.Run(x.listener+"/"+f.name, func(t *testing.T) {
				s := startSystem(t, 1)
				e := s.entries[0]
				addresses := map[string]string{"callers": e.callers, "operators": e.operators, "peers": e.peers}
				use := runFlood(t, e, addresses[x.listener], f)
				checkUse(t, e, use, manyDescriptors)
				awaitAnswer(t, func() (int, error) {
					response, _, err := post(e, "/services/ladentisch/bookings", "after", "roses")
					if err != nil {
						return 0, err
					}
					return response.StatusCode, nil
				})
				checkUse(t, e, use, manyDescriptors)
			})
		}
	}
}

// TestDevLimitsClients is like TestGatewayLimitsClients for the process of the command
// dev, which has no settings file.
func TestDevLimitsClients(t *testing.T) {
	for _, listener := range []string{"callers", "operators"} {
		t.Run(listener, func(t *testing.T) {
			p := &process{callers: freeAddress(t), operators: freeAddress(t)}
			started := startProgram(t, "lovageport", "dev", "--callers", p.callers, "--operators", p.operators)
			p.command, p.output, p.done = started.command, started.output, started.done
			awaitListening(t, p.operators)
			ready := func() (int, error) {
				r, err := http.NewRequest(http.MethodGet, "http://"+p.operators+"/readyz", nil)
				if err != nil {
					return 0, err
				}
				return sendOnce(r)
			}
			awaitAnswer(t, ready)
			addresses := map[string]string{"callers": p.callers, "operators": p.operators}
			use := runFlood(t, p, addresses[listener], flood{"header value without end", "GET / HTTP/1.1\r\nHost: h\r\nX: ", strings.Repeat("x", 512)})
			awaitAnswer(t, ready)
			checkUse(t, p, use, manyDescriptors)
		})
	}
}

// gatewayProcess is a gateway with a store and upstreams.
type gatewayProcess struct {
	*process
	health, metrics string
	headBytes       int
}

// startGateway starts a store, a plain service and a gateway, and waits until it serves.
func startGateway(t *testing.T, descriptors, headBytes int) *gatewayProcess {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	u := platformtest.NewUpstream(store, platformtest.PlainService, "a", "", "s0")
	t.Cleanup(u.Close)
	store.Configure(platformtest.Configuration{Version: 1, Keys: []string{"k1"}, StreamAttempts: 2, Edit: func(s *platformtest.Specification) {
		s.Limits = map[string]any{"max_header_bytes": headBytes, "max_body_bytes": largestBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		platformtest.Named(s.Routes, "book")["timeout_ms"] = 10_000
	}})
	g := runGateway(t, store, descriptors, "")
	g.headBytes = headBytes
	awaitAnswer(t, g.call)
	return g
}

// runGateway starts a gateway, with further settings, and waits until it listens.
func runGateway(t *testing.T, store *platformtest.Store, descriptors int, settings string) *gatewayProcess {
	g := &gatewayProcess{health: freeAddress(t), metrics: freeAddress(t)}
	callers, peers := freeAddress(t), freeAddress(t)
	var b strings.Builder
	fmt.Fprintf(&b, "Name = \"g1\"\nZone = \"a\"\nFirstStart = true\n")
	fmt.Fprintf(&b, "[Listen]\nCallers = %q\nHealth = %q\nPeers = %q\nMetrics = %q\n", callers, g.health, peers, g.metrics)
	fmt.Fprintf(&b, "[Platform]\nAddress = %q\n%s", store.Address, settings)
	path := filepath.Join(t.TempDir(), "g1.toml")
	writeLimits(t, path, b.String(), "--gateway", descriptors)
	g.process = startProgram(t, "lovageport", "gateway", "--config", path)
	g.callers, g.peers = callers, peers
	awaitListening(t, g.callers)
	return g
}

// writeLimits writes a settings file with the limits of the test. Builds whose settings
// have none get a file without them.
func writeLimits(t testing.TB, path, text, flag string, descriptors int) {
	limited := fmt.Sprintf("%s[Limits]\nMemoryMB = %d\nMaxDescriptors = %d\n", text, limitMemoryMB, descriptors)
	qt.Assert(t, os.WriteFile(path, []byte(limited), 0o600), qt.IsNil)
	if exec.Command(filepath.Join(binDir, "lovageport"), "check", flag, path).Run() != nil {
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
}

// call sends an ordinary request and returns the status of its answer.
func (g *gatewayProcess) call() (int, error) { return g.send("ordinary", 100, 100) }

// callLargest sends the largest request that the limits allow.
func (g *gatewayProcess) callLargest() (int, error) {
	// The method, the path, and the fields of other names take less than 1 KB.
	return g.send("largest", g.headBytes-1024, largestBodyBytes)
}

func (g *gatewayProcess) send(id string, headBytes, bodyBytes int) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/book/x", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return 0, err
	}
	platformtest.SetCall(r, id, "k1", 10*time.Second, 6)
	r.Header.Set("X-Filler", strings.Repeat("x", headBytes))
	return sendOnce(r)
}

func (g *gatewayProcess) checkHealth() (int, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.health+platform.ReadyPath, nil)
	if err != nil {
		return 0, err
	}
	return sendOnce(r)
}

// sendOnce sends a request over a connection of its own.
func sendOnce(r *http.Request) (int, error) {
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitAnswer calls until the answer is a success.
func awaitAnswer(t *testing.T, call func() (int, error)) {
	t.Helper()
	status, err := call()
	for end := time.Now().Add(recoveryTimeout); status != http.StatusOK && time.Now().Before(end); status, err = call() {
		time.Sleep(pollInterval)
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

// use is the most that a process has used.
type use struct{ memoryKB, descriptors int }

// observe adds what the process uses now, and its peak of memory.
func (u *use) observe(pid int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	peak := 0
	if _, err := fmt.Sscan(after, &peak); err == nil {
		u.memoryKB = max(u.memoryKB, peak)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err == nil {
		u.descriptors = max(u.descriptors, len(open))
	}
}

// checkUse checks that a process lives and what it has used.
func checkUse(t *testing.T, p *process, u *use, descriptors int) {
	t.Helper()
	select {
	case <-p.done:
		t.Fatal("the process has ended")
	default:
	}
	u.observe(p.command.Process.Pid)
	t.Logf("%d KB of memory, %d descriptors", u.memoryKB, u.descriptors)
	qt.Check(t, u.memoryKB <= limitMemoryMB<<10, qt.IsTrue, qt.Commentf("%d KB of memory", u.memoryKB))
	qt.Check(t, u.descriptors <= descriptors, qt.IsTrue, qt.Commentf("%d descriptors", u.descriptors))
}

// Limits of the wait until a process has read what it reads of a flood.
const (
	floodPollInterval = 50 * time.Millisecond
	// quietPolls is the number of polls without a change of the use after which the
	// process has read everything.
	quietPolls = 6
	maxPolls   = 100
	// floodTimeout bounds a write that the process does not read.
	floodTimeout = 3 * time.Second
)

// runFlood sends a flood on floodConns connections, and closes them once the process has
// read what it does of it. It returns what the process has used.
func runFlood(t *testing.T, p *process, address string, f flood) *use {
	u := &use{}
	var sent atomic.Int64
	end := make(chan struct{})
	var clients sync.WaitGroup
	for range floodConns {
		clients.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				sent.Add(1)
				return
			}
			defer conn.Close()
			sendFlood(conn, f)
			sent.Add(1)
			<-end
		})
	}
	pid := p.command.Process.Pid
	for quiet, polls := 0, 0; quiet < quietPolls && polls < maxPolls; polls++ {
		before := *u
		time.Sleep(floodPollInterval)
		u.observe(pid)
		quiet++
		if *u != before || sent.Load() < floodConns {
			quiet = 0
		}
	}
	close(end)
	clients.Wait()
	return u
}

// sendFlood sends floodBytes, or until the process closes the connection.
func sendFlood(conn net.Conn, f flood) {
	if conn.SetWriteDeadline(time.Now().Add(floodTimeout)) != nil {
		return
	}
	_, err := io.WriteString(conn, f.start)
	if f.again == "" {
		return
	}
	block := []byte(strings.Repeat(f.again, 1+8<<10/len(f.again)))
	for n := 0; err == nil && n < floodBytes; n += len(block) {
		_, err = conn.Write(block)
	}
}
