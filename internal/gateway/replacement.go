package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/pathfinding"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// replaceTimeout bounds the orders that replace lost stages of a stream. It is
// short, so that the stream can be resumed on another chain in time if they fail.
const replaceTimeout = 60 * time.Millisecond

// restartTime is the time to resume a stream on another chain, apart from
// processing the prompt.
const restartTime = 20 * time.Millisecond

// Outcomes for lost stages; each is a metric label.
const (
	// stageReplaced means that other engines replace the stages within the
	// same attempt.
	stageReplaced = "replaced"
	// stageNotReplaced means that the replacement failed and the attempt ends.
	stageNotReplaced = "not_replaced"
	// stageNoSpare means that no other engines could replace the stages.
	stageNoSpare = "no_spare"
)

// repair is the replacement of lost stages of a stream's chain.
type repair struct {
	// lost holds the indexes of the lost stages of the old target, sorted, without the
	// first one.
	lost []int
	// next is the target with other stages in their place.
	next target
	// spare are those stages, which count as load; nil if there are none.
	spare []relay.Stage
}

// replaceStages replaces lost stages, other than the first, by other engines
// and reports whether the stream can continue on them. Only these have to
// process the tokens so far. If it fails the attempt must end.
func (d *stallDetector) replaceStages(to target, lost []int, lastEventAt time.Duration) bool {
	began := d.g.Now()
	r := repair{lost: lost, next: to}
	d.g.control.Do(func(s *state) { s.findReplacement(d.q, to, &r, d.g.Now()) })
	if r.spare == nil {
		d.logLostStages(to, r, stageNoSpare, 0, nil)
		return false
	}
	replaced := false
	defer func() {
		if !replaced {
			d.g.control.Send(func(s *state) { s.releaseStages(d.q, r.spare) })
		}
	}()
	orders := 1
	fault, err := d.g.orderChain(d.q, r.next, replaceTimeout)
	left := replaceTimeout - (d.g.Now() - began)
	if err != nil && left >= restartTime && d.waits(lastEventAt) && d.replaceRefused(to, &r, fault) {
		orders++
		_, err = d.g.orderChain(d.q, r.next, left)
	}
	if err != nil || !d.switchTarget(r.next) {
		d.logLostStages(to, r, stageNotReplaced, orders, err)
		return false
	}
	replaced = true
	d.g.control.Send(func(s *state) { s.releaseStages(d.q, to.stagesAt(r.lost)) })
	d.logLostStages(to, r, stageReplaced, orders, nil)
	return true
}

// waits reports whether the stream still runs and has had no event since
// lastEventAt.
func (d *stallDetector) waits(lastEventAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopped && d.lastEventAt == lastEventAt
}

// replaceRefused changes a repair whose order was refused because of the stage at an
// address, which then is replaced too, and reports whether another order is to be
// sent. A refused order has changed nothing, so that the search starts from the target
// that the stream is on.
func (d *stallDetector) replaceRefused(to target, r *repair, address string) bool {
	refused := stageIndex(r.next, address)
	if refused <= 0 {
		// The order has another fault, or the first stage is at fault.
		return false
	}
	again := repair{lost: r.lost, next: to}
	if i := stageIndex(to, address); i > 0 {
		again.lost = slices.Sorted(slices.Values(append(slices.Clone(r.lost), i)))
	}
	d.g.control.Do(func(s *state) {
		now := d.g.Now()
		u := r.next.stage(refused)
		d.q.excludeRefused(u.Instance, now)
		// It may also have ended or be leaving; only its own answer can tell.
		s.health.RequestProbe(u.Instance, now)
		s.releaseStages(d.q, r.spare)
		r.spare = nil
		s.findReplacement(d.q, to, &again, now)
	})
	if again.spare == nil {
		return false
	}
	*r = again
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

func (d *stallDetector) logLostStages(to target, r repair, outcome string, orders int, err error) {
	d.g.metrics.lostStages.WithLabelValues(outcome).Add(float64(len(r.lost)))
	var instances []string
	for _, i := range r.lost {
		instances = append(instances, to.stage(i).Instance)
	}
	d.g.Log.Info("stage lost", zap.String("request", d.q.ID), zap.String("at_fault", strings.Join(instances, ",")), zap.Int("stages", len(r.lost)), zap.Int("orders", orders),
		zap.String("outcome", outcome), zap.Stringer("chain", r.next), zap.Duration("since_start", d.g.Now()-d.q.arrived), zap.Error(err))
}

// stagesAt returns the stages at some indexes of a chain.
func (t target) stagesAt(indexes []int) []relay.Stage {
	var out []relay.Stage
	for _, i := range indexes {
		out = append(out, t.chain[i])
	}
	return out
}

// findReplacement sets the target of a repair, in which other stages replace all
// lost ones, and those stages, which it counts as load. It sets none if not all can be
// replaced, if the first stage has ended, or if a complete other chain is likely to
// continue the stream sooner.
func (s *state) findReplacement(q *request, to target, r *repair, now time.Duration) {
	pool := s.poolOf(q)
	if pool == nil || pool.layers == nil || s.health.Refuses(to.upstream.Instance) {
		return
	}
	full := s.stageQuery(pool, q, q.excluded, now)
	full.Urgent = true
	search := *full
	search.Load = func(u *fleet.Upstream) pathfinding.Load {
		l := full.Load(u)
		l.Excluded = l.Excluded || stageIndex(to, u.Address) >= 0
		return l
	}
	gaps := pathfinding.GapsOf(to.chain, r.lost)
	found, ok := pool.layers.FillGaps(&search, gaps)
	if !ok {
		return
	}
	if other, ok := pool.layers.Find(full); ok && !other.Full && other.PrefillDelay+restartTime < found.PrefillDelay {
		return
	}
	for i, stages := range found.Gaps {
		s.reserveStages(q, stages, nil, gaps[i].PrevZone, now)
	}
	r.spare = found.Stages()
	chain := slices.Clone(r.spare)
	for i, stage := range to.chain {
		if !slices.Contains(r.lost, i) {
			chain = append(chain, stage)
		}
	}
	slices.SortFunc(chain, func(a, b relay.Stage) int { return cmp.Compare(a.Layers.From, b.Layers.From) })
	r.next = s.chainTarget(chain, max(to.utilization, found.Fill))
}

// orderChain orders the first engine of a running generation to use another
// chain. If it refuses because of another stage, the address of that is returned.
func (g *Gateway) orderChain(q *request, to target, timeout time.Duration) (fault string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	call, err := platform.EncodeChainOrder(to.upstream, q.ID, to.chain)
	if err != nil {
		return "", err
	}
	call.Timeout = timeout
	g.countCall(to.upstream)
	resp, err := g.exchangeCounted(ctx, call, nil)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	if _, err := resp.ReadAll(ctx, maxReportBytes); err != nil {
		return "", err
	}
	if !platform.OrderAccepted(resp.head.Status) {
		return resp.head.FaultAddress, protocolError("order refused with status " + strconv.Itoa(resp.head.Status))
	}
	return "", nil
}
