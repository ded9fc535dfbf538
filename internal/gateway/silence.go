package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/protocol/relay"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// Bounds of an engine's answer on its state.
const (
	reportTimeout = 300 * time.Millisecond
	// nearReportTimeout is that of an engine of the own zone for which streams
	// wait: there are no long ways, and an answer needs no place.
	nearReportTimeout = 250 * time.Millisecond
)

// silence watches a stream and asks what is wrong when no event comes. It ends
// the attempt only if an upstream is found at fault: an engine may be slow for
// good reasons.
type silence struct {
	g      *Gateway
	q      *query
	p      place
	cancel context.CancelFunc
	fault  chan string

	mu sync.Mutex
	// timer runs until the watch is stopped; begun says that an event has come,
	// and questions counts those since the last one. All are guarded by mu.
	timer          *time.Timer
	begun, stopped bool
	questions      int
}

func newSilence(g *Gateway, q *query, p place, cancel context.CancelFunc) *silence {
	w := &silence{g: g, q: q, p: p, cancel: cancel, fault: make(chan string, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.next(), w.ask)
	return w
}

// next returns how long the next question has to wait.
func (w *silence) next() time.Duration {
	s := health.Silence{Objective: w.q.route.Objective, MaxPause: w.q.route.MaxPause}
	return s.Next(w.begun, w.questions)
}

// moved begins the wait anew since an event has come. It does nothing after
// stop, so that a question that is under way then is the last one.
func (w *silence) moved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = true
	w.wait(0)
}

// wait waits for the next question, after a number of them.
func (w *silence) wait(questions int) {
	w.questions = questions
	if !w.stopped {
		w.timer.Reset(w.next())
	}
}

func (w *silence) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// ask asks the first upstream which stage does not answer.
func (w *silence) ask() {
	culprit := w.g.findStalled(w.q, w.p)
	w.mu.Lock()
	defer w.mu.Unlock()
	if culprit != "" || w.questions == 0 {
		// The later questions of a long wait say nothing new.
		w.g.Log.Info("stream silent", zap.String("request", w.q.ID), zap.String("upstream", w.p.upstream.Instance),
			zap.String("at_fault", culprit), zap.Duration("since_start", w.g.Now()-w.q.arrived))
	}
	if culprit == "" {
		w.wait(w.questions + 1)
		return
	}
	w.fault <- culprit
	w.cancel()
}

// explain replaces the error of an attempt that was ended for silence.
func (w *silence) explain(err error) error {
	if err == nil {
		return nil
	}
	select {
	case culprit := <-w.fault:
		return &verdict.Error{Run: verdict.MayHaveRun, Reason: verdict.UpstreamSilent, Upstream: culprit, Err: err}
	default:
		return err
	}
}

// findStalled returns the instance of the stage that a generation waits for;
// empty if none is found at fault.
func (g *Gateway) findStalled(q *query, p place) string {
	report, err := g.askStalled(p.upstream)
	at := -1
	if err != nil && verdict.Of(err).Reason != verdict.UpstreamBusy {
		at = 0
	}
	for _, stalled := range report.Stalled {
		if stalled.Request == q.ID {
			at = stageAt(p, stalled.Address)
		}
	}
	culprit := ""
	if at >= 0 {
		culprit = p.chain[at].Upstream.Instance
	}
	if at < 0 {
		return ""
	}
	g.control.Do(func(s *state) { s.blameSilent(q, p, at, g.Now()) })
	return culprit
}

// askStalled asks an engine for its state, once for all streams that ask at the
// same time.
func (g *Gateway) askStalled(u *fleet.Upstream) (relay.Report, error) {
	timeout := reportTimeout
	if u.Zone == g.Settings.Zone {
		timeout = nearReportTimeout
	}
	report, err, _ := g.asking.Do(u.Instance, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return g.report(ctx, u)
	})
	return report.(relay.Report), err
}

// stageAt returns the stage at an address; negative if there is none.
func stageAt(p place, address string) int {
	for i, s := range p.chain {
		if s.Upstream.Address == address {
			return i
		}
	}
	return -1
}
