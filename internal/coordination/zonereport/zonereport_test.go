package zonereport

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageport.example/internal/protocol/peering"
)

const (
	maxAge = 10 * time.Second
	start  = time.Minute
)

// load returns the load of a zone with a number of requests.
func load(requests int) *peering.ZoneLoad {
	return &peering.ZoneLoad{Loads: []peering.UpstreamLoad{{Upstream: "e", Requests: requests}}}
}

// relayed returns a report of zone b with a number of requests.
func relayed(t *testing.T, sender string, sequence int64, age time.Duration, requests int) *peering.ZoneReport {
	packed, err := load(requests).Pack()
	qt.Assert(t, err, qt.IsNil)
	return &peering.ZoneReport{Zone: "b", Sender: sender, Sequence: sequence, Age: age, Packed: packed}
}

// TestOfferedReports guards against older or impossible reports that replace newer ones,
// and against newer ones that are not taken. The report held is 500 ms old, the 50th of
// its sender.
func TestOfferedReports(t *testing.T) {
	changed := func(r *peering.ZoneReport, change func(r *peering.ZoneReport)) *peering.ZoneReport {
		change(r)
		return r
	}
	for _, x := range []struct {
		name   string
		report *peering.ZoneReport
		// passed is the time since the report that is held was made.
		passed time.Duration
		want   Result
	}{
		{"newer of the sender", relayed(t, "b1", 51, 0, 2), 500 * time.Millisecond, Taken},
		{"the same", relayed(t, "b1", 50, 500*time.Millisecond, 2), 500 * time.Millisecond, Older},
		{"earlier of the sender", relayed(t, "b1", 49, 900*time.Millisecond, 2), 500 * time.Millisecond, Older},
		{"earlier of the sender, delayed so that it seems newer", relayed(t, "b1", 49, 0, 2), 500 * time.Millisecond, Older},
		{"of the sender after its VM was replaced", relayed(t, "b1", 3, 0, 2), 3 * time.Second, Taken},
		{"newer of the second reporter", relayed(t, "b2", 7, 0, 2), 500 * time.Millisecond, Taken},
		{"earlier of the second reporter", relayed(t, "b2", 99, 600*time.Millisecond, 2), 500 * time.Millisecond, Older},
		{"of an earlier build", relayed(t, "b1", 0, 0, 2), 500 * time.Millisecond, Taken},
		{"too old", relayed(t, "b1", 51, maxAge+time.Second, 2), 500 * time.Millisecond, Older},
		{"of the future", relayed(t, "b1", 51, -time.Second, 2), 500 * time.Millisecond, Invalid},
		{"from before the start of the VM", relayed(t, "b1", 51, math.MaxInt64, 2), 500 * time.Millisecond, Invalid},
		{"negative sequence", relayed(t, "b1", -1, 0, 2), 500 * time.Millisecond, Invalid},
		{"without sender", relayed(t, "", 51, 0, 2), 500 * time.Millisecond, Invalid},
		{"negative load", relayed(t, "b1", 51, 0, -2), 500 * time.Millisecond, Invalid},
		{"truncated", changed(relayed(t, "b1", 51, 0, 2), func(r *peering.ZoneReport) { r.Packed = r.Packed[:len(r.Packed)-1] }), 500 * time.Millisecond, Invalid},
		{"empty", changed(relayed(t, "b1", 51, 0, 2), func(r *peering.ZoneReport) { r.Packed = nil }), 500 * time.Millisecond, Invalid},
	} {
		t.Run(x.name, func(t *testing.T) {
			var rs Reports
			qt.Assert(t, rs.OfferDirect("b", "b1", 50, load(1), start), qt.Equals, Taken)
			now := start + x.passed
			got, result := rs.Offer(x.report, maxAge, now, now)
			qt.Check(t, result, qt.Equals, x.want)
			at, ok := rs.MadeAt("b")
			qt.Check(t, ok, qt.IsTrue)
			if x.want != Taken {
				qt.Check(t, got, qt.IsNil)
				qt.Check(t, at, qt.Equals, start)
				return
			}
			qt.Check(t, got.Loads[0].Requests, qt.Equals, 2)
			qt.Check(t, at, qt.Equals, now-x.report.Age)
		})
	}
}

// TestImpossibleDirectReport guards against a message that replaces a load by one that
// cannot be.
func TestImpossibleDirectReport(t *testing.T) {
	var rs Reports
	bad := load(1)
	bad.Loads[0].Reading = float32(math.NaN())
	qt.Check(t, rs.OfferDirect("b", "b1", 1, bad, start), qt.Equals, Invalid)
	_, ok := rs.MadeAt("b")
	qt.Check(t, ok, qt.IsFalse)
}

// TestAgeAccumulatesOverHops guards against reports that seem newer after each hop, and
// against two gateways that send each other the same report.
func TestAgeAccumulatesOverHops(t *testing.T) {
	const hop = 700 * time.Millisecond
	var from Reports
	qt.Assert(t, from.OfferDirect("b", "b1", 50, load(1), start), qt.Equals, Taken)
	for hops := 1; hops < 5; hops++ {
		now := start + time.Duration(hops)*hop
		sent := from.For(nil, now)
		qt.Assert(t, sent, qt.HasLen, 1)
		qt.Check(t, sent[0].Age, qt.Equals, now-start)
		// The transfer takes up to 100 ms, which the receiver counts in.
		var to Reports
		_, result := to.Offer(&sent[0], maxAge, now, now+100*time.Millisecond)
		qt.Assert(t, result, qt.Equals, Taken)
		qt.Check(t, from.For(to.Held(now), now), qt.HasLen, 0)
		qt.Check(t, to.For(from.Held(now), now), qt.HasLen, 0)
		from = to
	}
}

// TestOnlyNewerReportsAreRelayed guards against bytes for reports that a peer has, or has
// one of that is hardly older.
func TestOnlyNewerReportsAreRelayed(t *testing.T) {
	var rs Reports
	qt.Assert(t, rs.OfferDirect("b", "b1", 50, load(1), start), qt.Equals, Taken)
	qt.Assert(t, rs.OfferDirect("c", "c1", 50, load(1), start+time.Second), qt.Equals, Taken)
	now := start + 2*time.Second
	zones := func(held ...peering.HeldReport) []string {
		var out []string
		for _, r := range rs.For(held, now) {
			out = append(out, r.Zone)
		}
		return out
	}
	of := func(zone string, age time.Duration) peering.HeldReport {
		return peering.HeldReport{Zone: zone, Milliseconds: age.Milliseconds()}
	}
	qt.Check(t, zones(), qt.DeepEquals, []string{"b", "c"})
	qt.Check(t, zones(of("b", 2*time.Second)), qt.DeepEquals, []string{"c"})
	qt.Check(t, zones(of("b", 2*time.Second+minGain), of("c", time.Second+minGain/2)), qt.DeepEquals, []string{"b"})
	qt.Check(t, zones(of("b", -time.Hour), of("c", math.MaxInt64)), qt.DeepEquals, []string{"c"}, qt.Commentf("impossible ages"))
	qt.Check(t, rs.IsLate("b", now), qt.IsTrue)
	qt.Check(t, rs.IsLate("c", now), qt.IsFalse)
	qt.Check(t, rs.IsLate("d", now), qt.IsTrue)
}

// TestOldReportsAreDropped guards against load that counts although its zone is no longer
// heard.
func TestOldReportsAreDropped(t *testing.T) {
	var rs Reports
	rs.OfferDirect("b", "b1", 50, load(1), start)
	rs.OfferDirect("c", "c1", 50, load(1), start+time.Millisecond)
	rs.Prune(maxAge, start+maxAge)
	qt.Check(t, rs.Held(start+maxAge), qt.HasLen, 2)
	rs.Prune(maxAge, start+maxAge+time.Millisecond)
	qt.Check(t, rs.Held(start+maxAge), qt.DeepEquals, []peering.HeldReport{{Zone: "c", Milliseconds: maxAge.Milliseconds() - 1}})
}
