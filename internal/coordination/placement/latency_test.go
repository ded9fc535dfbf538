package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/state/fleet"
)

// mixedZone returns the engines of a zone with few fast ones, which hold no
// layers.
func mixedZone() []*fleet.Upstream { return engines("wien", 1, 3, 8) }

// runRequests starts requests of the mean size one after the other, and returns
// the milliseconds that a token of each takes in the latency model.
func runRequests(t *testing.T, upstreams []*fleet.Upstream, requests int) []float64 {
	e := testEngine()
	layers := pathfinding.NewLayerMap(e, upstreams)
	loads := make(map[string]*pathfinding.Load)
	for _, u := range upstreams {
		loads[u.Instance] = &pathfinding.Load{}
	}
	tokens := e.MeanPrompt + e.MeanAnswer
	var times []float64
	for range requests {
		found, ok := layers.Find(&pathfinding.Query{
			Zone: "wien", Tokens: tokens, PromptTokens: int(e.MeanPrompt),
			Load: func(u *fleet.Upstream) pathfinding.Load { return *loads[u.Instance] },
		})
		qt.Assert(t, ok && !found.Full, qt.IsTrue)
		time := 0.0
		for _, s := range found.Stages {
			l := loads[s.Upstream.Instance]
			l.Requests++
			l.TokenLayers += tokens * float64(s.Layers.Len())
			pace := e.Accelerators[s.Upstream.Accelerator].Pace
			time += stageOverheadMS + queueingFactor*pace*e.Step.Seconds()*1e3*float64(s.Layers.Len())/float64(e.Layers)
		}
		times = append(times, time)
	}
	return times
}

// TestPlanServesMoreThanUsualLoad guards against plans whose fast engines hold so
// many layers that they have memory for few requests. With a quarter more
// requests than usual, the mean time of a token must stay near that of the first
// request; two thirds more must still fit into memory.
func TestPlanServesMoreThanUsualLoad(t *testing.T) {
	const usual = 60
	placed := applyPlan(mixedZone(), Plan(testEngine(), mixedZone(), allZones))
	times := runRequests(t, placed, usual*5/4)
	sum := 0.0
	for _, time := range times {
		sum += time
	}
	mean := sum / float64(len(times))
	qt.Check(t, mean < 1.2*times[0], qt.IsTrue, qt.Commentf("mean %.1f ms, first request %.1f ms", mean, times[0]))
	runRequests(t, placed, usual*5/3)
}

// TestLatencyModelFillsFastestChainFirst checks demands that fit on the fast
// member, need the slow one too, and exceed both.
func TestLatencyModelFillsFastestChainFirst(t *testing.T) {
	members := []member{{freeTokens: []float64{0, 300}, unitMS: 2}, {freeTokens: []float64{0, 100}, unitMS: 10}}
	spans := []span{{0, 1}, {0, 1}}
	fast, slow := stageOverheadMS+2*queueingFactor, stageOverheadMS+10*queueingFactor
	for _, x := range []struct{ demand, want float64 }{
		{100, fast},
		{400, (300*fast + 100*slow) / 400},
		{500, (300*fast + 100*slow + 100*unservedTokenMS) / 500},
	} {
		l := newLatencyModel(1, 2, x.demand/demandShare)
		qt.Check(t, l.meanTokenMS(members, spans), qt.Equals, x.want)
	}
}

// TestPlanCacheFollowsInput checks that the cached plan is kept if only
// properties change that a plan does not depend on, and replaced if the engines,
// the layers that they hold or the zones change.
func TestPlanCacheFollowsInput(t *testing.T) {
	c := qt.New(t)
	e := testEngine()
	var cache PlanCache
	upstreams := threeZones()
	first := cache.Get(e, upstreams, []string{"wien"})
	c.Check(first, qt.DeepEquals, Plan(e, upstreams, []string{"wien"}))
	again := applyPlan(upstreams, nil)
	again[0].Slots++
	c.Check(cache.Get(e, again, []string{"wien"}), qt.DeepEquals, first)
	c.Check(cache.upstreams[0], qt.Equals, upstreams[0])
	decodedAgain := *e
	c.Check(cache.Get(&decodedAgain, again, []string{"wien"}), qt.DeepEquals, first)
	c.Check(cache.upstreams[0], qt.Equals, upstreams[0], qt.Commentf("planned anew for an equal configuration"))
	faster := *e
	faster.Step /= 2
	c.Check(cache.Get(&faster, upstreams, []string{"wien"}), qt.DeepEquals, Plan(&faster, upstreams, []string{"wien"}))
	c.Check(cache.engine, qt.Equals, &faster)
	c.Check(cache.Get(e, upstreams, []string{"graz"}), qt.DeepEquals, Plan(e, upstreams, []string{"graz"}))
	placed := applyPlan(upstreams, Plan(e, upstreams, allZones))
	c.Check(cache.Get(e, placed, allZones), qt.DeepEquals, Plan(e, placed, allZones))
	c.Check(cache.Get(e, placed[1:], allZones), qt.DeepEquals, Plan(e, placed[1:], allZones))
}
