package throttle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/state/fleet"
)

// The users' rule: from stableTime after an upstream first stated its limit, it gets in no
// span at most windowShare times what the limit allows in it and windowExtra requests.
// Counted are gateways that have passed on such an answer passedTime before or earlier.
const (
	stableTime  = 3 * time.Second
	window      = 4 * time.Second
	windowShare = 1.5
	windowExtra = 5.0
	passedTime  = 500 * time.Millisecond
)

const (
	stepTime = 20 * time.Millisecond
	// refreshTime is how often a gateway of the simulation sends its news to all others.
	refreshTime = 4 * time.Second
	minLate     = 200 * time.Millisecond
	maxLate     = 2 * time.Second
	// settleTime is how long after the first answer with a limit its use is measured.
	settleTime = 8 * time.Second
)

// span is a part of the time of a simulation.
type span struct{ from, to time.Duration }

func (s span) has(at time.Duration) bool { return at >= s.from && at < s.to }

// scenario is what happens to an upstream and to the gateways that call it.
type scenario struct {
	gateways, zones int
	rate            float64
	// demand returns the requests per second that callers of a gateway want to send.
	demand func(s *simulation, g *member, at time.Duration) float64
	// pace is how long the upstream takes to answer.
	pace time.Duration
	// limited is when the upstream states its limit.
	limited span
	length  time.Duration
	// cut is when the two halves of the gateways do not hear each other.
	cut span
	// away is when each of some gateways does not run. A gateway starts without any
	// knowledge.
	away map[int]span
	// ownCalls is when gateways probe the upstream, each once a second.
	ownCalls span
	// returned is the part of the requests that are not sent after all.
	returned float64
	// newsTransit is by how much too young news of peers seem to be at most.
	newsTransit time.Duration
}

// member is a gateway of a simulation.
type member struct {
	limits Limits
	self   Gateway
	index  int
	// late is by how much what it knows of others is old.
	late    time.Duration
	runs    bool
	started time.Duration
	// process counts its starts.
	process  int
	inFlight int
	// history is inFlight at each step.
	history []int
	// passedAt is when it passed on the first answer with a limit; never if it did not.
	passedAt time.Duration
	// heardAt is when it last heard each gateway; never if it did not.
	heardAt []time.Duration
	// read is how many messages it has got.
	read int
	// demand is its demand as of the last change.
	demand float64
}

type message struct {
	at    time.Duration
	from  *member
	known []Limit
}

type simCall struct {
	from    *member
	process int
	began   time.Duration
}

type arrival struct {
	at      time.Duration
	counted bool
}

// simulation runs gateways that call one upstream, in virtual time.
type simulation struct {
	scenario
	rng      *rand.Rand
	now      time.Duration
	members  []*member
	upstream fleet.Upstream
	// totals are the requests in flight of each half at each step.
	totals   [2][]int
	messages []message
	ends     map[int][]simCall
	arrivals []arrival
	// wanted counts the requests of callers in each step, and owed is the rate at which
	// the holders of parts could use the limit.
	wanted []int
	owed   []float64
	// namedAt is when the first answer with a limit came and liftedAt when the first one
	// without came after it.
	namedAt, liftedAt time.Duration
}

func (s *simulation) half(g *member) int { return g.index * 2 / s.gateways }

func (s *simulation) apart(a, b *member, at time.Duration) bool {
	return s.cut.has(at) && s.half(a) != s.half(b)
}

func (s *simulation) running(g *member, at time.Duration) bool {
	away, known := s.away[g.index]
	return !known || !away.has(at)
}

func runSimulation(sc scenario, seed uint64) *simulation {
	s := &simulation{scenario: sc, rng: rand.New(rand.NewPCG(seed, 1)), ends: make(map[int][]simCall), namedAt: never, liftedAt: never}
	s.upstream = fleet.Upstream{Instance: "u", Zone: "z0", Started: 1}
	for i := range s.gateways {
		s.members = append(s.members, &member{self: Gateway{fmt.Sprint("g", i), fmt.Sprint("z", i%s.zones)}, index: i})
	}
	for step := 0; s.now < s.length; step++ {
		s.step(step)
		s.now += stepTime
	}
	return s
}

func (s *simulation) step(step int) {
	for _, g := range s.members {
		runs := s.running(g, s.now)
		if runs && !g.runs {
			s.start(g)
		}
		if g.runs && !runs {
			g.inFlight = 0
		}
		g.runs = runs
		if runs {
			s.hear(g, step)
		}
	}
	for _, c := range s.ends[step] {
		s.answer(c)
	}
	delete(s.ends, step)
	s.wanted = append(s.wanted, 0)
	owed := 0.0
	for _, g := range s.members {
		if !g.runs {
			continue
		}
		g.demand = s.demand(s, g, s.now)
		if e := g.limits.entries["u"]; e != nil && e.isHolder {
			owed += g.demand
		}
		for range s.poisson(g.demand * stepTime.Seconds()) {
			s.wanted[step]++
			s.call(g, step)
		}
		if s.ownCalls.has(s.now) && (step+g.index)%int(time.Second/stepTime) == 0 && g.limits.TakeOwn("u", s.now) {
			s.send(g, step)
		}
	}
	s.owed = append(s.owed, min(owed, s.rate))
	sums := [2]int{}
	for _, g := range s.members {
		g.history = append(g.history, g.inFlight)
		sums[s.half(g)] += g.inFlight
	}
	for i, sum := range sums {
		s.totals[i] = append(s.totals[i], sum)
	}
}

func (s *simulation) poisson(mean float64) int {
	p := s.rng.Float64()
	if p <= 1-mean {
		return 0
	}
	n := 0
	for least := math.Exp(-mean); p > least; p *= s.rng.Float64() {
		n++
	}
	return n
}

func (s *simulation) start(g *member) {
	g.process++
	g.started, g.passedAt, g.inFlight, g.read = s.now, never, 0, len(s.messages)
	g.heardAt = slices.Repeat([]time.Duration{never}, s.gateways)
	g.late = minLate + time.Duration(s.rng.Float64()*float64(maxLate-minLate))
	g.limits = Limits{Random: s.rng.Float64, Use: func(string) Use { return s.use(g) }}
	s.setGateways(g)
}

// use returns what a gateway knows of the use of the upstream.
func (s *simulation) use(g *member) Use {
	u := Use{Own: float64(g.inFlight)}
	seen := s.now - g.late
	if seen < g.started {
		return u
	}
	i := int(seen / stepTime)
	others := s.totals[s.half(g)][i] - g.history[i]
	if !s.cut.has(seen) {
		others += s.totals[1-s.half(g)][i]
	}
	u.Others = float64(others)
	return u
}

// setGateways tells a gateway which others it hears.
func (s *simulation) setGateways(g *member) {
	var alive []Gateway
	heard := 0
	seen := s.now - g.late
	for i, other := range s.members {
		if other == g || seen >= g.started && s.running(other, seen) && !s.apart(g, other, seen) {
			alive = append(alive, other.self)
			g.heardAt[i] = s.now
		}
		if g.heardAt[i] != never && s.now-g.heardAt[i] < time.Minute {
			heard++
		}
	}
	g.limits.SetGateways(g.self, alive, heard)
}

// hear lets a gateway know what has reached it, and send what it knows.
func (s *simulation) hear(g *member, step int) {
	for g.read < len(s.messages) && s.messages[g.read].at+g.late <= s.now {
		m := s.messages[g.read]
		g.read++
		if m.from == g || s.apart(g, m.from, m.at) {
			continue
		}
		for _, known := range m.known {
			known.At += time.Duration(s.rng.Float64() * float64(s.newsTransit))
			if g.limits.Merge(known, "z0", s.now) {
				s.publish(g)
			}
		}
	}
	if (step+g.index)%int(refreshTime/stepTime) == 0 {
		g.limits.Prune(noneRestarted, s.now)
		s.publish(g)
	}
	if s.now < 2*maxLate || len(s.away) > 0 || s.cut.to > 0 {
		s.updateGateways(g)
	}
}

// updateGateways tells a gateway of the others if it learns now that some came or went.
func (s *simulation) updateGateways(g *member) {
	if s.membersChanged(g) {
		s.setGateways(g)
	}
}

// membersChanged reports whether a gateway learns now that others came or went.
func (s *simulation) membersChanged(g *member) bool {
	recent := func(at time.Duration) bool {
		return max(at, g.started)+g.late <= s.now && s.now < max(at, g.started)+g.late+stepTime
	}
	if recent(0) || recent(s.cut.from) || recent(s.cut.to) {
		return true
	}
	for _, a := range s.away {
		if recent(a.from) || recent(a.to) {
			return true
		}
	}
	return false
}

func (s *simulation) publish(g *member) {
	if known := g.limits.News(8, false, s.now); len(known) > 0 {
		s.messages = append(s.messages, message{s.now, g, known})
	}
}

func (s *simulation) call(g *member, step int) {
	if !g.limits.MayCall("u", s.now) {
		return
	}
	g.limits.Take("u", s.now)
	if s.rng.Float64() < s.returned {
		g.limits.Return("u", s.now)
		return
	}
	s.send(g, step)
}

func (s *simulation) send(g *member, step int) {
	g.inFlight++
	s.arrivals = append(s.arrivals, arrival{s.now, g.passedAt != never && g.passedAt+passedTime <= s.now})
	end := step + max(1, int(s.pace/stepTime))
	s.ends[end] = append(s.ends[end], simCall{g, g.process, s.now})
}

func (s *simulation) answer(c simCall) {
	g := c.from
	if !g.runs || g.process != c.process {
		return
	}
	g.inFlight--
	var changed bool
	if s.limited.has(s.now) {
		changed = g.limits.RecordLimit(&s.upstream, s.rate, s.now)
		g.passedAt = min(g.passedAt, s.now)
		s.namedAt = min(s.namedAt, s.now)
	} else {
		if s.namedAt != never {
			s.liftedAt = min(s.liftedAt, s.now)
		}
		changed = g.limits.RecordNoLimit(&s.upstream, c.began, s.now)
	}
	if changed {
		s.publish(g)
	}
}

// most returns the largest excess over what the rule allows in any window, and the arrivals
// in that window.
func (s *simulation) most() (excess float64, arrivals int) {
	excess = math.Inf(-1)
	first := 0
	counted := 0
	for _, a := range s.arrivals {
		if !a.counted || a.at < s.namedAt+stableTime || a.at >= s.limited.to {
			continue
		}
		counted++
		for s.arrivals[first].at <= a.at-window || !s.arrivals[first].counted || s.arrivals[first].at < s.namedAt+stableTime {
			if s.arrivals[first].counted && s.arrivals[first].at >= s.namedAt+stableTime {
				counted--
			}
			first++
		}
		if over := float64(counted) - windowShare*s.rate*window.Seconds() - windowExtra; over > excess {
			excess, arrivals = over, counted
		}
	}
	return excess, arrivals
}

// owedIn returns how many requests the holders of parts could send in a span.
func (s *simulation) owedIn(p span) float64 {
	sum := 0.0
	for i, rate := range s.owed {
		if p.has(time.Duration(i) * stepTime) {
			sum += rate * stepTime.Seconds()
		}
	}
	return sum
}

// arrivalsIn returns how many requests arrived in a span.
func (s *simulation) arrivalsIn(p span) int {
	n := 0
	for _, a := range s.arrivals {
		if p.has(a.at) {
			n++
		}
	}
	return n
}

// wantedIn returns how many requests callers wanted to send in a span.
func (s *simulation) wantedIn(p span) int {
	n := 0
	for i, w := range s.wanted {
		if p.has(time.Duration(i) * stepTime) {
			n += w
		}
	}
	return n
}

// mostIn returns the most arrivals in any span of a length that begins at from or later.
func (s *simulation) mostIn(length, from time.Duration) int {
	most, first := 0, 0
	for i, a := range s.arrivals {
		for s.arrivals[first].at <= a.at-length || s.arrivals[first].at < from && first < i {
			first++
		}
		if a.at >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// excess is by how much demand exceeds the limit.
const excess = 4

// evenDemand lets the holders have more demand than the limit.
func evenDemand(s *simulation, _ *member, _ time.Duration) float64 {
	return excess * max(1, s.rate) / float64(holderCount(s.rate, s.gateways))
}

// skewedDemand gives each next gateway less demand than the one before.
func skewedDemand(s *simulation, g *member, _ time.Duration) float64 {
	return excess * max(1, s.rate) / math.Pow(float64(1+g.index), 1.5)
}

// oneDemand gives nearly all demand to one gateway.
func oneDemand(s *simulation, g *member, _ time.Duration) float64 {
	if g.index == s.gateways/2 {
		return excess * max(1, s.rate)
	}
	return 0.1 * max(1, s.rate) / float64(s.gateways)
}

// movingDemand moves all demand between two parts of the gateways.
func movingDemand(s *simulation, g *member, at time.Duration) float64 {
	if int(at/(5*time.Second))%2 != g.index%2 {
		return 0
	}
	return 2 * evenDemand(s, g, at)
}

// pulsedDemand lets all callers come at once after a pause.
func pulsedDemand(s *simulation, g *member, at time.Duration) float64 {
	if at%(10*time.Second) > 4*time.Second {
		return 0
	}
	return 5 * evenDemand(s, g, at)
}

func nearDemand(s *simulation, g *member, at time.Duration) float64 {
	if g.self.Zone != "z0" {
		return 0
	}
	return 2 * evenDemand(s, g, at)
}

func farDemand(s *simulation, g *member, at time.Duration) float64 {
	if g.self.Zone == "z0" {
		return 0
	}
	return evenDemand(s, g, at)
}

// simulatedGateways returns the numbers of gateways that the simulations go through. With
// the race detector, which finds nothing in one goroutine, those of many take more than a minute.
func simulatedGateways() []int {
	if raceEnabled {
		return []int{2, 6, 12}
	}
	return []int{2, 6, 12, 60, 110, 330}
}

// Limits and times to answer that the simulations go through.
var (
	simulatedRates = []float64{0.3, 0.5, 1, 5, 13.5, 100}
	simulatedPaces = []time.Duration{60 * time.Millisecond, time.Second, 4 * time.Second}
)

// maxAllPaces is the largest number of gateways for which each limit is simulated with each
// pace, since simulations of more take long.
const maxAllPaces = 60

// TestArrivalsKeepToTheLimit guards against an upstream that gets more from all gateways
// together than the users' rule allows, and against one that is not used for what it takes.
func TestArrivalsKeepToTheLimit(t *testing.T) {
	limited := span{2 * time.Second, 32 * time.Second}
	for _, x := range []struct {
		name string
		// used reports whether the upstream must get at least 60% of the limit. It gets less
		// where most holders have little demand: what is divided evenly between them stays
		// unused, as does more of it the fewer requests are in flight, since use is told
		// from them. After demand has moved, the parts follow newsDelay later.
		used   bool
		change func(*scenario)
	}{
		{"even demand", true, func(*scenario) {}},
		{"skewed demand", false, func(sc *scenario) { sc.demand = skewedDemand }},
		{"demand of one gateway", false, func(sc *scenario) { sc.demand = oneDemand }},
		{"demand that moves", false, func(sc *scenario) { sc.demand = movingDemand }},
		{"demand in pulses", false, func(sc *scenario) { sc.demand = pulsedDemand }},
		{"demand of the upstream's zone", false, func(sc *scenario) { sc.demand = nearDemand }},
		{"demand of other zones", false, func(sc *scenario) { sc.demand = farDemand }},
		{"a gateway restarts", true, func(sc *scenario) {
			sc.away = map[int]span{0: {12 * time.Second, 13 * time.Second}}
		}},
		{"a gateway joins and leaves", true, func(sc *scenario) {
			sc.away = map[int]span{0: {0, 14 * time.Second}, 1: {22 * time.Second, time.Hour}}
		}},
		{"halves are cut from each other", false, func(sc *scenario) { sc.cut = span{10 * time.Second, 20 * time.Second} }},
		{"calls of the gateways' own", true, func(sc *scenario) { sc.ownCalls = span{9 * time.Second, time.Hour} }},
		{"calls that are not sent", true, func(sc *scenario) { sc.returned = 0.3 }},
		{"news that seem younger", true, func(sc *scenario) { sc.newsTransit = 100 * time.Millisecond }},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(0)
			for _, gateways := range simulatedGateways() {
				for _, rate := range simulatedRates {
					for i, pace := range simulatedPaces {
						seed++
						if gateways > maxAllPaces && i != (gateways+int(rate))%len(simulatedPaces) {
							continue
						}
						sc := scenario{
							gateways: gateways, zones: min(gateways, 3+int(seed)%10), rate: rate, demand: evenDemand,
							pace: pace, limited: limited, length: limited.to,
						}
						x.change(&sc)
						s := runSimulation(sc, seed)
						s.check(t, x.used, fmt.Sprintf("%d gateways, %d zones, limit %v, answers after %v, seed %d", gateways, sc.zones, rate, pace, seed))
					}
				}
			}
		})
	}
}

// check checks that the upstream got no more than the rule allows and, if it is to be used,
// most of what the limit allows.
func (s *simulation) check(t *testing.T, used bool, name string) {
	t.Helper()
	over, arrivals := s.most()
	if over > 0 {
		t.Errorf("%s: %d requests in %v, %.1f more than allowed", name, arrivals, window, over)
	}
	measured := span{s.namedAt + settleTime, s.limited.to}
	got, owed := s.arrivalsIn(measured), s.owedIn(measured)
	t.Logf("%s: used %.0f%%, at most %+.1f", name, 100*float64(got)/max(1, owed), over)
	if used && float64(got) < 0.6*owed {
		t.Errorf("%s: %d requests in %v, %.0f allowed", name, got, measured.to-measured.from, owed)
	}
}

// TestUseAfterTheLimit guards against an upstream whose limit is gone and that gets no
// more requests, or all of them at once.
func TestUseAfterTheLimit(t *testing.T) {
	const (
		fullTime   = 2500 * time.Millisecond
		burstTime  = 100 * time.Millisecond
		burstTimes = 4
	)
	seed := uint64(0)
	for _, gateways := range simulatedGateways() {
		for _, rate := range simulatedRates {
			seed++
			sc := scenario{
				gateways: gateways, zones: min(gateways, 3+int(seed)%10), rate: rate, demand: evenDemand,
				pace: simulatedPaces[int(seed+seed/6)%2], limited: span{2 * time.Second, 14 * time.Second}, length: 32 * time.Second,
			}
			t.Run(fmt.Sprintf("%d gateways, limit %v", gateways, rate), func(t *testing.T) {
				t.Parallel()
				s := runSimulation(sc, seed)
				qt.Assert(t, s.liftedAt < 24*time.Second, qt.IsTrue, qt.Commentf("%v", s.liftedAt))
				// The other gateways hear of it late.
				full := span{s.liftedAt + maxLate + fullTime, s.length}
				got, wanted := s.arrivalsIn(full), s.wantedIn(full)
				qt.Check(t, got >= wanted*95/100, qt.IsTrue, qt.Commentf("%d of %d requests", got, wanted))
				ramp := slices.Max([]float64{burstTimes * max(1, rate), 1.5 * float64(s.wantedIn(full)) * burstTime.Seconds() / (full.to - full.from).Seconds()})
				most := s.mostIn(burstTime, s.limited.to)
				qt.Check(t, float64(most) <= ramp+float64(gateways), qt.IsTrue, qt.Commentf("%d requests in %v", most, burstTime))
			})
		}
	}
}
