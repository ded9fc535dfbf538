package pathfinding

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestGatewaysDoNotFillAPipe replays the loss of a layer in a zone: all its
// gateways want to send all their requests through another zone, and know of each
// other's as of a second ago. What they send must be what the pipe can carry, and
// nearly all of that.
func TestGatewaysDoNotFillAPipe(t *testing.T) {
	const (
		gateways  = 30
		perSecond = 4.0
		prompt    = 760
		rate      = 40 * prompt
		length    = 20 * time.Second
		tick      = 10 * time.Millisecond
		known     = time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	crossings := make([]LinkLimiter, gateways)
	told := make([]float64, gateways)
	// backlog is the time that the pipe takes for what waits.
	var backlog, longest time.Duration
	sent := 0
	for now := time.Second; now < time.Second+length; now += tick {
		backlog = max(0, backlog-tick)
		if now%known == 0 {
			for i := range crossings {
				told[i] = crossings[i].Rate(now)
			}
		}
		sum := 0.0
		for _, r := range told {
			sum += r
		}
		for i := range crossings {
			if random.Float64() > perSecond*tick.Seconds() {
				continue
			}
			s := LinkInfo{Capacity: rate, OtherRate: sum - told[i], Gateways: gateways}
			if crossings[i].Link(s, prompt, now).Full {
				continue
			}
			crossings[i].Record(s, prompt, now)
			sent++
			backlog += time.Duration(prompt / float64(rate) * float64(time.Second))
		}
		longest = max(longest, backlog)
	}
	most := rate / prompt * length.Seconds()
	t.Logf("%d of %.0f crossed, the longest wait was %v", sent, most, longest)
	qt.Check(t, longest < time.Second, qt.IsTrue)
	qt.Check(t, float64(sent) > most/2, qt.IsTrue)
}

// TestChainKeepsOutOfAFullPipe: a chain that crosses zones gives way to one that
// runs in another zone as a whole; if there is none, it has no room.
func TestChainKeepsOutOfAFullPipe(t *testing.T) {
	c := qt.New(t)
	own := holder("a", "a100", 0, 32)
	rest := []*fleet.Upstream{holder("b", "a100", 32, 64), holder("b", "a100", 64, 80)}
	slow := []*fleet.Upstream{holder("b", "l4", 0, 10), holder("b", "l4", 10, 20), holder("b", "l4", 20, 30), holder("b", "l4", 30, 32)}
	full := func(string, string) Link {
		return Link{TransferTime: 20 * time.Millisecond, Utilization: 1, Full: true}
	}

	all := NewLayerMap(testEngine(), append(append([]*fleet.Upstream{own}, rest...), slow...))
	loads := make(map[string]Load)
	for _, u := range slow {
		loads[u.Instance] = Load{Slowdown: 10}
	}
	q := query(loads)
	chain, ok := all.Find(q)
	c.Assert(ok, qt.IsTrue)
	c.Assert(chain.Stages[0].Upstream, qt.Equals, own)
	q.Link = full
	chain, ok = all.Find(q)
	c.Assert(ok, qt.IsTrue)
	c.Assert(chain.Full, qt.IsFalse)
	c.Assert(chain.Stages[0].Upstream.Zone, qt.Equals, "b")

	chain, ok = NewLayerMap(testEngine(), append(rest, own)).Find(q)
	c.Assert(ok, qt.IsTrue)
	c.Assert(chain.Full, qt.IsTrue)
}

// TestBusyPipeCostsMore: the more prompts cross, the longer a token waits.
func TestBusyPipeCostsMore(t *testing.T) {
	c := qt.New(t)
	p := Link{TransferTime: 20 * time.Millisecond}
	c.Assert(p.wait(), qt.Equals, 0.0)
	p.Utilization = 0.5
	c.Assert(p.wait(), qt.Equals, 10.0)
	p.Utilization = 3
	c.Assert(p.wait() < 200, qt.IsTrue)
}
