package gateway

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"time"

	"lovageport.example/internal/coordination/admission"
	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/routing"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
)

// request is a caller's request while it is being processed.
type request struct {
	relay.Request
	http    *http.Request
	route   *routing.Route
	service string
	// accepted is the service as the table by which the request was accepted
	// describes it; nil if that does not.
	accepted *routing.Service
	// account is empty for requests without key.
	account string
	// rank is the priority; 0 is the most urgent.
	rank int
	body []byte
	// arrived and deadline are boot times.
	arrived, deadline time.Duration
	// tokens is the expected KV cache of a generation, in tokens.
	tokens float64
	// tableVersion is the version of the routing table by which the request was
	// accepted, and tableAge the time since that was last confirmed.
	tableVersion int64
	tableAge     time.Duration

	// abort ends the request with a cause; nil before it is accepted.
	abort context.CancelCauseFunc
	// excluded holds the upstreams that failed the request. It is accessed only
	// from the control loop.
	excluded map[string]bool
	// refused holds those of them that have only refused the request, for lack of room,
	// with the boot time of the refusal. It is accessed only from the control loop.
	refused map[string]time.Duration
	// silent holds those of them that were only found silent, which proves no fault. It is
	// accessed only from the control loop.
	silent map[string]bool
	// cached is what engines probably cache of the prompt, as found last. It is accessed
	// only from the control loop.
	cached cachedPrefixes
	// firstEvent is the time from arrival until the first byte of the response
	// was passed on, and longestPause the longest time between two events.
	firstEvent, longestPause time.Duration
	// ending is how the end of a stream was known; its zero value for other responses.
	ending http1.Ending

	memory heldMemory
	attemptHistory
	// queueDeadline is the boot time until which the request may be queued; after
	// that its caller has probably gone. Guarded by mu of the history.
	queueDeadline time.Duration
	// prediction is the wait that was last predicted. Guarded by mu of the history.
	prediction admission.Prediction
	// running holds the targets of the generation's attempts that run, by their
	// detectors. Guarded by mu of the history.
	running map[*stallDetector]target
}

// end ends the request with a cause.
func (q *request) end(cause error) {
	if q.abort != nil {
		q.abort(cause)
	}
}

func (q *request) exclude(instance string) {
	if q.excluded == nil {
		q.excluded = make(map[string]bool)
	}
	q.excluded[instance] = true
	delete(q.refused, instance)
	delete(q.silent, instance)
}

// excludeSilent excludes an upstream that was only found silent, unless it has failed the
// request otherwise.
func (q *request) excludeSilent(instance string) {
	if _, refused := q.refused[instance]; q.excluded[instance] && !refused {
		return
	}
	q.exclude(instance)
	if q.silent == nil {
		q.silent = make(map[string]bool)
	}
	q.silent[instance] = true
}

// refusalTime is how long an upstream that has refused a request for lack of room is
// not tried again by it, while another attempt runs.
const refusalTime = time.Second

// excludeRefused excludes an upstream that has refused the request for lack of room.
func (q *request) excludeRefused(instance string, now time.Duration) {
	q.exclude(instance)
	if q.refused == nil {
		q.refused = make(map[string]time.Duration)
	}
	q.refused[instance] = now
}

// excludedBeside returns the upstreams that are excluded for an attempt beside one that
// runs: those that have only refused the request may have room again after a while.
func (q *request) excludedBeside(now time.Duration) map[string]bool {
	out := maps.Clone(q.excluded)
	maps.DeleteFunc(out, func(instance string, _ bool) bool {
		at, refused := q.refused[instance]
		return refused && now-at >= refusalTime
	})
	return out
}

// excludedAtLimit returns the upstreams that are excluded for a stream that is resumed at
// its limit of upstreams: those that were only silent may continue it.
func (q *request) excludedAtLimit(now time.Duration) map[string]bool {
	out := q.excludedBeside(now)
	maps.DeleteFunc(out, func(instance string, _ bool) bool { return q.silent[instance] })
	return out
}

// setRunning records the target of an attempt that runs.
func (q *request) setRunning(d *stallDetector, to target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running == nil {
		q.running = make(map[*stallDetector]target)
	}
	q.running[d] = to
}

// removeRunning records that an attempt has ended.
func (q *request) removeRunning(d *stallDetector) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, d)
}

// runsOn reports whether an attempt runs on an upstream, as its first stage in the
// case of a chain.
func (q *request) runsOn(instance string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, to := range q.running {
		if to.upstream.Instance == instance {
			return true
		}
	}
	return false
}

// ownLoad returns the load that the attempts that run have placed, by upstream.
func (q *request) ownLoad() map[string]pathfinding.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.running) == 0 {
		return nil
	}
	own := make(map[string]pathfinding.Load)
	for _, to := range q.running {
		for i, stage := range to.chain {
			l := own[stage.Upstream.Instance]
			l.Requests++
			l.TokenLayers += q.tokens * float64(stage.Layers.Len())
			if i == 0 {
				l.Begun++
			}
			own[stage.Upstream.Instance] = l
		}
	}
	return own
}

// recordEvent records that a part of the response is passed on. It returns the
// time since the previous part.
func (q *request) recordEvent(now time.Duration) time.Duration {
	last := q.attemptHistory.recordEvent(now)
	if last == 0 {
		q.firstEvent = now - q.arrived
		return 0
	}
	q.longestPause = max(q.longestPause, now-last)
	return now - last
}

// mayRetry reports whether another attempt is allowed after one that failed. If
// so it extends the queue deadline.
func (q *request) mayRetry(ctx context.Context, e *verdict.Error, now time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	switch e.Reason {
	case verdict.DeadlineUnmeetable, verdict.QueueFull, verdict.HeldOff, verdict.UpstreamLimited, verdict.RetryBudget, verdict.RetryLimit, verdict.Quarantined, verdict.CallerGone, verdict.AnswerMemoryFull:
		return false
	}
	q.setQueueDeadline(now)
	return !q.mayHaveRun() || q.route.Repeatable()
}

// target is the upstream or the chain that an attempt is sent to. Its load must
// be released when the attempt ends.
type target struct {
	// upstream is the one that is called: the only stage, or the first one.
	upstream *fleet.Upstream
	// chain is nil unless the service has an engine. Use stage and stageCount where
	// that makes no difference.
	chain []relay.Stage
	// utilization is that of the fullest stage; 1 is full.
	utilization float64
	// predictedFirst is the expected time until the first event; 0 if unknown.
	predictedFirst time.Duration
	// prefix is what the stages probably cache of the prompt; nil if that is not
	// considered.
	prefix *expectedPrefix
	// assignedAt is the boot time at which it was assigned.
	assignedAt time.Duration
	// retry reports whether the attempt was counted against the retry allowance.
	retry bool
	// limited reports whether the attempt was counted against the limit of the upstream.
	limited bool
	// activity is that of each stage, shared by all streams.
	activity []*stageActivity
}

// hasEngine reports whether the target is a chain of a service with engine.
func (t target) hasEngine() bool { return t.chain != nil }

// stageCount returns the number of stages; the upstream of a service without engine is
// the only one.
func (t target) stageCount() int { return max(1, len(t.chain)) }

// stage returns the upstream of stage i.
func (t target) stage(i int) *fleet.Upstream {
	if !t.hasEngine() {
		return t.upstream
	}
	return t.chain[i].Upstream
}

// String returns the upstreams of the chain in order, for logs.
func (t target) String() string {
	var b strings.Builder
	for i, stage := range t.chain {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(stage.Upstream.Instance)
	}
	return b.String()
}

// release removes an attempt from the load of its upstreams.
func (s *state) release(q *request, to target) {
	s.countEnd(q, to)
	if !to.hasEngine() {
		s.loadOf(to.upstream.Instance).requests--
		return
	}
	s.loadOf(to.upstream.Instance).entering--
	s.releaseStages(q, to.chain)
}

// releaseStages removes stages of a generation from the load of their
// upstreams.
func (s *state) releaseStages(q *request, stages []relay.Stage) {
	for _, stage := range stages {
		l := s.loadOf(stage.Upstream.Instance)
		l.requests--
		l.tokenLayers -= q.tokens * float64(stage.Layers.Len())
	}
}
