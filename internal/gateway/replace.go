package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/path"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/platform"
)

// replaceTimeout bounds the answer to an order that replaces a stage of a
// stream: the stream goes on elsewhere in time if there is none.
const replaceTimeout = 60 * time.Millisecond

// newChainTime is what it takes to begin anew on another chain beside reading.
const newChainTime = 20 * time.Millisecond

// What becomes of a stage that was lost; each is a metric label.
const (
	// stageReplaced stages have others in their place, within the same attempt.
	stageReplaced = "replaced"
	// stageNotReplaced stages end the attempt.
	stageNotReplaced = "not_replaced"
	// stageWithoutSpare stages have no others that could take their place.
	stageWithoutSpare = "no_spare"
)

// replace has other engines take the place of a stage that is lost, other than
// the first, and says whether the stream can go on with them: only they must read
// what there is so far. Where it does not work the attempt has to end.
func (w *silence) replace(p place, at int) bool {
	var spare []relay.Stage
	next := p
	w.g.control.Do(func(s *state) { next, spare = s.spare(w.q, p, at, w.g.Now()) })
	if spare == nil {
		w.noteReplaced(p, next, at, stageWithoutSpare, nil)
		return false
	}
	err := w.g.orderChain(w.q, next)
	if err != nil || !w.adopt(next) {
		w.g.control.Send(func(s *state) { s.giveStages(w.q, spare) })
		w.noteReplaced(p, next, at, stageNotReplaced, err)
		return false
	}
	w.g.control.Send(func(s *state) { s.giveStages(w.q, p.chain[at:at+1]) })
	w.noteReplaced(p, next, at, stageReplaced, nil)
	return true
}

// adopt has the stream be at another place, unless it has ended.
func (w *silence) adopt(next place) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.p = next
	w.replaced = true
	w.wait(0)
	return true
}

func (w *silence) noteReplaced(p, next place, at int, outcome string, err error) {
	w.g.metrics.lostStages.WithLabelValues(outcome).Inc()
	w.g.Log.Info("stage lost", zap.String("request", w.q.ID), zap.String("at_fault", p.chain[at].Upstream.Instance),
		zap.String("outcome", outcome), zap.Stringer("chain", next), zap.Duration("since_start", w.g.Now()-w.q.arrived), zap.Error(err))
}

// spare returns a place with others for a stage that is lost, and those others,
// which it counts as load; none if there are none with room, or if a whole other
// chain is likely to go on sooner.
func (s *state) spare(q *query, p place, at int, now time.Duration) (place, []relay.Stage) {
	pool := s.pools[q.service]
	if pool == nil || pool.layers == nil {
		return p, nil
	}
	whole := s.stageQuery(pool, q, q.shunned, now)
	whole.Urgent = true
	search := *whole
	search.Load = func(u *fleet.Upstream) path.Load {
		l := whole.Load(u)
		l.Out = l.Out || stageAt(p, u.Address) >= 0
		return l
	}
	gap := path.Gap{Layers: p.chain[at].Layers, Before: p.chain[at-1].Upstream.Zone, After: p.upstream.Zone}
	if at+1 < len(p.chain) {
		gap.After = p.chain[at+1].Upstream.Zone
	}
	found, ok := pool.layers.Fill(&search, gap)
	if !ok || found.Full {
		return p, nil
	}
	if other, ok := pool.layers.Find(whole); ok && !other.Full && other.Wait+newChainTime < found.Wait {
		return p, nil
	}
	s.occupyStages(q, found.Stages, gap.Before, now)
	chain := slices.Concat(p.chain[:at], found.Stages, p.chain[at+1:])
	return s.placeOn(chain, max(p.fill, found.Fill)), found.Stages
}

// orderChain has the first engine of a generation that it runs take another
// chain.
func (g *Gateway) orderChain(q *query, p place) error {
	ctx, cancel := context.WithTimeout(context.Background(), replaceTimeout)
	defer cancel()
	call, err := platform.EncodeChainOrder(p.upstream, q.ID, p.chain)
	if err != nil {
		return err
	}
	call.Timeout = replaceTimeout
	a, err := g.exchange(ctx, call)
	if err != nil {
		return err
	}
	defer a.Close()
	if _, err := a.ReadAll(ctx, maxReportBytes); err != nil {
		return err
	}
	if !platform.OrderAccepted(a.head.Status) {
		return protocolError("order refused with status " + strconv.Itoa(a.head.Status))
	}
	return nil
}
