package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lovageport.example/internal/coordination/membership"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/protocol/object"
	"lovageport.example/internal/protocol/peering"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/store"
	"lovageport.example/internal/state/withdrawal"
)

// Intervals and timeouts of calls to the platform.
const (
	// watchWait is how long the platform holds a watch that has nothing to report.
	watchWait = 20 * time.Second
	// headPollInterval is how often the configuration's head is read, in case
	// the watch has gone silent.
	headPollInterval = 1500 * time.Millisecond
	// vmPollInterval is how often the VM list is read.
	vmPollInterval = 2 * time.Second
	// vmListTimeout is how long readiness waits for the VM list if no peers are
	// configured.
	vmListTimeout = 5 * time.Second
	// platformRetryInterval is the pause after a failed call to the platform.
	platformRetryInterval = 500 * time.Millisecond
	// adoptTimeout bounds one attempt to fetch a configuration.
	adoptTimeout = 5 * time.Second
	// withdrawalsKey is the key of the object that holds all withdrawals.
	withdrawalsKey = "withdrawals"
)

// watchObject watches the object stored under key until ctx ends. It calls apply
// with each new version, and notFound if there is no such object. An object that
// apply rejects is logged and skipped; a failed watch is repeated.
func (e *Entry) watchObject(ctx context.Context, key string, apply func(object.Object) error, notFound func()) error {
	var version int64
	// The first watch returns at once: an entry that starts must learn the
	// stored object, or that there is none.
	var wait time.Duration
	for ctx.Err() == nil {
		begin := time.Now()
		found, err := e.objects.Watch(ctx, key, version, wait)
		switch {
		case err == nil && found.Version > version:
			e.recordPlatformContact(begin)
			if err := apply(found); err != nil {
				e.Log.Warn("stored object rejected", zap.String("key", key), zap.Error(err))
			}
			version = found.Version
			wait = watchWait
		case errors.Is(err, store.ErrNotFound):
			e.recordPlatformContact(begin)
			notFound()
			wait = watchWait
		default:
			loop.Sleep(ctx, platformRetryInterval)
		}
	}
	return nil
}

// recordPlatformContact records that the platform has answered a call that began at
// begin. Its answer holds from then on: it may have been unread for a while.
func (e *Entry) recordPlatformContact(begin time.Time) {
	e.control.Send(func(s *state) {
		if begin.After(s.platformContactAt) {
			s.platformContactAt = begin
		}
		s.recordConfirmation(0, begin)
	})
}

// watchHead watches the head of the configuration.
func (e *Entry) watchHead(ctx context.Context) error {
	return e.watchObject(ctx, configuration.HeadKey, e.handleHead, func() {})
}

func (e *Entry) handleHead(found object.Object) error {
	head, err := configuration.DecodeHead(found.Value)
	if err != nil {
		return err
	}
	e.offerHead(head)
	return nil
}

// offerHead passes a head to the adopter and wakes it if the head is newer.
func (e *Entry) offerHead(head configuration.Head) {
	newer := false
	e.control.Do(func(s *state) { newer = s.adopter.Offer(head) })
	if newer {
		e.wakeAdopter()
	}
}

func (e *Entry) wakeAdopter() {
	select {
	case e.adoptSignal <- struct{}{}:
	default:
	}
}

// pollHead reads the head at regular intervals, since the watch may go silent
// without an error. Its successful reads also show that the platform is
// reachable.
func (e *Entry) pollHead(ctx context.Context) error {
	for loop.Sleep(ctx, headPollInterval) {
		begin := time.Now()
		head, err := e.repository.ReadHead(ctx)
		if err != nil {
			continue
		}
		e.recordPlatformContact(begin)
		e.offerHead(head)
	}
	return nil
}

// runAdopter fetches and adopts newer configurations whenever it is woken.
func (e *Entry) runAdopter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.adoptSignal:
		}
		for !e.adopt(ctx) {
			if !loop.Sleep(ctx, platformRetryInterval) {
				return nil
			}
		}
	}
}

// adopt fetches the missing parts of the newest configuration and puts it in
// force. It reports whether no newer configuration is known.
func (e *Entry) adopt(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	e.fetchHead(ctx)
	var missing []string
	e.control.Do(func(s *state) { missing = s.adopter.Missing() })
	for _, name := range missing {
		e.fetchShard(ctx, name)
	}
	upToDate := true
	e.control.Do(func(s *state) {
		adopted, err := s.adopter.Adopt()
		if err != nil {
			e.Log.Error("configuration not adopted", zap.Error(err))
			// Trying again is useless; only a newer generation can succeed.
			return
		}
		if adopted {
			e.control.publish(s)
			e.Log.Info("configuration adopted", zap.Int64("generation", s.adopter.Generation()))
		}
		upToDate = !s.adopter.Behind()
	})
	return upToDate
}

// fetchHead fetches the newest head from the peers that have it, or else from
// the platform, unless it is known already.
func (e *Entry) fetchHead(ctx context.Context) {
	if !e.needsHead() {
		return
	}
	for _, p := range e.upToDatePeers() {
		reply, err := e.peerClient.Shards(ctx, p.Address, e.shardRequest(nil))
		if err != nil {
			continue
		}
		e.offerHead(reply.Head)
		if !e.needsHead() {
			return
		}
	}
	if head, err := e.repository.ReadHead(ctx); err == nil {
		e.offerHead(head)
	}
}

func (e *Entry) needsHead() bool {
	needs := false
	e.control.Do(func(s *state) { needs = s.adopter.NeedsHead() })
	return needs
}

// upToDatePeers returns the peers that have the newest known generation, those
// in this entry's availability zone first.
func (e *Entry) upToDatePeers() []membership.Peer {
	var local, remote []membership.Peer
	e.control.Do(func(s *state) {
		for _, p := range s.members.Peers() {
			switch {
			case p.Generation < s.adopter.HighestObserved() || p.Generation == 0:
			case p.Zone == e.Settings.Zone:
				local = append(local, p)
			default:
				remote = append(remote, p)
			}
		}
	})
	return append(local, remote...)
}

func (e *Entry) shardRequest(names []string) *peering.ShardRequest {
	return &peering.ShardRequest{Version: peering.Version, Secret: e.Settings.Peers.Secret, Shards: names}
}

// maxShardPeers is how many peers are asked for a shard before the platform is.
const maxShardPeers = 2

// fetchShard fetches a shard from a peer, or else from the platform.
func (e *Entry) fetchShard(ctx context.Context, name string) {
	peers := e.upToDatePeers()
	for _, p := range peers[:min(len(peers), maxShardPeers)] {
		reply, err := e.peerClient.Shards(ctx, p.Address, e.shardRequest([]string{name}))
		if err == nil && len(reply.Shards) == 1 && e.addShard(reply.Shards[0]) {
			return
		}
	}
	if shard, err := e.repository.ReadShard(ctx, name); err == nil {
		e.addShard(shard)
	}
}

func (e *Entry) addShard(shard configuration.Shard) bool {
	var err error
	e.control.Do(func(s *state) { err = s.adopter.AddShard(shard) })
	return err == nil
}

// watchWithdrawals watches the withdrawals stored on the platform.
func (e *Entry) watchWithdrawals(ctx context.Context) error {
	apply := func(found object.Object) error {
		all, err := withdrawal.Decode(found.Value)
		if err != nil {
			return err
		}
		e.mergeWithdrawals(all)
		return nil
	}
	return e.watchObject(ctx, withdrawalsKey, apply, func() { e.mergeWithdrawals(nil) })
}

// mergeWithdrawals adds the withdrawals of the platform or of a peer to those
// known here.
func (e *Entry) mergeWithdrawals(all []withdrawal.Withdrawal) {
	e.control.Do(func(s *state) {
		s.withdrawalsRead = true
		s.withdrawals.Merge(all)
		e.control.publish(s)
	})
}

// pollVMs reads the VM list at regular intervals. If the settings name peers,
// readiness waits for what those peers know and not for the VM list. Otherwise
// it waits up to vmListTimeout for the list, which names the peers: a store that
// has just recovered may lack withdrawals that they know to be in force.
func (e *Entry) pollVMs(ctx context.Context) error {
	start := time.Now()
	for {
		begin := time.Now()
		list, err := e.objects.VMs(ctx)
		pause := vmPollInterval
		e.control.Do(func(s *state) {
			if err == nil {
				s.recordConfirmation(0, begin)
				e.applyVMList(s, list)
			}
			s.vmListRead = s.vmListRead || err == nil || len(e.Settings.Peers.Seeds) > 0 || time.Since(start) > vmListTimeout
			if !s.vmListRead {
				pause = platformRetryInterval
			}
			e.control.publish(s)
		})
		switch {
		case err != nil:
			e.Log.Debug("VM list not read", zap.Error(err))
		case list.Malformed > 0:
			e.Log.Warn("entries of the VM list ignored", zap.Int("malformed", list.Malformed))
		}
		if !loop.Sleep(ctx, pause) {
			return nil
		}
	}
}

func (e *Entry) applyVMList(s *state, list object.VMList) {
	listed := e.seeds()
	leaving := make(map[string]bool)
	for _, vm := range list.VMs {
		switch {
		case vm.Role == object.RoleEntry && vm.State == object.Live:
			listed = append(listed, membership.Peer{Name: vm.Name, Zone: vm.Zone, Address: vm.Address})
		case vm.Role == object.RoleUpstream && vm.State == object.Leaving:
			leaving[vm.Name] = true
		}
	}
	s.members.SetListed(listed)
	s.leavingVMs = leaving
}

// seeds returns the peers named in the settings.
func (e *Entry) seeds() []membership.Peer {
	var seeds []membership.Peer
	for _, seed := range e.Settings.Peers.Seeds {
		seeds = append(seeds, membership.Peer{Name: seed.Name, Zone: seed.Zone, Address: seed.Address})
	}
	return seeds
}

// sweepInterval is how often old claims are removed from one of the 256 parts
// into which claims are divided.
const sweepInterval = 5 * time.Minute

// sweepClaims removes old claims at regular intervals, from one randomly chosen
// part at a time.
func (e *Entry) sweepClaims(ctx context.Context) error {
	for loop.Sleep(ctx, sweepInterval) {
		if e.Random == nil {
			continue
		}
		removed, err := e.claims.Sweep(ctx, byte(e.Random()*256))
		if removed > 0 || err != nil {
			e.Log.Info("old claims removed", zap.Int("removed", removed), zap.Error(err))
		}
	}
	return nil
}
