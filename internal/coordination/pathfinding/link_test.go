package pathfinding

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// TestGatewaysDoNotOverloadLink simulates the loss of a layer in a zone: all
// gateways of the zone want to send all their requests through another zone, and
// know each other's rates with a delay of up to a second. Together they must not
// send more than the link carries, and must use at least half of its capacity.
func TestGatewaysDoNotOverloadLink(t *testing.T) {
	const (
		gateways    = 30
		perSecond   = 4.0
		prompt      = 760
		capacity    = 40 * prompt
		length      = 20 * time.Second
		tick        = 10 * time.Millisecond
		reportEvery = time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	limiters := make([]LinkLimiter, gateways)
	reported := make([]float64, gateways)
	// backlog is the time that the link needs for the prompts that wait for it.
	var backlog, longest time.Duration
	sent := 0
	for now := time.Second; now < time.Second+length; now += tick {
		backlog = max(0, backlog-tick)
		if now%reportEvery == 0 {
			for i := range limiters {
				reported[i] = limiters[i].Rate(now)
			}
		}
		sum := 0.0
		for _, r := range reported {
			sum += r
		}
		for i := range limiters {
			if random.Float64() > perSecond*tick.Seconds() {
				continue
			}
			info := LinkInfo{Capacity: capacity, OtherRate: sum - reported[i], Gateways: gateways}
			if limiters[i].Link(info, prompt, now).Full {
				continue
			}
			limiters[i].Record(info, prompt, now)
			sent++
			backlog += time.Duration(prompt / float64(capacity) * float64(time.Second))
		}
		longest = max(longest, backlog)
	}
	most := capacity / prompt * length.Seconds()
	t.Logf("%d of at most %.0f requests crossed; longest wait: %v", sent, most, longest)
	qt.Check(t, longest < time.Second, qt.IsTrue)
	qt.Check(t, float64(sent) > most/2, qt.IsTrue)
}

// TestChainAvoidsFullLink checks that, while the link between two zones is full,
// a chain that runs wholly in the other zone is preferred to one that crosses
// between them, and that the crossing chain is marked as full if it is the only
// one.
func TestChainAvoidsFullLink(t *testing.T) {
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

// TestQueueingDelayGrowsWithUtilization also checks that the delay stays bounded
// when the measured utilization exceeds 1.
func TestQueueingDelayGrowsWithUtilization(t *testing.T) {
	c := qt.New(t)
	l := Link{TransferTime: 20 * time.Millisecond}
	c.Assert(l.queueingDelay(), qt.Equals, 0.0)
	l.Utilization = 0.5
	c.Assert(l.queueingDelay(), qt.Equals, 10.0)
	l.Utilization = 3
	c.Assert(l.queueingDelay() < 200, qt.IsTrue)
}
