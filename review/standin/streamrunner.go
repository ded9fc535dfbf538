package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// narrowListener is a listener of a runner whose link to one gateway can be cut without
// touching the network of the machine. Once cut, what that gateway's open connections
// carry stays unsent, and its new connections do not open: the queue of new connections is
// full whenever it opens one. Others find room there.
type narrowListener struct {
	address string
	fd      int
	// from is the process whose link is cut.
	from int

	mu    sync.Mutex
	conns chan net.Conn
	open  []*link
	cut   bool
	fills []int
	done  chan struct{}
}

// newNarrowListener listens with the smallest queue of new connections.
func newNarrowListener() (*narrowListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	// Before the cut the queue is as long as usual.
	if err := syscall.Listen(fd, 128); err != nil {
		return nil, err
	}
	if err := syscall.SetNonblock(fd, true); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	l := &narrowListener{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), conns: make(chan net.Conn), done: make(chan struct{})}
	go l.run()
	return l, nil
}

// run accepts connections, but for the moments in which the queue must stay full.
func (l *narrowListener) run() {
	for {
		select {
		case <-l.done:
			return
		default:
		}
		if l.mayAccept() {
			l.acceptAll()
		} else {
			l.fill()
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// mayAccept reports whether the queue may be emptied: before the cut, and while a
// connection of the gateway that is cut off waits to be opened. Its opening packet, which
// was dropped, is sent again a second later only.
func (l *narrowListener) mayAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return true
	}
	for _, inode := range opening(l.address) {
		if owns(l.from, inode) {
			return true
		}
	}
	return false
}

// fill keeps the queue full with connections of this process.
func (l *narrowListener) fill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.fills) < 2 {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return
		}
		port, _ := strconv.Atoi(l.address[strings.LastIndexByte(l.address, ':')+1:])
		syscall.Connect(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}, Port: port})
		l.fills = append(l.fills, fd)
	}
}

func (l *narrowListener) acceptAll() {
	l.mu.Lock()
	for _, fd := range l.fills {
		syscall.Close(fd)
	}
	l.fills = nil
	l.mu.Unlock()
	for {
		fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f)
		f.Close()
		if err != nil {
			continue
		}
		k := &link{Conn: c}
		l.mu.Lock()
		l.open = append(l.open, k)
		l.mu.Unlock()
		l.conns <- k
	}
}

// cutFrom cuts the link to a process.
func (l *narrowListener) cutFrom(pid int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, k := range l.open {
		for _, inode := range sockets(k.RemoteAddr().String(), "", "") {
			if owns(pid, inode) {
				k.silent.Store(true)
				n++
			}
		}
	}
	l.from, l.cut = pid, true
	// The queue holds one connection from now on.
	syscall.Listen(l.fd, 0)
	return n
}

// heal ends the cut. The connections that were silent stay so.
func (l *narrowListener) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = false
	syscall.Listen(l.fd, 128)
}

func (l *narrowListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *narrowListener) Close() error {
	close(l.done)
	return syscall.Close(l.fd)
}

func (l *narrowListener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", l.address)
	return a
}

// opening returns the inodes of the sockets that wait for a connection to an address.
func opening(remote string) []string { return sockets("", remote, "02") }

// sockets returns the inodes of the TCP sockets with a local address, a remote one and a
// state; empty ones are not compared.
func sockets(local, remote, state string) []string {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	var out []string
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 10 || f[0] == "sl" {
			continue
		}
		if (local == "" || f[1] == hexAddress(local)) && (remote == "" || f[2] == hexAddress(remote)) && (state == "" || f[3] == state) {
			out = append(out, f[9])
		}
	}
	return out
}

// hexAddress returns an address on 127.0.0.1 as /proc/net/tcp writes it.
func hexAddress(address string) string {
	port, _ := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
	return fmt.Sprintf("0100007F:%04X", port)
}

// owns reports whether a process holds the socket with an inode.
func owns(pid int, inode string) bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, f := range files {
		if to, err := os.Readlink(f); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// newStreamRunner starts a runner whose requests are answered by streams of events.
func newStreamRunner(rec *record, service, zone, id string, slots int) (*runner, *narrowListener, error) {
	l, err := newNarrowListener()
	if err != nil {
		return nil, nil, err
	}
	r := &runner{id: id, service: service, zone: zone, address: l.address, slots: slots, record: rec, listener: l, busy: make(chan struct{}, slots), events: events, eventTime: eventTime}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r, l, nil
}

const (
	// events is the number of events of a stream, and eventTime the time between two.
	events    = 40
	eventTime = 100 * time.Millisecond
)

// serveStream answers with the events after the one that the client has.
func (r *runner) serveStream(w http.ResponseWriter, q *http.Request, id string) {
	have, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	h := w.Header()
	h.Set(wire.OriginStamp, r.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := have + 1; n <= r.events; n++ {
		select {
		case <-time.After(r.eventTime):
		case <-q.Context().Done():
			r.record.log("dropped", "%s drops %s: its connection has ended", r.id, id)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, id)
		flusher.Flush()
	}
	r.record.log("ran", "%s ends %s", r.id, id)
}
