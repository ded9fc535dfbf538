package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/membership"
	"lovageport.example/internal/coordination/quarantine"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/transport/peer"
)

// Times and bounds of talk between entries.
const (
	// peerTimeout bounds a call of a peer.
	peerTimeout = time.Second
	// newsAge is how long an upstream's failure is worth telling.
	newsAge = time.Second
	// alarmTimeout bounds how long a crash is told to peers before the request
	// goes on.
	alarmTimeout = 100 * time.Millisecond
	// farPeers is how many peers of each other availability zone get a
	// heartbeat at a time.
	farPeers = 1
)

// beat sends heartbeats: to all peers of the own availability zone, and in
// turn to one of each other zone.
func (e *Entry) beat(ctx context.Context) error {
	for round := 0; ; round++ {
		e.beatAll(ctx, e.targets(round))
		if !loop.Sleep(ctx, e.Settings.Peers.HeartbeatInterval.Duration) {
			return nil
		}
	}
}

// targets returns the peers that get a heartbeat in a round. A peer whose
// withdrawals were never taken in gets one at once: readiness waits for it.
func (e *Entry) targets(round int) []membership.Peer {
	var peers []membership.Peer
	e.control.Do(func(s *state) { peers = s.members.Peers() })
	far := make(map[string][]membership.Peer)
	var targets []membership.Peer
	for _, p := range peers {
		switch {
		case p.Address == "":
		case p.Zone == e.Settings.Zone || !p.Synced:
			targets = append(targets, p)
		default:
			far[p.Zone] = append(far[p.Zone], p)
		}
	}
	for _, others := range far {
		for i := range min(farPeers, len(others)) {
			targets = append(targets, others[(round+i)%len(others)])
		}
	}
	return targets
}

func (e *Entry) beatAll(ctx context.Context, targets []membership.Peer) {
	if len(targets) == 0 {
		return
	}
	said := e.heartbeat()
	var group sync.WaitGroup
	for _, p := range targets {
		group.Go(func() { e.beatOne(ctx, p, said) })
	}
	group.Wait()
	e.control.Do(e.control.publish)
}

func (e *Entry) beatOne(ctx context.Context, p membership.Peer, said *peering.Heartbeat) {
	answer, err := e.clients.Heartbeat(ctx, p.Address, said)
	if err != nil {
		e.control.Do(func(s *state) { s.members.MarkSynced(p.Name) })
		e.Log.Debug("peer not reached", zap.String("peer", p.Name), zap.Error(err))
		return
	}
	if !e.hear(answer) {
		return
	}
	if _, err := e.exchange(ctx, p.Address); err != nil {
		e.Log.Debug("withdrawals not exchanged", zap.String("peer", p.Name), zap.Error(err))
	}
	e.control.Do(func(s *state) { s.members.MarkSynced(p.Name) })
}

// heartbeat returns what this entry says of itself.
func (e *Entry) heartbeat() *peering.Heartbeat {
	said := &peering.Heartbeat{
		Version: peering.Version,
		Secret:  e.Settings.Peers.Secret,
		Entry:   e.Settings.Name,
		Zone:    e.Settings.Zone,
		Address: e.Settings.Listen.Peers,
	}
	e.control.Do(func(s *state) {
		now := time.Now()
		said.Generation = s.adopter.Generation()
		said.Withdrawals = s.register.Digest()
		said.ConfirmedAge = max(0, now.Sub(s.confirmedAt))
		said.Draining = s.draining
		for _, f := range s.dispatcher.Ejections.RecentFailures(now.Add(-newsAge)) {
			said.Deaths = append(said.Deaths, peering.Death{Upstream: f.Upstream, Age: now.Sub(f.At)})
		}
		for _, suspicion := range s.dispatcher.Suspicions.All(now) {
			said.Suspicions = append(said.Suspicions, wireSuspicion(suspicion, now))
		}
	})
	said.Deaths = said.Deaths[:min(len(said.Deaths), peering.MaxListItems)]
	said.Suspicions = said.Suspicions[:min(len(said.Suspicions), peering.MaxListItems)]
	return said
}

func wireSuspicion(s quarantine.Suspicion, now time.Time) peering.Suspicion {
	out := peering.Suspicion{Fingerprint: s.Fingerprint}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, peering.Death{Upstream: c.Upstream, Age: now.Sub(c.At)})
	}
	return out
}

// hear takes in a heartbeat. It says whether the withdrawals differ.
func (e *Entry) hear(said *peering.Heartbeat) bool {
	differ, behind := false, false
	e.control.Do(func(s *state) {
		now := time.Now()
		s.members.Update(membership.Peer{
			Name:        said.Entry,
			Zone:        said.Zone,
			Address:     said.Address,
			Generation:  said.Generation,
			Withdrawals: said.Withdrawals,
			Draining:    said.Draining,
		}, now)
		s.confirm(said.ConfirmedAge, now)
		s.adopter.ObserveGeneration(said.Generation)
		for _, d := range said.Deaths {
			s.dispatcher.Ejections.RecordPeerFailure(d.Upstream, d.Age, now)
		}
		for _, suspicion := range said.Suspicions {
			hearSuspicion(s, suspicion, now)
		}
		differ = said.Withdrawals != s.register.Digest()
		if !differ {
			s.withdrawalsRead = true
			s.members.MarkSynced(said.Entry)
		}
		behind = s.adopter.Behind()
	})
	if behind {
		e.wakeAdopter()
	}
	return differ
}

func hearSuspicion(s *state, said peering.Suspicion, now time.Time) {
	crashes := make([]quarantine.Crash, 0, len(said.Crashes))
	for _, c := range said.Crashes {
		crashes = append(crashes, quarantine.Crash{Upstream: c.Upstream, At: now.Add(-c.Age)})
	}
	s.dispatcher.Suspicions.Add(said.Fingerprint, crashes, now)
}

// exchange tells a peer all withdrawals known here and takes in the union. It
// returns the peer's name.
func (e *Entry) exchange(ctx context.Context, address string) (string, error) {
	answer, err := e.clients.Exchange(ctx, address, e.withdrawalsKnown())
	if err != nil {
		return "", err
	}
	e.mergeWithdrawals(answer.Withdrawals)
	return answer.Entry, nil
}

func (e *Entry) withdrawalsKnown() *peering.WithdrawalExchange {
	out := &peering.WithdrawalExchange{
		Version: peering.Version,
		Secret:  e.Settings.Peers.Secret,
		Entry:   e.Settings.Name,
	}
	e.control.Do(func(s *state) { out.Withdrawals = s.register.All() })
	return out
}

// peerHandler answers peers.
func (e *Entry) peerHandler() *peer.Handler {
	return &peer.Handler{
		Secret: e.Settings.Peers.Secret,
		Heartbeat: func(_ context.Context, said *peering.Heartbeat) (*peering.Heartbeat, error) {
			e.hear(said)
			return e.heartbeat(), nil
		},
		Exchange: func(_ context.Context, said *peering.WithdrawalExchange) (*peering.WithdrawalExchange, error) {
			e.mergeWithdrawals(said.Withdrawals)
			return e.withdrawalsKnown(), nil
		},
		Shards: func(_ context.Context, asked *peering.ShardRequest) (*peering.ShardReply, error) {
			reply := &peering.ShardReply{Version: peering.Version}
			e.control.Do(func(s *state) {
				reply.Head = s.adopter.Current().Head
				reply.Shards = s.adopter.Shards(asked.Shards)
			})
			return reply, nil
		},
	}
}

// alarm tells all peers of a crash at once, and waits for their answers for a
// short time: a caller that hears of its failure may send the request to
// another entry right away.
func (e *Entry) alarm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, alarmTimeout)
	defer cancel()
	var peers []membership.Peer
	e.control.Do(func(s *state) { peers = s.members.Peers() })
	e.beatAll(ctx, peers)
}
