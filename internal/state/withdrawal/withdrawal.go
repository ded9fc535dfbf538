// Package withdrawal keeps which upstreams their owners have taken back.
//
// A withdrawal is known by its ID and is in force until it is lifted. Sets of
// withdrawals from any two entries, or from an entry and the platform, merge
// to the same result in any order: an ID once seen is never forgotten within
// [Retention], and one once lifted never comes back. An older stored state can
// therefore not undo a withdrawal, and lifting one does not lift another that
// the lifting entry had not heard of.
package withdrawal

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Retention is how long a lifted withdrawal is remembered.
const Retention = 48 * time.Hour

// Withdrawal takes an upstream out of service.
type Withdrawal struct {
	// ID is the change ID of the operator's call and the upstream's name.
	ID       string
	Upstream string
	// Operator made it.
	Operator string
	// At is when, by the clock of the entry that took the call.
	At time.Time
	// Lifted says that the upstream may be used again; LiftedAt is when.
	Lifted   bool
	LiftedAt time.Time
}

// Check says whether w makes sense.
func (w *Withdrawal) Check() error {
	if w.ID == "" || w.Upstream == "" {
		return errors.New("withdrawal: without ID or upstream")
	}
	return nil
}

// Register is a set of withdrawals. Its zero value is empty and ready to use.
type Register struct {
	known map[string]Withdrawal
}

// Withdraw adds a withdrawal. It says whether anything changed.
func (r *Register) Withdraw(w Withdrawal) bool {
	return r.Merge([]Withdrawal{w})
}

// Lift lifts all known withdrawals of an upstream. It says whether anything
// changed.
func (r *Register) Lift(upstream string, now time.Time) bool {
	changed := false
	for id, w := range r.known {
		if w.Upstream != upstream || w.Lifted {
			continue
		}
		w.Lifted = true
		w.LiftedAt = now
		r.known[id] = w
		changed = true
	}
	return changed
}

// Merge takes in withdrawals from elsewhere. It says whether anything changed.
func (r *Register) Merge(others []Withdrawal) bool {
	if r.known == nil {
		r.known = make(map[string]Withdrawal)
	}
	changed := false
	for _, other := range others {
		own, ok := r.known[other.ID]
		if ok && (own.Lifted || !other.Lifted) {
			continue
		}
		r.known[other.ID] = other
		changed = true
	}
	return changed
}

// Prune forgets withdrawals lifted longer than Retention ago.
func (r *Register) Prune(now time.Time) {
	for id, w := range r.known {
		if w.Lifted && now.Sub(w.LiftedAt) > Retention {
			delete(r.known, id)
		}
	}
}

// All returns the withdrawals, sorted by ID.
func (r *Register) All() []Withdrawal {
	all := make([]Withdrawal, 0, len(r.known))
	for _, w := range r.known {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Withdrawal) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Active returns the names of the withdrawn upstreams.
func (r *Register) Active() map[string]bool {
	active := make(map[string]bool)
	for _, w := range r.known {
		if !w.Lifted {
			active[w.Upstream] = true
		}
	}
	return active
}

// Digest names the content of the register: equal registers have equal digests.
func (r *Register) Digest() string {
	sum := sha256.New()
	for _, w := range r.All() {
		fmt.Fprintf(sum, "%q %t\n", w.ID, w.Lifted)
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// Encode returns the register as it is stored.
func (r *Register) Encode() ([]byte, error) { return json.Marshal(r.All()) }

// Decode reads a stored register.
func Decode(value []byte) ([]Withdrawal, error) {
	var all []Withdrawal
	if err := json.Unmarshal(value, &all); err != nil {
		return nil, fmt.Errorf("withdrawal: %w", err)
	}
	for i := range all {
		if err := all[i].Check(); err != nil {
			return nil, err
		}
	}
	return all, nil
}
