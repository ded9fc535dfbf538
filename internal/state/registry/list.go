// Package registry keeps the list of upstreams that are registered in the platform's
// store, as a gateway knows it from lists and changes of the store and from the lists of
// its peers, which arrive in any order.
//
// Each of them is a fact at a revision: an instance has an entry, in some state, or has
// none. An upstream whose entry expired registers again under its instance name, and
// then has a new entry with a later revision of creation. A fact concerns the entries
// that were created up to its revision, and says nothing about later ones.
package registry

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageport.example/internal/state/fleet"
	"lovageport.example/internal/state/revision"
)

// List is the list of registered upstreams at a revision of the store. Its zero value is
// an empty list before all revisions. It is not safe for concurrent use.
type List struct {
	revision revision.Revision
	entries  map[string]*fleet.Upstream
	// hashes holds the hashes of the entries, by instance, and digest their sum.
	hashes map[string]uint64
	digest uint64
	// removals holds, by instance, the newest entries that were removed.
	removals map[string]Removal
}

// Removal is an entry that was removed from the list.
type Removal struct {
	// Created is the revision of the store at which the entry was created.
	Created revision.Revision
	// Started identifies the incarnation of the upstream.
	Started int64
	// At is the boot time of the removal.
	At time.Duration
}

// Change is a change of the entry of an instance.
type Change struct {
	Instance string
	// Revision is the revision of the change in the era of the list.
	Revision revision.Revision
	// Upstream is the new entry, or nil if the entry was deleted.
	Upstream *fleet.Upstream
}

// Revision returns the revision of the store up to which the list is known.
func (l *List) Revision() revision.Revision { return l.revision }

// Advance records that the list has not changed up to a revision.
func (l *List) Advance(to revision.Revision) { l.revision = l.revision.Max(to) }

// Digest returns a number that is equal for equal lists.
func (l *List) Digest() uint64 { return l.digest }

// Entry returns the entry of an instance, or nil if none is listed.
func (l *List) Entry(instance string) *fleet.Upstream { return l.entries[instance] }

// Entries returns the entries, ordered by instance.
func (l *List) Entries() []*fleet.Upstream {
	var out []*fleet.Upstream
	for _, instance := range slices.Sorted(maps.Keys(l.entries)) {
		out = append(out, l.entries[instance])
	}
	return out
}

// Merge returns the entries of a list that was read at a revision, without those that are
// known to have been removed, and with the known ones that the list does not concern.
func (l *List) Merge(listed map[string]*fleet.Upstream, at revision.Revision) map[string]*fleet.Upstream {
	out := maps.Clone(listed)
	maps.DeleteFunc(out, func(_ string, u *fleet.Upstream) bool { return l.wasRemoved(u, at.Era) })
	for instance, known := range l.entries {
		if Concerns(at, l.Created(known)) {
			continue
		}
		if u := out[instance]; u == nil || u.Registered < known.Registered {
			out[instance] = known
		}
	}
	return out
}

// Concerns reports whether a fact at a revision concerns an entry that was created at
// another one. A fact of another era concerns all entries: the revisions are not comparable.
func Concerns(at, created revision.Revision) bool {
	return at.Era != created.Era || created.Number <= at.Number
}

// Created returns the revision at which an entry of the list was created.
func (l *List) Created(u *fleet.Upstream) revision.Revision {
	return revision.Revision{Era: l.revision.Era, Number: u.Registered}
}

// Replace replaces the list by one that is not older, and returns the entries that are no
// longer listed.
func (l *List) Replace(entries map[string]*fleet.Upstream, at revision.Revision, now time.Duration) []*fleet.Upstream {
	var gone []*fleet.Upstream
	for instance, u := range l.entries {
		if entries[instance] == nil {
			l.recordRemoval(u, now)
			gone = append(gone, u)
		}
	}
	l.revision = at
	l.entries = make(map[string]*fleet.Upstream, len(entries))
	l.hashes = make(map[string]uint64, len(entries))
	l.digest = 0
	for _, u := range entries {
		l.set(u)
	}
	return gone
}

// Apply applies a change of the era of the list. It returns false if the change does not
// count, because its entry is known to have been removed or a later one is listed.
func (l *List) Apply(c Change, now time.Duration) bool {
	known := l.entries[c.Instance]
	if known != nil && !Concerns(c.Revision, l.Created(known)) {
		return false
	}
	if c.Upstream != nil {
		if l.wasRemoved(c.Upstream, l.revision.Era) {
			return false
		}
		l.set(c.Upstream)
		return true
	}
	if known != nil {
		l.recordRemoval(known, now)
		l.unset(c.Instance)
	}
	return true
}

// wasRemoved reports whether an entry, as listed in an era of the store, is known to have
// been removed in that era, so that its source is outdated. An entry that was created
// again is a different one.
func (l *List) wasRemoved(u *fleet.Upstream, era int64) bool {
	r, known := l.removals[u.Instance]
	return known && u.Registered > 0 && r.Created.Era == era && u.Registered <= r.Created.Number
}

// recordRemoval records the removal of an entry of the list.
func (l *List) recordRemoval(u *fleet.Upstream, now time.Duration) {
	if l.removals == nil {
		l.removals = make(map[string]Removal)
	}
	created := l.Created(u).Max(l.removals[u.Instance].Created)
	l.removals[u.Instance] = Removal{Created: created, Started: u.Started, At: now}
}

// Removal returns the newest removed entry of an instance, and whether there is one.
func (l *List) Removal(instance string) (Removal, bool) {
	r, known := l.removals[instance]
	return r, known
}

// ForgetRemoval forgets that an entry of an instance was removed.
func (l *List) ForgetRemoval(instance string) { delete(l.removals, instance) }

// ForgetRemovalsBefore forgets the entries that were removed before a boot time.
func (l *List) ForgetRemovalsBefore(at time.Duration) {
	maps.DeleteFunc(l.removals, func(_ string, r Removal) bool { return r.At < at })
}

// set sets the entry of an instance.
func (l *List) set(u *fleet.Upstream) {
	if l.entries == nil {
		l.entries, l.hashes = make(map[string]*fleet.Upstream), make(map[string]uint64)
	}
	l.digest -= l.hashes[u.Instance]
	hash := xxhash.Sum64String(fmt.Sprintf("%+v", *u))
	l.entries[u.Instance], l.hashes[u.Instance] = u, hash
	l.digest += hash
}

// unset removes the entry of an instance.
func (l *List) unset(instance string) {
	l.digest -= l.hashes[instance]
	delete(l.entries, instance)
	delete(l.hashes, instance)
}
