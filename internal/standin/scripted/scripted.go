// Package scripted simulates an HTTP server that answers with any bytes, so that
// tests can try answers which no proper server writes.
package scripted

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// Server answers the requests of a connection one after the other.
type Server struct {
	// Answer returns what to write after the n-th request of a connection, counted
	// from 0, and whether to end the connection then. It may be called by several
	// goroutines at once.
	Answer func(n int, r *http.Request) (text string, end bool)
	// Reset ends connections with a reset.
	Reset bool
}

// Serve answers the requests on the connections of a listener until that is
// closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// resetDelay is how long a reset waits, so that the client can read the bytes
// before it.
const resetDelay = time.Millisecond

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, end := s.Answer(n, r)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if !end && !r.Close {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok && s.Reset {
			time.Sleep(resetDelay)
			_ = tcp.SetLinger(0)
		}
		return
	}
}
