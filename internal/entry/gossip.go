package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/membership"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/withdrawal"
	"lovageport.example/internal/transport/peer"
)

// Limits of the communication between entries.
const (
	// peerTimeout bounds a call to a peer.
	peerTimeout = time.Second
	// failureReportAge is how long an upstream's failure is included in
	// heartbeats.
	failureReportAge = time.Second
	// notifyTimeout bounds how long a request that crashed an upstream waits for
	// the peers to be notified.
	notifyTimeout = 100 * time.Millisecond
	// remotePeersPerZone is how many peers in each other availability zone get a
	// heartbeat per round.
	remotePeersPerZone = 1
)

// runHeartbeats sends heartbeats until ctx ends: in each round to all peers in
// this entry's availability zone, and to the next peer of each other zone.
func (e *Entry) runHeartbeats(ctx context.Context) error {
	for round := 0; ; round++ {
		e.sendHeartbeats(ctx, e.heartbeatTargets(round))
		if !loop.Sleep(ctx, e.Settings.Peers.HeartbeatInterval.Duration) {
			return nil
		}
	}
}

// heartbeatTargets returns the peers that get a heartbeat in a round. It includes
// every peer whose withdrawals have not been merged yet, since readiness depends
// on them.
func (e *Entry) heartbeatTargets(round int) []membership.Peer {
	var peers []membership.Peer
	e.control.Do(func(s *state) { peers = s.members.Peers() })
	remote := make(map[string][]membership.Peer)
	var targets []membership.Peer
	for _, p := range peers {
		switch {
		case p.Address == "":
		case p.Zone == e.Settings.Zone || !p.Synced:
			targets = append(targets, p)
		default:
			remote[p.Zone] = append(remote[p.Zone], p)
		}
	}
	for _, others := range remote {
		for i := range min(remotePeersPerZone, len(others)) {
			targets = append(targets, others[(round+i)%len(others)])
		}
	}
	return targets
}

// sendHeartbeats sends a heartbeat to each target concurrently and publishes the
// state that results from the answers.
func (e *Entry) sendHeartbeats(ctx context.Context, targets []membership.Peer) {
	if len(targets) == 0 {
		return
	}
	heartbeat := e.newHeartbeat()
	var group sync.WaitGroup
	for _, p := range targets {
		group.Go(func() { e.contain("", func() { e.sendHeartbeat(ctx, p, heartbeat) }) })
	}
	group.Wait()
	e.control.Do(e.control.publish)
}

// sendHeartbeat sends a heartbeat to a peer and handles its answer. If the
// withdrawals differ, it exchanges them. A peer that does not answer is marked as
// synced too, so that readiness does not wait for it.
func (e *Entry) sendHeartbeat(ctx context.Context, p membership.Peer, heartbeat *peering.Heartbeat) {
	begin := time.Now()
	answer, err := e.peerClient.Heartbeat(ctx, p.Address, heartbeat)
	if err == nil {
		err = e.checkSecret(answer.Secret)
	}
	if err != nil {
		e.control.Do(func(s *state) { s.members.MarkSynced(p.Name) })
		e.Log.Debug("peer unreachable", zap.String("peer", p.Name), zap.Error(err))
		return
	}
	if !e.handleHeartbeat(answer, begin) {
		return
	}
	if _, err := e.exchangeWithdrawals(ctx, p.Address); err != nil {
		e.Log.Debug("withdrawals not exchanged", zap.String("peer", p.Name), zap.Error(err))
	}
	e.control.Do(func(s *state) { s.members.MarkSynced(p.Name) })
}

// newHeartbeat returns a heartbeat that describes this entry's state.
func (e *Entry) newHeartbeat() *peering.Heartbeat {
	heartbeat := &peering.Heartbeat{
		Version: peering.Version,
		Secret:  e.Settings.Peers.Secret,
		Entry:   e.Settings.Name,
		Zone:    e.Settings.Zone,
		Address: e.Settings.Listen.Peers,
	}
	e.control.Do(func(s *state) {
		now := time.Now()
		heartbeat.Generation = s.adopter.Generation()
		heartbeat.Withdrawals = s.withdrawals.Digest()
		heartbeat.ConfirmedAge = max(0, now.Sub(s.confirmedAt))
		heartbeat.Draining = s.draining
		for _, f := range s.dispatcher.Ejections.RecentFailures(now.Add(-failureReportAge)) {
			heartbeat.Deaths = append(heartbeat.Deaths, peering.Death{Upstream: f.Upstream, Age: now.Sub(f.At)})
		}
		for _, suspicion := range s.dispatcher.Suspicions.All(now) {
			heartbeat.Suspicions = append(heartbeat.Suspicions, suspicionMessage(suspicion, now))
		}
	})
	heartbeat.Deaths = heartbeat.Deaths[:min(len(heartbeat.Deaths), peering.MaxListItems)]
	heartbeat.Suspicions = heartbeat.Suspicions[:min(len(heartbeat.Suspicions), peering.MaxListItems)]
	return heartbeat
}

func suspicionMessage(s quarantine.Suspicion, now time.Time) peering.Suspicion {
	message := peering.Suspicion{Fingerprint: s.Fingerprint}
	for _, c := range s.Crashes {
		message.Crashes = append(message.Crashes, peering.Death{Upstream: c.Upstream, Age: now.Sub(c.At)})
	}
	return message
}

// checkSecret returns an error unless the answer of a peer carries the entries'
// secret. Another process may listen at the address of one that has ended.
func (e *Entry) checkSecret(secret string) error {
	if subtle.ConstantTimeCompare([]byte(secret), []byte(e.Settings.Peers.Secret)) != 1 {
		return peer.ErrWrongSecret
	}
	return nil
}

// handleHeartbeat records a peer's heartbeat, which was true at now or later. It
// reports whether the peer's withdrawals differ from those known here.
func (e *Entry) handleHeartbeat(heartbeat *peering.Heartbeat, now time.Time) bool {
	differs, behind := false, false
	var doubted []string
	e.control.Do(func(s *state) {
		s.members.Update(membership.Peer{
			Name:        heartbeat.Entry,
			Zone:        heartbeat.Zone,
			Address:     heartbeat.Address,
			Generation:  heartbeat.Generation,
			Withdrawals: heartbeat.Withdrawals,
			Draining:    heartbeat.Draining,
		}, now)
		s.recordConfirmation(heartbeat.ConfirmedAge, now)
		s.adopter.ObserveGeneration(heartbeat.Generation)
		for _, d := range heartbeat.Deaths {
			if s.dispatcher.Ejections.RecordPeerFailure(d.Upstream, d.Age, now) {
				doubted = append(doubted, d.Upstream)
			}
		}
		for _, suspicion := range heartbeat.Suspicions {
			mergeSuspicion(s, suspicion, now)
		}
		differs = heartbeat.Withdrawals != s.withdrawals.Digest()
		if !differs {
			s.withdrawalsRead = true
			s.members.MarkSynced(heartbeat.Entry)
		}
		behind = s.adopter.Behind()
	})
	e.doubt(doubted)
	if behind {
		e.wakeAdopter()
	}
	return differs
}

func mergeSuspicion(s *state, suspicion peering.Suspicion, now time.Time) {
	crashes := make([]quarantine.Crash, 0, len(suspicion.Crashes))
	for _, c := range suspicion.Crashes {
		crashes = append(crashes, quarantine.Crash{Upstream: c.Upstream, At: now.Add(-c.Age)})
	}
	s.dispatcher.Suspicions.Add(suspicion.Fingerprint, crashes, now)
}

// errNotMerged is returned if the answer of a peer lacks a withdrawal that it was
// sent.
var errNotMerged = errors.New("entry: the peer has not merged the withdrawals")

// exchangeWithdrawals sends a peer all withdrawals known here and merges those in
// its answer, which must hold what was sent. It returns the peer's name.
func (e *Entry) exchangeWithdrawals(ctx context.Context, address string) (string, error) {
	message := e.withdrawalMessage()
	answer, err := e.peerClient.Exchange(ctx, address, message)
	if err == nil {
		err = e.checkSecret(answer.Secret)
	}
	if err != nil {
		return "", err
	}
	e.mergeWithdrawals(answer.Withdrawals)
	if !withdrawal.Merged(answer.Withdrawals, message.Withdrawals) {
		return "", errNotMerged
	}
	return answer.Entry, nil
}

// withdrawalMessage returns a message with all withdrawals known here.
func (e *Entry) withdrawalMessage() *peering.WithdrawalExchange {
	message := &peering.WithdrawalExchange{
		Version: peering.Version,
		Secret:  e.Settings.Peers.Secret,
		Entry:   e.Settings.Name,
	}
	e.control.Do(func(s *state) { message.Withdrawals = s.withdrawals.All() })
	return message
}

// peerHandler returns the handler for calls from peers.
func (e *Entry) peerHandler() *peer.Handler {
	return &peer.Handler{
		Guard:  e.guard(),
		Secret: e.Settings.Peers.Secret,
		Heartbeat: func(_ context.Context, message *peering.Heartbeat) (*peering.Heartbeat, error) {
			e.handleHeartbeat(message, time.Now())
			return e.newHeartbeat(), nil
		},
		Exchange: func(_ context.Context, message *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
			e.mergeWithdrawals(message.Withdrawals)
			return e.withdrawalMessage(), nil
		},
		Shards: func(_ context.Context, request *peering.ShardRequest) (*peering.ShardReply, error) {
			reply := &peering.ShardReply{Version: peering.Version}
			e.control.Do(func(s *state) {
				reply.Head = s.adopter.Current().Head
				reply.Shards = s.adopter.Shards(request.Shards)
			})
			return reply, nil
		},
	}
}

// notifyPeers sends a heartbeat to all peers and waits up to notifyTimeout for
// their answers. After a crash, the peers must know of it before the caller
// learns of the failure and repeats the request through another entry.
func (e *Entry) notifyPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var peers []membership.Peer
	e.control.Do(func(s *state) { peers = s.members.Peers() })
	e.sendHeartbeats(ctx, peers)
}
