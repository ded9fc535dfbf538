package gateway

import (
	"context"
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

// stageReply is the result of checking a stage.
type stageReply struct {
	stage  int
	report timedReport
	err    error
}

// checkStages checks stages concurrently. It returns the first that refuses
// connections as soon as it is known, otherwise the first in the chain that
// does not answer in time; negative if all answer. It reports whether the stage
// refuses connections. A stage whose answer may have arrived while this process
// stood still is not found at fault.
func (g *Gateway) checkStages(to target, suspects []int) (stage int, refuses bool) {
	began := g.Now()
	replies := make(chan stageReply, len(suspects))
	for _, i := range suspects {
		go func() {
			report, err := g.sharedReport(to.chain[i].Upstream)
			replies <- stageReply{i, report, err}
		}()
	}
	silent := -1
	for range suspects {
		r := <-replies
		began = min(began, r.report.began)
		switch reason := verdict.Of(r.err).Reason; {
		case reason == verdict.UpstreamRefused:
			return r.stage, true
		case reason == verdict.UpstreamBusy, lacksResources(r.err):
			// The stage was not called: it has asked for no calls, or this process
			// cannot open a connection.
		case r.err != nil && (silent < 0 || r.stage < silent):
			silent = r.stage
		}
		if r.err == nil {
			to.activity[r.stage].recordReport(g.Now())
		}
	}
	if g.pauses.Stalled(began, g.Now()) {
		return -1, false
	}
	return silent, false
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
		began := g.Now()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		report, err := g.fetchReport(ctx, u)
		return timedReport{report, began}, err
	})
	return report.(timedReport), err
}

// stageIndex returns the index of the stage at an address; negative if there is
// none.
func stageIndex(to target, address string) int {
	for i, s := range to.chain {
		if s.Upstream.Address == address {
			return i
		}
	}
	return -1
}
