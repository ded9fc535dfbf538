// Package endless simulates a server that sends bytes without end to each
// client, whatever the request.
package endless

import (
	"io"
	"net"
	"strings"
	"sync"
)

// minBlockBytes is the least number of bytes per write.
const minBlockBytes = 8 << 10

// WriteUntilError writes prefix once and then repeat again and again until a
// write fails, as it does once the other end has closed the connection. It
// returns the number of bytes written. repeat must not be empty.
func WriteUntilError(to io.Writer, prefix, repeat string) int {
	total, err := io.WriteString(to, prefix)
	// Tests measure what the other side allocates, so the loop below must not
	// allocate.
	block := []byte(strings.Repeat(repeat, 1+minBlockBytes/len(repeat)))
	for err == nil {
		var n int
		n, err = to.Write(block)
		total += n
	}
	return total
}

// Server sends endless data over each connection.
type Server struct {
	// ReadRequest reads the request before data is sent. If it is nil,
	// nothing is read; if it returns an error, nothing is sent.
	ReadRequest func(conn net.Conn) error
	// Prefix and Repeat are the arguments of [WriteUntilError].
	Prefix, Repeat string
}

// Serve accepts connections until the listener is closed, and returns once
// all connections have ended.
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
