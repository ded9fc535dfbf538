// Package membership knows the other entries: who they are, what they last
// said, and how long they have been silent.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// ForgetAfter is how long a silent peer that no list names is remembered.
const ForgetAfter = time.Minute

// Peer is another entry.
type Peer struct {
	Name       string
	Zone       string
	Address    string
	Generation int64
	// Withdrawals is the digest of the peer's withdrawals.
	Withdrawals string
	Draining    bool
	// HeardAt is when the peer was last heard; zero for never.
	HeardAt time.Time
	// Settled says that its withdrawals were taken in at least once, or that it
	// did not answer.
	Settled bool
	// Listed says that the VM list or the settings name the peer.
	Listed bool
}

// Table holds the peers of an entry. Its zero value is empty.
type Table struct {
	// Self is the entry's own name, which is never added.
	Self  string
	peers map[string]*Peer
}

// List takes in the peers that the VM list or the settings name.
func (t *Table) List(listed []Peer) {
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

// Hear takes in what a peer says of itself.
func (t *Table) Hear(said Peer, now time.Time) {
	if said.Name == t.Self || said.Name == "" {
		return
	}
	p := t.peer(said.Name)
	p.Zone = said.Zone
	p.Address = said.Address
	p.Generation = said.Generation
	p.Withdrawals = said.Withdrawals
	p.Draining = said.Draining
	p.HeardAt = now
}

// Settle notes that the withdrawals of a peer were taken in, or that it did not
// answer.
func (t *Table) Settle(name string) {
	if p := t.peers[name]; p != nil {
		p.Settled = true
	}
}

// AllSettled says whether that holds for each listed peer.
func (t *Table) AllSettled() bool {
	for _, p := range t.peers {
		if p.Listed && !p.Settled {
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

// ZoneHeard returns when an entry of an availability zone was last heard, and
// whether any entry of that zone is listed.
func (t *Table) ZoneHeard(zone string) (time.Time, bool) {
	var (
		last   time.Time
		listed bool
	)
	for _, p := range t.peers {
		if p.Zone != zone {
			continue
		}
		listed = listed || p.Listed
		if p.HeardAt.After(last) {
			last = p.HeardAt
		}
	}
	return last, listed
}

// Prune forgets peers that no list names and that have been silent for long.
func (t *Table) Prune(now time.Time) {
	for name, p := range t.peers {
		if !p.Listed && now.Sub(p.HeardAt) > ForgetAfter {
			delete(t.peers, name)
		}
	}
}
