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
func echo(t *testing.T) (*Link, net.Conn, *bufio.Reader) {
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
	l, err := NewLink(listener.Addr().String())
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
		harm   Harm
		broken bool
	}{
		{"delay", Harm{Delay: 60 * time.Millisecond}, false},
		{"silent to the target", Harm{SilentTo: true}, false},
		{"silent from the target", Harm{SilentFrom: true}, false},
		{"reset", Harm{Reset: true}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, c, r := echo(t)
			end := l.Harm(x.harm)
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
	defer l.Harm(Harm{Endless: true})()
	fmt.Fprintln(c, "hello")
	for range 3 {
		line, err := r.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, line == "hello\n", qt.IsFalse)
	}
}
