package configuration

import (
	"fmt"

	"lovageport.example/pkg/declaration"
)

// Accepted is a configuration in force.
type Accepted struct {
	Head Head
	Set  declaration.Set
}

// Adopter decides which configuration an entry has in force. It only ever goes
// to a higher generation, and takes one over whole or not at all. Its zero
// value has nothing in force.
type Adopter struct {
	accepted Accepted
	// shards are those of the accepted and of the offered head.
	shards  map[string]Shard
	offered Head
	// highest is the highest generation that anybody has named.
	highest int64
}

// Accepted returns the configuration in force.
func (a *Adopter) Accepted() Accepted { return a.accepted }

// Generation returns the generation in force, 0 for none.
func (a *Adopter) Generation() int64 { return a.accepted.Head.Generation }

// Seen notes that a peer or the platform named a generation.
func (a *Adopter) Seen(generation int64) { a.highest = max(a.highest, generation) }

// Highest returns the highest generation that anybody has named.
func (a *Adopter) Highest() int64 { return a.highest }

// NeedsHead says whether a generation has been named whose head is not here.
func (a *Adopter) NeedsHead() bool {
	return a.highest > max(a.Generation(), a.offered.Generation)
}

// Behind says whether a higher generation is known than the one in force.
func (a *Adopter) Behind() bool { return a.highest > a.Generation() }

// Ready says whether a configuration is in force and none is known to be
// newer.
func (a *Adopter) Ready() bool { return a.Generation() > 0 && !a.Behind() }

// Offer takes note of a head. It says whether the head is newer than the one
// in force.
func (a *Adopter) Offer(head Head) bool {
	a.Seen(head.Generation)
	if head.Generation <= a.Generation() || head.Generation < a.offered.Generation {
		return false
	}
	a.offered = head
	return true
}

// Missing returns the names of the offered head's shards that are not here yet.
func (a *Adopter) Missing() []string {
	var missing []string
	for _, name := range a.offered.Shards {
		if _, ok := a.shards[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

// Add takes in a shard.
func (a *Adopter) Add(s Shard) error {
	if err := s.Check(); err != nil {
		return err
	}
	if a.shards == nil {
		a.shards = make(map[string]Shard)
	}
	a.shards[s.Name] = s
	return nil
}

// Shards returns those of the wanted shards that are here.
func (a *Adopter) Shards(names []string) []Shard {
	var found []Shard
	for _, name := range names {
		if s, ok := a.shards[name]; ok {
			found = append(found, s)
		}
	}
	return found
}

// Adopt puts the offered head in force if it is newer and all its shards are
// here. It says whether the configuration in force changed.
func (a *Adopter) Adopt() (bool, error) {
	if a.offered.Generation <= a.Generation() || len(a.Missing()) > 0 {
		return false, nil
	}
	set, err := Join(a.Shards(a.offered.Shards))
	if err != nil {
		return false, fmt.Errorf("configuration: generation %d not adopted: %w", a.offered.Generation, err)
	}
	a.accepted = Accepted{Head: a.offered, Set: set}
	a.forgetOthers()
	return true, nil
}

// forgetOthers drops the shards that the accepted head does not name.
func (a *Adopter) forgetOthers() {
	kept := make(map[string]Shard, len(a.accepted.Head.Shards))
	for _, name := range a.accepted.Head.Shards {
		kept[name] = a.shards[name]
	}
	a.shards = kept
}
