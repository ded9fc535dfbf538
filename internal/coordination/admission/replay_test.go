package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Times of the replayed loads.
const (
	replayStep   = 10 * time.Millisecond
	reportPeriod = 500 * time.Millisecond
	queueTimeout = 1200 * time.Millisecond
	// callerTimeout is how long a caller tries to get its first event.
	callerTimeout = 3 * time.Second
	meanHold      = 2 * time.Second
	// replayMargin is the factor that the gateway applies to the predicted wait.
	replayMargin = 1.25
)

// obedience is the part of the told time for which a caller waits; one that ignores it
// asks again after 50 ms.
type obedience float64

const (
	obeys   obedience = 1
	quarter obedience = 0.25
	ignores obedience = 0
)

// ask is one request of a caller.
type ask struct {
	account  string
	priority int
	obedience
	// first is the time of the caller's first try, and at that of this one.
	first, at time.Time
	tries     int
	// resumed is set for a stream that has lost its engine, with the time left of it.
	resumed time.Duration
}

// arrivals are requests of one kind.
type arrivals struct {
	ask
	perSecond float64
}

// replayOutcome is how a caller's request ended.
type replayOutcome struct {
	ask
	served bool
	// delay is the time from the first try to the first event, or to the last one for
	// a resumed stream.
	delay time.Duration
}

// replayGateway is the part of a gateway that decides which requests wait.
type replayGateway struct {
	queue   Queue[*ask]
	rate    RateEstimator
	returns Returns
	reports Reports
	// heard holds the times of the last reports of the peers.
	heard map[string]time.Time
}

// replay plays a load against several gateways that share the slots of an upstream.
type replay struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Time
	gateways []*replayGateway
	// silent holds the gateways whose reports do not arrive.
	silent map[int]bool
	// slots is the capacity, and running the ends of the requests that run.
	slots   int
	running []replayRun
	coming  []ask
	out     []replayOutcome
	// refusals counts the refusals, and late those at the end of the queue time;
	// withRoom counts those while a slot was free and nobody waited.
	refusals, late, withRoom int
	// used is the time for which slots were in use.
	used time.Duration
}

type replayRun struct {
	ask
	end time.Time
}

func newReplay(t testing.TB, seed uint64, gateways, slots int) *replay {
	r := &replay{t: t, random: rand.New(rand.NewPCG(seed, 11)), now: noon, slots: slots, silent: make(map[int]bool)}
	for range gateways {
		r.gateways = append(r.gateways, newReplayGateway())
	}
	return r
}

func newReplayGateway() *replayGateway {
	return &replayGateway{queue: Queue[*ask]{Max: 1024}, rate: RateEstimator{TimeConstant: 2 * time.Second}, heard: make(map[string]time.Time)}
}

// run plays the load for a time; arrivals returns the rate of each kind of request.
func (r *replay) run(length time.Duration, arrivalsAt func(now time.Duration) []arrivals) {
	for end := r.now.Add(length); r.now.Before(end); r.now = r.now.Add(replayStep) {
		r.endRuns()
		for _, load := range arrivalsAt(r.now.Sub(noon)) {
			for n := load.perSecond * replayStep.Seconds(); n > 0; n-- {
				if r.random.Float64() < n {
					kind := load.ask
					kind.first, kind.at = r.now, r.now
					r.coming = append(r.coming, kind)
				}
			}
		}
		coming := r.coming
		r.coming = nil
		for _, a := range coming {
			if a.at.After(r.now) {
				r.coming = append(r.coming, a)
				continue
			}
			r.arrive(r.random.IntN(len(r.gateways)), a)
		}
		for _, i := range r.random.Perm(len(r.gateways)) {
			r.dispatch(i)
		}
		if r.now.Sub(noon)%reportPeriod == 0 {
			r.exchange()
		}
		r.used += time.Duration(len(r.running)) * replayStep
	}
}

func (r *replay) endRuns() {
	kept := r.running[:0]
	for _, run := range r.running {
		if r.now.Before(run.end) {
			kept = append(kept, run)
		}
	}
	r.running = kept
}

// setSlots changes the capacity. Streams on lost slots resume at the gateways.
func (r *replay) setSlots(n int) {
	lost := r.slots - n
	if lost > 0 {
		share := float64(lost) / float64(r.slots)
		var kept []replayRun
		for _, run := range r.running {
			if r.random.Float64() < share {
				run.ask.resumed, run.ask.first, run.ask.at = run.end.Sub(r.now), r.now, r.now
				r.coming = append(r.coming, run.ask)
				continue
			}
			kept = append(kept, run)
		}
		r.running = kept
	}
	r.slots = n
}

func (r *replay) start(a ask) {
	hold := time.Duration((0.5 + r.random.Float64()) * float64(meanHold))
	if a.resumed > 0 {
		hold = a.resumed
	}
	r.running = append(r.running, replayRun{a, r.now.Add(hold)})
	r.out = append(r.out, replayOutcome{a, true, r.now.Sub(a.first)})
}

func (a *ask) item(now time.Time) Item {
	return Item{Pool: "m", Account: a.account, Priority: a.priority, Cost: 1, Begun: a.resumed > 0, Deadline: now.Add(queueTimeout)}
}

func (r *replay) arrive(i int, a ask) {
	g := r.gateways[i]
	a.tries++
	if g.queue.Len("m") == 0 && len(r.running) < r.slots {
		r.start(a)
		return
	}
	item := a.item(r.now)
	item.Returning = !item.Begun && g.returns.Claim("m", a.account, a.priority, r.now)
	p := g.queue.Predict(item, &g.rate, r.fleet(i, a), r.now)
	wait := time.Duration(replayMargin * float64(p.Wait))
	if !item.Begun && p.Known && p.Ahead >= 1 && wait > queueTimeout || g.queue.Push(item, &a) != nil {
		r.refuse(i, a)
		return
	}
	g.rate.Busy(r.now)
}

func (r *replay) refuse(i int, a ask) {
	g := r.gateways[i]
	r.refusals++
	if len(r.running) < r.slots && g.queue.Len("m") == 0 {
		r.withRoom++
	}
	item := a.item(r.now)
	p := g.queue.Predict(item, &g.rate, r.fleet(i, a), r.now)
	left := a.first.Add(callerTimeout).Sub(r.now)
	f := Refusal{Pool: "m", Account: a.account, Priority: a.priority, Wait: time.Second, Limit: left / 3}
	if p.Known {
		f.Wait = p.Wait
		f.Rate = g.rate.AccountRate(g.returns.Accounts("m", a.priority), r.now)
	}
	after := g.returns.Refuse(f, r.now)
	qt.Assert(r.t, after >= MinReturn && after <= MaxReturn, qt.IsTrue)
	g.queue.Keep(item, r.now, r.now.Add(after+ReturnGrace))
	back := max(time.Duration(float64(a.obedience)*float64(after)), 50*time.Millisecond)
	if a.resumed > 0 || back > left {
		r.out = append(r.out, replayOutcome{a, false, r.now.Sub(a.first)})
		return
	}
	a.at = r.now.Add(back)
	r.coming = append(r.coming, a)
}

func (r *replay) dispatch(i int) {
	g := r.gateways[i]
	for len(r.running) < r.slots {
		a, ok := g.queue.Peek("m")
		if !ok {
			break
		}
		g.queue.Pop("m")
		g.rate.Record(r.now)
		r.start(*a)
	}
	late := g.queue.RemoveFunc(func(item Item, _ *ask) bool { return !r.now.Before(item.Deadline) })
	// The queue returns them in no particular order.
	slices.SortFunc(late, func(a, b *ask) int {
		return cmp.Or(a.first.Compare(b.first), cmp.Compare(a.account, b.account), cmp.Compare(a.tries, b.tries))
	})
	for _, a := range late {
		r.late++
		r.refuse(i, *a)
	}
	if g.queue.Len("m") == 0 {
		g.rate.Idle(r.now)
	}
	g.queue.ExpirePlaces(r.now)
}

// exchange has the gateways report to each other. Reports of silent peers are dropped
// after two seconds.
func (r *replay) exchange() {
	for i, g := range r.gateways {
		report := PoolReport{Pool: "m"}
		if g.queue.Len("m") > 0 {
			report.Rate, _ = g.rate.Rate(r.now)
			waiting := make(map[string]float64)
			g.queue.RemoveFunc(func(item Item, _ *ask) bool { waiting[item.Account]++; return false })
			for account, n := range waiting {
				report.Classes = append(report.Classes, ClassReport{Account: account, Accounts: 1, Priority: 5, Waiting: n})
			}
		}
		for j, other := range r.gateways {
			if i != j && !r.silent[i] {
				other.reports.Set(fmt.Sprint(i), []PoolReport{report}, r.now)
				other.heard[fmt.Sprint(i)] = r.now
			}
		}
	}
	for _, g := range r.gateways {
		g.reports.Retain(func(source string) bool { return r.now.Sub(g.heard[source]) <= 2*time.Second })
	}
}

// fleet returns what a gateway knows of its peers.
func (r *replay) fleet(i int, a ask) Fleet {
	return r.gateways[i].reports.Fleet("m", a.account, a.priority, r.now)
}

// servedShare returns the part of the callers served that match, and their number.
func (r *replay) servedShare(match func(replayOutcome) bool) (float64, int) {
	served, all := 0, 0
	for _, o := range r.out {
		if !match(o) {
			continue
		}
		all++
		if o.served {
			served++
		}
	}
	return float64(served) / float64(max(all, 1)), all
}

func ofAccount(name string) func(replayOutcome) bool {
	return func(o replayOutcome) bool { return o.account == name }
}

// fleetRate is the number of requests per second that n slots serve.
func fleetRate(n int) float64 { return float64(n) / meanHold.Seconds() }

func load(account string, o obedience, perSecond float64) arrivals {
	return arrivals{ask{account: account, priority: 5, obedience: o}, perSecond}
}

// forEachSeed runs a test for several seeds, at one gateway and at six.
func forEachSeed(t *testing.T, test func(c *qt.C, seed uint64, gateways int)) {
	for _, gateways := range []int{1, 6} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", gateways, seed), func(t *testing.T) { test(qt.New(t), seed, gateways) })
		}
	}
}

// check checks what holds under every load: no request is refused while there is room
// and nobody waits, and few at the end of their queue time.
func (r *replay) check(c *qt.C, maxLate float64) {
	c.Check(r.withRoom, qt.Equals, 0)
	late := float64(r.late) / float64(max(r.refusals, 1))
	c.Check(late <= maxLate, qt.IsTrue, qt.Commentf("%d of %d refusals were late", r.late, r.refusals))
	c.Logf("refusals %d, late %d", r.refusals, r.late)
}

// TestFloodReplay guards against a flood that delays a small account or leaves capacity
// unused, and against one that is served more often because it asks more often.
func TestFloodReplay(t *testing.T) {
	for name, o := range map[string]obedience{"obeys": obeys, "quarter": quarter, "ignores": ignores} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, func(c *qt.C, seed uint64, gateways int) {
				r := newReplay(c, seed, gateways, 80)
				r.run(30*time.Second, func(time.Duration) []arrivals {
					return []arrivals{load("flood", o, fleetRate(80)), load("other", obeys, fleetRate(80)), load("small", obeys, fleetRate(8))}
				})
				flood, _ := r.servedShare(ofAccount("flood"))
				other, _ := r.servedShare(ofAccount("other"))
				small, n := r.servedShare(ofAccount("small"))
				quick, _ := r.servedShare(func(o replayOutcome) bool { return o.account == "small" && o.delay <= 800*time.Millisecond })
				used := r.used.Seconds() / 80 / 30
				c.Logf("flood %.3f, other %.3f, small %.3f of %d, used %.3f", flood, other, small, n, used)
				c.Check(small >= 0.95, qt.IsTrue)
				c.Check(quick >= 0.9, qt.IsTrue)
				c.Check(used >= 0.97, qt.IsTrue)
				// Callers that ask several gateways more often find free slots more often
				// where nobody waits. The queues alone do not prevent that: it takes limits
				// that hold over all gateways.
				gain := 1.1
				if gateways > 1 {
					gain = 1.3
				}
				c.Check(flood <= gain*other, qt.IsTrue)
				r.check(c, 0.15)
			})
		})
	}
}

// TestLostSlotsReplay replays the loss of three of eight engines, twice, at a load that
// the other five can serve: first events must be normal again 3 s after a loss, and the
// begun streams must resume.
func TestLostSlotsReplay(t *testing.T) {
	// Normal is at most 0.3 s, and the 0.8 s that clients expect where almost all of the
	// other five are needed.
	for part, normal := range map[float64]time.Duration{0.55: 300 * time.Millisecond, 0.6: 800 * time.Millisecond} {
		t.Run(fmt.Sprint("load ", part), func(t *testing.T) { replayLoss(t, part, normal) })
	}
}

func replayLoss(t *testing.T, part float64, normal time.Duration) {
	forEachSeed(t, func(c *qt.C, seed uint64, gateways int) {
		r := newReplay(c, seed, gateways, 80)
		demand := func(time.Duration) []arrivals {
			return []arrivals{load("a", obeys, part/2*fleetRate(80)), load("b", quarter, part/2*fleetRate(80))}
		}
		r.run(20*time.Second, demand)
		lostAt := []time.Duration{20 * time.Second, 34 * time.Second}
		for range lostAt {
			r.setSlots(50)
			r.run(4*time.Second, demand)
			r.setSlots(80)
			r.run(10*time.Second, demand)
		}
		var delays []time.Duration
		for _, o := range r.out {
			at := o.first.Sub(noon)
			for _, lost := range lostAt {
				if o.resumed > 0 && at >= lost && at < lost+replayStep {
					c.Check(o.served && o.delay <= queueTimeout, qt.IsTrue, qt.Commentf("resumed stream: %v, %v", o.served, o.delay))
				}
				if at >= lost+3*time.Second && at < lost+14*time.Second {
					c.Check(o.served, qt.IsTrue)
					delays = append(delays, o.delay)
				}
			}
		}
		slices.Sort(delays)
		p95 := delays[len(delays)*95/100]
		c.Logf("95%% within %v, last %v", p95, delays[len(delays)-1])
		c.Check(p95 <= normal, qt.IsTrue)
		r.check(c, 1)
	})
}

// TestOverloadAfterLossReplay replays the same loss at a load above what the other
// engines can serve: the rest must be refused at once, none be served later than its
// queue time after its last try, and the backlog be gone 6 s after the return.
func TestOverloadAfterLossReplay(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64, gateways int) {
		r := newReplay(c, seed, gateways, 80)
		demand := func(time.Duration) []arrivals {
			return []arrivals{load("a", obeys, 0.4*fleetRate(80)), load("b", quarter, 0.4*fleetRate(80))}
		}
		r.run(20*time.Second, demand)
		r.setSlots(50)
		used := r.used
		r.run(4*time.Second, demand)
		c.Check((r.used-used).Seconds()/50/4 >= 0.97, qt.IsTrue)
		r.setSlots(80)
		r.run(10*time.Second, demand)
		var after []time.Duration
		for _, o := range r.out {
			if o.first.Sub(noon) >= 30*time.Second {
				after = append(after, o.delay)
			}
			c.Check(!o.served || o.first.Add(o.delay).Sub(o.at) <= queueTimeout, qt.IsTrue)
		}
		slices.Sort(after)
		c.Logf("95%% within %v", after[len(after)*95/100])
		c.Check(after[len(after)*95/100] <= 300*time.Millisecond, qt.IsTrue)
		r.check(c, 1)
		c.Check(float64(r.late)/float64(len(r.out)) <= 0.05, qt.IsTrue, qt.Commentf("%d of %d requests were refused late", r.late, len(r.out)))
	})
}

// TestWaveReplay replays a load that changes by half within 15 s: what a peak has left
// behind must not refuse requests in the trough. The callers that the peak has refused
// still ask in its first 3 s.
func TestWaveReplay(t *testing.T) {
	forEachSeed(t, func(c *qt.C, seed uint64, gateways int) {
		r := newReplay(c, seed, gateways, 80)
		part := func(now time.Duration) float64 {
			if now/(15*time.Second)%2 == 1 {
				return 1.4
			}
			return 0.7
		}
		r.run(75*time.Second, func(now time.Duration) []arrivals {
			return []arrivals{load("a", obeys, part(now)/2*fleetRate(80)), load("b", ignores, part(now)/2*fleetRate(80))}
		})
		quiet, n := r.servedShare(func(o replayOutcome) bool {
			at := o.first.Sub(noon)
			return at/(15*time.Second)%2 == 0 && at%(15*time.Second) > 6*time.Second && at < 70*time.Second
		})
		peak, _ := r.servedShare(func(o replayOutcome) bool { return o.first.Sub(noon)/(15*time.Second)%2 == 1 })
		c.Logf("quiet %.3f of %d, peak %.3f", quiet, n, peak)
		c.Check(quiet >= 0.99, qt.IsTrue)
		c.Check(peak >= 0.95/1.4, qt.IsTrue)
		r.check(c, 0.15)
	})
}

// TestSilentPeersReplay replays a flood during which the reports of all gateways, or of
// half of them, stop: capacity must stay in use and the small account be served.
func TestSilentPeersReplay(t *testing.T) {
	for _, silent := range []int{3, 6} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d silent, seed %d", silent, seed), func(t *testing.T) {
				c := qt.New(t)
				r := newReplay(c, seed, 6, 80)
				demand := func(time.Duration) []arrivals {
					return []arrivals{load("flood", obeys, 2*fleetRate(80)), load("small", obeys, fleetRate(8))}
				}
				r.run(15*time.Second, demand)
				for i := range silent {
					r.silent[i] = true
				}
				used := r.used
				r.run(15*time.Second, demand)
				small, _ := r.servedShare(ofAccount("small"))
				c.Logf("small %.3f, used %.3f", small, (r.used-used).Seconds()/80/15)
				c.Check(small >= 0.95, qt.IsTrue)
				c.Check((r.used-used).Seconds()/80/15 >= 0.97, qt.IsTrue)
				r.check(c, 0.2)
			})
		}
	}
}

// TestRestartReplay replays a flood during which a gateway restarts with nothing known:
// the reports of its peers must give it an estimate.
func TestRestartReplay(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c := qt.New(t)
			r := newReplay(c, seed, 6, 80)
			demand := func(time.Duration) []arrivals {
				return []arrivals{load("flood", quarter, 2*fleetRate(80)), load("small", obeys, fleetRate(8))}
			}
			r.run(15*time.Second, demand)
			r.gateways[0] = newReplayGateway()
			r.run(reportPeriod+replayStep, demand)
			a := ask{account: "flood", priority: 5}
			g := r.gateways[0]
			p := g.queue.Predict(a.item(r.now), &g.rate, r.fleet(0, a), r.now)
			c.Check(p.Known && p.Peers, qt.IsTrue, qt.Commentf("%+v", p))
			used := r.used
			r.run(15*time.Second, demand)
			small, _ := r.servedShare(ofAccount("small"))
			c.Check(small >= 0.95, qt.IsTrue, qt.Commentf("%v", small))
			c.Check((r.used-used).Seconds()/80/15 >= 0.97, qt.IsTrue)
			r.check(c, 0.15)
		})
	}
}
