// Package membership keeps track of the other entries: their addresses, the
// state that they last reported, and when.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// ForgetAfter is the time of silence after which an unlisted peer is dropped.
const ForgetAfter = time.Minute

// Peer is another entry.
type Peer struct {
	Name       string
	Zone       string
	Address    string
	Generation int64
	// Withdrawals is the digest of the withdrawals known to the peer.
	Withdrawals string
	Draining    bool
	// LastHeard is when the peer's last message arrived; zero if none has.
	LastHeard time.Time
	// Synced is set once the peer's withdrawals have been merged or the peer has
	// failed to answer, so that startup does not wait for it any longer.
	Synced bool
	// Listed is set if the VM list or the settings name the peer.
	Listed bool
}

// Table holds the peers of an entry by name. Its zero value is empty. It is not
// safe for concurrent use.
type Table struct {
	// Self is the name of this entry, which is never added.
	Self  string
	peers map[string]*Peer
}

// SetListed replaces the set of peers that the VM list or the settings name.
// Peers that are no longer listed stay in the table until Prune drops them.
func (t *Table) SetListed(listed []Peer) {
	for _, p := range t.peers {
		p.Listed = false
	}
	for _, l := range listed {
		if l.Name == t.Self {
			continue
		}
		p := t.peer(l.Name)
		p.Zone = l.Zone
		p.Address = l.Address
		p.Listed = true
	}
}

func (t *Table) peer(name string) *Peer {
	if t.peers == nil {
		t.peers = make(map[string]*Peer)
	}
	p := t.peers[name]
	if p == nil {
		p = &Peer{Name: name}
		t.peers[name] = p
	}
	return p
}

// Update applies the state that a peer has reported of itself. It ignores the
// fields LastHeard, Synced and Listed of reported.
func (t *Table) Update(reported Peer, now time.Time) {
	if reported.Name == t.Self || reported.Name == "" {
		return
	}
	p := t.peer(reported.Name)
	p.Zone = reported.Zone
	p.Address = reported.Address
	p.Generation = reported.Generation
	p.Withdrawals = reported.Withdrawals
	p.Draining = reported.Draining
	if now.After(p.LastHeard) {
		p.LastHeard = now
	}
}

// MarkSynced records that the withdrawals of a peer have been merged or that it
// did not answer.
func (t *Table) MarkSynced(name string) {
	if p := t.peers[name]; p != nil {
		p.Synced = true
	}
}

// AllSynced reports whether all listed peers are synced.
func (t *Table) AllSynced() bool {
	for _, p := range t.peers {
		if p.Listed && !p.Synced {
			return false
		}
	}
	return true
}

// Peers returns the peers, sorted by name.
func (t *Table) Peers() []Peer {
	all := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, *p)
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// ZoneLastHeard returns when the last message of any entry in an availability
// zone arrived, and whether an entry of that zone is listed.
func (t *Table) ZoneLastHeard(zone string) (time.Time, bool) {
	var (
		last   time.Time
		listed bool
	)
	for _, p := range t.peers {
		if p.Zone != zone {
			continue
		}
		listed = listed || p.Listed
		if p.LastHeard.After(last) {
			last = p.LastHeard
		}
	}
	return last, listed
}

// Prune drops unlisted peers that have been silent for longer than ForgetAfter.
func (t *Table) Prune(now time.Time) {
	for name, p := range t.peers {
		if !p.Listed && now.Sub(p.LastHeard) > ForgetAfter {
			delete(t.peers, name)
		}
	}
}
