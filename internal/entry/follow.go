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

// Times of following the platform.
const (
	// watchWait is how long a watch waits at the platform.
	watchWait = 20 * time.Second
	// pollInterval is how often the head is asked for in case that the watch
	// has gone silent.
	pollInterval = 1500 * time.Millisecond
	// vmInterval is how often the VM list is read.
	vmInterval = 2 * time.Second
	// vmPatience is for how long an entry that knows no peer waits for the VM
	// list before it is ready without.
	vmPatience = 5 * time.Second
	// retryInterval is the pause after a failed call to the platform.
	retryInterval = 500 * time.Millisecond
	// adoptTimeout bounds one try to fetch a configuration.
	adoptTimeout = 5 * time.Second
	// withdrawalsKey holds all withdrawals.
	withdrawalsKey = "withdrawals"
)

// follow watches a key and gives each new version to take. A failed take is
// tried again.
func (e *Entry) follow(ctx context.Context, key string, take func(object.Object) error, none func()) error {
	var version int64
	// The first look does not wait: an entry that starts must know what there
	// is, or that there is nothing.
	var patience time.Duration
	for ctx.Err() == nil {
		found, err := e.objects.Watch(ctx, key, version, patience)
		switch {
		case err == nil && found.Version > version:
			e.heardPlatform()
			if err := take(found); err != nil {
				e.Log.Warn("stored object refused", zap.String("key", key), zap.Error(err))
			}
			version = found.Version
			patience = watchWait
		case errors.Is(err, store.ErrNotFound):
			e.heardPlatform()
			none()
			patience = watchWait
		default:
			loop.Sleep(ctx, retryInterval)
		}
	}
	return nil
}

func (e *Entry) heardPlatform() {
	now := time.Now()
	e.control.Send(func(s *state) {
		s.platformAt = now
		s.confirm(0, now)
	})
}

// followHead watches the head.
func (e *Entry) followHead(ctx context.Context) error {
	return e.follow(ctx, configuration.HeadKey, e.takeHead, func() {})
}

func (e *Entry) takeHead(found object.Object) error {
	head, err := configuration.DecodeHead(found.Value)
	if err != nil {
		return err
	}
	e.offer(head)
	return nil
}

// offer takes note of a head and wakes the adopter if it is newer.
func (e *Entry) offer(head configuration.Head) {
	newer := false
	e.control.Do(func(s *state) { newer = s.adopter.Offer(head) })
	if newer {
		e.wakeAdopter()
	}
}

func (e *Entry) wakeAdopter() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// pollHead asks for the head beside the watch, which may have gone silent, and
// is the regular sign of life of the platform.
func (e *Entry) pollHead(ctx context.Context) error {
	for loop.Sleep(ctx, pollInterval) {
		head, err := e.stored.ReadHead(ctx)
		if err != nil {
			continue
		}
		e.heardPlatform()
		e.offer(head)
	}
	return nil
}

// adoptWhenWoken fetches and adopts newer configurations.
func (e *Entry) adoptWhenWoken(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
		}
		for !e.adopt(ctx) {
			if !loop.Sleep(ctx, retryInterval) {
				return nil
			}
		}
	}
}

// adopt fetches what is missing of the newest configuration and puts it in
// force. It says whether nothing newer is known.
func (e *Entry) adopt(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	e.fetchHead(ctx)
	var missing []string
	e.control.Do(func(s *state) { missing = s.adopter.Missing() })
	for _, name := range missing {
		e.fetchShard(ctx, name)
	}
	done := true
	e.control.Do(func(s *state) {
		adopted, err := s.adopter.Adopt()
		if err != nil {
			e.Log.Error("configuration not adopted", zap.Error(err))
			// Nothing but a newer generation mends it.
			return
		}
		if adopted {
			e.control.publish(s)
			e.Log.Info("configuration adopted", zap.Int64("generation", s.adopter.Generation()))
		}
		done = !s.adopter.Behind()
	})
	return done
}

// fetchHead gets the newest head from the peers that name it, or else from the
// platform, unless it has been offered already.
func (e *Entry) fetchHead(ctx context.Context) {
	if !e.needsHead() {
		return
	}
	for _, p := range e.newestPeers() {
		reply, err := e.clients.Shards(ctx, p.Address, e.shardRequest(nil))
		if err != nil {
			continue
		}
		e.offer(reply.Head)
		if !e.needsHead() {
			return
		}
	}
	if head, err := e.stored.ReadHead(ctx); err == nil {
		e.offer(head)
	}
}

func (e *Entry) needsHead() bool {
	needs := false
	e.control.Do(func(s *state) { needs = s.adopter.NeedsHead() })
	return needs
}

// newestPeers returns the peers that have the highest generation, those of the
// own availability zone first.
func (e *Entry) newestPeers() []membership.Peer {
	var near, far []membership.Peer
	e.control.Do(func(s *state) {
		for _, p := range s.members.Peers() {
			switch {
			case p.Generation < s.adopter.HighestObserved() || p.Generation == 0:
			case p.Zone == e.Settings.Zone:
				near = append(near, p)
			default:
				far = append(far, p)
			}
		}
	})
	return append(near, far...)
}

func (e *Entry) shardRequest(names []string) *peering.ShardRequest {
	return &peering.ShardRequest{Version: peering.Version, Secret: e.Settings.Peers.Secret, Shards: names}
}

// maxShardPeers bounds the peers that are asked for a shard before the
// platform is.
const maxShardPeers = 2

// fetchShard gets a shard from a peer, or else from the platform.
func (e *Entry) fetchShard(ctx context.Context, name string) {
	peers := e.newestPeers()
	for _, p := range peers[:min(len(peers), maxShardPeers)] {
		reply, err := e.clients.Shards(ctx, p.Address, e.shardRequest([]string{name}))
		if err == nil && len(reply.Shards) == 1 && e.addShard(reply.Shards[0]) {
			return
		}
	}
	if shard, err := e.stored.ReadShard(ctx, name); err == nil {
		e.addShard(shard)
	}
}

func (e *Entry) addShard(shard configuration.Shard) bool {
	var err error
	e.control.Do(func(s *state) { err = s.adopter.AddShard(shard) })
	return err == nil
}

// followWithdrawals watches the stored withdrawals.
func (e *Entry) followWithdrawals(ctx context.Context) error {
	take := func(found object.Object) error {
		all, err := withdrawal.Decode(found.Value)
		if err != nil {
			return err
		}
		e.mergeWithdrawals(all)
		return nil
	}
	return e.follow(ctx, withdrawalsKey, take, func() { e.mergeWithdrawals(nil) })
}

// mergeWithdrawals takes in withdrawals from the platform or from a peer.
func (e *Entry) mergeWithdrawals(all []withdrawal.Withdrawal) {
	e.control.Do(func(s *state) {
		s.withdrawalsRead = true
		s.register.Merge(all)
		e.control.publish(s)
	})
}

// followVMs reads the VM list. An entry that knows peers by its settings is ready
// without it once it has what they know; one that knows none waits for the
// list, since a store that has just come back may lack withdrawals that are in
// force.
func (e *Entry) followVMs(ctx context.Context) error {
	began := time.Now()
	for {
		list, err := e.objects.VMs(ctx)
		pause := vmInterval
		e.control.Do(func(s *state) {
			if err == nil {
				e.takeVMs(s, list)
			}
			s.vmsRead = s.vmsRead || err == nil || len(e.Settings.Peers.Seeds) > 0 || time.Since(began) > vmPatience
			if !s.vmsRead {
				pause = retryInterval
			}
			e.control.publish(s)
		})
		if err != nil {
			e.Log.Debug("VM list not read", zap.Error(err))
		}
		if !loop.Sleep(ctx, pause) {
			return nil
		}
	}
}

func (e *Entry) takeVMs(s *state, list object.VMList) {
	s.confirm(0, time.Now())
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
	s.vmsLeaving = leaving
}

// seeds returns the peers that the settings name.
func (e *Entry) seeds() []membership.Peer {
	var seeds []membership.Peer
	for _, seed := range e.Settings.Peers.Seeds {
		seeds = append(seeds, membership.Peer{Name: seed.Name, Zone: seed.Zone, Address: seed.Address})
	}
	return seeds
}

// sweepInterval is how often one of the 256 parts of the claims is swept.
const sweepInterval = 5 * time.Minute

// sweepClaims removes old claims, a random part at a time.
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
