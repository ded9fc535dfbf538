// Package withdrawal keeps a replicated set of withdrawals: the upstreams that
// their owners have taken out of service.
//
// A withdrawal is identified by its ID and is in force until it is lifted. The
// sets of any two entries, or of an entry and the platform, merge to the same
// result in any order: a known ID is not forgotten before it has been lifted for
// [Retention], and a lifted one never comes into force again. An older stored
// set therefore can't undo a withdrawal, and lifting a withdrawal does not lift
// another one of which the lifting entry did not know.
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

// Retention is how long a lifted withdrawal is kept, so that an older copy of it
// can't bring it back into force.
const Retention = 48 * time.Hour

// Withdrawal takes an upstream out of service.
type Withdrawal struct {
	// ID combines the change ID of the operator's call and the upstream's name.
	ID       string
	Upstream string
	// Operator is the name of the operator who made the withdrawal.
	Operator string
	// At is when the withdrawal was made, by the clock of the entry that
	// received the call.
	At time.Time
	// Lifted reports whether the withdrawal has ended, and LiftedAt is when.
	Lifted   bool
	LiftedAt time.Time
}

// Check returns an error if the ID or the upstream is missing.
func (w *Withdrawal) Check() error {
	if w.ID == "" || w.Upstream == "" {
		return errors.New("withdrawal: without ID or upstream")
	}
	return nil
}

// Set is a set of withdrawals. The zero value is empty and ready to use. A Set
// must not be used by several goroutines at once.
type Set struct {
	// byID holds the withdrawals, lifted ones included.
	byID map[string]Withdrawal
}

// Withdraw adds a withdrawal. It reports whether the set changed.
func (s *Set) Withdraw(w Withdrawal) bool {
	return s.Merge([]Withdrawal{w})
}

// Lifted reports whether the withdrawal with an ID has been lifted. Another one
// with that ID would not come into force.
func (s *Set) Lifted(id string) bool { return s.byID[id].Lifted }

// Lift lifts all withdrawals of an upstream that are in the set. It reports
// whether the set changed.
func (s *Set) Lift(upstream string, now time.Time) bool {
	changed := false
	for id, w := range s.byID {
		if w.Upstream != upstream || w.Lifted {
			continue
		}
		w.Lifted = true
		w.LiftedAt = now
		s.byID[id] = w
		changed = true
	}
	return changed
}

// Merge adds the withdrawals of another set. It reports whether the set changed.
func (s *Set) Merge(others []Withdrawal) bool {
	if s.byID == nil {
		s.byID = make(map[string]Withdrawal)
	}
	changed := false
	for _, other := range others {
		existing, ok := s.byID[other.ID]
		if ok && (existing.Lifted || !other.Lifted) {
			continue
		}
		s.byID[other.ID] = other
		changed = true
	}
	return changed
}

// Merged reports whether all is a set with which sent was merged. It need not hold
// withdrawals that are lifted, since those are forgotten some day.
func Merged(all, sent []Withdrawal) bool {
	held := make(map[string]Withdrawal, len(all))
	for _, w := range all {
		held[w.ID] = w
	}
	for _, w := range sent {
		other, ok := held[w.ID]
		if !ok && !w.Lifted || ok && w.Lifted && !other.Lifted {
			return false
		}
	}
	return true
}

// Prune removes the withdrawals that were lifted longer than Retention ago.
func (s *Set) Prune(now time.Time) {
	for id, w := range s.byID {
		if w.Lifted && now.Sub(w.LiftedAt) > Retention {
			delete(s.byID, id)
		}
	}
}

// All returns all withdrawals, including lifted ones, sorted by ID.
func (s *Set) All() []Withdrawal {
	all := make([]Withdrawal, 0, len(s.byID))
	for _, w := range s.byID {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Withdrawal) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Active returns the names of the upstreams that have a withdrawal in force.
func (s *Set) Active() map[string]bool {
	active := make(map[string]bool)
	for _, w := range s.byID {
		if !w.Lifted {
			active[w.Upstream] = true
		}
	}
	return active
}

// Digest returns a hash of the set's IDs and of which of them are lifted.
func (s *Set) Digest() string {
	sum := sha256.New()
	for _, w := range s.All() {
		fmt.Fprintf(sum, "%q %t\n", w.ID, w.Lifted)
	}
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// Encode returns the set in its stored form, a JSON array.
func (s *Set) Encode() ([]byte, error) { return json.Marshal(s.All()) }

// Decode decodes and checks a stored set.
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
