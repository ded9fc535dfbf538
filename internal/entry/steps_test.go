package entry_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// step is a point in the life of a request at which a fault can strike.
type step string

// The steps of a request for text, and of a call of a plain service.
const (
	stepBefore     step = "before"
	stepClaiming   step = "claiming"
	stepClaimed    step = "claimed"
	stepConnecting step = "connecting"
	stepHalfSent   step = "half sent"
	stepSent       step = "sent"
	stepFirstToken step = "first token"
	stepMidStream  step = "mid-stream"
	stepLastToken  step = "last token"
	stepHalfAnswer step = "half answered"
	stepRecording  step = "recording"
)

var (
	textSteps    = []step{stepBefore, stepConnecting, stepHalfSent, stepSent, stepFirstToken, stepMidStream, stepLastToken}
	serviceSteps = []step{stepBefore, stepClaiming, stepClaimed, stepConnecting, stepHalfSent, stepSent, stepHalfAnswer, stepRecording}
)

// strike fires a fault once, at a step of a request to one entry.
type strike struct {
	at step
	// fire gets the address of the upstream that the entry is talking to.
	fire func(address string)
	// fired says that the step was reached.
	fired atomic.Bool
}

// do fires. A fault may take its time; nobody else waits for it meanwhile.
func (s *strike) do(address string) {
	if s.fired.CompareAndSwap(false, true) {
		s.fire(address)
	}
}

// strikes are the faults that one fleet's entries meet.
type strikes struct {
	mu   sync.Mutex
	list []*strike
}

func (s *strikes) arm(list ...*strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

func (s *strikes) reach(at step, address string) {
	s.mu.Lock()
	list := s.list
	s.mu.Unlock()
	for _, k := range list {
		if k.at == at {
			k.do(address)
		}
	}
}

// withStrikes has the entries' connections report the steps.
func withStrikes(s *strikes) option {
	return func(f *fleet) {
		f.dial = func(next func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, network, address string) (net.Conn, error) {
				if isUpstream(address) {
					s.reach(stepConnecting, address)
				}
				conn, err := next(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &stepConn{Conn: conn, strikes: s, address: address}, nil
			}
		}
	}
}

// isUpstream says whether an address is that of an engine or a plain service.
func isUpstream(address string) bool {
	return strings.HasPrefix(address, "10.") && !strings.HasPrefix(address, "10.0.") && !strings.HasPrefix(address, "10.9.")
}

// stepConn recognises the steps by what passes over a connection.
type stepConn struct {
	net.Conn
	strikes *strikes
	address string
	tokens  int
	claims  int
}

// midStream is the token at which stepMidStream is reached.
const midStream = 5

func (c *stepConn) Write(p []byte) (int, error) {
	if !isUpstream(c.address) {
		return c.writePlatform(p)
	}
	if bytes.Contains(p, []byte("/v1/health")) {
		return c.Conn.Write(p)
	}
	half := len(p) / 2
	n, err := c.Conn.Write(p[:half])
	if err != nil {
		return n, err
	}
	c.strikes.reach(stepHalfSent, c.address)
	m, err := c.Conn.Write(p[half:])
	if err == nil {
		c.strikes.reach(stepSent, c.address)
	}
	return n + m, err
}

// writePlatform recognises the writes of claims: the first one takes a claim,
// the second one records how the call ended.
func (c *stepConn) writePlatform(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("PUT /objects/claims/")) {
		at := stepClaiming
		if !bytes.Contains(p, []byte("ifVersion=0 ")) {
			at = stepRecording
		}
		c.strikes.reach(at, c.address)
		if at == stepClaiming {
			c.claims++
		}
	}
	return c.Conn.Write(p)
}

func (c *stepConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !isUpstream(c.address) {
		if c.claims > 0 {
			c.claims = 0
			c.strikes.reach(stepClaimed, c.address)
		}
		return n, err
	}
	c.tokens += bytes.Count(p[:n], []byte(`"Kind":"token"`))
	if c.tokens >= 1 {
		c.strikes.reach(stepFirstToken, c.address)
	}
	if c.tokens >= midStream {
		c.strikes.reach(stepMidStream, c.address)
	}
	if bytes.Contains(p[:n], []byte(`"Kind":"done"`)) {
		c.strikes.reach(stepLastToken, c.address)
	}
	if bytes.HasPrefix(p[:n], []byte("HTTP/1.1 200 OK")) && bytes.Contains(p[:n], []byte(`"Effect"`)) {
		c.strikes.reach(stepHalfAnswer, c.address)
	}
	return n, err
}

// fault is something that goes wrong, and how it is put right.
type fault struct {
	name string
	// strike makes it go wrong; address is that of the upstream in use.
	strike func(f *fleet, address string)
	// heal puts it right, as far as it can be.
	heal func(f *fleet)
	// lasts is how long it goes on by itself, whatever heal does.
	lasts time.Duration
	// recovers says that a request must be answered all the same.
	recovers bool
}

// upstreamAt returns the name of the upstream at an address.
func (f *fleet) upstreamAt(address string) string {
	for _, u := range f.set.Upstreams {
		if u.Address == address {
			return u.Name
		}
	}
	return ""
}

// stageOf returns the name of the engine that holds the i-th third of the
// model, in the same availability zone as the engine at address.
func (f *fleet) stageOf(address string, i int) string {
	zone, _, _ := strings.Cut(f.upstreamAt(address), "-")
	if zone == "" {
		zone = "wien"
	}
	return zone + "-engine-" + string(rune('0'+i))
}

func (f *fleet) addressOf(name string) string {
	for _, u := range f.set.Upstreams {
		if u.Name == name {
			return u.Address
		}
	}
	return ""
}

func (f *fleet) freeze(name string, frozen bool) {
	f.net.SetFrozen(f.addressOf(name), frozen)
	f.engines[name].SetFrozen(frozen)
}

func nothing(*fleet) {}

func stageFaults(i int, position string) []fault {
	return []fault{
		{position + " killed", func(f *fleet, a string) { f.net.Kill(f.stageOf(a, i)) }, nothing, 0, true},
		{position + " frozen", func(f *fleet, a string) { f.freeze(f.stageOf(a, i), true) }, func(f *fleet) {
			for name := range f.engines {
				f.freeze(name, false)
			}
		}, 0, true},
		{position + " connections silent", func(f *fleet, a string) { f.net.Blackhole(f.addressOf(f.stageOf(a, i))) }, nothing, 0, true},
		{position + " connections reset", func(f *fleet, a string) { f.net.ResetConnections(f.addressOf(f.stageOf(a, i))) }, nothing, 0, true},
	}
}

// platformFaults are those of the platform; none of them may stop a request
// for text.
func platformFaults() []fault {
	set := func(name string, make func() faultsOfPlatform) fault {
		return fault{name,
			func(f *fleet, _ string) { f.platform.SetFaults(make()) },
			func(f *fleet) { f.platform.SetFaults(faultsOfPlatform{}) }, 0, true}
	}
	return []fault{
		set("platform down", func() faultsOfPlatform { return faultsOfPlatform{Down: true} }),
		set("platform hangs", func() faultsOfPlatform { return faultsOfPlatform{Hang: true} }),
		set("platform slow", func() faultsOfPlatform { return faultsOfPlatform{Delay: 700 * time.Millisecond} }),
		set("platform loses answers", func() faultsOfPlatform {
			return faultsOfPlatform{DropResponse: func(string, string) bool { return true }}
		}),
		set("platform loses one answer", func() faultsOfPlatform {
			lost := false
			return faultsOfPlatform{DropResponse: func(string, string) bool {
				first := !lost
				lost = true
				return first
			}}
		}),
		set("platform reads stale", func() faultsOfPlatform { return faultsOfPlatform{StaleReads: true} }),
	}
}

func zoneFaults() []fault {
	heal := func(f *fleet) { f.net.Heal() }
	return []fault{
		{"zone cut from platform", func(f *fleet, _ string) { f.net.Partition("wien", "platform") }, heal, 0, true},
		{"zone cut from others", func(f *fleet, _ string) {
			f.net.Partition("wien", "graz")
			f.net.Partition("wien", "linz")
		}, heal, 0, true},
		{"zone cut from all", func(f *fleet, _ string) {
			f.net.Partition("wien", "graz")
			f.net.Partition("wien", "linz")
			f.net.Partition("wien", "platform")
		}, heal, 0, true},
		{"others' answers cut", func(f *fleet, _ string) {
			f.net.Block("graz", "wien")
			f.net.Block("linz", "wien")
		}, heal, 0, true},
		{"zone cut one way from others", func(f *fleet, _ string) {
			f.net.Block("wien", "graz")
			f.net.Block("wien", "linz")
		}, heal, 0, true},
		{"platform's answers cut", func(f *fleet, _ string) { f.net.Block("platform", "wien") }, heal, 0, true},
	}
}
