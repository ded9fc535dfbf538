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
// before the request is refused. All requests in flight on a crashed upstream
// are suspects, but three crashes with the same request are hardly a
// coincidence.
const crashLimit = 3

// connectProbeTimeout bounds the check whether an upstream still accepts
// connections.
const connectProbeTimeout = 100 * time.Millisecond

// fingerprint returns an identifier that repetitions of a request have in
// common.
func (q *request) fingerprint() string {
	return quarantine.Fingerprint(q.account, q.http.Method+" "+q.http.Host+q.http.RequestURI, q.body)
}

// checkCrash checks whether an upstream that broke off a request still accepts
// connections. If not, it records a crash and ejects the upstream.
func (g *Gateway) checkCrash(ctx context.Context, q *request, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, connectProbeTimeout)
	defer cancel()
	conn, err := g.connPool.Dial(ctx, "tcp", u.Address)
	if err == nil {
		conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.Log.Info("upstream crashed", zap.String("request", q.ID), zap.String("upstream", u.Instance))
	g.control.Do(func(s *state) {
		s.eject(u, health.Unreachable, g.Now())
		now := bootTime(g.Now())
		s.suspicions.Add(q.fingerprint(), []quarantine.Crash{{Upstream: u.Instance, At: now}}, now)
	})
}

// checkQuarantine returns a refusal for a request that has crashed upstreams.
func (s *state) checkQuarantine(q *request, now time.Duration) error {
	if err := s.checkParts(q, now); err != nil {
		return err
	}
	if s.suspicions.Empty() {
		return nil
	}
	left := s.suspicions.Remaining(q.fingerprint(), bootTime(now))
	if left <= 0 {
		return nil
	}
	return verdict.RefuseUntil(left, verdict.Quarantined, "this request has crashed %d upstreams", crashLimit)
}

// maxSentSuspicions bounds the suspicions in one message to a peer, each of
// about 60 bytes.
const maxSentSuspicions = 32

// suspicionCacheTime is how long the suspicions for peers are cached, since
// many peers are called in that time.
const suspicionCacheTime = 100 * time.Millisecond

// suspicionsToSend returns the suspicions for peers.
func (s *state) suspicionsToSend(now time.Duration) []peering.Suspicion {
	if s.suspicions.Empty() || s.suspicionsCachedAt > 0 && now-s.suspicionsCachedAt < suspicionCacheTime {
		return s.cachedSuspicions
	}
	s.suspicionsCachedAt = now
	var out []peering.Suspicion
	for _, known := range s.suspicions.ForPeers(bootTime(now), maxSentSuspicions) {
		sent := peering.Suspicion{Fingerprint: known.Fingerprint}
		for _, c := range known.Crashes {
			sent.Crashes = append(sent.Crashes, peering.Death{Upstream: c.Upstream, Age: bootTime(now).Sub(c.At)})
		}
		out = append(out, sent)
	}
	s.cachedSuspicions = out
	return out
}

// mergeSuspicions merges a peer's suspicions into the state.
func (s *state) mergeSuspicions(suspicions []peering.Suspicion, now time.Duration) {
	for _, suspicion := range suspicions {
		var crashes []quarantine.Crash
		for _, c := range suspicion.Crashes {
			crashes = append(crashes, quarantine.Crash{Upstream: c.Upstream, At: bootTime(now).Add(-c.Age)})
		}
		s.suspicions.Add(suspicion.Fingerprint, crashes, bootTime(now))
	}
}
