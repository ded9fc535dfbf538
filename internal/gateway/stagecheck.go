package gateway

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// Timeouts of an engine's report.
const (
	// reportTimeout bounds a report for which no stream waits.
	reportTimeout = 300 * time.Millisecond
	// localReportTimeout bounds the report of an engine of the own zone for
	// which streams wait, and remoteReportTimeout that of an engine of another
	// zone. A report needs no slot and takes little more than a round trip.
	localReportTimeout  = 60 * time.Millisecond
	remoteReportTimeout = 100 * time.Millisecond
)

// stageState is what the check of a stage has shown.
type stageState uint8

const (
	// stageUnknown is the state of a stage that was not called: it has asked for no
	// calls, or this process cannot open a connection.
	stageUnknown stageState = iota
	stageAnswers
	// stageUnanswered is the state of an upstream without engine that accepts
	// connections and has not answered its health probe, which may wait for a slot.
	stageUnanswered
	// stageSilent is the state of a stage that does not answer in time what needs no
	// slot, or to which no connection can be opened.
	stageSilent
	// stageRefuses is the state of a stage that refuses connections.
	stageRefuses
)

// stageReply is the result of checking a stage, which began at a boot time.
type stageReply struct {
	stage int
	state stageState
	began time.Duration
}

// suspect is a stage that no stream has passed recently.
type suspect struct {
	stage int
	// known is what the checks of other streams have shown: stageSilent, stageRefuses,
	// or stageUnknown if nothing.
	known stageState
}

// refusalGrace is how long the replies of other stages are waited for once a stage
// refuses connections. Engines that fail together refuse together, within a round trip
// of 1 to 2 ms; the rest allows for a busy VM. It is short beside the 250 ms that a
// stream may pause.
const refusalGrace = 4 * time.Millisecond

// checkStages checks stages concurrently, except those that are known to refuse
// connections. It returns those that refuse connections soon after the first is known,
// with those that are known to be silent and have not answered by then, and otherwise
// those that do not answer in time. A stage whose answer may have arrived while this
// process stood still is not found at fault.
func (g *Gateway) checkStages(q *request, to target, suspects []suspect) finding {
	asked := g.Now()
	replies := make(chan stageReply, len(suspects))
	found := make(map[int]stageState, len(suspects))
	waiting := 0
	var grace <-chan time.Time
	for _, x := range suspects {
		if x.known == stageRefuses {
			found[x.stage] = stageRefuses
			grace = time.After(refusalGrace)
			continue
		}
		waiting++
		go func() {
			r := stageReply{stage: x.stage, began: asked}
			// A panic is logged, and leaves the state unknown.
			_ = g.containFor(q, func() { r = g.checkStage(q, to, x.stage) })
			replies <- r
		}()
	}
	began := asked
	for ; waiting > 0; waiting-- {
		var r stageReply
		select {
		case r = <-replies:
		case <-grace:
			return newFinding(suspects, found, g.pauses.Stalled(began, g.Now()))
		}
		began = min(began, r.began)
		found[r.stage] = r.state
		switch {
		case r.state == stageRefuses && grace == nil:
			grace = time.After(refusalGrace)
		case r.state == stageAnswers:
			to.activity[r.stage].recordReport(g.Now())
		}
	}
	return newFinding(suspects, found, g.pauses.Stalled(began, g.Now()))
}

// newFinding returns the finding of a check from the state of each stage that has
// replied. stoodStill reports whether this process stood still during the check, so that
// only a refused connection shows anything. If the first stage is lost, of the others
// only those that refuse connections are found.
func newFinding(suspects []suspect, found map[int]stageState, stoodStill bool) finding {
	f := noFinding()
	for _, state := range found {
		f.ended = f.ended || state == stageRefuses
		f.unanswered = f.unanswered || state == stageUnanswered && !stoodStill
	}
	for _, x := range suspects {
		state := found[x.stage]
		if state == stageSilent && stoodStill {
			state = stageUnknown
		}
		switch {
		case state == stageRefuses, state == stageSilent:
			f.lost = append(f.lost, x.stage)
		case state == stageUnknown && x.known == stageSilent && f.ended:
			f.lost = append(f.lost, x.stage)
			f.presumed = append(f.presumed, x.stage)
		}
	}
	if len(f.lost) == 0 {
		return f
	}
	f.stage = f.lost[0]
	if f.stage == 0 {
		// The attempt cannot be repaired. If several stages are silent at once, blaming
		// them all would leave too few engines for the next attempts.
		ofOthers := func(i int) bool { return i > 0 && found[i] != stageRefuses }
		f.lost, f.presumed = slices.DeleteFunc(f.lost, ofOthers), slices.DeleteFunc(f.presumed, ofOthers)
	}
	return f
}

// checkStage checks stage i: an engine by its report, another upstream by a connection
// and its health probe.
func (g *Gateway) checkStage(q *request, to target, i int) stageReply {
	if to.hasEngine() {
		report, err := g.sharedReport(to.stage(i))
		return stageReply{i, reportState(err), report.began}
	}
	began := g.Now()
	if q.accepted == nil {
		return stageReply{i, stageUnknown, began}
	}
	u := probeTarget{to.stage(i), q.accepted.HealthPath}
	shared, _, _ := g.probeCalls.Do(u.Instance, func() (any, error) {
		r := stageReply{began: began}
		// A panic is logged, and leaves the state unknown for all streams that wait.
		_ = g.contain(func() {
			r.began = g.Now()
			r.state = g.probeStage(u)
		})
		return r, nil
	})
	r := shared.(stageReply)
	return stageReply{i, r.state, r.began}
}

// reportState returns the state of an engine that was asked for its report.
func reportState(err error) stageState {
	switch reason := verdict.Of(err).Reason; {
	case err == nil:
		return stageAnswers
	case reason == verdict.UpstreamRefused:
		return stageRefuses
	case reason == verdict.UpstreamBusy, failedHere(err):
		return stageUnknown
	}
	return stageSilent
}

// probeStage sends an upstream its health probe on a new connection, which shows the
// path to it. Whatever it answers, it runs.
func (g *Gateway) probeStage(u probeTarget) stageState {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	unopened := time.AfterFunc(lostPathTime, cancel)
	defer unopened.Stop()
	call := u.healthCall()
	call.Fresh = true
	resp, err := g.exchangeOn(ctx, call, func(net.Conn) { unopened.Stop() })
	if err == nil {
		_, err = resp.ReadAll(ctx, maxReportBytes)
		resp.Close()
	}
	return probeState(err)
}

// probeState returns the state of an upstream that was sent its health probe.
func probeState(err error) stageState {
	e := verdict.Of(err)
	switch {
	case err == nil:
		return stageAnswers
	case e.Reason == verdict.UpstreamRefused:
		return stageRefuses
	case e.Reason == verdict.UpstreamBusy, failedHere(err):
		return stageUnknown
	case e.Run == verdict.NotRun:
		// No connection could be opened.
		return stageSilent
	case e.Reason == verdict.UpstreamSilent:
		return stageUnanswered
	}
	// It has sent something, or reset the connection, as it may if it has too many.
	return stageAnswers
}

// askFirstStage returns the stage that, by the report of the first stage, a
// generation waits for; negative if the report names none.
func (g *Gateway) askFirstStage(q *request, to target) int {
	report, err := g.sharedReport(to.upstream)
	if err != nil {
		// The first stage has already been checked like the others.
		return -1
	}
	for _, stalled := range report.Stalled {
		if stalled.Request == q.ID {
			return stageIndex(to, stalled.Address)
		}
	}
	return -1
}

// recordEvent records that an event has passed all stages.
func (t target) recordEvent(now time.Duration) {
	for _, a := range t.activity {
		a.recordEvent(now)
	}
}

// timedReport is the report of an engine that was asked for at the boot time began.
type timedReport struct {
	relay.Report
	began time.Duration
}

// sharedReport fetches the report of an engine, once for all streams that ask
// for it at the same time.
func (g *Gateway) sharedReport(u *fleet.Upstream) (timedReport, error) {
	timeout := remoteReportTimeout
	if u.Zone == g.Settings.Zone {
		timeout = localReportTimeout
	}
	report, err, _ := g.reportCalls.Do(u.Instance, func() (any, error) {
		r := timedReport{began: g.Now()}
		var err error
		panicked := g.contain(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			r.Report, err = g.fetchReport(ctx, u)
		})
		return r, cmp.Or(err, panicked)
	})
	return report.(timedReport), err
}

// stageIndex returns the index of the stage at an address; negative if there is
// none.
func stageIndex(to target, address string) int {
	for i := range to.stageCount() {
		if to.stage(i).Address == address {
			return i
		}
	}
	return -1
}
