package fairshare

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/protocol/peering"
)

// The replay of loads in virtual time: gateways in front of one pool, which exchange
// lagged reports, and callers that retry.
const (
	replayStep       = 5 * time.Millisecond
	dispatchInterval = 25 * time.Millisecond
	queueTime        = 1200 * time.Millisecond
	poolRoom         = 12
	// firstEventTime is the time from the start of a generation to its first event.
	firstEventTime = 100 * time.Millisecond
)

// call is a request of a caller.
type call struct {
	class Class
	// created is when the caller began, with the first of its tries.
	created  time.Duration
	deadline time.Duration
	tries    int
	at       int
	cost     float64
	// large is set for requests that are counted separately.
	large bool
	// caller is nil for requests of an open load.
	caller *caller
	// end is when the request ends, or its next try is due.
	end time.Duration
}

// caller sends one request after another.
type caller struct {
	class Class
	// gateways are those that it sends to in turn.
	gateways []int
	cost     float64
}

// outcomes counts the requests of a class.
type outcomes struct {
	asked, served, early int
	// work is the cost of the requests that ran, in cost times seconds.
	work float64
	held int
}

func (o outcomes) String() string {
	return fmt.Sprintf("%d of %d served, %d within 0.8 s, work %.0f", o.served, o.asked, o.early, o.work)
}

// replayGateway is a gateway of the replay.
type replayGateway struct {
	address, zone string
	service       *Service
	queue         admission.Queue[*call]
	rate          admission.RateEstimator
	inFlight      float64
	// peerLoads holds what others have reported as in flight, by source.
	peerLoads map[string]float64
	ownZone   map[string]bool
	heard     map[string]time.Duration
	// silent gateways neither send nor receive.
	silent bool
	// early builds report no demand and limit nothing.
	early   bool
	changes []Change
}

// replay is a run of a load.
type replay struct {
	random   *rand.Rand
	now      time.Duration
	gateways []*replayGateway
	room     float64
	// mean is the mean duration of a generation.
	mean    time.Duration
	running []*call
	used    float64
	// pending holds requests and retries that are due.
	pending []*call
	// open are rates of classes that send requests whether others end or not.
	open []*openLoad
	out  map[Class]*outcomes
	// large counts the requests that are larger than others of their class.
	large outcomes
	// off turns the shares off.
	off bool
	// cut reports whether two zones are partitioned.
	cut func(a, b string) bool
	// interval is the interval of reports within a zone.
	interval time.Duration
	// observe is called at each step.
	observe func()
	// from is the time from which requests are counted.
	from time.Duration
}

// openLoad is a class that sends requests at a rate.
type openLoad struct {
	class     Class
	perSecond float64
	gateways  []int
	cost      float64
	large     bool
	due       float64
	sent      int
}

func newReplay(zones ...string) *replay {
	r := &replay{
		random: rand.New(rand.NewSource(1)), room: poolRoom, mean: time.Second, out: make(map[Class]*outcomes),
		interval: 200 * time.Millisecond, now: 10 * time.Second, from: math.MaxInt64,
	}
	for i, zone := range zones {
		r.gateways = append(r.gateways, newReplayGateway(fmt.Sprintf("g%d", i), zone))
	}
	return r
}

func newReplayGateway(address, zone string) *replayGateway {
	return &replayGateway{
		address: address, zone: zone, service: &Service{Self: address},
		peerLoads: make(map[string]float64), ownZone: make(map[string]bool), heard: make(map[string]time.Duration),
	}
}

// flood adds callers of a class who send the next request as soon as one ends, and obey a
// quarter of Retry-After.
func (r *replay) flood(n int, class Class, cost float64, gateways ...int) {
	for i := range n {
		c := &caller{class: class, gateways: gateways, cost: cost}
		at := gateways[i%len(gateways)]
		r.pending = append(r.pending, &call{class: class, cost: cost, at: at, caller: c, created: r.now + time.Duration(r.random.Int63n(int64(time.Second)))})
	}
}

// outcomeOf returns the counts to which a request belongs.
func (r *replay) outcomeOf(c *call) *outcomes {
	if c.large {
		return &r.large
	}
	return r.outcome(c.class)
}

func (r *replay) outcome(c Class) *outcomes {
	if r.out[c] == nil {
		r.out[c] = &outcomes{}
	}
	return r.out[c]
}

func (r *replay) run(length time.Duration) {
	for end := r.now + length; r.now < end; r.now += replayStep {
		r.finish()
		r.arrive()
		for i, g := range r.gateways {
			offset := time.Duration(i) * replayStep
			if (r.now+offset)%dispatchInterval == 0 {
				r.dispatch(g)
			}
			r.exchange(i, g)
		}
		if r.observe != nil {
			r.observe()
		}
	}
}

func (r *replay) finish() {
	r.running = slices.DeleteFunc(r.running, func(c *call) bool {
		if r.now < c.end {
			return false
		}
		r.used -= c.cost
		g := r.gateways[c.at]
		g.inFlight -= c.cost
		g.service.End(c.class, c.cost, r.now)
		if c.caller != nil {
			r.pending = append(r.pending, &call{class: c.class, cost: c.cost, at: c.at, caller: c.caller, created: r.now})
		}
		return true
	})
}

func (r *replay) arrive() {
	due := r.pending
	r.pending = nil
	for _, c := range due {
		if r.now < c.created && c.tries == 0 || r.now < c.end {
			r.pending = append(r.pending, c)
			continue
		}
		r.admit(c)
	}
	for _, o := range r.open {
		for o.due += o.perSecond * replayStep.Seconds() * (0.5 + r.random.Float64()); o.due >= 1; o.due-- {
			o.sent++
			r.admit(&call{class: o.class, cost: o.cost, large: o.large, at: o.gateways[o.sent%len(o.gateways)], created: r.now, deadline: r.now + 3*time.Second})
		}
	}
}

func (r *replay) admit(c *call) {
	g := r.gateways[c.at]
	if c.tries == 0 && r.now >= r.from {
		r.outcomeOf(c).asked++
	}
	c.tries++
	limited := !r.off && !g.early && !g.service.MayStart(c.class)
	if limited {
		r.outcomeOf(c).held++
	}
	_, _, waits := g.queue.PeekFunc("s", r.allowed(g))
	if !limited && !waits && r.assign(g, c) {
		return
	}
	priority := 9 - c.class.Priority
	ahead := g.queue.Ahead("s", priority)
	if !r.off && !g.early && g.service.Limiting() {
		ahead = 0
		if g.service.IsLimited(c.class) {
			ahead = g.waiting(c.class.Account, priority)
		}
	}
	wait, known := g.rate.EstimateWait(ahead+1, clockTime(r.now))
	if ahead > 0 && known && wait > queueTime {
		r.refuse(g, c)
		return
	}
	item := admission.Item{Pool: "s", Account: c.class.Account, Priority: priority, Cost: int(c.cost * 100), Deadline: clockTime(r.now + queueTime)}
	_ = g.queue.Push(item, c)
}

// waiting returns how many requests of an account at a priority of the queue wait.
func (g *replayGateway) waiting(account string, priority int) int {
	n := 0
	for _, c := range g.queue.Classes("s") {
		if c.Account == account && c.Priority == priority {
			n += c.Requests
		}
	}
	return n
}

func clockTime(t time.Duration) time.Time { return time.Unix(0, int64(t)) }

func (r *replay) allowed(g *replayGateway) func(string, int) bool {
	return func(account string, priority int) bool {
		return r.off || g.early || g.service.MayStart(Class{Account: account, Priority: 9 - priority})
	}
}

// assign starts a request if the gateway sees room for it and the pool has it.
func (r *replay) assign(g *replayGateway, c *call) bool {
	seen := g.inFlight
	for _, load := range g.peerLoads {
		seen += load
	}
	if seen+c.cost > r.room+1e-9 || r.used+c.cost > r.room+1e-9 {
		g.service.RecordFull(c.cost, r.now)
		return false
	}
	r.used += c.cost
	g.inFlight += c.cost
	g.service.Start(c.class, c.cost, r.now)
	hold := time.Duration((0.6 + 0.8*r.random.Float64()) * float64(r.mean))
	c.end = r.now + hold
	r.running = append(r.running, c)
	if r.now >= r.from {
		o := r.outcomeOf(c)
		o.work += c.cost * hold.Seconds()
		if c.created >= r.from {
			o.served++
			if r.now+firstEventTime-c.created <= 800*time.Millisecond {
				o.early++
			}
		}
	}
	return true
}

func (r *replay) refuse(g *replayGateway, c *call) {
	g.service.RecordRefused(c.class, c.cost, r.now)
	after, known := g.rate.EstimateWait(g.queue.Len("s")+1, clockTime(r.now))
	if !known {
		after = time.Second
	}
	after = min(max(after, 200*time.Millisecond), 3*time.Second)
	if c.caller != nil {
		c.end = r.now + after/4
		r.pending = append(r.pending, c)
		return
	}
	left := c.deadline - r.now
	c.end = r.now + min(after, left/3)
	if c.tries < 3 && left > queueTime/2 {
		r.pending = append(r.pending, c)
	}
}

func (r *replay) dispatch(g *replayGateway) {
	for {
		c, at, ok := g.queue.PeekFunc("s", r.allowed(g))
		if !ok || !r.assign(g, c) {
			break
		}
		g.queue.PopAt("s", at)
		g.rate.Record(clockTime(r.now))
	}
	late := g.queue.RemoveFunc(func(i admission.Item, _ *call) bool { return !clockTime(r.now).Before(i.Deadline) })
	for _, c := range late {
		r.refuse(g, c)
	}
	if g.early || !g.service.IsDue(r.now) {
		return
	}
	var waiting []Waiting
	for _, c := range g.queue.Classes("s") {
		waiting = append(waiting, Waiting{Class{Account: c.Account, Priority: 9 - c.Priority}, c.Requests, c.Cost / 100})
	}
	g.service.SetWaiting(waiting, r.now)
	g.changes = append(g.changes, g.service.Refresh(r.now)...)
}

// exchange sends a gateway's reports to its peers when they are due, and drops those that
// it has not heard.
func (r *replay) exchange(i int, g *replayGateway) {
	for source, at := range g.heard {
		limit := 2500 * time.Millisecond
		if g.ownZone[source] {
			limit = 1200 * time.Millisecond
		}
		if r.now-at > limit {
			delete(g.heard, source)
			delete(g.peerLoads, source)
		}
	}
	g.service.RetainSources(func(source string) bool { _, ok := g.heard[source]; return ok })
	if g.silent {
		return
	}
	offset := time.Duration(i) * 35 * time.Millisecond
	for _, other := range r.gateways {
		if other == g || other.silent {
			continue
		}
		interval, ofZone := r.interval, other.zone != g.zone
		if ofZone {
			interval *= 4
		}
		if (r.now+offset)%interval != 0 || ofZone && r.cut != nil && r.cut(g.zone, other.zone) {
			continue
		}
		source, load := g.address, g.inFlight
		if ofZone {
			source = g.zone
			for peer, l := range g.peerLoads {
				if g.ownZone[peer] {
					load += l
				}
			}
		}
		other.heard[source] = r.now
		other.ownZone[source] = !ofZone
		other.peerLoads[source] = load
		if g.early || other.early {
			continue
		}
		d, ok := g.service.Digest(ofZone, r.now)
		if !ok {
			other.service.SetReport(source, !ofZone, nil, r.now)
			continue
		}
		d.Service = "s"
		if err := (&peering.DemandNews{Services: []peering.ServiceDemand{d}}).Check(); err != nil {
			panic(err)
		}
		other.service.SetReport(source, !ofZone, &d, r.now)
	}
}

var (
	classA = Class{Account: "a", Priority: 5}
	classB = Class{Account: "b", Priority: 5}
)

// compare runs a load without and with shares and returns the outcomes of both.
func compare(t *testing.T, make func() *replay, length time.Duration) (before, after *replay) {
	t.Helper()
	for _, off := range []bool{true, false} {
		r := make()
		r.off = off
		r.from = r.now + 3*time.Second
		r.run(length)
		for c, o := range r.out {
			t.Logf("without shares %v, %s at priority %d: %v", off, c.Account, c.Priority, *o)
		}
		if off {
			before = r
		} else {
			after = r
		}
	}
	return before, after
}

func (r *replay) work() float64 {
	sum := 0.0
	for _, o := range r.out {
		sum += o.work
	}
	return sum
}
