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

// step is a point in the processing of a request at which a fault can be injected.
type step string

// Steps of a request for generated text and of a call of a plain service.
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
	generationSteps = []step{stepBefore, stepConnecting, stepHalfSent, stepSent, stepFirstToken, stepMidStream, stepLastToken}
	serviceSteps    = []step{stepBefore, stepClaiming, stepClaimed, stepConnecting, stepHalfSent, stepSent, stepHalfAnswer, stepRecording}
)

// injection injects a fault once, when a request to an entry reaches a step.
type injection struct {
	at step
	// inject causes the fault. address is that of the upstream in use.
	inject func(address string)
	// reached reports whether the step was reached.
	reached atomic.Bool
}

// trigger injects the fault unless that has been done. Concurrent calls return at
// once, even while the injection is still running.
func (s *injection) trigger(address string) {
	if s.reached.CompareAndSwap(false, true) {
		s.inject(address)
	}
}

// injector injects faults into the requests of the entries of one fleet.
type injector struct {
	mu         sync.Mutex
	injections []*injection
}

// setInjections replaces the injections.
func (s *injector) setInjections(injections ...*injection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injections = injections
}

// reachStep triggers the injections at a step.
func (s *injector) reachStep(at step, address string) {
	s.mu.Lock()
	injections := s.injections
	s.mu.Unlock()
	for _, k := range injections {
		if k.at == at {
			k.trigger(address)
		}
	}
}

// withInjector makes the connections of the entries report the steps to s.
func withInjector(s *injector) option {
	return func(f *fleet) {
		f.dial = func(next func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, network, address string) (net.Conn, error) {
				if isUpstream(address) {
					s.reachStep(stepConnecting, address)
				}
				conn, err := next(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &stepConn{Conn: conn, injector: s, address: address}, nil
			}
		}
	}
}

// isUpstream reports whether an address belongs to an engine or a plain service.
func isUpstream(address string) bool {
	return strings.HasPrefix(address, "10.") && !strings.HasPrefix(address, "10.0.") && !strings.HasPrefix(address, "10.9.")
}

// stepConn recognises the steps by the bytes that a connection transfers.
type stepConn struct {
	net.Conn
	injector *injector
	address  string
	tokens   int
	claims   int
}

// midStreamToken is the number of tokens after which stepMidStream is reached.
const midStreamToken = 5

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
	c.injector.reachStep(stepHalfSent, c.address)
	m, err := c.Conn.Write(p[half:])
	if err == nil {
		c.injector.reachStep(stepSent, c.address)
	}
	return n + m, err
}

// writePlatform recognises the writes of claims: the first one acquires a claim,
// the second one records the outcome of the call.
func (c *stepConn) writePlatform(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("PUT /objects/claims/")) {
		at := stepClaiming
		if !bytes.Contains(p, []byte("ifVersion=0 ")) {
			at = stepRecording
		}
		c.injector.reachStep(at, c.address)
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
			c.injector.reachStep(stepClaimed, c.address)
		}
		return n, err
	}
	c.tokens += bytes.Count(p[:n], []byte(`"Kind":"token"`))
	if c.tokens >= 1 {
		c.injector.reachStep(stepFirstToken, c.address)
	}
	if c.tokens >= midStreamToken {
		c.injector.reachStep(stepMidStream, c.address)
	}
	if bytes.Contains(p[:n], []byte(`"Kind":"done"`)) {
		c.injector.reachStep(stepLastToken, c.address)
	}
	if bytes.HasPrefix(p[:n], []byte("HTTP/1.1 200 OK")) && bytes.Contains(p[:n], []byte(`"Effect"`)) {
		c.injector.reachStep(stepHalfAnswer, c.address)
	}
	return n, err
}

// fault is a failure that a test can inject and remove.
type fault struct {
	name string
	// inject causes the failure. address is that of the upstream in use.
	inject func(f *fleet, address string)
	// heal removes the failure, as far as that is possible.
	heal func(f *fleet)
	// duration is how long the failure lasts regardless of heal.
	duration time.Duration
	// mustSucceed reports whether a request must be answered despite the
	// failure.
	mustSucceed bool
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

// stageName returns the name of the engine that holds the i-th third of the
// model, in the same availability zone as the upstream at address, or in zone
// wien if there is none.
func (f *fleet) stageName(address string, i int) string {
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

func noHeal(*fleet) {}

// stageFaults returns the faults of the i-th stage of a chain.
func stageFaults(i int, position string) []fault {
	return []fault{
		{position + " killed", func(f *fleet, a string) { f.net.Kill(f.stageName(a, i)) }, noHeal, 0, true},
		{position + " frozen", func(f *fleet, a string) { f.freeze(f.stageName(a, i), true) }, func(f *fleet) {
			for name := range f.engines {
				f.freeze(name, false)
			}
		}, 0, true},
		{position + " connections silent", func(f *fleet, a string) { f.net.Blackhole(f.addressOf(f.stageName(a, i))) }, noHeal, 0, true},
		{position + " connections reset", func(f *fleet, a string) { f.net.ResetConnections(f.addressOf(f.stageName(a, i))) }, noHeal, 0, true},
	}
}

// platformFaults returns the faults of the platform. None of them may prevent a
// request for generated text from being answered.
func platformFaults() []fault {
	set := func(name string, make func() platformFaultConfig) fault {
		return fault{name,
			func(f *fleet, _ string) { f.platform.SetFaults(make()) },
			func(f *fleet) { f.platform.SetFaults(platformFaultConfig{}) }, 0, true}
	}
	return []fault{
		set("platform down", func() platformFaultConfig { return platformFaultConfig{Down: true} }),
		set("platform hangs", func() platformFaultConfig { return platformFaultConfig{Hang: true} }),
		set("platform slow", func() platformFaultConfig { return platformFaultConfig{Delay: 700 * time.Millisecond} }),
		set("platform loses answers", func() platformFaultConfig {
			return platformFaultConfig{DropResponse: func(string, string) bool { return true }}
		}),
		set("platform loses one answer", func() platformFaultConfig {
			lost := false
			return platformFaultConfig{DropResponse: func(string, string) bool {
				first := !lost
				lost = true
				return first
			}}
		}),
		set("platform reads stale", func() platformFaultConfig { return platformFaultConfig{StaleReads: true} }),
	}
}

// zoneFaults returns network partitions of the zone wien. None of them may prevent a
// request for generated text from being answered.
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
