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

// generateRequestID returns a unique request ID.
func generateRequestID() string { return "req-" + uuid.NewString() }

// propagationTimeout bounds how long an operator waits for withdrawals to reach
// the peers and the platform. Storing them is then retried in the background.
const propagationTimeout = time.Second

// bootstrapOperator is the name of the operator whose key is in the settings.
const bootstrapOperator = "bootstrap"

func (e *Entry) operatorBackend() operator.Backend {
	return operator.Backend{
		Authenticate: e.authenticateOperator,
		Accepted:     func() configuration.Snapshot { return e.control.view.Load().catalog.Snapshot },
		Apply:        e.apply,
		Withdraw:     e.withdraw,
		Return:       e.returnUpstreams,
		Status:       e.status,
		Drain: func() int {
			e.requestDrain()
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
		return &declaration.Operator{Name: bootstrapOperator, Admin: true}, nil
	}
	return nil, verdict.Refuse(verdict.Unauthenticated, "unknown operator key")
}

// apply stores a set as the accepted configuration and waits until it is in force
// here. It refuses the ID of an accepted change with another set.
func (e *Entry) apply(ctx context.Context, changeID, operatorName string, expected int64, set declaration.Set) (configuration.Change, bool, error) {
	change, repeated, err := e.repository.Apply(ctx, changeID, operatorName, expected, set, e.control.view.Load().catalog.Snapshot.Head)
	e.Log.Info("configuration change",
		zap.String("change", changeID),
		zap.String("operator", operatorName),
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
	if repeated && !e.holds(change, set) {
		return configuration.Change{}, false, configuration.ErrChangeReused
	}
	return change, repeated, nil
}

// holds reports whether a change has led to a set, as far as this can be told: once
// a later change is in force it cannot.
func (e *Entry) holds(change configuration.Change, set declaration.Set) bool {
	inForce := e.control.view.Load().catalog.Snapshot
	return inForce.Head.Generation != change.Generation || len(configuration.Diff(inForce.Set, set)) == 0
}

// awaitAdopted waits until a generation is in force here, and then notifies the
// peers of it.
func (e *Entry) awaitAdopted(ctx context.Context, generation int64) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	for e.control.view.Load().catalog.Generation() < generation {
		if !loop.Sleep(ctx, 5*time.Millisecond) {
			return
		}
	}
	e.notifyPeers(ctx)
}

// mayManage reports whether an operator may withdraw and return an upstream.
func mayManage(o *declaration.Operator, u *declaration.Upstream) bool {
	return o.Admin || slices.Contains(o.Owners, u.Owner)
}

// authorizeUpstreams returns an error unless all upstreams exist and o may
// withdraw and return them.
func (e *Entry) authorizeUpstreams(o *declaration.Operator, upstreams []string) error {
	if len(upstreams) == 0 {
		return verdict.Refuse(verdict.BadRequest, "no upstreams named")
	}
	c := e.control.view.Load().catalog
	for _, name := range upstreams {
		u, ok := c.Upstream(name)
		if !ok {
			return verdict.Refuse(verdict.BadRequest, "no upstream %q", name)
		}
		if !mayManage(o, u) {
			return verdict.Refuse(verdict.Forbidden, "upstream %q belongs to %q", name, u.Owner)
		}
	}
	return nil
}

// withdraw takes upstreams out of service here and at all peers that can be
// reached, and stores the withdrawals on the platform.
func (e *Entry) withdraw(ctx context.Context, o *declaration.Operator, changeID string, upstreams []string) (operator.Propagation, error) {
	if err := e.authorizeUpstreams(o, upstreams); err != nil {
		return operator.Propagation{}, err
	}
	var err error
	e.control.Do(func(s *state) {
		if err = s.withdraw(o, changeID, upstreams, time.Now()); err == nil {
			e.control.publish(s)
		}
	})
	if err != nil {
		return operator.Propagation{}, err
	}
	e.Log.Info("upstreams withdrawn", zap.String("change", changeID), zap.String("operator", o.Name), zap.Strings("upstreams", upstreams))
	return e.propagateWithdrawals(ctx), nil
}

// withdraw adds the withdrawals of a change. It refuses a change of which a part
// has been lifted, since that part would not come into force.
func (s *state) withdraw(o *declaration.Operator, changeID string, upstreams []string, now time.Time) error {
	id := func(name string) string { return changeID + "/" + name }
	for _, name := range upstreams {
		if s.withdrawals.Lifted(id(name)) {
			return verdict.Refuse(verdict.BadRequest, "change %q has withdrawn %q before, and that was returned; use another ID", changeID, name)
		}
	}
	for _, name := range upstreams {
		s.withdrawals.Withdraw(withdrawal.Withdrawal{ID: id(name), Upstream: name, Operator: o.Name, At: now})
	}
	return nil
}

// returnUpstreams lifts the withdrawals of upstreams.
func (e *Entry) returnUpstreams(ctx context.Context, o *declaration.Operator, upstreams []string) (operator.Propagation, error) {
	if err := e.authorizeUpstreams(o, upstreams); err != nil {
		return operator.Propagation{}, err
	}
	e.control.Do(func(s *state) {
		for _, name := range upstreams {
			s.withdrawals.Lift(name, time.Now())
		}
		e.control.publish(s)
	})
	e.Log.Info("upstreams returned", zap.String("operator", o.Name), zap.Strings("upstreams", upstreams))
	return e.propagateWithdrawals(ctx), nil
}

// errNotTold is the error of telling a peer or the platform if that has panicked.
var errNotTold = errors.New("entry: not told")

// propagateWithdrawals sends the withdrawals to all peers and to the platform
// concurrently. It returns where they are in force and whether they are stored.
func (e *Entry) propagateWithdrawals(ctx context.Context) operator.Propagation {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
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
			var name string
			err := errNotTold
			e.contain("", func() { name, err = e.exchangeWithdrawals(ctx, p.Address) })
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
		err := errNotTold
		e.contain("", func() { err = e.storeWithdrawals(ctx) })
		if err != nil {
			e.retryQueue.add(e.storeWithdrawals)
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

// storeWithdrawals merges the withdrawals known here with the stored ones and
// writes the union, again if another writer came first.
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
			s.withdrawals.Prune(time.Now())
			value, err = s.withdrawals.Encode()
		})
		if err != nil {
			return fmt.Errorf("entry: encode withdrawals: %w", err)
		}
		_, err = e.objects.Put(ctx, withdrawalsKey, value, stored.Version)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return ctx.Err()
}

// status returns the state of this entry as operators see it.
func (e *Entry) status() operator.Status {
	out := operator.Status{Entry: e.Settings.Name, Zone: e.Settings.Zone, Version: e.Version}
	e.control.Do(func(s *state) {
		now := time.Now()
		out.Generation = s.adopter.Generation()
		out.Ready = s.ready
		out.Draining = s.draining
		out.PlatformReachable = now.Sub(s.platformContactAt) < 2*headPollInterval+time.Second
		out.InFlight, out.Queued = s.dispatcher.Counts()
		out.Peers = s.members.Peers()
		out.Upstreams = s.dispatcher.UpstreamStatuses(now)
	})
	return out
}
