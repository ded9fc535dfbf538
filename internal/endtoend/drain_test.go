package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answerTimeout is how long a test waits for one answer.
const answerTimeout = 5 * time.Second

// keptConn is a connection to an entry that carries several requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
	path   string
}

// openKeptConn opens a connection and has one request answered on it.
func openKeptConn(t *testing.T, address, path string) *keptConn {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	k := &keptConn{conn, bufio.NewReader(conn), path}
	qt.Assert(t, k.send(), qt.IsNil)
	_, err = k.answer()
	qt.Assert(t, err, qt.IsNil)
	return k
}

func (k *keptConn) send() error {
	_, err := fmt.Fprintf(k, "GET %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n\r\n", k.path, accountKey)
	return err
}

// answer reads a whole answer of any status. It reports whether the entry asks
// for the end of the connection.
func (k *keptConn) answer() (closing bool, err error) {
	if err := k.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Close, err
}

// TestArrivedRequestsAreAnsweredBeforeTheEnd guards against the loss of requests on
// kept connections that had reached an entry which stood still while the notice
// period of its drain ended.
func TestArrivedRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	for _, listener := range []string{"callers", "operators"} {
		t.Run(listener, func(t *testing.T) {
			const notice = time.Second
			s := startSystemWithNotice(t, notice, 1)
			e := s.entries[0]
			address, path := e.callers, "/v1/models"
			if listener == "operators" {
				address, path = e.operators, "/healthz"
			}
			var kept []*keptConn
			for range 64 {
				kept = append(kept, openKeptConn(t, address, path))
			}
			process := e.command.Process
			qt.Assert(t, process.Signal(syscall.SIGTERM), qt.IsNil)
			time.Sleep(notice / 2)
			qt.Assert(t, process.Signal(syscall.SIGSTOP), qt.IsNil)
			for _, k := range kept {
				qt.Assert(t, k.send(), qt.IsNil)
			}
			time.Sleep(notice)
			qt.Assert(t, process.Signal(syscall.SIGCONT), qt.IsNil)
			lost := 0
			for _, k := range kept {
				if _, err := k.answer(); err != nil {
					lost++
				}
			}
			qt.Check(t, lost, qt.Equals, 0, qt.Commentf("of %d requests", len(kept)))
			<-e.done
			qt.Check(t, e.command.ProcessState.ExitCode(), qt.Equals, 0)
		})
	}
}

// TestDrainEndsWithBusyCallers guards against a drain that waits until its timeout,
// and then cuts requests, because callers go on sending on kept connections.
func TestDrainEndsWithBusyCallers(t *testing.T) {
	s := startSystem(t, 1)
	e := s.entries[0]
	var lost []chan error
	for range 16 {
		k := openKeptConn(t, e.callers, "/v1/models")
		ended := make(chan error, 1)
		lost = append(lost, ended)
		go func() {
			for closing := false; !closing; {
				err := k.send()
				if err == nil {
					closing, err = k.answer()
				}
				if err != nil {
					ended <- err
					return
				}
			}
			ended <- nil
		}()
	}
	begin := time.Now()
	qt.Assert(t, e.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	<-e.done
	qt.Check(t, time.Since(begin) < 10*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
	for _, ended := range lost {
		qt.Check(t, <-ended, qt.IsNil)
	}
}
