package intake

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLargestAndOldestIsEvicted guards against closing a client whose request is about to
// be complete while others hold more for longer.
func TestLargestAndOldestIsEvicted(t *testing.T) {
	c := qt.New(t)
	m := &Memory{Max: 100 << 10}
	var evicted []string
	hold := func(name string, size int64, age time.Duration) (*Holder, bool) {
		h := &Holder{Evict: func() { evicted = append(evicted, name) }}
		kept := m.Hold(h, size+FreeBytes)
		h.since = time.Now().Add(-age)
		return h, kept
	}
	hold("small", 2<<10, 10*time.Second)
	hold("large and old", 40<<10, time.Second)
	hold("large", 40<<10, 0)
	c.Assert(evicted, qt.HasLen, 0)
	_, kept := hold("new", 30<<10, 0)
	c.Check(kept, qt.IsTrue)
	c.Check(evicted, qt.DeepEquals, []string{"large and old"})
	c.Check(m.Used(), qt.Equals, int64(112<<10))
	_, kept = hold("before the end of what is evicted", 2<<10, 0)
	c.Check(kept, qt.IsFalse)
}

// TestRequestsAreNotEvicted guards against closing connections whose requests may run: if
// these take all memory, new heads are refused.
func TestRequestsAreNotEvicted(t *testing.T) {
	c := qt.New(t)
	m := &Memory{Max: 10 << 10}
	request := &Holder{Evict: func() { t.Error("evicted") }}
	c.Assert(m.Hold(request, 10<<10+FreeBytes), qt.IsTrue)
	m.Settle(request)
	refused := &Holder{Evict: func() { t.Error("evicts itself") }}
	c.Check(m.Hold(refused, 1<<10+FreeBytes), qt.IsFalse)
	m.End(refused)
	c.Check(m.Used(), qt.Equals, int64(10<<10))
	m.End(request)
	c.Check(m.Used(), qt.Equals, int64(0))
	c.Check(m.Hold(request, 20<<10), qt.IsFalse)
}

// TestMemoryIsGivenBack guards against memory that is counted for connections that have
// ended while others evict them.
func TestMemoryIsGivenBack(t *testing.T) {
	m := &Memory{Max: 64 << 10}
	var running sync.WaitGroup
	for range 32 {
		running.Go(func() {
			h := &Holder{Evict: func() {}}
			for size := int64(0); size < 200 && m.Hold(h, size<<10); size++ {
				continue
			}
			m.End(h)
		})
	}
	running.Wait()
	qt.Check(t, m.Used(), qt.Equals, int64(0))
	var none *Memory
	qt.Check(t, none.Hold(&Holder{}, 1<<30), qt.IsTrue)
	none.Settle(nil)
	none.Drop(nil)
	none.End(nil)
}

// site is a [Listener] with the reasons for which it has closed connections.
type site struct {
	*Listener
	t       *testing.T
	mu      sync.Mutex
	reasons []Reason
}

func listen(t *testing.T, memory, unknown int) *site {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { tcp.Close() })
	s := &site{t: t, Listener: &Listener{Listener: tcp, Memory: &Memory{Max: int64(memory)}, MaxUnknown: unknown}}
	s.OnClose = func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons = append(s.reasons, r)
	}
	return s
}

// connect returns both ends of a connection.
func (s *site) connect() (client, server net.Conn) {
	client, err := net.Dial("tcp", s.Addr().String())
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { client.Close() })
	server, err = s.Accept()
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { server.Close() })
	return client, server
}

// closedFor returns the reasons so far.
func (s *site) closedFor() []Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reasons)
}

// readAll reads from a connection until it fails.
func readAll(conn net.Conn) (int64, error) { return io.Copy(io.Discard, struct{ io.Reader }{conn}) }

// TestUnknownSenderIsLimited guards against senders that are not known to be peers and
// send, or hold open, more than a client may.
func TestUnknownSenderIsLimited(t *testing.T) {
	c := qt.New(t)
	s := listen(t, 64<<20, 2)
	client, server := s.connect()
	go client.Write(make([]byte, firstMessageBytes+1))
	n, err := readAll(server)
	c.Check(errors.Is(err, errRefused), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(n <= firstMessageBytes, qt.IsTrue)
	server.Close()
	c.Check(s.Memory.Used(), qt.Equals, int64(0))
	_, first := s.connect()
	s.connect()
	s.connect()
	_, err = first.Read(make([]byte, 1))
	c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(s.closedFor(), qt.DeepEquals, []Reason{MessageTooLarge, TooManyConnections})
}

// TestPeerIsNotLimitedAsUnknown guards against closing the connections of peers, which are
// silent between calls, and whose messages may be larger than a first one.
func TestPeerIsNotLimitedAsUnknown(t *testing.T) {
	c := qt.New(t)
	s := listen(t, 64<<20, 1)
	client, server := s.connect()
	Admit(wrapped{server})
	s.connect()
	s.connect()
	go client.Write(make([]byte, firstMessageBytes+1))
	_, err := io.ReadFull(server, make([]byte, firstMessageBytes+1))
	c.Assert(err, qt.IsNil)
	c.Check(s.Memory.Used() > 0, qt.IsTrue)
	go io.Copy(io.Discard, client)
	_, err = server.Write([]byte("answer"))
	c.Assert(err, qt.IsNil)
	c.Check(s.Memory.Used(), qt.Equals, int64(0))
	c.Check(server.(*Conn).late.Stop(), qt.IsFalse)
	go client.Write(make([]byte, messageBytes+1))
	_, err = readAll(server)
	c.Check(errors.Is(err, errRefused), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(s.closedFor(), qt.DeepEquals, []Reason{TooManyConnections, MessageTooLarge})
}

// wrapped is a connection below others.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

// TestMessagesShareMemory guards against memory that grows with the number of senders.
func TestMessagesShareMemory(t *testing.T) {
	s := listen(t, 512<<10, 0)
	const size = 200 << 10
	var reading sync.WaitGroup
	for range 8 {
		client, server := s.connect()
		go client.Write(make([]byte, size))
		reading.Go(func() { readAll(server) })
	}
	for end := time.Now().Add(5 * time.Second); len(s.closedFor()) < 6 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		// Connections that are being closed may take an eighth more.
		used := s.Memory.Used()
		qt.Assert(t, used <= s.Memory.Max+s.Memory.Max/relief, qt.IsTrue, qt.Commentf("%d bytes", used))
	}
	for _, r := range s.closedFor() {
		qt.Check(t, r, qt.Equals, MemoryFull)
	}
	qt.Check(t, len(s.closedFor()) >= 6, qt.IsTrue)
}
