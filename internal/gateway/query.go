package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/pkg/verdict"
)

// query is one request of a caller on its way.
type query struct {
	relay.Request
	http    *http.Request
	route   *routing.Route
	service string
	// account is empty for requests without key.
	account string
	// rank is the priority, 0 first.
	rank int
	body []byte
	// arrived and deadline are boot times.
	arrived, deadline time.Duration
	// tokens is the KV cache that a generation may come to need.
	tokens float64
	// table is the version by which the request was accepted, and tableAge how
	// old the knowledge of it was.
	table    int64
	tableAge time.Duration

	// sent says that an attempt has reached an upstream.
	sent bool
	// ranOn are the upstreams, first of their chains, that may have run it.
	ranOn map[string]bool
	// shunned are the upstreams that failed it.
	shunned map[string]bool
	// first is the first stage of the last attempt, to be kept if it is not at
	// fault.
	first string
	// waitUntil is the boot time up to which it makes sense to wait for a
	// place: after that the caller has likely gone.
	waitUntil time.Duration
	// firstEvent is how long after its arrival the first byte of the answer
	// was passed on, and longestPause the longest time between two events.
	firstEvent, longestPause time.Duration
	lastEvent                time.Duration
	// attempts counts the places given.
	attempts int
}

func (q *query) shun(instance string) {
	if q.shunned == nil {
		q.shunned = make(map[string]bool)
	}
	q.shunned[instance] = true
}

func (q *query) noteRun(instance string) {
	if q.ranOn == nil {
		q.ranOn = make(map[string]bool)
	}
	q.ranOn[instance] = true
}

// noteEvent notes that a part of the answer is passed on. It returns the time
// since the part before.
func (q *query) noteEvent(now time.Duration) time.Duration {
	if q.lastEvent == 0 {
		q.firstEvent = now - q.arrived
		q.lastEvent = now
		return 0
	}
	pause := now - q.lastEvent
	q.longestPause = max(q.longestPause, pause)
	q.lastEvent = now
	return pause
}

// mayHaveRun says whether an upstream may have run the request.
func (q *query) mayHaveRun() bool { return len(q.ranOn) > 0 }

// mayGoOn says whether another attempt is allowed after one that failed, and
// gives it time to wait for its place.
func (q *query) mayGoOn(ctx context.Context, e *verdict.Error, now time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	switch e.Reason {
	case verdict.DeadlineUnmeetable, verdict.QueueFull, verdict.HeldOff, verdict.RetryBudget, verdict.RetryLimit, verdict.Quarantined, verdict.CallerGone:
		return false
	}
	q.setWait(now)
	return !q.mayHaveRun() || q.route.Repeatable()
}

// place is where an attempt goes. It must be given back when it ends.
type place struct {
	upstream *fleet.Upstream
	// chain is set for generations.
	chain []relay.Stage
	// fill is how full the fullest stage is, 1 for full.
	fill float64
	// predicted is how long the first event is expected to take from here on; 0 if
	// nothing is known.
	predicted time.Duration
	// activity is that of each stage, by this stream and others.
	activity []*activity
}

// String names the upstreams of the chain in their order, for logs.
func (p place) String() string {
	var b strings.Builder
	for i, stage := range p.chain {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(stage.Upstream.Instance)
	}
	return b.String()
}

// give ends an attempt.
func (s *state) give(q *query, p place) {
	if p.chain == nil {
		s.load(p.upstream.Instance).requests--
		return
	}
	s.load(p.upstream.Instance).begun--
	s.giveStages(q, p.chain)
}

// giveStages ends the work of stages on a generation.
func (s *state) giveStages(q *query, stages []relay.Stage) {
	for _, stage := range stages {
		l := s.load(stage.Upstream.Instance)
		l.requests--
		l.tokenLayers -= q.tokens * float64(stage.Layers.Len())
	}
}
