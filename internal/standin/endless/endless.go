// Package endless stands in for a server that sends bytes without end, whoever
// calls it and whatever it is asked.
package endless

import (
	"io"
	"net"
	"strings"
	"sync"
)

// blockBytes is how much is written at a time, at least.
const blockBytes = 8 << 10

// WriteUntilError writes a start once and what comes again until the writing fails, as it
// does once the other end has closed the connection. It returns how many bytes
// it could write.
func WriteUntilError(to io.Writer, start, again string) int {
	total, err := io.WriteString(to, start)
	// Tests measure what the other side allocates, so that this one must not.
	block := []byte(strings.Repeat(again, 1+blockBytes/len(again)))
	for err == nil {
		var n int
		n, err = to.Write(block)
		total += n
	}
	return total
}

// Server pours over each connection that it gets.
type Server struct {
	// ReadRequest reads what the caller sends first; nil takes nothing.
	ReadRequest func(conn net.Conn) error
	// Prefix and Repeat are what [Pour] writes.
	Prefix, Repeat string
}

// Serve serves until the listener is closed and all connections have ended.
func (s *Server) Serve(listener net.Listener) {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		serving.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	if s.ReadRequest != nil && s.ReadRequest(conn) != nil {
		return
	}
	WriteUntilError(conn, s.Prefix, s.Repeat)
}
