package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/health"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/fleet"
	"lovageport.example/pkg/verdict"
)

// crashLimit is how many upstreams must have crashed with a request in flight
// for the request to be refused. All requests in flight there are suspects;
// three crashes with the same one are hardly chance.
const crashLimit = 3

// connectProbeTimeout bounds the question whether an upstream still listens.
const connectProbeTimeout = 100 * time.Millisecond

// fingerprint names a request by what a copy of it would have in common.
func (q *query) fingerprint() string {
	return quarantine.Fingerprint(q.account, q.http.Method+" "+q.http.Host+q.http.RequestURI, q.body)
}

// checkCrash notes a crash if an upstream that broke off a request does not
// listen any more, and leaves it alone.
func (g *Gateway) checkCrash(ctx context.Context, q *query, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, connectProbeTimeout)
	defer cancel()
	conn, err := g.pool.Dial(ctx, "tcp", u.Address)
	if err == nil {
		conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.Log.Info("upstream crashed", zap.String("request", q.ID), zap.String("upstream", u.Instance))
	g.control.Do(func(s *state) {
		s.blameFor(u, health.Unreachable, g.Now())
		now := asTime(g.Now())
		s.suspicions.Add(q.fingerprint(), []quarantine.Crash{{Upstream: u.Instance, At: now}}, now)
	})
}

// quarantined refuses a request that has crashed upstreams.
func (s *state) quarantined(q *query, now time.Duration) error {
	if s.suspicions.Empty() {
		return nil
	}
	left := s.suspicions.Remaining(q.fingerprint(), asTime(now))
	if left <= 0 {
		return nil
	}
	return verdict.RefuseUntil(left, verdict.Quarantined, "this request has crashed %d upstreams", crashLimit)
}

// toldSuspicions bounds the suspicions in one word to a peer, 60 bytes each.
const toldSuspicions = 32

// toldTime is how long the suspicions to tell are kept before they are found
// anew: many peers are told within it.
const toldTime = 100 * time.Millisecond

// wireSuspicions returns the suspicions to tell peers.
func (s *state) wireSuspicions(now time.Duration) []peering.Suspicion {
	if s.suspicions.Empty() || s.toldAt > 0 && now-s.toldAt < toldTime {
		return s.told
	}
	s.toldAt = now
	var out []peering.Suspicion
	for _, known := range s.suspicions.ForPeers(asTime(now), toldSuspicions) {
		said := peering.Suspicion{Fingerprint: known.Fingerprint}
		for _, c := range known.Crashes {
			said.Crashes = append(said.Crashes, peering.Death{Upstream: c.Upstream, Age: asTime(now).Sub(c.At)})
		}
		out = append(out, said)
	}
	s.told = out
	return out
}

// hearSuspicions takes in a peer's suspicions.
func (s *state) hearSuspicions(said []peering.Suspicion, now time.Duration) {
	for _, suspicion := range said {
		var crashes []quarantine.Crash
		for _, c := range suspicion.Crashes {
			crashes = append(crashes, quarantine.Crash{Upstream: c.Upstream, At: asTime(now).Add(-c.Age)})
		}
		s.suspicions.Add(suspicion.Fingerprint, crashes, asTime(now))
	}
}
