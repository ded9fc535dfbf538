package fairshare

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"lovageport.example/internal/protocol/peering"
)

// checkServed checks that enough of the requests of a class were served and, of these,
// had a first event within 0.8 s.
func checkServed(t *testing.T, o *outcomes, served, early float64) {
	t.Helper()
	qt.Check(t, float64(o.served) >= served*float64(o.asked), qt.IsTrue, qt.Commentf("%v", *o))
	qt.Check(t, float64(o.early) >= early*float64(o.served), qt.IsTrue, qt.Commentf("%v", *o))
}

// floodCase is a flood of 120 callers of one account beside an account that sends 5
// requests a second to the last gateway.
type floodCase struct {
	name  string
	flood []int
	zones []string
}

var floodCases = []floodCase{
	{"at one", []int{0}, []string{"z", "z", "z"}},
	{"at some", []int{0, 1}, []string{"z", "z", "z"}},
	{"at all", []int{0, 1, 2}, []string{"z", "z", "z"}},
	{"at some, three zones", []int{0, 1}, []string{"x", "y", "z"}},
	{"at all, three zones", []int{0, 1, 2, 3, 4, 5}, []string{"x", "x", "y", "y", "z", "z"}},
}

func (f floodCase) replay(mean time.Duration, small Class) *replay {
	r := newReplay(f.zones...)
	r.mean = mean
	r.flood(120, classA, 1, f.flood...)
	r.open = []*openLoad{{class: small, perSecond: 5, gateways: []int{len(f.zones) - 1}, cost: 1}}
	return r
}

// TestFloodBesideSmallAccount guards against the refusal of an account below its share
// because other gateways assign all freed capacity to a flood. Its demand is a quarter
// and a half of its equal share; the last generations are as long as its demand is close
// to it.
func TestFloodBesideSmallAccount(t *testing.T) {
	for _, f := range floodCases {
		for _, mean := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(f.name, ", ", mean), func(t *testing.T) {
				before, after := compare(t, func() *replay { return f.replay(mean, classB) }, 30*time.Second)
				t.Logf("total work %.1f before, %.1f after", before.work(), after.work())
				early := 0.9
				if mean == time.Second {
					early = 0.8
				}
				checkServed(t, after.outcome(classB), 0.95, early)
				// What the small account gets more, the flood gets less. Besides, a
				// part of the capacity is kept for the former.
				qt.Check(t, after.work() >= 0.92*before.work(), qt.IsTrue, qt.Commentf("%.1f of %.1f", after.work(), before.work()))
			})
		}
	}
}

// TestFloodBesideUrgentAccount guards against the same if the small account is more
// urgent, which each gateway respects only within its own queue.
func TestFloodBesideUrgentAccount(t *testing.T) {
	urgent := Class{Account: "b", Priority: 0}
	for _, f := range floodCases {
		t.Run(f.name, func(t *testing.T) {
			_, after := compare(t, func() *replay { return f.replay(600*time.Millisecond, urgent) }, 30*time.Second)
			checkServed(t, after.outcome(urgent), 0.98, 0.9)
		})
	}
}

// TestUrgentFloodDoesNotStarveOthers guards against a less urgent priority that gets
// nothing: no class may be served less than a quarter as often as all, and none less often
// than a less urgent one.
func TestUrgentFloodDoesNotStarveOthers(t *testing.T) {
	for _, load := range []float64{1.5, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			r := newReplay("z", "z", "z")
			r.from = r.now + 3*time.Second
			classes := []Class{{Account: "u", Priority: 0}, {Account: "v", Priority: 5}, {Account: "w", Priority: 9}}
			for i, c := range classes {
				r.open = append(r.open, &openLoad{class: c, perSecond: load * poolRoom / 3, gateways: []int{i, (i + 1) % 3, (i + 2) % 3}, cost: 1})
			}
			r.run(60 * time.Second)
			served, asked := 0, 0
			last := 1.01
			for _, c := range classes {
				o := r.outcome(c)
				t.Logf("priority %d: %v", c.Priority, *o)
				part := float64(o.served) / float64(o.asked)
				// Equal parts may differ by chance.
				qt.Check(t, part <= last+0.02, qt.IsTrue, qt.Commentf("priority %d: %v", c.Priority, *o))
				last = part
				served, asked = served+o.served, asked+o.asked
			}
			for _, c := range classes {
				o := r.outcome(c)
				qt.Check(t, float64(o.served)/float64(o.asked) >= 0.25*float64(served)/float64(asked), qt.IsTrue, qt.Commentf("priority %d: %v of %d of %d", c.Priority, *o, served, asked))
			}
		})
	}
}

// TestUrgentBesideIdle guards against capacity that is kept for a more urgent class that
// no longer asks for it.
func TestUrgentBesideIdle(t *testing.T) {
	urgent := Class{Account: "b", Priority: 0}
	r := newReplay("z", "z", "z")
	r.flood(120, classA, 1, 0, 1)
	small := &openLoad{class: urgent, perSecond: 5, gateways: []int{2}, cost: 1}
	r.open = []*openLoad{small}
	r.run(10 * time.Second)
	small.perSecond = 0
	r.run(8 * time.Second)
	r.from = r.now
	r.run(10 * time.Second)
	used := r.outcome(classA).work / 10
	qt.Check(t, used >= 0.95*poolRoom, qt.IsTrue, qt.Commentf("%.1f of %d used", used, poolRoom))
}

// TestNobodyIsLimitedWithRoom guards against limits while there is room for all.
func TestNobodyIsLimitedWithRoom(t *testing.T) {
	r := newReplay("z", "z", "z")
	r.from = r.now
	r.open = []*openLoad{
		{class: classA, perSecond: 6, gateways: []int{0, 1}, cost: 1},
		{class: classB, perSecond: 1, gateways: []int{2}, cost: 1},
	}
	r.observe = func() {
		for _, g := range r.gateways {
			qt.Assert(t, g.service.Limiting(), qt.IsFalse)
		}
	}
	r.room = 20
	r.run(30 * time.Second)
	for _, o := range r.out {
		qt.Check(t, o.held, qt.Equals, 0)
		qt.Check(t, o.served, qt.Equals, o.asked)
	}
	d, active := r.gateways[0].service.Digest(false, r.now)
	qt.Check(t, active, qt.IsFalse, qt.Commentf("a digest is sent: %v", d))
}

// TestOneClassIsNotLimited guards against limits of a service whose requests have no
// account and one priority.
func TestOneClassIsNotLimited(t *testing.T) {
	before, after := compare(t, func() *replay {
		r := newReplay("z", "z", "z")
		r.flood(120, Class{}, 1, 0, 1, 2)
		return r
	}, 20*time.Second)
	qt.Check(t, *after.outcome(Class{}) == *before.outcome(Class{}), qt.IsTrue)
}

// TestWavesOfLoad guards against counts that lag behind a load that changes by half
// within 15 s.
func TestWavesOfLoad(t *testing.T) {
	r := newReplay("z", "z", "z")
	r.mean = 600 * time.Millisecond
	r.from = r.now + 3*time.Second
	large := &openLoad{class: classA, gateways: []int{0, 1}, cost: 1}
	r.open = []*openLoad{large, {class: classB, perSecond: 5, gateways: []int{2}, cost: 1}}
	for wave := range 6 {
		large.perSecond = []float64{60, 15}[wave%2]
		r.run(15 * time.Second)
	}
	t.Log(*r.outcome(classA), *r.outcome(classB))
	checkServed(t, r.outcome(classB), 0.95, 0.9)
	// Also in the lower waves, the load takes all of the capacity.
	qt.Check(t, r.work() >= 0.85*poolRoom*87, qt.IsTrue, qt.Commentf("%.0f", r.work()))
}

// TestCapacityAddedAndLost guards against an estimate of the capacity that keeps classes
// limited after engines were added, or shrinks with each step because of its own limits.
func TestCapacityAddedAndLost(t *testing.T) {
	r := newReplay("z", "z", "z")
	r.mean = 600 * time.Millisecond
	r.flood(120, classA, 1, 0, 1)
	r.open = []*openLoad{{class: classB, perSecond: 5, gateways: []int{2}, cost: 1}}
	r.from = r.now
	used := func(length time.Duration) float64 {
		before := r.work()
		r.run(length)
		return (r.work() - before) / length.Seconds()
	}
	r.run(10 * time.Second)
	steady := used(60 * time.Second)
	qt.Check(t, steady >= 0.92*poolRoom, qt.IsTrue, qt.Commentf("%.1f of %d used over a minute", steady, poolRoom))
	r.room = 3 * poolRoom
	r.run(5 * time.Second)
	added := used(10 * time.Second)
	qt.Check(t, added >= 0.9*r.room, qt.IsTrue, qt.Commentf("%.1f of %.0f used 5 s after capacity was added", added, r.room))
	r.room = poolRoom
	r.run(5 * time.Second)
	*r.outcome(classB) = outcomes{}
	r.from = r.now
	r.run(10 * time.Second)
	checkServed(t, r.outcome(classB), 0.9, 0.8)
}

// TestSilentPeer guards against the counts of a peer that is no longer heard.
func TestSilentPeer(t *testing.T) {
	r := newReplay("z", "z", "z", "z")
	r.mean = 600 * time.Millisecond
	r.flood(90, classA, 1, 0, 1)
	r.flood(30, Class{Account: "c", Priority: 5}, 1, 3)
	r.open = []*openLoad{{class: classB, perSecond: 5, gateways: []int{2}, cost: 1}}
	r.run(10 * time.Second)
	r.gateways[3].silent = true
	r.run(1500 * time.Millisecond)
	for _, g := range r.gateways[:3] {
		qt.Check(t, g.service.reports["g3"], qt.IsNil)
	}
	r.from = r.now
	r.run(20 * time.Second)
	checkServed(t, r.outcome(classB), 0.9, 0.8)
}

// TestGatewayWithoutPeers guards against a gateway that takes all capacity, or none, once
// it hears no peer: it keeps its last share, which tends to an equal part.
func TestGatewayWithoutPeers(t *testing.T) {
	r := newReplay("z", "z", "z")
	r.flood(60, classA, 1, 0, 1)
	r.flood(60, classB, 1, 0, 1)
	r.run(10 * time.Second)
	g := r.gateways[0].service
	before := g.capacity
	qt.Assert(t, before > 0.8*poolRoom && before < 1.3*poolRoom, qt.IsTrue, qt.Commentf("%v", before))
	for _, g := range r.gateways {
		g.silent = true
	}
	r.run(4 * time.Second)
	qt.Check(t, len(g.reports), qt.Equals, 0)
	qt.Check(t, g.capacity < 0.95*before, qt.IsTrue, qt.Commentf("%v of %v", g.capacity, before))
	qt.Check(t, g.capacity > 0.1*before, qt.IsTrue, qt.Commentf("%v of %v", g.capacity, before))
}

// TestPartitionHeals guards against a burst after a partition of the zones, and against
// shares that stay divided.
func TestPartitionHeals(t *testing.T) {
	r := newReplay("x", "x", "y", "y")
	r.mean = 600 * time.Millisecond
	r.flood(120, classA, 1, 0, 1, 2)
	r.open = []*openLoad{{class: classB, perSecond: 5, gateways: []int{3}, cost: 1}}
	r.run(10 * time.Second)
	cut := true
	r.cut = func(string, string) bool { return cut }
	r.run(10 * time.Second)
	cut = false
	// The small account first catches up with what waited during the partition, with no
	// more than its equal share; the large one keeps to its own.
	r.from = r.now + time.Second
	used := 0.0
	r.observe = func() {
		for _, c := range r.running {
			if c.class == classA && r.now >= r.from {
				used += replayStep.Seconds()
			}
		}
	}
	r.run(4 * time.Second)
	t.Logf("the large account uses %.1f of %d: %v; small: %v", used/3, poolRoom, *r.outcome(classA), *r.outcome(classB))
	checkServed(t, r.outcome(classB), 0.95, 0.8)
	qt.Check(t, used/3 <= 0.65*poolRoom, qt.IsTrue, qt.Commentf("%.1f", used/3))
	r.run(3 * time.Second)
	r.out = make(map[Class]*outcomes)
	r.from = r.now
	r.run(20 * time.Second)
	t.Log(*r.outcome(classA), *r.outcome(classB))
	checkServed(t, r.outcome(classB), 0.95, 0.9)
	qt.Check(t, r.work() >= 0.88*poolRoom*20, qt.IsTrue, qt.Commentf("%.0f", r.work()))
}

// TestRestartedGateway guards against a gateway that starts with empty counts and is held
// back, or holds back others, by what it does not know.
func TestRestartedGateway(t *testing.T) {
	r := newReplay("z", "z", "z")
	r.mean = 600 * time.Millisecond
	r.flood(120, classA, 1, 0, 1)
	r.open = []*openLoad{{class: classB, perSecond: 5, gateways: []int{2}, cost: 1}}
	r.run(10 * time.Second)
	r.gateways[2].service = &Service{Self: "g2"}
	r.gateways[0].service = &Service{Self: "g0"}
	r.from = r.now + time.Second
	r.run(20 * time.Second)
	checkServed(t, r.outcome(classB), 0.95, 0.85)
}

// TestEarlierBuild guards against peers that report no demand: what they use is not
// available to others, and the rest is still divided.
func TestEarlierBuild(t *testing.T) {
	r := newReplay("z", "z", "z")
	r.mean = 600 * time.Millisecond
	r.gateways[0].early = true
	// The earlier build sends 3 a second, about 2 of the 12 places.
	r.open = []*openLoad{
		{class: Class{Account: "c", Priority: 5}, perSecond: 3, gateways: []int{0}, cost: 1},
		{class: classB, perSecond: 5, gateways: []int{2}, cost: 1},
	}
	r.flood(120, classA, 1, 1)
	r.from = r.now + 3*time.Second
	r.run(30 * time.Second)
	t.Log(r.out)
	checkServed(t, r.outcome(classB), 0.95, 0.9)
	qt.Check(t, r.work() >= 0.85*poolRoom*27, qt.IsTrue, qt.Commentf("%.0f", r.work()))
}

// TestRemovedAccount guards against the demand of an account that the configuration no
// longer contains.
func TestRemovedAccount(t *testing.T) {
	c := qt.New(t)
	s := &Service{Self: "g"}
	now := 10 * time.Second
	for range 6 {
		s.Start(classA, 1, now)
		s.Start(classB, 1, now)
	}
	s.RecordFull(1, now)
	report := &peering.ServiceDemand{Service: "s", Scarcity: 3, Classes: []peering.ClassDemand{
		{Account: "a", Priority: 5, Accounts: 1, Used: 3, Wanted: 9}, {Account: "b", Priority: 5, Accounts: 1, Used: 1}}}
	s.SetReport("p", true, report, now)
	s.Refresh(now)
	c.Assert(s.IsLimited(classA), qt.IsTrue)
	s.RetainAccounts(func(account string) bool { return account == "b" })
	s.Refresh(now + 200*time.Millisecond)
	c.Check(s.demands[classA], qt.IsNil)
	c.Check(s.Limiting(), qt.IsFalse)
	c.Check(report.Classes, qt.HasLen, 2, qt.Commentf("the report belongs to the message"))
	// Requests of the account that are still in flight end without effect.
	s.End(classA, 1, now+300*time.Millisecond)
	c.Check(s.own[classA], qt.IsNil)
}

// TestLargeRequests guards against the starvation of the largest tenth of the requests of
// a class, limited or not, while other gateways take each place that becomes free.
func TestLargeRequests(t *testing.T) {
	for _, class := range []Class{classA, {Account: "c", Priority: 5}} {
		t.Run(class.Account, func(t *testing.T) {
			r := newReplay("z", "z", "z")
			r.mean = 600 * time.Millisecond
			r.open = []*openLoad{
				{class: classA, perSecond: 20, gateways: []int{0, 1}, cost: 1},
				{class: classB, perSecond: 5, gateways: []int{2}, cost: 1},
				{class: class, perSecond: 2, gateways: []int{0, 1}, cost: 4, large: true},
			}
			r.from = r.now + 3*time.Second
			r.run(60 * time.Second)
			t.Log(r.large, *r.outcome(classA), *r.outcome(classB))
			served, asked := r.large.served, r.large.asked
			for _, o := range r.out {
				served, asked = served+o.served, asked+o.asked
			}
			qt.Check(t, float64(r.large.served)/float64(r.large.asked) >= 0.25*float64(served)/float64(asked), qt.IsTrue, qt.Commentf("%v of %d of %d", r.large, served, asked))
		})
	}
}

// manyAccounts returns a gateway that has heard 109 peers of its zone and two other zones,
// which name different accounts out of 27,000.
func manyAccounts() (*Service, time.Duration) {
	s := &Service{Self: "g"}
	now := 10 * time.Second
	account := 0
	next := func() string {
		account = (account + 7919) % 27000
		return fmt.Sprint("account-", account)
	}
	for range 200 {
		s.Start(Class{Account: next(), Priority: account % 3}, 100, now)
		s.RecordRefused(Class{Account: next(), Priority: account % 3}, 100, now)
	}
	for peer := range 111 {
		d := &peering.ServiceDemand{Service: "s", Scarcity: 3}
		for range peering.MaxDemandClasses {
			d.Classes = append(d.Classes, peering.ClassDemand{Account: next(), Priority: account % 3, Accounts: 1, Used: 100, Wanted: 200})
		}
		for p := range 3 {
			d.Classes = append(d.Classes, peering.ClassDemand{Priority: p, Accounts: 50, Used: 500, Wanted: 500})
		}
		s.SetReport(fmt.Sprint("p", peer), peer < 109, d, now)
	}
	s.RecordFull(100, now)
	return s, now
}

// TestDigestIsBounded guards against a digest whose size grows with the accounts or the
// gateways: it is sent to each peer several times a second.
func TestDigestIsBounded(t *testing.T) {
	c := qt.New(t)
	s, now := manyAccounts()
	s.Refresh(now)
	for _, ofZone := range []bool{false, true} {
		d, active := s.Digest(ofZone, now)
		c.Assert(active, qt.IsTrue)
		d.Service = "textwerk"
		news := &peering.DemandNews{Services: []peering.ServiceDemand{d}}
		c.Check(news.Check(), qt.IsNil)
		size := encodedSize(c, news)
		t.Logf("of zone %v: %d classes, %d bytes", ofZone, len(d.Classes), size)
		c.Check(size <= 2200, qt.IsTrue, qt.Commentf("%d bytes", size))
	}
}

// TestStateIsBounded guards against memory that grows with the accounts that have sent
// requests.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	s := &Service{Self: "g"}
	now := 10 * time.Second
	for i := range 27000 {
		class := Class{Account: fmt.Sprint(i)}
		s.Start(class, 1, now)
		s.RecordRefused(class, 1, now)
	}
	c.Check(len(s.own) <= maxClasses+priorities, qt.IsTrue, qt.Commentf("%d classes", len(s.own)))
	for i := range 27000 {
		s.End(Class{Account: fmt.Sprint(i)}, 1, now)
	}
	s.RecordFull(1, now)
	now += 30 * time.Second
	s.Refresh(now)
	c.Check(s.own, qt.HasLen, 0)
	c.Check(s.Active(now), qt.IsFalse)
}

// BenchmarkRefresh measures the computation of the shares with 330 gateways in three zones
// and 27,000 accounts.
func BenchmarkRefresh(b *testing.B) {
	s, now := manyAccounts()
	for b.Loop() {
		s.Refresh(now)
	}
}

// BenchmarkDigest measures the digest of a zone with 110 gateways.
func BenchmarkDigest(b *testing.B) {
	s, now := manyAccounts()
	for b.Loop() {
		s.Digest(true, now)
	}
}

func encodedSize(c *qt.C, news *peering.DemandNews) int {
	encoded, err := cbor.Marshal(news)
	c.Assert(err, qt.IsNil)
	return len(encoded)
}

// TestRefusedRequestsAreNoCapacity guards against an estimate of the capacity that contains
// requests in flight which upstreams refuse: gateways that lack news of each other send as
// many of them as run.
func TestRefusedRequestsAreNoCapacity(t *testing.T) {
	s := &Service{Self: "g"}
	now := 10 * time.Second
	for range poolRoom {
		s.Start(classA, 1, now)
	}
	for range 50 {
		for range poolRoom {
			s.Start(classA, 1, now)
		}
		s.RecordFull(1, now)
		s.Refresh(now)
		now += 100 * time.Millisecond
		for range poolRoom {
			s.End(classA, 1, now)
			s.RecordWasted(1, 100*time.Millisecond, now)
		}
	}
	qt.Check(t, s.capacity < 1.15*poolRoom && s.capacity > 0.9*poolRoom, qt.IsTrue, qt.Commentf("%v", s.capacity))
	d, _ := s.Digest(false, now)
	qt.Check(t, float64(d.Classes[0].Used) <= poolRoom, qt.IsTrue, qt.Commentf("%v", d.Classes[0]))
}
