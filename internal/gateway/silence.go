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
	// wait, and farReportTimeout that of one of another zone: an answer needs no
	// place, and takes little more than the way.
	nearReportTimeout = 60 * time.Millisecond
	farReportTimeout  = 100 * time.Millisecond
)

// silence watches a stream and asks what is wrong when no event comes. It ends
// the attempt only if an upstream is found at fault: an engine may be slow for
// good reasons.
type silence struct {
	g      *Gateway
	q      *query
	cancel context.CancelFunc
	fault  chan string

	mu sync.Mutex
	// p is where the stream is; its first stage stays. Guarded by mu.
	p place
	// timer runs until the watch is stopped; begun says that an event has come,
	// and questions counts those since the last one. All are guarded by mu.
	timer          *time.Timer
	begun, stopped bool
	questions      int
	// replaced says that a stage has been replaced since the last event. Guarded by
	// mu.
	replaced bool
	// movedAt is when the last event came, and rhythm the moving mean of the
	// time between events; 0 if they are not known. Guarded by mu.
	movedAt, rhythm time.Duration
}

func newSilence(g *Gateway, q *query, p place, cancel context.CancelFunc) *silence {
	w := &silence{g: g, q: q, cancel: cancel, fault: make(chan string, 1), p: p}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.next(), w.ask)
	return w
}

// next returns how long the next question has to wait.
func (w *silence) next() time.Duration {
	s := health.ProbeSchedule{Objective: w.q.route.Objective, MaxPause: w.q.route.MaxPause, EventInterval: w.rhythm}
	return s.NextProbe(w.begun, w.questions)
}

// rhythmWeight is that of the newest pause in the rhythm of a stream.
const rhythmWeight = 0.2

// moved begins the wait anew since an event has come. It does nothing after
// stop, so that a question that is under way then is the last one.
func (w *silence) moved(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.p.noteActivity(now)
	switch {
	case !w.begun:
	case w.rhythm == 0:
		w.rhythm = now - w.movedAt
	default:
		w.rhythm += time.Duration(rhythmWeight * float64(now-w.movedAt-w.rhythm))
	}
	w.begun, w.movedAt, w.replaced = true, now, false
	w.wait(0)
}

// wait waits for the next question, after a number of them.
func (w *silence) wait(questions int) {
	w.questions = questions
	if !w.stopped {
		w.timer.Reset(w.next())
	}
}

// stop ends the watch and returns where the stream was at last.
func (w *silence) stop() place {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.p
}

// firstToldAfter is after how many questions in vain the first stage is asked which
// one a stream waits for: it knows that some 0.2 s late.
const firstToldAfter = 3

// replacedQuestions is after how many questions in vain an attempt ends that has
// brought nothing since a stage was replaced.
const replacedQuestions = 5

// ask asks the stages whether they are well. If one is not, others take its
// place or the attempt ends.
func (w *silence) ask() {
	w.mu.Lock()
	p, later, movedAt := w.p, w.questions >= firstToldAfter, w.movedAt
	w.mu.Unlock()
	at := w.g.findStalled(w.q, p, later)
	if at > 0 && w.replace(p, at) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.movedAt != movedAt {
		// An event has come meanwhile, and the wait has begun anew.
		return
	}
	if at < 0 && w.replaced && w.questions >= replacedQuestions {
		// The first engine has taken the order, but nothing comes of it.
		at = 0
	}
	if at < 0 {
		w.wait(w.questions + 1)
		return
	}
	w.end(p, at)
}

// end ends the attempt because of a stage. The caller holds mu.
func (w *silence) end(p place, at int) {
	culprit := p.chain[at].Upstream.Instance
	now := w.g.Now()
	w.g.Log.Info("stream silent", zap.String("request", w.q.ID), zap.String("upstream", p.upstream.Instance),
		zap.String("at_fault", culprit), zap.Int("questions", w.questions+1),
		zap.Duration("last_event_age", now-max(w.movedAt, w.q.arrived)), zap.Duration("since_start", now-w.q.arrived))
	select {
	case w.fault <- culprit:
	default:
		// An event that had come before the end began the wait anew.
	}
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

// findStalled returns the stage that a generation waits for; negative if none is
// found at fault. Stages that streams have passed lately are taken for well; the
// others are asked all at once. later says that there were several questions
// before: the first stage then tells which one it waits for.
func (g *Gateway) findStalled(q *query, p place, later bool) int {
	var suspects []int
	at := -1
	g.control.Do(func(s *state) { suspects, at = s.suspects(p, g.Now()) })
	if at < 0 {
		at = g.askStages(p, suspects)
	}
	if at < 0 && later {
		at = g.askFirst(q, p)
	}
	if at >= 0 {
		g.control.Do(func(s *state) { s.blameSilent(q, p, at, g.Now()) })
	}
	return at
}

// suspects returns the stages that no stream has passed lately, and the first of
// them that is known not to answer; negative if none is.
func (s *state) suspects(p place, now time.Duration) (quiet []int, lost int) {
	lost = -1
	for at, stage := range p.chain {
		instance := stage.Upstream.Instance
		silent, answers := p.activity[at].quiet(now)
		if silent < health.StageQuietLimit(s.load(instance).requests, answers) {
			continue
		}
		quiet = append(quiet, at)
		if lost < 0 && s.health.ExcludedForFault(instance, now) && s.health.LikelyDown(instance) {
			lost = at
		}
	}
	return quiet, lost
}

// reply is what a stage answered that was asked whether it is well.
type reply struct {
	at  int
	err error
}

// askStages asks stages at once whether they are well. It returns the first that
// has ended, as soon as it says so, or else the first that does not answer in
// time; negative if all do.
func (g *Gateway) askStages(p place, suspects []int) int {
	replies := make(chan reply, len(suspects))
	for _, at := range suspects {
		go func() {
			_, err := g.askStalled(p.chain[at].Upstream)
			replies <- reply{at, err}
		}()
	}
	silent := -1
	for range suspects {
		r := <-replies
		switch verdict.Of(r.err).Reason {
		case verdict.UpstreamRefused:
			return r.at
		case verdict.UpstreamBusy:
			// It was not asked: it wants no calls.
		default:
			if r.err != nil && (silent < 0 || r.at < silent) {
				silent = r.at
			}
		}
		if r.err == nil {
			p.activity[r.at].answered(g.Now())
		}
	}
	return silent
}

// askFirst returns the stage that the first one says a generation waits for;
// negative if it says none.
func (g *Gateway) askFirst(q *query, p place) int {
	report, err := g.askStalled(p.upstream)
	if err != nil {
		// It has been asked as one of the stages.
		return -1
	}
	for _, stalled := range report.Stalled {
		if stalled.Request == q.ID {
			return stageAt(p, stalled.Address)
		}
	}
	return -1
}

// noteActivity notes that an event has passed all stages.
func (p place) noteActivity(now time.Duration) {
	for _, a := range p.activity {
		a.passed(now)
	}
}

// askStalled asks an engine for its state, once for all streams that ask at the
// same time.
func (g *Gateway) askStalled(u *fleet.Upstream) (relay.Report, error) {
	timeout := farReportTimeout
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
