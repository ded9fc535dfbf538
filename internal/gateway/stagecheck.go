package gateway

import (
	"cmp"
	"context"
	"net"
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

// checkStages checks stages concurrently. It returns the first that refuses
// connections as soon as it is known, otherwise the first in the chain that
// does not answer in time. A stage whose answer may have arrived while this process
// stood still is not found at fault.
func (g *Gateway) checkStages(q *request, to target, suspects []int) finding {
	f := finding{stage: -1, quietAt: neverQuiet}
	asked := g.Now()
	replies := make(chan stageReply, len(suspects))
	for _, i := range suspects {
		go func() {
			r := stageReply{stage: i, began: asked}
			// A panic is logged, and leaves the state unknown.
			_ = g.containFor(q, func() { r = g.checkStage(q, to, i) })
			replies <- r
		}()
	}
	began := asked
	for range suspects {
		r := <-replies
		began = min(began, r.began)
		switch r.state {
		case stageRefuses:
			return finding{stage: r.stage, ended: true, quietAt: neverQuiet}
		case stageSilent:
			if f.stage < 0 || r.stage < f.stage {
				f.stage = r.stage
			}
		case stageUnanswered:
			f.unanswered = true
		case stageAnswers:
			to.activity[r.stage].recordReport(g.Now())
		}
	}
	if g.pauses.Stalled(began, g.Now()) {
		return finding{stage: -1, quietAt: neverQuiet}
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
