package health

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOwnAnswerOutweighsPeer checks when a peer's fault excludes an upstream, and what
// ends that.
func TestOwnAnswerOutweighsPeer(t *testing.T) {
	const now = time.Minute
	for _, x := range []struct {
		name string
		// heard is the time since the last answer here before the fault is told, and
		// age that since the fault; negative if there is no such time.
		heard, age time.Duration
		excluded   bool
	}{
		{"never heard", -1, 100 * ms, true},
		{"heard before the fault", 200 * ms, 100 * ms, true},
		{"heard after the fault", 50 * ms, 100 * ms, false},
		{"heard at the fault", 100 * ms, 100 * ms, true},
		{"age unknown, heard just now", 499 * ms, -1, false},
		{"age unknown, heard long ago", 500 * ms, -1, true},
		{"age unknown, never heard", -1, -1, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			var tr Tracker
			if x.heard >= 0 {
				tr.RecordAnswer("u", now-x.heard)
			}
			if x.age < 0 {
				tr.RecordPeerExclusion("u", time.Hour, now)
			} else {
				tr.RecordPeerFault(PeerFault{Exclusion: Exclusion{"u", time.Hour}, Age: x.age}, now)
			}
			c.Assert(tr.Excluded("u", now), qt.Equals, x.excluded)
			c.Check(tr.Excluded("u", now+probeInterval), qt.IsFalse)
			if !x.excluded {
				c.Check(tr.DueProbes(now), qt.HasLen, 0)
				return
			}
			c.Check(tr.DueProbes(now), qt.DeepEquals, []string{"u"}, qt.Commentf("a reason to look"))
			c.Check(tr.DueProbes(now+ms), qt.HasLen, 0)
			tr.RecordAnswer("u", now+ms)
			c.Check(tr.Excluded("u", now+ms), qt.IsFalse)
		})
	}
}

// TestRefusalOfPeerIsNotProbed checks that an upstream that has answered a peer, as by
// refusing, is not probed, since that shows no more.
func TestRefusalOfPeerIsNotProbed(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.RecordPeerFault(PeerFault{Exclusion: Exclusion{"u", 300 * ms}, Answered: true}, time.Second)
	c.Check(tr.Excluded("u", time.Second), qt.IsTrue)
	c.Check(tr.DueProbes(time.Second), qt.HasLen, 0)
}

// TestManyGatewaysLookOneAfterTheOther guards against a herd of probes after a peer's
// fault.
func TestManyGatewaysLookOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	tr := Tracker{SharingGateways: 6, Random: func() float64 { return 0.25 }}
	tr.RecordPeerFault(PeerFault{Exclusion: Exclusion{"u", time.Hour}}, time.Second)
	const delay = probeInterval / 2
	c.Check(tr.DueProbes(time.Second+delay-ms), qt.HasLen, 0)
	c.Check(tr.DueProbes(time.Second+delay), qt.DeepEquals, []string{"u"})
}

// TestFaultsToldToPeers checks which faults are told, by what is known of them and by
// how many upstreams answer.
func TestFaultsToldToPeers(t *testing.T) {
	const now = time.Minute
	for _, x := range []struct {
		fault    Fault
		failed   bool
		lost     int
		answered int
		own      bool
		told     int
	}{
		{Unreachable, false, 1, 3, false, 1},
		{Unreachable, false, 2, 0, false, 2},
		{Unreachable, false, 3, 4, false, 3},
		{Unreachable, false, 3, 3, true, 0},
		{Unreachable, false, 4, 0, true, 0},
		{Stalled, false, 1, 3, false, 0},
		{Stalled, true, 1, 3, false, 1},
		{Silent, false, 2, 3, false, 0},
		{Silent, true, 2, 3, false, 2},
		{Silent, true, 4, 3, true, 0},
		{Full, false, 4, 0, false, 4},
		{Misplaced, false, 4, 0, false, 4},
	} {
		t.Run(fmt.Sprint(x.fault, x.failed, x.lost, x.answered), func(t *testing.T) {
			c := qt.New(t)
			var tr Tracker
			for i := range x.lost {
				u := fmt.Sprint("lost", i)
				tr.RecordAnswer(u, now-time.Second)
				if x.failed {
					tr.RecordProbeFailure(u)
				}
				tr.RecordFault(u, x.fault, now-50*ms)
			}
			for i := range x.answered {
				tr.RecordAnswer(fmt.Sprint("well", i), now-time.Second)
			}
			c.Check(tr.SeesOwnFault(now), qt.Equals, x.own)
			told, _ := tr.PeerFaults(now)
			c.Check(told, qt.HasLen, x.told)
			for _, f := range told {
				c.Check(f.Age, qt.Equals, 50*ms)
				c.Check(f.Answered, qt.Equals, !x.fault.NoAnswer())
			}
			for i := range x.lost {
				tr.RecordProbeSuccess(fmt.Sprint("lost", i), now)
			}
			c.Check(tr.SeesOwnFault(now), qt.IsFalse, qt.Commentf("all answer again"))
		})
	}
}

// TestOwnFaultOutlivesPeersWord guards against a gateway that is talked out of its own
// fault by peers that see well.
func TestOwnFaultOutlivesPeersWord(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	for i := range 3 {
		u := fmt.Sprint("u", i)
		tr.RecordFault(u, Stalled, time.Minute)
		c.Assert(tr.MergeObservation(Observation{Instance: u}, time.Minute+ms), qt.IsTrue)
	}
	c.Check(tr.SeesOwnFault(time.Minute+ms), qt.IsTrue)
	c.Check(tr.SeesOwnFault(time.Minute+contactWindow), qt.IsFalse)
}
