package gateway

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/http1"
	"lovageport.example/pkg/verdict"
)

// maxSentParts bounds the suspected parts of prompts in one message to a peer, each of
// up to about 500 bytes.
const maxSentParts = 16

// answeredReads is the number of reads of events after which an attempt counts as
// answered: an engine that a part of the prompt crashes may have written the first ones.
const answeredReads = 2

// checkParts returns a refusal for a request whose prompt has a part that crashes
// engines. One that has been answered in part has shown that it has none.
func (s *state) checkParts(q *request, now time.Duration) error {
	if len(q.SharedParts) == 0 || q.history().lastEvent > 0 {
		return nil
	}
	left := s.parts.Remaining(q.SharedParts, s.members.IsFirst(now), bootTime(now))
	if left <= 0 {
		return nil
	}
	return verdict.RefuseUntil(left, verdict.Quarantined, "a part of the prompt has crashed engines")
}

// recordRead records that events of the attempt were read, or all of it was.
func (a *streamAttempt) recordRead(end bool) {
	a.reads++
	if a.answered || a.reads < answeredReads && !end {
		return
	}
	a.answered = true
	a.g.control.Send(func(s *state) { s.parts.Answered(a.q.SharedParts, bootTime(a.g.Now())) })
}

// recordUnanswered records that the attempt ended because of err, if that was before it
// was answered and shows that its engine may have ended.
func (a *streamAttempt) recordUnanswered(err error) {
	if a.answered || a.ctx.Err() != nil || !a.mayBeCrash(err) {
		return
	}
	now := a.g.Now()
	c := quarantine.PartCrash{Attempt: fmt.Sprintf("%s/%d", a.q.ID, a.sentAt), Began: bootTime(a.sentAt), At: bootTime(now)}
	a.g.control.Do(func(s *state) {
		if s.parts.Crashed(a.q.SharedParts, c, bootTime(now)) {
			s.members.CallSoon(now)
			s.log.Info("engine ended before it answered", zap.String("request", a.q.ID), zap.String("upstream", a.target.upstream.Instance),
				zap.Strings("shared_parts", a.q.SharedParts), zap.Error(err))
		}
	})
}

// mayBeCrash reports whether an attempt that ended with err may have ended with its
// engine. A connection that was used before may have been closed for being idle, unless the
// response has begun.
func (a *streamAttempt) mayBeCrash(err error) bool {
	if a.response == nil {
		e := verdict.Of(err)
		return e.Run == verdict.MayHaveRun && e.Reason == verdict.UpstreamLost && !http1.OnReused(err)
	}
	if errors.Is(err, errNoEvent) {
		return a.response.CloseDelimited
	}
	return !errors.Is(err, http1.ErrMalformed)
}

// partsToSend returns the suspected parts of prompts for peers.
func (s *state) partsToSend(now time.Duration) []peering.PartSuspicion {
	at := bootTime(now)
	var out []peering.PartSuspicion
	for _, known := range s.parts.ForPeers(maxSentParts, at) {
		sent := peering.PartSuspicion{Part: known.Part, ClearedAge: -1, Blamed: known.Blamed}
		if !known.ClearedAt.IsZero() {
			sent.ClearedAge = max(0, at.Sub(known.ClearedAt))
		}
		for _, c := range known.Crashes {
			sent.Crashes = append(sent.Crashes, peering.PartCrash{Attempt: c.Attempt, Age: max(0, at.Sub(c.At)), Took: max(0, c.At.Sub(c.Began))})
		}
		out = append(out, sent)
	}
	return out
}

// mergeParts merges the parts of prompts that a peer suspects.
func (s *state) mergeParts(parts []peering.PartSuspicion, now time.Duration) {
	at := bootTime(now)
	for _, p := range parts {
		from := quarantine.SuspectPart{Part: p.Part, Blamed: p.Blamed}
		if p.ClearedAge >= 0 {
			from.ClearedAt = at.Add(-p.ClearedAge)
		}
		for _, c := range p.Crashes {
			ended := at.Add(-c.Age)
			from.Crashes = append(from.Crashes, quarantine.PartCrash{Attempt: c.Attempt, Began: ended.Add(-c.Took), At: ended})
		}
		if s.parts.Merge(from, at) {
			s.log.Info("part of prompts suspected by peer", zap.String("part", p.Part), zap.Int("crashes", len(p.Crashes)), zap.Bool("blamed", p.Blamed))
		}
	}
}
