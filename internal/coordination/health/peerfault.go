package health

import "time"

const (
	// freshAnswerTime is the age up to which an answer to this gateway outweighs a
	// peer's fault of unknown age.
	freshAnswerTime = 500 * time.Millisecond
	// contactWindow is the time within which an upstream counts as called.
	contactWindow = 2 * time.Second
	// minOwnFault is the number of upstreams that must leave this gateway without an
	// answer for the fault to be taken for its own.
	minOwnFault = 3
)

// PeerFault is an exclusion as told between gateways.
type PeerFault struct {
	Exclusion
	// Age is the time since the upstream last had the fault.
	Age time.Duration
	// Answered reports whether the fault is an answer of the upstream, which a probe
	// does not refute.
	Answered bool
}

// RecordAnswer records that an upstream has answered this gateway. That ends the
// exclusion reported by peers.
func (t *Tracker) RecordAnswer(instance string, now time.Duration) {
	t.record(instance).recordAnswer(now)
}

func (rec *record) recordAnswer(now time.Duration) {
	rec.heardAt = max(rec.heardAt, now)
	rec.peerExcludedUntil = min(rec.peerExcludedUntil, now)
}

// RecordPeerExclusion records that a peer has excluded an upstream for the remaining
// time given, because of a fault of unknown age.
func (t *Tracker) RecordPeerExclusion(instance string, remaining, now time.Duration) {
	t.RecordPeerFault(PeerFault{Exclusion: Exclusion{instance, remaining}, Age: freshAnswerTime}, now)
}

// RecordPeerFault records a fault that a peer has seen. It counts for nothing if the
// upstream has answered this gateway since. Otherwise the upstream is excluded for the
// remaining time, but at most for a probe interval, and until it answers a probe, which
// is requested, or a call.
func (t *Tracker) RecordPeerFault(f PeerFault, now time.Duration) {
	rec := t.record(f.Instance)
	if rec.heardAt > 0 && rec.heardAt > now-f.Age {
		return
	}
	rec.peerExcludedUntil = max(rec.peerExcludedUntil, now+min(f.Remaining, probeInterval))
	if !f.Answered && !rec.awaitingProbe && now >= rec.nextProbeRequestAt {
		rec.requestProbe(now+t.stagger(rec, now), now)
	}
}

// PeerFaults returns the faults to tell peers, in no particular order: those that are
// answers of the upstream or refused connections, and those that a probe has confirmed.
// If the fault is probably this gateway's own, as own reports, only answers are told.
func (t *Tracker) PeerFaults(now time.Duration) (out []PeerFault, own bool) {
	own = t.SeesOwnFault(now)
	for _, x := range t.Exclusions(now) {
		rec := t.records[x.Instance]
		answered := now < rec.refusedUntil && !rec.awaitingProbe
		if answered || !own && (rec.unreachable || rec.failedProbes > 0) {
			out = append(out, PeerFault{Exclusion: x, Age: now - rec.faultAt, Answered: answered})
		}
	}
	return out, own
}

// SeesOwnFault reports whether the fault is probably this gateway's own: several
// upstreams, and at least half of those that it has called, don't answer it.
func (t *Tracker) SeesOwnFault(now time.Duration) bool {
	lost, called := 0, 0
	for _, rec := range t.records {
		switch {
		case rec.unansweredAt > rec.heardAt && (rec.awaitingProbe || now-rec.unansweredAt < contactWindow):
			lost++
			called++
		case rec.heardAt > 0 && now-rec.heardAt < contactWindow:
			called++
		}
	}
	return lost >= minOwnFault && 2*lost >= called
}
