package health

import (
	"slices"
	"time"
)

// Times of what gateways tell each other of their questions to upstreams.
const (
	// toldFor is how long an answer is told: each peer is told within it.
	toldFor = 1500 * time.Millisecond
	// believeFor is how soon after it was taken back by a peer's word an upstream
	// must fail here for the peers' words on it to be doubted, and doubtFor for
	// how long they then are: it answers them, but not this VM.
	believeFor = 3 * time.Second
	doubtFor   = 10 * time.Second
	// askersAtOnce is how many of the gateways that share their answers ask as if
	// they were alone.
	askersAtOnce = 2
)

// Finding is the answer of an upstream to a question of this gateway.
type Finding struct {
	Instance string
	// Age is the time since the answer.
	Age time.Duration
	// Pace is the engine's; 0 if it was only asked whether it is well, which it
	// is.
	Pace float64
}

// stagger returns by how much this gateway puts off its next probe since others
// ask the same upstream and tell.
func (r *Register) stagger(rec *record, now time.Duration) time.Duration {
	if r.Random == nil || now < rec.doubtUntil {
		return 0
	}
	return time.Duration(r.Random() * float64(probeInterval) * float64(max(0, r.Sharers/askersAtOnce-1)))
}

// doubt notes that an upstream does not answer here, although a peer may have
// said that it does.
func (rec *record) doubt(now time.Duration) {
	rec.blamedAt = now
	if rec.believedAt > 0 && now-rec.believedAt < believeFor {
		rec.doubtUntil = now + doubtFor
	}
}

// Findings returns the answers of upstreams to this gateway that are new enough
// to be told.
func (r *Register) Findings(now time.Duration) []Finding {
	var out []Finding
	for instance, rec := range r.records {
		if rec.answeredAt > 0 && now-rec.answeredAt < toldFor {
			out = append(out, Finding{Instance: instance, Age: now - rec.answeredAt})
		}
		if rec.paceAskedHere && now-rec.paceAt < toldFor {
			out = append(out, Finding{instance, now - rec.paceAt, rec.pace})
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return int(a.Age - b.Age) })
	return out
}

// HearFinding takes in the answer of an upstream to a peer. It says whether that
// changes what is believed.
func (r *Register) HearFinding(f Finding, now time.Duration) bool {
	rec := r.record(f.Instance)
	at := now - f.Age
	if f.Pace > 0 {
		return rec.hearPace(f.Pace, at)
	}
	if !rec.probing || at <= rec.blamedAt || now < rec.doubtUntil {
		return false
	}
	rec.believedAt = now
	return rec.takeBack(now)
}

func (rec *record) hearPace(pace float64, at time.Duration) bool {
	if at <= rec.paceAt {
		return false
	}
	rec.paceAskedHere = false
	rec.paceDueAt = max(rec.paceDueAt, at+paceInterval+toldFor)
	return rec.setPace(pace, at)
}
