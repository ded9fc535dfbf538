package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// replaceTimeout bounds the order that replaces a stage of a stream. It is
// short, so that the stream can be resumed on another chain in time if the
// order fails.
const replaceTimeout = 60 * time.Millisecond

// restartTime is the time to resume a stream on another chain, apart from
// processing the prompt.
const restartTime = 20 * time.Millisecond

// Outcomes for a lost stage; each is a metric label.
const (
	// stageReplaced means that other engines replace the stage within the
	// same attempt.
	stageReplaced = "replaced"
	// stageNotReplaced means that the replacement failed and the attempt ends.
	stageNotReplaced = "not_replaced"
	// stageNoSpare means that no other engines could replace the stage.
	stageNoSpare = "no_spare"
)

// replaceStage replaces a lost stage, other than the first, by other engines
// and reports whether the stream can continue on them. Only these have to
// process the tokens so far. If it fails the attempt must end.
func (d *stallDetector) replaceStage(to target, i int) bool {
	var spare []relay.Stage
	next := to
	d.g.control.Do(func(s *state) { next, spare = s.findReplacement(d.q, to, i, d.g.Now()) })
	if spare == nil {
		d.logLostStage(to, next, i, stageNoSpare, nil)
		return false
	}
	err := d.g.orderChain(d.q, next)
	if err != nil || !d.switchTarget(next) {
		d.g.control.Send(func(s *state) { s.releaseStages(d.q, spare) })
		d.logLostStage(to, next, i, stageNotReplaced, err)
		return false
	}
	d.g.control.Send(func(s *state) { s.releaseStages(d.q, to.chain[i:i+1]) })
	d.logLostStage(to, next, i, stageReplaced, nil)
	return true
}

// switchTarget moves the stream to another target, unless the stream has ended.
func (d *stallDetector) switchTarget(next target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return false
	}
	d.target = next
	d.q.setRunning(d, next)
	d.replaced = true
	d.schedule(0)
	return true
}

func (d *stallDetector) logLostStage(to, next target, i int, outcome string, err error) {
	d.g.metrics.lostStages.WithLabelValues(outcome).Inc()
	d.g.Log.Info("stage lost", zap.String("request", d.q.ID), zap.String("at_fault", to.stage(i).Instance),
		zap.String("outcome", outcome), zap.Stringer("chain", next), zap.Duration("since_start", d.g.Now()-d.q.arrived), zap.Error(err))
}

// findReplacement returns a target in which other stages replace a lost one,
// and those stages, which it counts as load. It returns no stages if none have
// capacity, or if a complete other chain is likely to continue the stream
// sooner.
func (s *state) findReplacement(q *request, to target, i int, now time.Duration) (target, []relay.Stage) {
	pool := s.poolOf(q)
	if pool == nil || pool.layers == nil {
		return to, nil
	}
	full := s.stageQuery(pool, q, q.excluded, now)
	full.Urgent = true
	search := *full
	search.Load = func(u *fleet.Upstream) pathfinding.Load {
		l := full.Load(u)
		l.Excluded = l.Excluded || stageIndex(to, u.Address) >= 0
		return l
	}
	gap := pathfinding.Gap{Layers: to.chain[i].Layers, PrevZone: to.chain[i-1].Upstream.Zone, NextZone: to.upstream.Zone}
	if i+1 < len(to.chain) {
		gap.NextZone = to.chain[i+1].Upstream.Zone
	}
	found, ok := pool.layers.FillGap(&search, gap)
	if !ok || found.Full {
		return to, nil
	}
	if other, ok := pool.layers.Find(full); ok && !other.Full && other.PrefillDelay+restartTime < found.PrefillDelay {
		return to, nil
	}
	s.reserveStages(q, found.Stages, nil, gap.PrevZone, now)
	chain := slices.Concat(to.chain[:i], found.Stages, to.chain[i+1:])
	return s.chainTarget(chain, max(to.utilization, found.Fill)), found.Stages
}

// orderChain orders the first engine of a running generation to use another
// chain.
func (g *Gateway) orderChain(q *request, to target) error {
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	call, err := platform.EncodeChainOrder(to.upstream, q.ID, to.chain)
	if err != nil {
		return err
	}
	call.Timeout = replaceTimeout
	resp, err := g.exchange(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Close()
	if _, err := resp.ReadAll(ctx, maxReportBytes); err != nil {
		return err
	}
	if !platform.OrderAccepted(resp.head.Status) {
		return protocolError("order refused with status " + strconv.Itoa(resp.head.Status))
	}
	return nil
}
