package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/state/fleet"
)

// mixedZone returns the engines of a zone with few fast ones, which hold nothing.
func mixedZone() []*fleet.Upstream { return engines("wien", 1, 3, 8) }

// fill places requests of the usual size one after the other on engines and
// returns the milliseconds that a token of each takes, with what a stage adds.
func fill(t *testing.T, upstreams []*fleet.Upstream, requests int) []float64 {
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
			time += stageTime + waitFactor*pace*e.Step.Seconds()*1e3*float64(s.Layers.Len())/float64(e.Layers)
		}
		times = append(times, time)
	}
	return times
}

// TestRequestsOfALoadedZoneGoOverFastEngines: a quarter more requests than the zone
// has at once in quiet times go over chains that are little slower than the
// first one, and two thirds more find room.
func TestRequestsOfALoadedZoneGoOverFastEngines(t *testing.T) {
	const usual = 60
	placed := carryOut(mixedZone(), Plan(testEngine(), mixedZone(), everywhere))
	times := fill(t, placed, usual*5/4)
	sum := 0.0
	for _, time := range times {
		sum += time
	}
	mean := sum / float64(len(times))
	qt.Check(t, mean < 1.2*times[0], qt.IsTrue, qt.Commentf("%.1f ms, the first %.1f ms", mean, times[0]))
	fill(t, placed, usual*5/3)
}

// TestLoadFillsTheFastestChainFirst: three of four requests fit on the fast
// member, the last goes on the slow one, and one more finds no room.
func TestLoadFillsTheFastestChainFirst(t *testing.T) {
	members := []member{{room: []float64{0, 300}, unitTime: 2}, {room: []float64{0, 100}, unitTime: 10}}
	spans := []span{{0, 1}, {0, 1}}
	fast, slow := stageTime+2*waitFactor, stageTime+10*waitFactor
	for _, x := range []struct{ demand, want float64 }{
		{100, fast},
		{400, (300*fast + 100*slow) / 400},
		{500, (300*fast + 100*slow + 100*crowdedTime) / 500},
	} {
		l := newLoad(1, 2, x.demand/demandShare)
		qt.Check(t, l.time(members, spans), qt.Equals, x.want)
	}
}

// TestPlanIsKeptUntilSomethingChanges: a plan is made anew for other engines,
// other layers that they hold and other zones, and for nothing else.
func TestPlanIsKeptUntilSomethingChanges(t *testing.T) {
	c := qt.New(t)
	e := testEngine()
	var plans PlanCache
	upstreams := bluetenring()
	first := plans.Get(e, upstreams, []string{"wien"})
	c.Check(first, qt.DeepEquals, Plan(e, upstreams, []string{"wien"}))
	again := carryOut(upstreams, nil)
	again[0].Slots++
	c.Check(plans.Get(e, again, []string{"wien"}), qt.DeepEquals, first)
	c.Check(plans.upstreams[0], qt.Equals, upstreams[0])
	c.Check(plans.Get(e, upstreams, []string{"graz"}), qt.DeepEquals, Plan(e, upstreams, []string{"graz"}))
	placed := carryOut(upstreams, Plan(e, upstreams, everywhere))
	c.Check(plans.Get(e, placed, everywhere), qt.DeepEquals, Plan(e, placed, everywhere))
	c.Check(plans.Get(e, placed[1:], everywhere), qt.DeepEquals, Plan(e, placed[1:], everywhere))
}
