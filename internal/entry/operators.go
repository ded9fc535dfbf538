package entry

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lovageport.example/internal/coordination/membership"
	"lovageport.example/internal/loop"
	"lovageport.example/internal/state/catalog"
	"lovageport.example/internal/state/configuration"
	"lovageport.example/internal/state/store"
	"lovageport.example/internal/state/withdrawal"
	"lovageport.example/internal/transport/operator"
	"lovageport.example/pkg/declaration"
	"lovageport.example/pkg/verdict"
)

// newID returns a name that no other request has.
func newID() string { return "req-" + uuid.NewString() }

// storeTimeout bounds how long an operator waits for a withdrawal to be
// stored; after that it is stored later.
const storeTimeout = time.Second

// bootstrapName is the operator that the settings allow.
const bootstrapName = "bootstrap"

func (e *Entry) operatorBackend() operator.Backend {
	return operator.Backend{
		Authenticate: e.authenticateOperator,
		Accepted:     func() configuration.Snapshot { return e.control.view.Load().catalog.Snapshot },
		Apply:        e.apply,
		Withdraw:     e.withdraw,
		Return:       e.returnUpstreams,
		Status:       e.status,
		Drain: func() int {
			e.askDrain()
			return int(e.inFlight.Load())
		},
	}
}

func (e *Entry) authenticateOperator(key string) (*declaration.Operator, error) {
	if o, ok := e.control.view.Load().catalog.Operator(key); ok {
		return o, nil
	}
	hash := e.Settings.Operators.BootstrapKeyHash
	if hash != "" && subtle.ConstantTimeCompare([]byte(catalog.HashKey(key)), []byte(hash)) == 1 {
		return &declaration.Operator{Name: bootstrapName, Admin: true}, nil
	}
	return nil, verdict.Refuse(verdict.Unauthenticated, "unknown operator key")
}

// apply makes a set the accepted configuration and puts it in force here.
func (e *Entry) apply(ctx context.Context, id, by string, expected int64, set declaration.Set) (configuration.Change, bool, error) {
	change, repeated, err := e.stored.Apply(ctx, id, by, expected, set, e.control.view.Load().catalog.Snapshot.Head)
	e.Log.Info("configuration change",
		zap.String("change", id),
		zap.String("operator", by),
		zap.Int64("expected", expected),
		zap.Int64("generation", change.Generation),
		zap.Bool("repeated", repeated),
		zap.Error(err))
	if err != nil {
		return change, repeated, err
	}
	e.control.Do(func(s *state) { s.adopter.ObserveGeneration(change.Generation) })
	e.wakeAdopter()
	e.awaitAdopted(ctx, change.Generation)
	return change, repeated, nil
}

// awaitAdopted waits until a generation is in force here, and has the peers
// know of it at once.
func (e *Entry) awaitAdopted(ctx context.Context, generation int64) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for e.control.view.Load().catalog.Generation() < generation {
		if !loop.Sleep(ctx, 5*time.Millisecond) {
			return
		}
	}
	e.alarm(ctx)
}

// mayDispose says whether an operator may withdraw or return an upstream.
func mayDispose(o *declaration.Operator, u *declaration.Upstream) bool {
	return o.Admin || slices.Contains(o.Owners, u.Owner)
}

// checkDisposal refuses upstreams that are unknown or another's.
func (e *Entry) checkDisposal(o *declaration.Operator, upstreams []string) error {
	if len(upstreams) == 0 {
		return verdict.Refuse(verdict.BadRequest, "no upstreams named")
	}
	c := e.control.view.Load().catalog
	for _, name := range upstreams {
		u, ok := c.Upstream(name)
		if !ok {
			return verdict.Refuse(verdict.BadRequest, "no upstream %q", name)
		}
		if !mayDispose(o, u) {
			return verdict.Refuse(verdict.Forbidden, "upstream %q belongs to %q", name, u.Owner)
		}
	}
	return nil
}

// withdraw takes upstreams out of service: here, at all peers that can be
// reached, and in the platform.
func (e *Entry) withdraw(ctx context.Context, o *declaration.Operator, id string, upstreams []string) (operator.Propagation, error) {
	if err := e.checkDisposal(o, upstreams); err != nil {
		return operator.Propagation{}, err
	}
	e.control.Do(func(s *state) {
		for _, name := range upstreams {
			s.register.Withdraw(withdrawal.Withdrawal{ID: id + "/" + name, Upstream: name, Operator: o.Name, At: time.Now()})
		}
		e.control.publish(s)
	})
	e.Log.Info("upstreams withdrawn", zap.String("change", id), zap.String("operator", o.Name), zap.Strings("upstreams", upstreams))
	return e.spread(ctx), nil
}

// returnUpstreams lifts the withdrawals of upstreams that are known here.
func (e *Entry) returnUpstreams(ctx context.Context, o *declaration.Operator, upstreams []string) (operator.Propagation, error) {
	if err := e.checkDisposal(o, upstreams); err != nil {
		return operator.Propagation{}, err
	}
	e.control.Do(func(s *state) {
		for _, name := range upstreams {
			s.register.Lift(name, time.Now())
		}
		e.control.publish(s)
	})
	e.Log.Info("upstreams returned", zap.String("operator", o.Name), zap.Strings("upstreams", upstreams))
	return e.spread(ctx), nil
}

// spread tells peers and platform of the withdrawals, all at once, and says
// who has them.
func (e *Entry) spread(ctx context.Context) operator.Propagation {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var peers []membership.Peer
	e.control.Do(func(s *state) { peers = s.members.Peers() })
	var (
		mu    sync.Mutex
		out   = operator.Propagation{InForceAt: []string{e.Settings.Name}}
		group sync.WaitGroup
	)
	for _, p := range peers {
		group.Go(func() {
			name, err := e.exchange(ctx, p.Address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.NotReached = append(out.NotReached, p.Name)
				return
			}
			out.InForceAt = append(out.InForceAt, name)
		})
	}
	group.Go(func() {
		if err := e.storeWithdrawals(ctx); err != nil {
			e.later.add(e.storeWithdrawals)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out.Stored = true
	})
	group.Wait()
	slices.Sort(out.InForceAt)
	slices.Sort(out.NotReached)
	return out
}

// storeWithdrawals merges the withdrawals known here into the stored ones.
func (e *Entry) storeWithdrawals(ctx context.Context) error {
	for ctx.Err() == nil {
		stored, err := e.objects.Get(ctx, withdrawalsKey)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if err == nil {
			all, err := withdrawal.Decode(stored.Value)
			if err != nil {
				return err
			}
			e.mergeWithdrawals(all)
		}
		var value []byte
		e.control.Do(func(s *state) {
			s.register.Prune(time.Now())
			value, err = s.register.Encode()
		})
		if err != nil {
			return fmt.Errorf("entry: %w", err)
		}
		_, err = e.objects.Put(ctx, withdrawalsKey, value, stored.Version)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return ctx.Err()
}

// status returns what this entry knows.
func (e *Entry) status() operator.Status {
	out := operator.Status{Entry: e.Settings.Name, Zone: e.Settings.Zone, Version: e.Version}
	e.control.Do(func(s *state) {
		now := time.Now()
		out.Generation = s.adopter.Generation()
		out.Ready = s.ready
		out.Draining = s.draining
		out.PlatformReachable = now.Sub(s.platformAt) < 2*pollInterval+time.Second
		out.InFlight, out.Queued = s.dispatcher.Counts()
		out.Peers = s.members.Peers()
		out.Upstreams = s.dispatcher.UpstreamStatuses(now)
	})
	return out
}
