package soak

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// dialEchoServer starts a server that echoes lines and a proxy in front of
// it. It returns the proxy, a connection through it and a reader of that
// connection.
func dialEchoServer(t *testing.T) (*Proxy, net.Conn, *bufio.Reader) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	p, err := NewProxy(listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	return p, c, bufio.NewReader(c)
}

func TestProxyForwards(t *testing.T) {
	_, c, r := dialEchoServer(t)
	fmt.Fprintln(c, "hello")
	line, err := r.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line, qt.Equals, "hello\n")
}

// TestProxyFaults checks that each fault delays or breaks a connection, and
// for no longer than it is injected.
func TestProxyFaults(t *testing.T) {
	for _, x := range []struct {
		name   string
		fault  ProxyFault
		broken bool
	}{
		{"delay", ProxyFault{Delay: 60 * time.Millisecond}, false},
		{"stalled to the target", ProxyFault{StallToTarget: true}, false},
		{"stalled from the target", ProxyFault{StallFromTarget: true}, false},
		{"reset", ProxyFault{Reset: true}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, c, r := dialEchoServer(t)
			end := l.Inject(x.fault)
			time.AfterFunc(100*time.Millisecond, end)
			began := time.Now()
			fmt.Fprintln(c, "hello")
			line, err := r.ReadString('\n')
			qt.Check(t, err != nil, qt.Equals, x.broken)
			if !x.broken {
				qt.Check(t, line, qt.Equals, "hello\n")
				qt.Check(t, time.Since(began) > 90*time.Millisecond, qt.IsTrue)
			}
		})
	}
}

// TestEndlessResponse checks that endless data replaces the response of the
// target.
func TestEndlessResponse(t *testing.T) {
	l, c, r := dialEchoServer(t)
	defer l.Inject(ProxyFault{EndlessResponse: true})()
	fmt.Fprintln(c, "hello")
	for range 3 {
		line, err := r.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, line == "hello\n", qt.IsFalse)
	}
}
