package soak

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// echo returns a connection over a link to a server that echoes lines.
func echo(t *testing.T) (*Proxy, net.Conn, *bufio.Reader) {
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
	l, err := NewProxy(listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(l.Close)
	c, err := net.Dial("tcp", l.Address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	return l, c, bufio.NewReader(c)
}

func TestLinkPassesOn(t *testing.T) {
	_, c, r := echo(t)
	fmt.Fprintln(c, "hello")
	line, err := r.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line, qt.Equals, "hello\n")
}

// TestLinkHarms: each harm holds back or breaks what passes, and no longer than
// it lasts.
func TestLinkHarms(t *testing.T) {
	for _, x := range []struct {
		name   string
		harm   ProxyFault
		broken bool
	}{
		{"delay", ProxyFault{Delay: 60 * time.Millisecond}, false},
		{"silent to the target", ProxyFault{StallToTarget: true}, false},
		{"silent from the target", ProxyFault{StallFromTarget: true}, false},
		{"reset", ProxyFault{Reset: true}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, c, r := echo(t)
			end := l.Inject(x.harm)
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

// TestLinkPours: bytes that never end come in place of what the target says.
func TestLinkPours(t *testing.T) {
	l, c, r := echo(t)
	defer l.Inject(ProxyFault{EndlessResponse: true})()
	fmt.Fprintln(c, "hello")
	for range 3 {
		line, err := r.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, line == "hello\n", qt.IsFalse)
	}
}
