package gateway

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/pkg/verdict"
)

// stallDetector monitors a stream and checks its stages when no event arrives.
// It cancels the attempt only if a stage is found at fault, since an engine may
// be slow for other reasons, and only once the next attempt has begun to answer, since
// a silent stage, and one that refuses connections, may still continue.
type stallDetector struct {
	g        *Gateway
	q        *request
	cancel   context.CancelFunc
	fault    chan string
	handover handover

	mu sync.Mutex
	// target is where the stream runs; its first stage never changes. Guarded
	// by mu.
	target target
	// beganAt is when the attempt began.
	beganAt time.Duration
	// conn is the connection to the first stage; nil before there is one. Guarded by mu.
	conn net.Conn
	// response is the response of the attempt; nil before its header has arrived.
	// Guarded by mu.
	response *response
	// timer runs until the detector is stopped. started reports whether an
	// event has arrived, and checks counts the checks since the last event.
	// Guarded by mu.
	timer            *time.Timer
	started, stopped bool
	checks           int
	// unanswered is the number of unanswered health probes since the last event.
	// Guarded by mu.
	unanswered int
	// replaced reports whether a stage was replaced since the last event, and blamed
	// holds the upstreams that were found at fault since. Guarded by mu.
	replaced bool
	blamed   []string
	// successor is the next attempt, for which this one was cancelled; nil if there
	// is none. Guarded by mu.
	successor *streamAttempt
	// resumeAfter is the ID of the event after which the attempt resumed the stream,
	// and place where the stream is since. Guarded by mu.
	resumeAfter string
	place       eventSequence
	// ended reports whether the attempt has ended and only its successor is waited
	// for. Guarded by mu.
	ended bool
	// lastEventAt is when the last event arrived, and meanInterval the moving
	// average of the time between events; 0 if unknown. Guarded by mu.
	lastEventAt, meanInterval time.Duration
}

// newStallDetector returns the detector of an attempt that begins. The attempts that
// it makes end with ctx.
func newStallDetector(ctx context.Context, a *streamAttempt) *stallDetector {
	d := &stallDetector{
		g: a.g, q: a.q, cancel: a.cancel, fault: make(chan string, 1), target: a.target,
		handover:    handover{g: a.g, q: a.q, parent: ctx},
		resumeAfter: a.resumeAfter, place: a.sequence, beganAt: a.g.Now(),
	}
	d.q.setRunning(d, a.target)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(d.nextDelay(), func() {
		// A panic is logged, and ends the request.
		_ = d.g.containFor(d.q, d.check)
	})
	return d
}

// runsOn reports whether the stream runs on the chain of a target.
func (d *stallDetector) runsOn(to target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Equal(d.target.chain, to.chain)
}

// setResponse sets the response of the attempt.
func (d *stallDetector) setResponse(resp *response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.response = resp
}

// hasUnread reports whether the response has data that was not read yet. The
// caller holds mu.
func (d *stallDetector) hasUnread() bool { return d.response != nil && d.response.HasUnread() }

// nextDelay returns the delay before the next check.
func (d *stallDetector) nextDelay() time.Duration {
	s := health.ProbeSchedule{Objective: d.q.route.Objective, MaxPause: d.q.route.MaxPause, EventInterval: d.meanInterval}
	return s.NextProbe(d.started, d.checks)
}

// intervalWeight is the weight of the newest interval in the moving average.
const intervalWeight = 0.2

// recordEvent restarts the detection after events, which have moved the stream to a
// place. It returns false if the next attempt has begun to send them. After stop it
// schedules no further check.
func (d *stallDetector) recordEvent(now time.Duration, place eventSequence) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.successor != nil {
		return false
	}
	d.place = place
	d.target.recordEvent(now)
	switch {
	case !d.started:
	case d.meanInterval == 0:
		d.meanInterval = now - d.lastEventAt
	default:
		d.meanInterval += time.Duration(intervalWeight * float64(now-d.lastEventAt-d.meanInterval))
	}
	d.started, d.lastEventAt, d.replaced, d.blamed, d.unanswered = true, now, false, nil, 0
	d.handover.drop()
	d.schedule(0)
	return true
}

// schedule schedules the next check after a number of checks.
func (d *stallDetector) schedule(checks int) {
	d.checks = checks
	if !d.stopped {
		d.timer.Reset(d.nextDelay())
	}
}

// scheduleNext schedules the check that follows one without a finding. If none of
// the stages was quiet for long enough, it follows at the boot time quietAt at the
// latest, when the first one will have been.
func (d *stallDetector) scheduleNext(quietAt time.Duration) {
	d.schedule(d.checks + 1)
	if left := quietAt - d.g.Now(); !d.stopped && left < d.nextDelay() {
		d.timer.Reset(left)
	}
}

// stop stops the detector. It returns the stream's last target and the next
// attempt, if one was found. If keep is set, a next attempt that has been sent is
// waited for.
func (d *stallDetector) stop(keep bool) (last target, successor *streamAttempt) {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	d.handover.stop(keep)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	d.q.removeRunning(d)
	return d.target, d.successor
}

// firstStageReportAfter is the number of fruitless checks after which the first
// stage is asked which stage a stream waits for; it knows that only about 0.2 s
// late.
const firstStageReportAfter = 3

// maxChecksAfterReplacement is the number of fruitless checks after which an
// attempt ends that has had no event since a stage was replaced.
const maxChecksAfterReplacement = 5

// maxUnansweredProbes is the number of unanswered health probes since the last event
// after which the attempt at an upstream without engine ends. A single one may have
// waited for a slot.
const maxUnansweredProbes = 3

// check checks the stages of the stream. Stages that are found at fault are
// replaced, or the attempt is given up.
func (d *stallDetector) check() {
	to, askFirst, lastEventAt, next := d.beginCheck()
	switch next {
	case streamContinues:
		return
	case streamPathLost:
		d.g.Log.Info("path lost under stream", zap.String("request", d.q.ID), zap.String("upstream", to.upstream.Instance))
		d.giveUp(to, finding{stage: 0}, lastEventAt)
		return
	}
	f := d.g.findLostStages(d.q, to, askFirst)
	if !d.attributeLoss(to, f, lastEventAt) {
		return
	}
	// The first stage cannot be replaced, nor take the order if it is lost.
	if f.stage > 0 && d.replaceStages(to, f.lost, lastEventAt) {
		return
	}
	if f.unanswered && d.countUnanswered() >= maxUnansweredProbes {
		// Others may be served there, so only this request avoids it.
		d.g.control.Do(func(*state) { d.q.excludeSilent(to.upstream.Instance) })
		f.stage = 0
	}
	d.giveUp(to, f, lastEventAt)
}

// countUnanswered counts a health probe that the upstream has not answered, and returns
// the number of them since the last event.
func (d *stallDetector) countUnanswered() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered++
	return d.unanswered
}

// streamState is what is known of a stream before its stages are checked.
type streamState uint8

const (
	streamSilent streamState = iota
	streamContinues
	streamPathLost
)

// beginCheck returns where the stream runs, whether the first stage is to be asked which
// one it waits for, when the last event arrived, and what is known of the stream.
func (d *stallDetector) beginCheck() (to target, askFirst bool, lastEventAt time.Duration, known streamState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.continues(d.lastEventAt):
		known = streamContinues
	case d.pathLost():
		known = streamPathLost
	}
	return d.target, d.checks >= firstStageReportAfter, d.lastEventAt, known
}

// unlocked runs f while mu, which the caller holds, is released.
func (d *stallDetector) unlocked(f func()) {
	d.mu.Unlock()
	defer d.mu.Lock()
	f()
}

// continues reports whether the stream continues: an event has arrived since
// lastEventAt, which has restarted the detection, or data has arrived that this
// process has not read yet, for which it schedules another check. The caller holds
// mu.
func (d *stallDetector) continues(lastEventAt time.Duration) bool {
	if d.lastEventAt != lastEventAt {
		return true
	}
	if !d.hasUnread() {
		return false
	}
	d.schedule(d.checks)
	return true
}

// attributeStall records that stage i is at fault, unless the stream continues or has
// ended, and reports whether it did. A stage is blamed once for a silence: to exclude
// it at each check would put off the probe that ends its exclusion.
func (d *stallDetector) attributeStall(to target, i int, lastEventAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.continues(lastEventAt) {
		return false
	}
	instance := to.stage(i).Instance
	if slices.Contains(d.blamed, instance) {
		return true
	}
	d.blamed = append(d.blamed, instance)
	d.unlocked(func() {
		d.g.control.Do(func(s *state) { s.attributeStall(d.q, to, i, d.g.Now()) })
	})
	return true
}

// attributeLoss records that stages are at fault, unless the stream continues or has
// ended, and reports whether it did. Those that only other streams have found silent are
// avoided by the request, but not blamed again.
func (d *stallDetector) attributeLoss(to target, f finding, lastEventAt time.Duration) bool {
	for _, i := range f.lost {
		if slices.Contains(f.presumed, i) {
			d.g.control.Do(func(*state) { d.q.excludeSilent(to.stage(i).Instance) })
			continue
		}
		if !d.attributeStall(to, i, lastEventAt) {
			return false
		}
	}
	return true
}

// giveUp ends the attempt because of the stage that was found at fault, or because
// of no progress since a stage was replaced, unless the stream continues. The attempt
// continues until the next one has begun to answer, also if the stage refuses
// connections: those that it has may live on.
func (d *stallDetector) giveUp(to target, f finding, lastEventAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.continues(lastEventAt) {
		return
	}
	i := f.stage
	if i < 0 && d.replaced && d.checks >= maxChecksAfterReplacement {
		// The first engine has accepted the new chain, but the stream does not
		// continue.
		i = 0
	}
	if i < 0 {
		d.scheduleNext(f.quietAt)
		return
	}
	d.handOver(to, i, lastEventAt)
}

// logKept logs that the attempt continues, because no other one may follow it.
func (d *stallDetector) logKept(to target, i int, err error) {
	d.g.metrics.keptStreams.WithLabelValues(string(verdict.Of(err).Reason)).Inc()
	d.g.Log.Info("silent stream kept", zap.String("request", d.q.ID), zap.String("upstream", to.upstream.Instance),
		zap.String("at_fault", to.stage(i).Instance), zap.Duration("last_event_age", d.g.Now()-max(d.lastEventAt, d.q.arrived)), zap.Error(err))
}

// abort ends the attempt because of stage i. The caller holds mu.
func (d *stallDetector) abort(to target, i int) {
	faulty := to.stage(i).Instance
	now := d.g.Now()
	d.g.Log.Info("stream silent", zap.String("request", d.q.ID), zap.String("upstream", to.upstream.Instance),
		zap.String("at_fault", faulty), zap.Int("questions", d.checks+1),
		zap.Duration("last_event_age", now-max(d.lastEventAt, d.q.arrived)), zap.Duration("since_start", now-d.q.arrived),
		zap.Bool("unread", d.hasUnread()), zap.Duration("stood_still", d.g.pauses.Longest(max(d.lastEventAt, d.q.arrived), now)))
	select {
	case d.fault <- faulty:
	default:
		// A fault is already recorded: an event that arrived before the first
		// abort has restarted the detection.
	}
	d.cancel()
}

// attribute replaces the error of an attempt that the detector has cancelled.
func (d *stallDetector) attribute(err error) error {
	if err == nil {
		return nil
	}
	select {
	case faulty := <-d.fault:
		return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamSilent, Upstream: faulty, Err: err}
	default:
		return err
	}
}

// finding is the result of a search for the stages that a generation waits for.
type finding struct {
	// stage is the index of the first stage at fault; negative if none is found.
	stage int
	// lost holds the indexes of all stages at fault, in the order of the chain, and
	// presumed those of them that only other streams have found silent: no answer has
	// come, but was not waited for.
	lost, presumed []int
	// ended reports whether a stage is known to have ended.
	ended bool
	// unanswered reports whether an upstream without engine accepts connections but has
	// not answered its health probe.
	unanswered bool
	// quietAt is, if no stage was quiet for long enough, the boot time at which
	// the first one will have been; otherwise neverQuiet.
	quietAt time.Duration
}

// noFinding returns the finding of a search that has found no stage at fault.
func noFinding() finding { return finding{stage: -1, quietAt: neverQuiet} }

// neverQuiet is later than any boot time.
const neverQuiet = time.Duration(math.MaxInt64)

// findLostStages finds the stages that a generation waits for. Stages that
// streams have passed recently are taken to be well; the others are checked
// concurrently, also if they did not answer another stream, unless they are known to
// refuse connections. If askFirst is set, the first stage is then asked which stage
// it waits for.
func (g *Gateway) findLostStages(q *request, to target, askFirst bool) finding {
	var suspects []suspect
	quietAt := neverQuiet
	g.control.Do(func(s *state) {
		now := g.Now()
		suspects = s.suspectStages(to, now)
		if len(suspects) == 0 {
			quietAt = s.nextQuietStage(to, now)
		}
	})
	f := g.checkStages(q, to, suspects)
	f.quietAt = quietAt
	if f.stage < 0 && askFirst && to.hasEngine() {
		if i := g.askFirstStage(q, to); i >= 0 {
			f.stage, f.lost = i, []int{i}
		}
	}
	return f
}

// nextQuietStage returns the boot time at which the first stage of a target, none
// of which is quiet for long enough to be checked, will have been if no stream
// passes it before.
func (s *state) nextQuietStage(to target, now time.Duration) time.Duration {
	at := neverQuiet
	for i := range to.stageCount() {
		quietTime, reports := to.activity[i].quiet(now)
		at = min(at, now-quietTime+health.StageQuietLimit(s.loadOf(to.stage(i).Instance).requests, reports))
	}
	return at
}

// suspectStages returns the stages that no stream has passed recently.
func (s *state) suspectStages(to target, now time.Duration) (quiet []suspect) {
	for i := range to.stageCount() {
		instance := to.stage(i).Instance
		quietTime, reports := to.activity[i].quiet(now)
		if quietTime < health.StageQuietLimit(s.loadOf(instance).requests, reports) {
			continue
		}
		x := suspect{stage: i}
		switch {
		case !s.health.ExcludedForFault(instance, now):
		case s.health.Refuses(instance):
			x.known = stageRefuses
		case s.health.LikelyDown(instance):
			x.known = stageSilent
		}
		quiet = append(quiet, x)
	}
	return quiet
}
